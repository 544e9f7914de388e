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

// The programs whose proxies have a fault planted (tests/mutation), and how many of them say that it was
// reported.
struct Planted {
  int programs = 0, caught = 0;
};

Planted RunPlanted() {
  Planted planted;
  std::istringstream programs(MUTATION_PROGRAMS);
  for (std::string program; std::getline(programs, program, ':');) {
    ++planted.programs;
    const bool caught = std::system((program + " >/dev/null 2>&1").c_str()) == 0;
    planted.caught += caught;
    EXPECT_TRUE(caught) << program;
  }
  return planted;
}

TEST(SessionCrossings, EveryPairOfEventsInOneTurnAndInEachOrder) {
  SessionTotals totals;
  RunInProcesses(AllSessionPlays(), &totals);
  const Planted planted = RunPlanted();
  const Found& found = totals.found;
  std::cout << "session crossings: plays=" << totals.plays << " lost=" << found.lost
            << " twice=" << found.twice << " late=" << found.late << " leaked=" << found.leaked
            << " planted_caught=" << planted.caught << "/" << planted.programs << std::endl;
  EXPECT_EQ(found.all(), 0);
  EXPECT_GE(totals.plays, 15000u);
  EXPECT_EQ(planted.programs, 4);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
