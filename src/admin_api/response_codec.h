// SPDX-License-Identifier: Apache-2.0
//
// Writes the responses of the admin API as JSON (RFC 8259), one function an object. Here the API's field
// names and words meet the code's terms (docs/terms.md); docs/operators/admin_api.md explains them to
// operators.
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

/// The state of the proxy, for its supervisor.
enum class ProxyState {
  kStarting,  ///< No backend to serve from yet.
  kReady,     ///< Serves.
  kDraining,  ///< Asks to be left out, and still serves.
  kDrained,   ///< Draining, and idle.
  kStopping,  ///< Ends when all requests are answered.
};

/// How the reloads of the configuration ended, since the start.
struct ReloadStatus {
  std::uint64_t applied = 0;   ///< Number of those that were applied.
  std::uint64_t rejected = 0;  ///< Number of those that changed nothing.
  std::string last_error;      ///< Of the newest, if that was rejected.
};

/// The requests of one class.
struct ClassStatus {
  std::string name;                         ///< Of the class; empty if the configuration has none.
  request_table::RequestCounters counters;  ///< Since the start.
};

/// The endpoint list in use.
struct EndpointListStatus {
  std::uint64_t version = 0;              ///< Of the source's list.
  std::optional<balancer::Duration> age;  ///< Since the source was last heard; nothing: never.
  std::size_t backends = 0;               ///< Number of those listed.
};

/// A drain in progress.
struct DrainStatus {
  balancer::Duration elapsed{};  ///< Since it began.
  std::optional<balancer::Duration>
      remaining;            ///< Until its deadline, below 0 after it; nothing: none is set.
  bool is_overdue = false;  ///< The deadline has passed, and the proxy is not idle.
};

/// All that the status response shows.
struct ProxyStatus {
  std::string name;                          ///< The proxy's.
  ProxyState state = ProxyState::kStarting;  ///< Its state.
  pid_t process_id = 0;                      ///< Its process.
  balancer::Duration uptime{};               ///< Since the admin API was started.
  std::size_t connections = 0;               ///< Clients' connections that are open.
  std::uint64_t malformed_requests = 0;      ///< Those that were never accepted.
  std::vector<ClassStatus> classes;          ///< By the classes' indices.
  EndpointListStatus endpoint_list;          ///< The list in use.
  std::optional<DrainStatus> drain;          ///< Nothing: it does not drain.
  ReloadStatus reloads;                      ///< Of the configuration.
};

/// One backend as the proxy sees it.
struct BackendStatus {
  std::string name;            ///< The backend's.
  std::string zone;            ///< Empty: not one of the configuration's.
  std::string kind;            ///< The same.
  balancer::BackendView view;  ///< What the balancer has measured.
};

/// The response to Operation::kGetStatus.
boost::json::object EncodeStatus(const ProxyStatus& status);

/// The response to Operation::kGetBackends, as of `now`.
boost::json::object EncodeBackends(balancer::TimePoint now, const std::vector<BackendStatus>& backends);

/// The response to Operation::kReleaseMembers: how many members were released.
boost::json::object EncodeReleasedMembers(std::size_t released);

}  // namespace badgerbridge::admin_api

#endif  // BADGERBRIDGE_ADMIN_API_RESPONSE_CODEC_H_
