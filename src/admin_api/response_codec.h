// SPDX-License-Identifier: Apache-2.0
//
// Encodes the responses of the admin API as JSON (RFC 8259). The API's field names differ from the terms of
// the code; the mapping is here and in docs/terms.md. docs/operators/admin_api.md documents the fields.
#ifndef BADGERBRIDGE_ADMIN_API_RESPONSE_CODEC_H_
#define BADGERBRIDGE_ADMIN_API_RESPONSE_CODEC_H_

#include <sys/types.h>

#include <boost/json/object.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "badgerbridge/balancer.h"
#include "request_table/request_table.h"

namespace badgerbridge::admin_api {

/// The lifecycle state of the proxy.
enum class ProxyState {
  kStarting,  ///< No usable backend is known yet.
  kReady,     ///< Accepts and serves requests.
  kDraining,  ///< Fails its readiness check, but still serves requests.
  kDrained,   ///< Draining and idle (see proxy::Listener::IsIdle).
  kStopping,  ///< Exits once all requests are answered.
};

/// Results of configuration reloads since the start of the process.
struct ReloadStatus {
  std::uint64_t applied = 0;   ///< Number of successful reloads.
  std::uint64_t rejected = 0;  ///< Number of failed reloads, which changed nothing.
  std::string last_error;      ///< Error of the latest reload; empty if it succeeded.
};

/// Request counters of one class.
struct ClassStatus {
  std::string name;                         ///< Name of the class; empty if the configuration has none.
  request_table::RequestCounters counters;  ///< Counted since the start of the process.
};

/// The endpoint list in use.
struct EndpointListStatus {
  std::uint64_t version = 0;  ///< The version that the source assigned to the list.
  std::optional<balancer::Duration>
      age;                   ///< Time since the last list from the source; std::nullopt: none yet.
  std::size_t backends = 0;  ///< Number of listed backends.
};

/// A drain in progress.
struct DrainStatus {
  balancer::Duration elapsed{};  ///< Time since the drain began.
  std::optional<balancer::Duration>
      remaining;            ///< Time to the deadline, negative after it; std::nullopt: no deadline.
  bool is_overdue = false;  ///< The deadline has passed, and the proxy is not idle.
};

/// The content of the status response.
struct ProxyStatus {
  std::string name;                          ///< Name of the proxy.
  ProxyState state = ProxyState::kStarting;  ///< Current lifecycle state.
  pid_t process_id = 0;                      ///< PID of the proxy.
  balancer::Duration uptime{};               ///< Time since the admin API was started.
  std::size_t connections = 0;               ///< Number of open client connections.
  std::uint64_t malformed_requests = 0;      ///< Requests rejected before they were accepted.
  std::vector<ClassStatus> classes;          ///< Indexed by request class.
  EndpointListStatus endpoint_list;          ///< Version and age of the list in use.
  std::optional<DrainStatus> drain;          ///< std::nullopt: not draining.
  ReloadStatus reloads;                      ///< Results of configuration reloads.
};

/// The state of one backend as observed by the proxy.
struct BackendStatus {
  std::string name;            ///< Name of the backend.
  std::string zone;            ///< Empty if the zone is not in the configuration.
  std::string kind;            ///< Empty if the kind is not in the configuration.
  balancer::BackendView view;  ///< The balancer's state and measurements.
};

/// The response to Operation::kGetStatus.
boost::json::object EncodeStatus(const ProxyStatus& status);

/// The response to Operation::kGetBackends, as of `now`.
boost::json::object EncodeBackends(balancer::TimePoint now, const std::vector<BackendStatus>& backends);

/// The response to Operation::kReleaseMembers. `released` is the number of released members.
boost::json::object EncodeReleasedMembers(std::size_t released);

}  // namespace badgerbridge::admin_api

#endif  // BADGERBRIDGE_ADMIN_API_RESPONSE_CODEC_H_
