// SPDX-License-Identifier: Apache-2.0
#include "operator_config/duration.h"

#include <gtest/gtest.h>

namespace badgerbridge::operator_config {
namespace {

using std::chrono::milliseconds;

TEST(Duration, ParsesAnIntegerWithAUnitOnly) {
  EXPECT_EQ(ParseDuration("250ms"), milliseconds(250));
  EXPECT_EQ(ParseDuration("2m"), milliseconds(120000));
  for (const char* malformed : {"", "5", "ms", "-1s", "1.5s", "1 s", "99999999999999999h", "1sx"})
    EXPECT_FALSE(ParseDuration(malformed)) << malformed;
}

TEST(Duration, FormattedDurationIsParsedBack) {
  for (const int ms : {0, 1, 999, 1000, 90000, 3600000, 7200000})
    EXPECT_EQ(ParseDuration(FormatDuration(milliseconds(ms))), milliseconds(ms));
}

}  // namespace
}  // namespace badgerbridge::operator_config
