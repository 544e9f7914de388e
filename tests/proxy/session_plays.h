// SPDX-License-Identifier: Apache-2.0
//
// All scenarios for a client connection: which events coincide, in which states, at which times and in which
// order.
#ifndef BADGERBRIDGE_TESTS_PROXY_SESSION_PLAYS_H_
#define BADGERBRIDGE_TESTS_PROXY_SESSION_PLAYS_H_

#include <cstddef>
#include <vector>

#include "proxy/crossings_rig.h"
#include "proxy/session_play.h"

namespace badgerbridge::proxy::testing {

struct SessionTotals {
  RuleViolations violations;
  std::size_t runs = 0;

  void Add(const SessionTotals& other) {
    violations.Add(other.violations);
    runs += other.runs;
  }
};

// All scenarios of a state, in independent pieces. Each piece prints the violations.
std::vector<Work<SessionTotals>> SessionScenariosOf(SessionState state);
std::vector<Work<SessionTotals>> AllSessionScenarios();

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_SESSION_PLAYS_H_
