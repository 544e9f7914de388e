// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The clocks of the agent.
#ifndef BADGERBRIDGE_AGENT_CLOCK_H_
#define BADGERBRIDGE_AGENT_CLOCK_H_

#include <cstdint>
#include <string>

#include "agent/order.h"

namespace badgerbridge::agent {

/// CLOCK_MONOTONIC: the clock of the boot, so that stored times mean the same to the next agent process.
Time MonotonicNow();

/// The wall clock in milliseconds since the epoch; for people only, since it may jump.
std::int64_t UnixMilliseconds();

/// The id of this boot of the machine, which stored times belong to. Empty if the system gives none.
std::string ReadBootId();

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_CLOCK_H_
