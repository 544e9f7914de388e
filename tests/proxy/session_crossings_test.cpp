// SPDX-License-Identifier: Apache-2.0
//
// Races between events of a client connection: several events become ready while the process is descheduled
// and are handled in one event loop iteration, in any order.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>

#include "proxy/crossings_rig.h"
#include "proxy/session_plays.h"

namespace badgerbridge::proxy::testing {
namespace {

// Number of mutation programs (tests/mutation), and of those that detect the fault in their proxy.
struct MutationResults {
  int programs = 0;
  int caught = 0;
};

MutationResults RunMutations() {
  MutationResults results;
  std::istringstream programs(MUTATION_PROGRAMS);
  for (std::string program; std::getline(programs, program, ':');) {
    ++results.programs;
    const bool caught = std::system((program + " >/dev/null 2>&1").c_str()) == 0;
    results.caught += caught;
    EXPECT_TRUE(caught) << program;
  }
  return results;
}

TEST(SessionCrossings, EveryPairOfEventsInOneTurnAndInEachOrder) {
  SessionTotals totals;
  RunInProcesses(AllSessionScenarios(), &totals);
  const MutationResults mutations = RunMutations();
  const RuleViolations& violations = totals.violations;
  std::cout << "session crossings: plays=" << totals.runs << " lost=" << violations.lost
            << " twice=" << violations.twice << " late=" << violations.late << " leaked=" << violations.leaked
            << " planted_caught=" << mutations.caught << "/" << mutations.programs << std::endl;
  EXPECT_EQ(violations.all(), 0);
  EXPECT_GE(totals.runs, 15000u);
  EXPECT_EQ(mutations.programs, 4);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
