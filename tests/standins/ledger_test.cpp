// SPDX-License-Identifier: Apache-2.0
//
// The ledger of what the stand-in backends ran.
#include <gtest/gtest.h>

#include "standins/backends.h"

namespace badgerbridge::standins {
namespace {

/// A run that begins now.
Ledger::Run RunOf(const std::string& id, const std::string& key, const std::string& backend,
                  const std::string& group, bool is_idempotent) {
  return {id, key, backend, group, std::chrono::steady_clock::now(), is_idempotent, false};
}

TEST(StandinLedger, NonIdempotentRequestRunTwice_IsCountedAsDoubled) {
  Ledger ledger;
  EXPECT_TRUE(ledger.Begin(RunOf("a", "", "c1", "g1", false)));
  EXPECT_TRUE(ledger.Begin(RunOf("a", "", "c1", "g1", false)));
  EXPECT_EQ(ledger.doubled(), 1u);
  EXPECT_TRUE(ledger.Begin(RunOf("a", "", "c2", "g2", false)));
  EXPECT_EQ(ledger.doubled(), 2u);
}

TEST(StandinLedger, IdempotentRequestRunAgain_IsCountedAsRepeat) {
  Ledger ledger;
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(ledger.Begin(RunOf("a", "", "c1", "g1", true)));
  EXPECT_EQ(ledger.doubled(), 0u);
  EXPECT_EQ(ledger.safe_repeats(), 2u);
}

TEST(StandinLedger, SameIdempotencyKey_IsDroppedInItsGroupAndDoubledInAnother) {
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
