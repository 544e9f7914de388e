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
  for (const Work<SessionTotals>& piece : SessionScenariosOf(SessionState::MUTATION_STATE)) {
    if (totals.violations.MUTATION_BREAKS > 0) break;
    piece(&totals);
  }
  std::cout << "injected fault: plays=" << totals.runs << " lost=" << totals.violations.lost
            << " twice=" << totals.violations.twice << " late=" << totals.violations.late
            << " leaked=" << totals.violations.leaked << std::endl;
  EXPECT_GT(totals.violations.MUTATION_BREAKS, 0);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
