// SPDX-License-Identifier: Apache-2.0
#include "agent/supervisor.h"

#include <algorithm>
#include <utility>

#include "agent/step_description.h"

namespace badgerbridge::agent {

void Supervisor::OnExit(Time now, Instance& instance, std::string description) {
  instance.last_exit = std::move(description);
  if (!instance.desired_running) return;
  const bool never_ran = instance.spawned_at == Time(0);
  const bool crashed = never_ran || now - instance.spawned_at < policy_.min_uptime;
  instance.consecutive_crashes = crashed ? instance.consecutive_crashes + 1 : 1;
  if (instance.consecutive_crashes >= policy_.max_consecutive_crashes) {
    instance.crash_loop_reason = "given up after " + std::to_string(instance.consecutive_crashes) +
                                 " deaths in a row, each within " + FormatSeconds(policy_.min_uptime) +
                                 " of its start; the last time it " + instance.last_exit;
    return;
  }
  instance.start_not_before = now + NextBackoff(instance.consecutive_crashes);
}

/// Doubles with each crash. The upper half is random, so that instances that ended together are not started
/// at the same time.
Time Supervisor::NextBackoff(int crashes) {
  Time backoff = policy_.initial_backoff;
  for (int i = 1; i < crashes && backoff < policy_.max_backoff; ++i) backoff *= 2;
  backoff = std::min(backoff, policy_.max_backoff);
  const auto half = static_cast<std::uint64_t>(backoff.count() / 2);
  return Time(static_cast<std::int64_t>(half + random_() % (half + 1)));
}

void Supervisor::OnObserved(const Observation& observation, Time requested_at, Instance& instance) const {
  if (observation.state == "ready" && requested_at - instance.spawned_at >= policy_.min_uptime)
    instance.consecutive_crashes = 0;
}

bool Supervisor::AwaitsStart(const Instance& instance) {
  return instance.desired_running && instance.pid == 0 && !instance.start_in_flight &&
         instance.crash_loop_reason.empty();
}

bool Supervisor::ShouldStart(Time now, const Instance& instance) {
  return AwaitsStart(instance) && now >= instance.start_not_before && !instance.definition.empty();
}

bool Supervisor::AwaitsDrain(const Instance& instance) {
  return instance.desired_drained && instance.pid != 0 && !instance.call_in_flight && instance.observation &&
         instance.observation->state == "ready";
}

}  // namespace badgerbridge::agent
