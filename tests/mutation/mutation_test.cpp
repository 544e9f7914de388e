// SPDX-License-Identifier: Apache-2.0
//
// In a program whose proxy has an injected fault: the rig must report it, by the rule that it breaks
// (MUTATION_BREAKS, a member of RuleViolations). One state (MUTATION_STATE) is enough, to be short.
#include <gtest/gtest.h>

#include <iostream>

#include "proxy/session_plays.h"

namespace badgerbridge::proxy::testing {
namespace {

TEST(Mutation, IsReported) {
  SessionTotals totals;
  for (const Work<SessionTotals>& piece : SessionPlaysOf(SessionState::MUTATION_STATE)) {
    if (totals.found.MUTATION_BREAKS > 0) break;
    piece(&totals);
  }
  std::cout << "injected fault: plays=" << totals.plays << " lost=" << totals.found.lost
            << " twice=" << totals.found.twice << " late=" << totals.found.late
            << " leaked=" << totals.found.leaked << std::endl;
  EXPECT_GT(totals.found.MUTATION_BREAKS, 0);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
