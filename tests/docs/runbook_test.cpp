// SPDX-License-Identifier: Apache-2.0
//
// docs/operators/runbook.md has a row for each message that a program prints on standard error, and for each
// exit code but 0; and none for what no program prints any more.
#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <optional>
#include <regex>
#include <set>
#include <string>

#include "source_text.h"

namespace badgerbridge::docs {
namespace {

const std::filesystem::path kRoot = SOURCE_DIR;

constexpr std::string_view kLogSection = "## Log lines";
constexpr std::string_view kExitSection = "## Exit codes";

/// A statement that prints text composed elsewhere, and the row that describes the text; an empty row: the
/// text is that of other statements that are checked by themselves.
struct Composed {
  std::string_view statement_part;
  std::string_view row;
};
constexpr Composed kComposed[] = {
    {"FormatProblems(", "FILE:LINE:COLUMN: …"},  // faults of a file that an operator wrote
    {"SourceName(source)", "SOURCE: …"},  // why a source of members is not taken whole: etcd or discovery
    {"std::perror(", "PATH: …"},          // a system call on a file
    {"action.text", ""},                  // a Log action of the decision module or of the table of requests
    {"Log{std::move(text)}", ""},         // of a function that LogFunctionsIn finds
};

std::string Page() { return ReadFile(kRoot / "docs/operators/runbook.md"); }

std::vector<Message> AllMessages() {
  const std::vector<std::string> files = SourcesBelow(kRoot, "src");
  std::vector<std::string> log_functions;
  for (const std::string& file : files) {
    for (std::string& name : LogFunctionsIn(WithoutComments(ReadFile(kRoot / file))))
      log_functions.push_back(std::move(name));
  }
  std::vector<Message> all;
  for (const std::string& file : files) {
    for (Message& one : MessagesIn(file, WithoutComments(ReadFile(kRoot / file)), log_functions))
      all.push_back(std::move(one));
  }
  return all;
}

/// The row that a message needs; nothing where it needs none.
std::optional<std::string> RowOf(const Message& message) {
  // A progress display rewrites its line; a space continues one.
  if (message.text.empty() || message.text.front() == '\r' || message.text.front() == ' ')
    return std::nullopt;
  for (const Composed& composed : kComposed) {
    // The closing bracket of a call is not part of the statement.
    if ((message.statement + "}").find(composed.statement_part) == std::string::npos) continue;
    if (composed.row.empty()) return std::nullopt;
    return std::string(composed.row);
  }
  if (message.text != kPlaceholder) return message.text;
  ADD_FAILURE() << message.file << ":" << message.line
                << ": prints text that is composed elsewhere: " << message.statement
                << "\nName its first words there, or add it to kComposed";
  return std::nullopt;
}

/// The numbers N of each "…; N meaning" of a help text that lists exit codes, 0 left out.
std::set<int> CodesOfHelp(const std::string& help) {
  std::set<int> codes;
  const std::regex entry("(?:^|[:;] )(\\d+) ");
  for (std::sregex_iterator at(help.begin(), help.end(), entry), end; at != end; ++at)
    codes.insert(std::stoi((*at)[1]));
  codes.erase(0);
  return codes;
}

std::set<int> NumbersOf(const std::string& text, const std::regex& pattern) {
  std::set<int> numbers;
  for (std::sregex_iterator at(text.begin(), text.end(), pattern), end; at != end; ++at)
    numbers.insert(std::stoi((*at)[1]));
  numbers.erase(0);
  return numbers;
}

/// The number that an exit or a return takes, or that the constant of this name has in `text`; nothing for
/// other names.
std::optional<int> CodeOf(const std::string& argument, const std::string& text) {
  if (std::isdigit(static_cast<unsigned char>(argument.front())) != 0) return std::stoi(argument);
  std::smatch value;
  const std::regex constant("\\b" + argument + "\\s*(?:=|\\{)\\s*(\\d+)");
  if (!std::regex_search(text, value, constant)) return std::nullopt;
  return std::stoi(value[1]);
}

std::set<int> CodesOfCalls(const std::string& text, const std::regex& call) {
  std::set<int> codes;
  for (std::sregex_iterator at(text.begin(), text.end(), call), end; at != end; ++at) {
    if (const auto code = CodeOf((*at)[1], text)) codes.insert(*code);
  }
  codes.erase(0);
  return codes;
}

/// The codes with which any source of a program may end its process, or one that it has forked.
std::set<int> ExitCodesOfSource(const std::string& text) {
  std::set<int> codes = CodesOfCalls(text, std::regex("\\b(?:_exit|_Exit|exit)\\((\\w+)\\)"));
  const std::regex enumeration("enum (?:class )?Exit\\w*[^{;]*\\{[^}]*\\}");
  for (std::sregex_iterator at(text.begin(), text.end(), enumeration), end; at != end; ++at)
    codes.merge(NumbersOf(at->str(), std::regex("= (\\d+)")));
  return codes;
}

/// The codes that main returns, and those that its help text lists.
std::set<int> ExitCodesOfMain(const std::string& text) {
  std::set<int> codes = CodesOfCalls(text, std::regex("\\breturn (\\d+|k[A-Z]\\w*);"));
  const std::size_t help = text.find("\"Exit codes: ");
  if (help != std::string::npos) codes.merge(CodesOfHelp(LiteralAt(text, help)->text));
  return codes;
}

/// The exit codes of the program whose main stands in `folder`, as the runbook writes them.
std::set<std::string> ExitCodesOf(const std::filesystem::path& folder) {
  std::set<std::string> codes;
  for (const std::string& file : SourcesBelow(folder, "")) {
    const std::string text = WithoutComments(ReadFile(folder / file));
    std::set<int> numbers = ExitCodesOfSource(text);
    if (file == "main.cpp") numbers.merge(ExitCodesOfMain(text));
    for (const int number : numbers) codes.insert(std::to_string(number));
    if (text.find("CLI11_PARSE(") != std::string::npos) codes.insert("100 to 127");
  }
  return codes;
}

/// Each program, by its build file, with the folder of its main.
std::map<std::string, std::filesystem::path> Programs() {
  std::map<std::string, std::filesystem::path> programs;
  for (const char* below : {"src", "tests/multiprocess"}) {
    for (const std::string& file : SourcesBelow(kRoot, below)) {
      const std::filesystem::path path = kRoot / file;
      if (path.filename() != "main.cpp") continue;
      const std::string build = ReadFile(path.parent_path() / "CMakeLists.txt");
      std::smatch name;
      if (std::regex_search(build, name, std::regex("add_executable\\(\\s*([\\w-]+)\\s[^)]*\\bmain\\.cpp")))
        programs[name[1]] = path.parent_path();
      else
        ADD_FAILURE() << file << ": its build file names no program";
    }
  }
  return programs;
}

TEST(Runbook, HasARowForEachMessage) {
  std::set<std::string> rows;
  for (const Row& row : RowsOf(Page(), kLogSection)) rows.insert(row.key);
  for (const Message& message : AllMessages()) {
    const auto row = RowOf(message);
    EXPECT_TRUE(!row || rows.count(*row))
        << message.file << ":" << message.line << ": the runbook needs a row that begins with\n| `" << *row
        << "` |";
  }
}

TEST(Runbook, HasNoRowForAMessageThatNoProgramPrints) {
  std::set<std::string> printed;
  for (const Message& message : AllMessages()) {
    if (const auto row = RowOf(message)) printed.insert(*row);
  }
  for (const Row& row : RowsOf(Page(), kLogSection))
    EXPECT_TRUE(printed.count(row.key)) << "no program prints: " << row.key;
}

/// An exit code of a program, as a row of the runbook has it.
struct ProgramExit {
  std::string program;
  std::string code;
  auto operator<=>(const ProgramExit&) const = default;
};

TEST(Runbook, HasARowForEachExitCodeAndForNoOther) {
  std::set<ProgramExit> rows;
  for (const Row& row : RowsOf(Page(), kExitSection)) rows.insert({row.key, row.second});
  std::set<ProgramExit> exits;
  for (const auto& [program, folder] : Programs()) {
    for (const std::string& code : ExitCodesOf(folder)) exits.insert({program, code});
  }
  for (const ProgramExit& one : exits)
    EXPECT_TRUE(rows.count(one)) << "the runbook needs a row: | `" << one.program << "` | " << one.code
                                 << " |";
  for (const ProgramExit& one : rows)
    EXPECT_TRUE(exits.count(one)) << one.program << " does not exit with " << one.code;
}

// Another way to print would go unseen by the checks above.
TEST(Runbook, SourcesPrintInNoWayThatTheTestDoesNotKnow) {
  const std::regex other("\\b(std::clog|std::wcerr|spdlog|syslog\\(|fprintf\\(stderr|fputs\\(|std::println)");
  std::set<std::string> known{"out", "out_", "warnings"};
  for (const std::string& name : ErrorStreams()) known.insert(name);
  for (const std::string& file : SourcesBelow(kRoot, "src")) {
    const std::string text = WithoutComments(ReadFile(kRoot / file));
    std::smatch found;
    EXPECT_FALSE(std::regex_search(text, found, other)) << file << ": " << found.str();
    for (const std::string& name : StreamNamesIn(text))
      EXPECT_TRUE(known.count(name)) << file << ": is the stream " << name
                                     << " standard error? See ErrorStreams()";
  }
}

TEST(RunbookSourceText, CommentsAreBlankedAndLiteralsStay) {
  EXPECT_EQ(WithoutComments("a(\"http://x\");  // b\nc /* d */ e"), "a(\"http://x\");      \nc         e");
}

TEST(RunbookSourceText, AMessageIsItsLiteralsWithPlaceholdersBetween) {
  const auto messages =
      MessagesIn("f.cpp", "\nstd::cerr << \"a: \" << x.y(1, \"z\") << \" b\"\n  \"c\" << '\\n';");
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].text, "a: … bc");
  EXPECT_EQ(messages[0].line, 2u);
}

