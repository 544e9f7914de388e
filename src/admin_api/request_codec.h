// SPDX-License-Identifier: Apache-2.0
//
// Parses admin API requests: path and method into an operation, and the body of a drain request.
// docs/operators/admin_api.md lists them.
#ifndef BADGERBRIDGE_ADMIN_API_REQUEST_CODEC_H_
#define BADGERBRIDGE_ADMIN_API_REQUEST_CODEC_H_

#include <chrono>
#include <optional>
#include <string_view>

#include "admin_api/error.h"
#include "badgerbridge/balancer.h"
#include "http_api/message.h"

namespace badgerbridge::admin_api {

/// Upper limit of a drain's deadline.
constexpr std::chrono::milliseconds kMaxDrainDeadline{3600000};

/// The operations of the admin API.
enum class Operation {
  kGetStatus,       ///< The proxy's state and counters.
  kGetBackends,     ///< The backends with their state as observed by this proxy.
  kGetMembers,      ///< The membership ledger.
  kGetZones,        ///< The state of zone failover at this proxy.
  kDrain,           ///< Begins a drain, or changes its deadline.
  kUndrain,         ///< Ends a drain.
  kStop,            ///< Stops the proxy gracefully.
  kReleaseMembers,  ///< Confirms that the members retained after a mass departure have left.
};

/// Maps a path and a method (RFC 9110, section 9) to an operation. Errors: kUnknownPath, kWrongMethod.
Result<Operation> ParseOperation(std::string_view path, std::string_view method);

/// The body of a drain request.
struct DrainRequest {
  /// The longest that the drain should take, measured from the request; std::nullopt: no limit.
  std::optional<balancer::Duration> deadline;
};

/// Parses the body of a drain request; an empty body means no deadline. Errors: kInvalidBody,
/// kUnknownField, kInvalidDeadline.
Result<DrainRequest> ParseDrainRequest(const http_api::Request& request);

}  // namespace badgerbridge::admin_api

#endif  // BADGERBRIDGE_ADMIN_API_REQUEST_CODEC_H_
