// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A proxy's answer to GET /v1/status, as far as the agent reads it.
#ifndef BADGERBRIDGE_AGENT_STATUS_CODEC_H_
#define BADGERBRIDGE_AGENT_STATUS_CODEC_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>

#include "agent/instance.h"

namespace badgerbridge::agent {

/// What a proxy reports of itself.
struct ProxyStatus {
  Observation observation;  ///< what the controller needs of it
  std::uint64_t pid = 0;    ///< of the process that has answered; 0: it does not say
};

/// Nothing if the value is no status. Numbers that are missing or malformed are 0.
std::optional<ProxyStatus> DecodeProxyStatus(const boost::json::value& value);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_STATUS_CODEC_H_
