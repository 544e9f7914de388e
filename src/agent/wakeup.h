// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// When time alone next matters to the controller.
#ifndef BADGERBRIDGE_AGENT_WAKEUP_H_
#define BADGERBRIDGE_AGENT_WAKEUP_H_

#include <optional>

#include "agent/fleet_state.h"

namespace badgerbridge::agent {

/// When the next Tick is due at the latest; nothing: no time matters. A start whose backoff is over may give
/// a time before `now`.
std::optional<Time> FindNextWakeup(const FleetState& state, Time now);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_WAKEUP_H_
