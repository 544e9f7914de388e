// SPDX-License-Identifier: Apache-2.0
//
// Common sequences of requests and responses for tests of the balancer.
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

/// The id of the next request, for tests that don't choose ids.
inline RequestId next_request_id = 1;

/// Submits a request that is not idempotent and ends its attempt after `took` ms: with `outcome` if it was
/// sent to one of `failing`, otherwise with success.
inline void SubmitAndEnd(BalancerHarness& harness, Outcome outcome, std::set<BackendId> failing,
                         double took = 10) {
  const RequestId id = next_request_id++;
  const auto server = harness.SubmitRequest(id, 2, 10, 5000);  // not idempotent, so there is no retry
  ASSERT_TRUE(server.has_value());
  const bool fails = failing.count(*server) > 0;
  harness.EndAttempt(id, 0, *server, fails ? outcome : Outcome::kOk, took);
}

/// Submits a request and ends it with success. Returns the backend to which it was sent, if any.
inline std::optional<BackendId> SubmitAndSucceed(BalancerHarness& harness) {
  const RequestId id = next_request_id++;
  const auto server = harness.SubmitRequest(id);
  if (server) harness.EndAttempt(id, 0, *server, Outcome::kOk);
  return server;
}

/// Whether `server` gets one of three concurrent requests, in a list of three backends.
inline bool InService(BalancerHarness& harness, BackendId server) {
  std::vector<std::pair<RequestId, BackendId>> open;
  bool seen = false;
  for (int i = 0; i < 3; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
    if (!backend) break;
    open.emplace_back(id, *backend);
    seen |= *backend == server;
  }
  for (const auto& [id, backend] : open) harness.EndAttempt(id, 0, backend, Outcome::kCancelled);
  return seen;
}

/// Ends `per_server` attempts at each of three backends; the first `failures` of backend 1 end with
/// `outcome`.
inline void AnswerRounds(BalancerHarness& harness, int per_server, int failures,
                         Outcome outcome = Outcome::kError) {
  for (int i = 0; i < per_server; ++i) {
    std::map<BackendId, RequestId> open;
    for (int k = 0; k < 3; ++k) {
      const RequestId id = next_request_id++;
      const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
      ASSERT_TRUE(backend.has_value());
      open[*backend] = id;
    }
    // Backend 1 comes last, when the others have reached the request volume.
    for (auto it = open.rbegin(); it != open.rend(); ++it) {
      const auto [backend, id] = *it;
      harness.EndAttempt(id, 0, backend, backend == 1 && i < failures ? outcome : Outcome::kOk);
    }
  }
}

/// Submits requests of class `request_class` until one is queued. Returns the number of requests sent.
inline int SubmitUntilQueued(BalancerHarness& harness, int request_class) {
  int sent = 0;
  while (harness.SubmitRequest(next_request_id++, request_class, 10, 5000)) ++sent;
  return sent;
}

}  // namespace badgerbridge::balancer::testing

#endif  // BADGERBRIDGE_TESTS_BALANCER_TRAFFIC_H_
