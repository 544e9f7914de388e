// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Decodes the members that the agent uses of a proxy's response to GET /v1/status.
#ifndef BADGERBRIDGE_AGENT_STATUS_CODEC_H_
#define BADGERBRIDGE_AGENT_STATUS_CODEC_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>

#include "agent/instance.h"

namespace badgerbridge::agent {

/// The decoded status of a proxy.
struct ProxyStatus {
  Observation observation;  ///< input of the controller
  std::uint64_t pid = 0;    ///< responding process; 0 if the response has no pid
};

/// Returns nullopt if the value is not a status. Missing or malformed numbers are 0.
std::optional<ProxyStatus> DecodeProxyStatus(const boost::json::value& value);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_STATUS_CODEC_H_
