// SPDX-License-Identifier: Apache-2.0
//
// The plays of a client's connection: which events meet, in which states, at which times and in which order.
#ifndef BADGERBRIDGE_TESTS_PROXY_SESSION_PLAYS_H_
#define BADGERBRIDGE_TESTS_PROXY_SESSION_PLAYS_H_

#include <cstddef>
#include <vector>

#include "proxy/crossings_rig.h"
#include "proxy/session_play.h"

namespace badgerbridge::proxy::testing {

struct SessionTotals {
  RuleViolations found;
  std::size_t plays = 0;

  void Add(const SessionTotals& other) {
    found.Add(other.found);
    plays += other.plays;
  }
};

// All plays of a state, in pieces that don't depend on one another. Each prints what broke a rule.
std::vector<Work<SessionTotals>> SessionPlaysOf(SessionState state);
std::vector<Work<SessionTotals>> AllSessionPlays();

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_SESSION_PLAYS_H_
