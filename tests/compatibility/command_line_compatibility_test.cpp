// SPDX-License-Identifier: Apache-2.0
//
/// The names of all commands and options of each program, from its help; the prose beside them may change.
#include <gtest/gtest.h>

#include <cctype>
#include <cstdio>
#include <set>
#include <sstream>

#include "compatibility/golden_file.h"

namespace badgerbridge::compatibility {
namespace {

/// What a command prints, on both of its outputs, and its exit code in the last line.
std::string OutputOf(const std::string& command) {
  FILE* const output = popen((command + " 2>&1").c_str(), "r");
  if (output == nullptr) return "cannot be run";
  std::string text;
  char piece[4096];
  for (std::size_t n = 0; (n = std::fread(piece, 1, sizeof piece, output)) > 0;) text.append(piece, n);
  const int status = pclose(output);
  return text + "exit " + std::to_string(WIFEXITED(status) ? WEXITSTATUS(status) : -1) + "\n";
}

bool IsOptionCharacter(char c) { return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_'; }

/// Words that begin with "-" and a letter, or with "--"; sorted, each once.
std::set<std::string> OptionsIn(const std::string& help) {
  std::set<std::string> options;
  for (std::size_t at = 0; at < help.size(); ++at) {
    const bool begins_word = at == 0 || std::isspace(static_cast<unsigned char>(help[at - 1])) ||
                             help[at - 1] == ',' || help[at - 1] == '[';
    if (!begins_word || help[at] != '-') continue;
    std::size_t end = at;
    while (end < help.size() && IsOptionCharacter(help[end])) ++end;
    if (end - at > 1 && help.substr(at, end - at) != "--") options.insert(help.substr(at, end - at));
  }
  return options;
}

/// The first words of the lines below "Subcommands:", in their order.
std::vector<std::string> SubcommandsIn(const std::string& help) {
  std::vector<std::string> names;
  std::istringstream lines(help);
  bool below = false;
  for (std::string line; std::getline(lines, line);) {
    if (line == "Subcommands:") {
      below = true;
    } else if (line.rfind("  ", 0) == 0 && line.size() > 2 && line[2] != ' ' && below) {
      names.push_back(line.substr(2, line.find(' ', 2) - 2));
    } else if (line.rfind("  ", 0) != 0) {
      below = false;
    }
  }
  return names;
}

/// The options of a program and, below it, of each of its commands; `command` has the program's path first.
void AppendNames(const std::string& command, const std::string& shown, std::string* text) {
  const std::string help = OutputOf(command + " --help");
  *text += shown + ":";
  for (const std::string& option : OptionsIn(help)) *text += " " + option;
  *text += ", " + help.substr(help.rfind("exit "));
  for (const std::string& name : SubcommandsIn(help))
    AppendNames(command + " " + name, shown + " " + name, text);
}

std::string NamesOf(const std::string& program) {
  std::string text;
  AppendNames(program, "program", &text);
  return text;
}

TEST(CommandLineCompatibility, CommandsAndOptionsOfTheToolAreThoseOfBefore) {
  EXPECT_TRUE(MatchesGoldenFile("command_line/ctl.txt", NamesOf(CTL_PATH)));
}

TEST(CommandLineCompatibility, HelpAllOfTheToolNamesTheOptionsOfBefore) {
  std::vector<std::string> options;
  for (const std::string& option : OptionsIn(OutputOf(std::string(CTL_PATH) + " --help-all")))
    options.push_back(option);
  EXPECT_TRUE(MatchesGoldenFile("command_line/ctl_help_all.txt", JoinLines(options)));
}

TEST(CommandLineCompatibility, OptionsOfTheProxyAreThoseOfBefore) {
  EXPECT_TRUE(MatchesGoldenFile("command_line/proxy.txt", NamesOf(PROXY_PATH)));
}

TEST(CommandLineCompatibility, OptionsOfTheAgentAreThoseOfBefore) {
  EXPECT_TRUE(MatchesGoldenFile("command_line/agent.txt", NamesOf(AGENT_PATH)));
}

TEST(CommandLineCompatibility, OptionsOfTheWatchCacheAreThoseOfBefore) {
  EXPECT_TRUE(MatchesGoldenFile("command_line/relay.txt", NamesOf(RELAY_PATH)));
}

TEST(CommandLineCompatibility, CommandsAndOptionsOfTheSimulatorAreThoseOfBefore) {
  EXPECT_TRUE(MatchesGoldenFile("command_line/simulator.txt", NamesOf(SIMULATOR_PATH)));
}

TEST(CommandLineCompatibility, MisuseEndsEachProgramWithTheExitCodeOfBefore) {
  std::string text;
  for (const std::string program : {CTL_PATH, PROXY_PATH, AGENT_PATH, RELAY_PATH, SIMULATOR_PATH}) {
    const std::string output = OutputOf(program + " --no-such-option");
    text += output.substr(output.rfind("exit "));
  }
  EXPECT_TRUE(MatchesGoldenFile("command_line/misuse.txt", text));
}

}  // namespace
}  // namespace badgerbridge::compatibility
