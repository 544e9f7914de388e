// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/command_line.h"

#include <gtest/gtest.h>

namespace badgerbridge::proxy_main {
namespace {

TEST(CommandLine, DefaultOperatorFileAppliesUnlessAnArgumentOverridesIt) {
  EXPECT_EQ(ParseCommandLine({}, "default")->operator_file, "default");
  EXPECT_EQ(ParseCommandLine({"--operator", "other"}, "default")->operator_file, "other");
  EXPECT_EQ(ParseCommandLine({"--operator=other"}, "default")->operator_file, "other");
  EXPECT_EQ(ParseCommandLine({"--operator="}, "default")->operator_file, "");
}

TEST(CommandLine, FirstOfVersionAndHelpTakesPrecedence) {
  EXPECT_EQ(ParseCommandLine({}, "")->command, Command::kRun);
  EXPECT_EQ(ParseCommandLine({"--version", "--help", "--bad"}, "")->command, Command::kPrintVersion);
  EXPECT_EQ(ParseCommandLine({"--help", "--version"}, "")->command, Command::kPrintHelp);
}

TEST(CommandLine, UnknownOrIncompleteArgumentIsReported) {
  const auto unknown = ParseCommandLine({"--bad", "--help"}, "");
  ASSERT_FALSE(unknown);
  EXPECT_EQ(unknown.error().argument, "--bad");
  const auto incomplete = ParseCommandLine({"--operator"}, "");
  ASSERT_FALSE(incomplete);
  EXPECT_EQ(Message(incomplete.error()), "unknown or incomplete argument --operator; see --help");
}

}  // namespace
}  // namespace badgerbridge::proxy_main
