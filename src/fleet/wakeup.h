// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// When time alone next matters to the controller.
#ifndef BADGERBRIDGE_FLEET_WAKEUP_H_
#define BADGERBRIDGE_FLEET_WAKEUP_H_

#include <optional>

#include "fleet/fleet_state.h"

namespace badgerbridge::fleet {

/// When the next Tick is due at the latest; nothing: no time matters. A start whose backoff is over may give
/// a time before `now`.
std::optional<Time> FindNextWakeup(const FleetState& state, Time now);

}  // namespace badgerbridge::fleet

#endif  // BADGERBRIDGE_FLEET_WAKEUP_H_
