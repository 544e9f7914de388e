// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The next time at which the controller must handle a Tick.
#ifndef BADGERBRIDGE_AGENT_WAKEUP_H_
#define BADGERBRIDGE_AGENT_WAKEUP_H_

#include <optional>

#include "agent/fleet_state.h"

namespace badgerbridge::agent {

/// The latest time of the next Tick; nullopt if nothing depends on time. May be before `now` for a start
/// whose backoff has passed.
std::optional<Time> FindNextWakeup(const FleetState& state, Time now);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_WAKEUP_H_
