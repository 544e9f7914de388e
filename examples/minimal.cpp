// SPDX-License-Identifier: Apache-2.0
//
// Minimal use of the library: one request class, two backends, one request and its response.
#include <cstdio>
#include <variant>
#include <vector>

#include "badgerbridge/balancer.h"

int main() {
  using namespace badgerbridge::balancer;
  using std::chrono::milliseconds;

  Settings settings;
  ClassSettings reads;
  reads.idempotency = Idempotency::kIdempotent;
  reads.latency_objective = milliseconds(100);
  reads.deadline = milliseconds(400);
  settings.classes = {reads};
  settings.max_attempts = 3;
  Balancer balancer(settings, /*seed=*/42);

  // The caller provides the clock and the network: it passes in events and executes the resulting actions.
  TimePoint now{milliseconds(1000)};
  std::vector<Action> actions;
  EndpointListUpdate list{EndpointListKind::kFull, {}};
  for (BackendId id : {7u, 9u}) {
    BackendEntry entry;
    entry.server = id;
    list.entries.push_back(entry);
  }
  balancer.Handle(now, list, &actions);

  actions.clear();
  Submit submit;
  submit.request = 1;
  submit.due = now + milliseconds(400);
  balancer.Handle(now, submit, &actions);

  for (const Action& action : actions) {
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      std::printf("request %llu goes to server %u\n", static_cast<unsigned long long>(dispatch->request),
                  dispatch->server);
      AttemptEnded end;
      end.request = dispatch->request;
      end.server = dispatch->server;
      end.outcome = Outcome::kOk;
      end.settled = true;
      end.took = milliseconds(12);
      std::vector<Action> none;
      balancer.Handle(now + end.took, end, &none);
      return 0;
    }
  }
  return 1;
}
