// SPDX-License-Identifier: Apache-2.0
//
/// The platform's settings in the simulator's form (path=value): read into the same settings as before.
#include <gtest/gtest.h>

#include "compatibility/golden_file.h"
#include "compatibility/settings_dump.h"
#include "settings/settings.h"

namespace badgerbridge::compatibility {
namespace {

std::string DumpOfSettings(const std::string& name) {
  KeyValueDump dump;
  AddSettings(settings::ParseSettings(ReadGoldenFile("settings/" + name)).value(), &dump);
  return dump.text();
}

TEST(SettingsCompatibility, EverySettingIsReadAsBefore) {
  EXPECT_TRUE(MatchesGoldenFile("settings/every_setting.dump", DumpOfSettings("every_setting.txt")));
}

TEST(SettingsCompatibility, RequiredSettingsAloneHaveTheDefaultsOfBefore) {
  EXPECT_TRUE(MatchesGoldenFile("settings/defaults.dump", DumpOfSettings("defaults.txt")));
}

/// The names of required settings: each is left out in turn, and the error names it.
TEST(SettingsCompatibility, EachRequiredSettingIsNamedWhenItIsAbsent) {
  const std::vector<std::string> lines = GoldenLines("settings/defaults.txt");
  std::vector<std::string> errors;
  for (std::size_t left_out = 0; left_out < lines.size(); ++left_out) {
    std::vector<std::string> others = lines;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(left_out));
    const auto parsed = settings::ParseSettings(JoinLines(others));
    errors.push_back(parsed ? "none without " + lines[left_out] : settings::Message(parsed.error()));
  }
  EXPECT_TRUE(MatchesGoldenFile("settings/absent_settings.txt", JoinLines(errors)));
}

}  // namespace
}  // namespace badgerbridge::compatibility
