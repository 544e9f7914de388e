// SPDX-License-Identifier: Apache-2.0
//
// What the files of the agent's shell share: agent.cpp supervises, agent_audit.cpp keeps the audit log,
// agent_api.cpp answers calls.
#ifndef BADGERBRIDGE_AGENT_AGENT_PARTS_H_
#define BADGERBRIDGE_AGENT_AGENT_PARTS_H_

#include <chrono>
#include <cstdint>

namespace badgerbridge::agent {

constexpr std::chrono::milliseconds kCallTimeout{1000};  // of one call to an instance

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_AGENT_PARTS_H_
