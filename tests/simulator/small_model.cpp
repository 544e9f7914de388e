// SPDX-License-Identifier: Apache-2.0
#include "simulator/small_model.h"

#include <gtest/gtest.h>

namespace badgerbridge::simulator {

using namespace balancer;

ClassModel MakeClass(const char* name, Idempotency effect, double priority_weight, double share) {
  ClassModel model;
  model.name = name;
  model.rules.idempotency = effect;
  model.rules.deduplication_scope = DeduplicationScope::kCell;
  model.rules.deduplication_window = Duration(10000);
  model.rules.latency_objective = Duration(300);
  model.rules.deadline = Duration(1000);
  model.rules.priority_weight = priority_weight;
  model.rules.late_weight = 0.3;
  model.share = share;
  model.work = {Distribution::Kind::kLognormal, 20, 1, {}};
  return model;
}

Model SmallModel() {
  Model model;
  model.name = "small";
  model.duration_ms = 20000;
  model.zones = 2;
  model.proxies = 4;
  model.backends = 8;
  model.backend.slots = 4;
  model.backend.slow_start_floor = 0.16;
  model.backend.slow_start_window = Duration(12000);
  model.backend.overload_factor = 2.5;
  model.backend.overload_duration = Duration(3000);
  model.classes = {MakeClass("preview", Idempotency::kIdempotent, 1, 6),
                   MakeClass("convert", Idempotency::kIdempotencyKey, 3, 3),
                   MakeClass("certify", Idempotency::kNotIdempotent, 5, 1)};
  model.clients.requests_per_second = 800;
  model.clients.max_submissions = 3;
  model.max_retry_after = Duration(600);
  return model;
}

void ExpectConsistentCounts(const SimulationResult& result) {
  for (const ClassResult& each : result.classes) {
    EXPECT_EQ(each.requested, each.served + each.rejected + each.failed + each.disconnected +
                                  each.unreachable + each.interrupted);
    EXPECT_EQ(each.latency.count(), each.served);
    EXPECT_GE(each.submissions, each.requested - each.unreachable);
  }
}

}  // namespace badgerbridge::simulator
