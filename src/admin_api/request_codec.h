// SPDX-License-Identifier: Apache-2.0
//
// Reads requests of the admin API: path and method as an operation, and the body of a drain.
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

/// The longest deadline of a drain.
constexpr std::chrono::milliseconds kMaxDrainDeadline{3600000};

/// What a caller may ask for.
enum class Operation {
  kGetStatus,       ///< The proxy's state and counters.
  kGetBackends,     ///< The backends as this proxy sees them.
  kGetMembers,      ///< The ledger of membership.
  kGetZones,        ///< Zone failover as this proxy sees it.
  kDrain,           ///< Begins a drain, or changes its deadline.
  kUndrain,         ///< Ends a drain.
  kStop,            ///< Stops the proxy gracefully.
  kReleaseMembers,  ///< Confirms that the members retained after a mass departure have left.
};

/// The operation of a path and a method (RFC 9110, section 9). Errors: kUnknownPath, kWrongMethod.
Result<Operation> ParseOperation(std::string_view path, std::string_view method);

/// The body of a drain.
struct DrainRequest {
  /// How long the drain should take at the most, from now; nothing: without limit.
  std::optional<balancer::Duration> deadline;
};

/// Reads the body of a drain; an empty body is a drain without a deadline. Errors: kInvalidBody,
/// kUnknownField, kInvalidDeadline.
Result<DrainRequest> ParseDrainRequest(const http_api::Request& request);

}  // namespace badgerbridge::admin_api

#endif  // BADGERBRIDGE_ADMIN_API_REQUEST_CODEC_H_
