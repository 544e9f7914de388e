// SPDX-License-Identifier: Apache-2.0
//
// Requests and responses as tests of the balancer need them again and again.
#ifndef BADGERBRIDGE_TESTS_BALANCER_TRAFFIC_H_
#define BADGERBRIDGE_TESTS_BALANCER_TRAFFIC_H_

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "badgerbridge/balancer.h"
#include "harness.h"

namespace badgerbridge::balancer::testing {

/// The id of the next request, for tests that do not care which.
inline RequestId next_request_id = 1;

/// Submits one request that is not idempotent and ends its attempt after `took` ms: with `outcome` if it was
/// sent to one of `failing`, with success otherwise.
inline void SubmitAndEnd(Rig& rig, Outcome outcome, std::set<BackendId> failing, double took = 10) {
  const RequestId id = next_request_id++;
  const auto server = rig.SubmitRequest(id, 2, 10, 5000);  // unsafe: one attempt, so nothing is sent again
  ASSERT_TRUE(server.has_value());
  const bool fails = failing.count(*server) > 0;
  rig.EndAttempt(id, 0, *server, fails ? outcome : Outcome::kOk, took);
}

/// Submits one request and answers it with success; where it was sent, if anywhere.
inline std::optional<BackendId> SubmitAndSucceed(Rig& rig) {
  const RequestId id = next_request_id++;
  const auto server = rig.SubmitRequest(id);
  if (server) rig.EndAttempt(id, 0, *server, Outcome::kOk);
  return server;
}

/// Whether `server` is one of the three backends that three requests at once go to.
inline bool InService(Rig& rig, BackendId server) {
  std::vector<std::pair<RequestId, BackendId>> open;
  bool seen = false;
  for (int i = 0; i < 3; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = rig.SubmitRequest(id, 2, 10, 5000);
    if (!backend) break;
    open.emplace_back(id, *backend);
    seen |= *backend == server;
  }
  for (const auto& [id, backend] : open) rig.EndAttempt(id, 0, backend, Outcome::kCancelled);
  return seen;
}

/// Gives each of three backends `per_server` responses; the first `failures` of backend 1 are `outcome`.
inline void AnswerRounds(Rig& rig, int per_server, int failures, Outcome outcome = Outcome::kError) {
  for (int i = 0; i < per_server; ++i) {
    std::map<BackendId, RequestId> open;
    for (int k = 0; k < 3; ++k) {
      const RequestId id = next_request_id++;
      const auto backend = rig.SubmitRequest(id, 2, 10, 5000);
      ASSERT_TRUE(backend.has_value());
      open[*backend] = id;
    }
    // Backend 1 last: the others qualify by then.
    for (auto it = open.rbegin(); it != open.rend(); ++it) {
      const auto [backend, id] = *it;
      rig.EndAttempt(id, 0, backend, backend == 1 && i < failures ? outcome : Outcome::kOk);
    }
  }
}

/// Submits requests of class `cls` until one is queued; how many were sent.
inline int SubmitUntilQueued(Rig& rig, int cls) {
  int sent = 0;
  while (rig.SubmitRequest(next_request_id++, cls, 10, 5000)) ++sent;
  return sent;
}

}  // namespace badgerbridge::balancer::testing

#endif  // BADGERBRIDGE_TESTS_BALANCER_TRAFFIC_H_
