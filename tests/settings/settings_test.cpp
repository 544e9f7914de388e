// SPDX-License-Identifier: Apache-2.0
//
// Parses the sample settings: complete, with a line removed, and with an invalid value.
#include "settings/settings.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

#include "sample_settings.h"

namespace badgerbridge::settings {
namespace {

using namespace balancer;
using balancer::testing::kSampleSettings;

// The sample settings without the line of `key`, which must exist.
std::string SampleWithout(const std::string& key) {
  std::string text(kSampleSettings);
  const std::size_t line_begin = text.find("\n" + key + "=");
  EXPECT_NE(line_begin, std::string::npos) << key;
  return text.erase(line_begin, text.find('\n', line_begin + 1) - line_begin);
}

// The sample settings with another value of `key`.
std::string SampleWith(const std::string& key, const std::string& value) {
  return SampleWithout(key) + key + "=" + value + "\n";
}

// The message of the first error in `text`; empty if there is none.
std::string ErrorMessage(const std::string& text) {
  const auto settings = ParseSettings(text);
  return settings ? "" : Message(settings.error());
}

TEST(SettingsParser, ReadsTheSampleSettings) {
  const Settings settings = ParseSettings(kSampleSettings).value();
  EXPECT_EQ(settings.balancer_count, 2);
  ASSERT_EQ(settings.classes.size(), 2u);
  EXPECT_EQ(settings.classes[0].idempotency, Idempotency::kIdempotent);
  EXPECT_EQ(settings.classes[1].idempotency, Idempotency::kIdempotencyKey);
  EXPECT_EQ(settings.classes[1].deduplication_scope, DeduplicationScope::kCell);
  EXPECT_EQ(settings.classes[1].deduplication_window.count(), 750);
  EXPECT_EQ(settings.classes[1].priority_weight, 10);
  ASSERT_EQ(settings.tenants.size(), 1u);
  EXPECT_EQ(settings.tenants[0].quota_per_s, 57);
  EXPECT_EQ(settings.max_attempts, 4);
  EXPECT_TRUE(settings.polls_endpoint_list);
  EXPECT_EQ(settings.max_poll_interval.count(), 10000);
  EXPECT_EQ(settings.slow_start_floor, 0.35);
  EXPECT_TRUE(settings.key_affinity);
  EXPECT_EQ(settings.max_retry_after.count(), 600);
}

TEST(SettingsParser, UnknownKeysAndLinesWithoutEqualsSignAreIgnored) {
  EXPECT_EQ(ErrorMessage(std::string(kSampleSettings) + "newKey=7\nno equals sign\n\n"), "");
}

TEST(SettingsParser, AbsentOptionalKeysHaveTheirDefaults) {
  const Settings settings = ParseSettings(SampleWithout("tenants.count")).value();
  EXPECT_TRUE(settings.tenants.empty());
  EXPECT_FALSE(ParseSettings(SampleWithout("registryMode")).value().polls_endpoint_list);
  EXPECT_EQ(ParseSettings(SampleWithout("overShareWorth")).value().over_quota_weight, 1);
  EXPECT_EQ(ParseSettings(SampleWithout("permissions.retryAfter")).value().max_retry_after.count(), 0);
  EXPECT_FALSE(ParseSettings(SampleWithout("specifics.warmKeys")).value().key_affinity);
}

TEST(SettingsParser, AbsentRequiredKeysAreNamed) {
  for (const char* key :
       {"classes.count", "classes.0.effect", "classes.0.goalTimeMs", "classes.0.deadlineMs",
        "classes.1.group", "classes.1.windowMs", "permissions.maxAttempts", "rules.coldFrom",
        "rules.warmUpMs", "rules.fallMultiple", "rules.overloadForMs", "rules.mustAskInMs", "zone"})
    EXPECT_NE(ErrorMessage(SampleWithout(key)).find(key), std::string::npos) << key;
}

TEST(SettingsParser, KeysOfWrongValuesAreNamed) {
  struct WrongSetting {
    const char* key;
    const char* value;
  };
  const WrongSetting wrong_settings[] = {{"classes.count", "0"},           {"classes.count", "two"},
                                         {"classes.0.effect", "odd"},      {"classes.0.goalTimeMs", "-1"},
                                         {"rules.coldFrom", "1.5"},        {"rules.coldFrom", "nan"},
                                         {"rules.fallMultiple", "inf"},    {"rules.warmUpMs", "-5"},
                                         {"permissions.maxAttempts", "0"}, {"permissions.maxAttempts", "2.5"},
                                         {"registryMode", "pull"},         {"tenants.0.quotaPerS", "-3"},
                                         {"classes.1.lateWorth", "1e9"},   {"overShareWorth", "0.5x"}};
  for (const auto& [key, value] : wrong_settings)
    EXPECT_NE(ErrorMessage(SampleWith(key, value)).find(key), std::string::npos) << key << "=" << value;
}

TEST(SettingsParser, TheFirstErrorOfSeveralIsReported) {
  const auto settings = ParseSettings("balancers=2\nzone=east\nclasses.count=0\n");
  ASSERT_FALSE(settings.has_value());
  EXPECT_EQ(settings.error().code, SettingsErrorCode::kNotANumber);
  EXPECT_EQ(settings.error().key, "zone");
  EXPECT_EQ(settings.error().value, "east");
}

TEST(SettingsParser, TheValueOfAFailedResultThrowsTheMessage) {
  try {
    ParseSettings("").value();
    FAIL() << "no exception";
  } catch (const std::runtime_error& error) {
    EXPECT_STREQ(error.what(), "setting absent: balancers");
  }
}

}  // namespace
}  // namespace badgerbridge::settings
