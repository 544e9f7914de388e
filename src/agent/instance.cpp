// SPDX-License-Identifier: Apache-2.0
#include "agent/instance.h"

namespace badgerbridge::agent {

std::string_view InstanceStateName(const Instance& instance) {
  if (instance.start_in_flight) return "spawning";
  if (instance.pid == 0) {
    if (!instance.crash_loop_reason.empty()) return "failed";
    return instance.desired_running ? "backoff" : "stopped";
  }
  if (!instance.observation) return "starting";
  if (!instance.unresponsive_reason.empty()) return "silent";
  for (const std::string_view known : {"ready", "draining", "drained", "stopping"}) {
    if (instance.observation->state == known) return known;
  }
  return "starting";
}

}  // namespace badgerbridge::agent
