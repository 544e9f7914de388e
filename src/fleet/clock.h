// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The clocks of the agent.
#ifndef BADGERBRIDGE_FLEET_CLOCK_H_
#define BADGERBRIDGE_FLEET_CLOCK_H_

#include <cstdint>
#include <string>

#include "fleet/order.h"

namespace badgerbridge::fleet {

/// CLOCK_MONOTONIC: the clock of the boot, so that stored times mean the same to the next agent process.
Time MonotonicNow();

/// The wall clock in milliseconds since the epoch; for people only, since it may jump.
std::int64_t UnixMilliseconds();

/// The id of this boot of the machine, which stored times belong to. Empty if the system gives none.
std::string ReadBootId();

}  // namespace badgerbridge::fleet

#endif  // BADGERBRIDGE_FLEET_CLOCK_H_
