// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include "standins/backends.h"

namespace badgerbridge::standins {
namespace {

Ledger::Run RunOf(const std::string& id, const std::string& key, const std::string& backend,
                  const std::string& group, bool safe) {
  return {id, key, backend, group, std::chrono::steady_clock::now(), safe, false};
}

TEST(StandinLedger, AnUnsafeRequestThatRunsTwiceIsDoubled) {
  Ledger ledger;
  EXPECT_TRUE(ledger.Begin(RunOf("a", "", "c1", "g1", false)));
  EXPECT_TRUE(ledger.Begin(RunOf("a", "", "c1", "g1", false)));
  EXPECT_EQ(ledger.doubled(), 1u);
  EXPECT_TRUE(ledger.Begin(RunOf("a", "", "c2", "g2", false)));
  EXPECT_EQ(ledger.doubled(), 2u);
}

TEST(StandinLedger, ASafeOneMayRunAgainAndIsCounted) {
  Ledger ledger;
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(ledger.Begin(RunOf("a", "", "c1", "g1", true)));
  EXPECT_EQ(ledger.doubled(), 0u);
  EXPECT_EQ(ledger.safe_repeats(), 2u);
}

TEST(StandinLedger, AKeyIsDroppedInItsGroupAndDoubledInAnother) {
  Ledger ledger;
  EXPECT_TRUE(ledger.Begin(RunOf("a", "k", "c1", "g1", false)));
  EXPECT_FALSE(ledger.Begin(RunOf("a.1", "k", "c2", "g1", false)));
  EXPECT_EQ(ledger.repeats_dropped(), 1u);
  EXPECT_EQ(ledger.doubled(), 0u);
  EXPECT_TRUE(ledger.Begin(RunOf("a.2", "k", "c3", "g2", false)));
  EXPECT_EQ(ledger.doubled(), 1u);
}

}  // namespace
}  // namespace badgerbridge::standins
