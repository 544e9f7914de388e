// SPDX-License-Identifier: Apache-2.0
//
// Parsing the utilization in the X-Backend-Load header.
#include "proxy_main/load_header.h"

#include <gtest/gtest.h>

namespace badgerbridge::proxy_main {
namespace {

TEST(LoadHeader, UtilizationIsReadOnlyIfItIsANumberFromZeroToOne) {
  EXPECT_EQ(ParseUtilization("inflight=7,queue=2,util=0.61"), 0.61);
  EXPECT_EQ(ParseUtilization("util=1"), 1.0);
  for (const char* text : {"", "util", "util=", "util=-0.1", "util=1.01", "util=nan", "util=0.5x",
                           "utility=0.5", "inflight=3", ",,,", "util=1e999"})
    EXPECT_FALSE(ParseUtilization(text)) << text;
}

}  // namespace
}  // namespace badgerbridge::proxy_main
