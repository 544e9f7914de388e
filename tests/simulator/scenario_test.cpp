// SPDX-License-Identifier: Apache-2.0
#include "simulator/scenario.h"

#include <gtest/gtest.h>

#include <string>

namespace badgerbridge::simulator {
namespace {

TEST(Scenario, WrongValues_ProblemsHaveTheirPlaces) {
  const auto scenario = ParseScenario(
      "length = \"5 parsecs\"\n[installation]\nproxies = 0\nconverters = 100000\nbogus = 1\n"
      "[[class]]\nname = \"a\"\neffect = \"quantum\"\naim = \"2s\"\ndeadline = \"1s\"\n"
      "[[happening]]\nat = \"1s\"\nwhat = \"flood\"\n",
      "s.toml");
  ASSERT_TRUE(scenario.has_error());
  const std::string lines = Message(scenario.error());
  for (const char* part :
       {"s.toml:1:", "s.toml:3:", "s.toml:4:", "bogus", "s.toml:8:", "quantum", "s.toml:10:", "s.toml:13:"})
    EXPECT_NE(lines.find(part), std::string::npos) << part << " in\n" << lines;
}

TEST(Scenario, NotAScenario_ProblemNamesTheFile) {
  for (const char* text : {"", "length = 5", "[installation]\n", "[[class]]\nname = \"a\"\n",
                           "[installation]\nconverters = 0\n[[class]]\nname = \"a\"\n",
                           "[installation]\n[clients]\nper_second = 1000000000000\n[[class]]\nname = \"a\"\n",
                           "[installation]\nzones = 2\n[[class]]\nname = \"a\"\n[[happening]]\nat = "
                           "\"1s\"\nwhat = \"cut\"\nzone = 2\n",
                           "\xff", "[installation\n"}) {
    const auto scenario = ParseScenario(text, "s.toml");
    ASSERT_TRUE(scenario.has_error()) << text;
    EXPECT_FALSE(scenario.error().problems.empty()) << text;
    EXPECT_NE(Message(scenario.error()).find("s.toml"), std::string::npos) << text;
  }
}

TEST(Scenario, ModeNames_EachIsReadAsItsMode) {
  using Mode = ZoneFailoverModel::Mode;
  for (const Mode mode : {Mode::kOff, Mode::kIndependent, Mode::kThreshold, Mode::kCoordinated})
    EXPECT_EQ(ParseMode(ModeName(mode)), mode);
  EXPECT_FALSE(ParseMode("perhaps").has_value());
}

}  // namespace
}  // namespace badgerbridge::simulator
