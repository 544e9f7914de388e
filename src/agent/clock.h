// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Monotonic time, wall-clock time and the boot id.
#ifndef BADGERBRIDGE_AGENT_CLOCK_H_
#define BADGERBRIDGE_AGENT_CLOCK_H_

#include <cstdint>
#include <string>

#include "agent/order.h"

namespace badgerbridge::agent {

/// CLOCK_MONOTONIC, which counts from the boot, so that stored times stay valid for later agent processes of
/// the same boot.
Time MonotonicNow();

/// The wall clock in milliseconds since the epoch. For display only, since it may jump.
std::int64_t UnixMilliseconds();

/// The id of the current boot, to which stored times belong. Empty if the system provides none.
std::string ReadBootId();

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_CLOCK_H_
