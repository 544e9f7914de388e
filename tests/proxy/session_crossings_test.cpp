// SPDX-License-Identifier: Apache-2.0
//
// Crossings of a client's connection in batches: several events become ready while the process does not run,
// and are handled in one turn of the event loop, in any order.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>

#include "proxy/crossings_rig.h"
#include "proxy/session_plays.h"

namespace badgerbridge::proxy::testing {
namespace {

// The mutation programs (tests/mutation), and how many of them report the fault of their proxy.
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
  RunInProcesses(AllSessionPlays(), &totals);
  const MutationResults mutations = RunMutations();
  const RuleViolations& found = totals.found;
  std::cout << "session crossings: plays=" << totals.plays << " lost=" << found.lost
            << " twice=" << found.twice << " late=" << found.late << " leaked=" << found.leaked
            << " planted_caught=" << mutations.caught << "/" << mutations.programs << std::endl;
  EXPECT_EQ(found.all(), 0);
  EXPECT_GE(totals.plays, 15000u);
  EXPECT_EQ(mutations.programs, 4);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