TEST(RunbookSourceText, AConditionalThatBeginsAMessageIsTwoMessages) {
  const auto messages =
      MessagesIn("f.cpp", "Write((bad ? \"x: \" : \"y: \") + (c ? \"p\" : \"q\") + \"; z\");", {"Write"});
  ASSERT_EQ(messages.size(), 2u);
  EXPECT_EQ(messages[0].text, "x: …; z");
  EXPECT_EQ(messages[1].text, "y: …; z");
}

TEST(RunbookSourceText, AFunctionThatMakesALogActionOfItsTextIsFound) {
  EXPECT_EQ(LogFunctionsIn("void Write(std::string text) { out_->push_back(Log{std::move(text)}); }"),
            std::vector<std::string>{"Write"});
  EXPECT_TRUE(LogFunctionsIn("void Write(std::string text) { other(text); } void F() { Log{std::move(a)}; }")
                  .empty());
}

TEST(RunbookSourceText, AnExitCodeIsANumberOrAConstantOfTheFile) {
  EXPECT_EQ(ExitCodesOfSource("constexpr int kNotExecuted = 127; _exit(kNotExecuted); _exit(3); on_exit(4);"),
            (std::set<int>{3, 127}));
  EXPECT_EQ(ExitCodesOfMain("constexpr int kBroke = 1, kUsage{2}; return kBroke; return kUsage; return 0;"),
            (std::set<int>{1, 2}));
}

TEST(RunbookSourceText, AnExitCodeOfAHelpTextIsANumberBeforeItsMeaning) {
  EXPECT_EQ(CodesOfHelp("Exit codes: 0 all did it; 1 some; 12 usage."), (std::set<int>{1, 12}));
}

}  // namespace
}  // namespace badgerbridge::docs
