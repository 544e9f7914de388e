// SPDX-License-Identifier: Apache-2.0
//
// A proxy's admin API: HTTP/1.1 with JSON over a Unix domain socket. It reads the proxy's state and can drain
// the listener or stop the program, but takes no part in routing requests. request_codec.h and
// response_codec.h implement the wire format.
#ifndef BADGERBRIDGE_ADMIN_API_ADMIN_API_H_
#define BADGERBRIDGE_ADMIN_API_ADMIN_API_H_

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "admin_api/error.h"
#include "admin_api/response_codec.h"
#include "http_api/server.h"
#include "operator_config/operator_file.h"
#include "proxy/config.h"
#include "proxy/endpoint_list_reader.h"
#include "proxy/listener.h"
#include "proxy/proxy.h"

namespace badgerbridge::admin_api {

/// Serves the admin API of one proxy. Runs on its io_context's thread.
class AdminApi {
 public:
  /// The objects that the API reports on and controls. Referenced objects must outlive the API.
  struct Dependencies {
    const proxy::Config& config;                     ///< Names of zones, kinds and classes.
    const proxy::ProxyClock& clock;                  ///< Shared with the proxy.
    proxy::Proxy& proxy;                             ///< Source of counters and backend states.
    proxy::Listener& listener;                       ///< Drained and undrained on request.
    const proxy::EndpointListReader& endpoint_list;  ///< Reader of the list in use.
    const ReloadStatus& reloads;                     ///< Results of configuration reloads.
    std::function<void()> stop;                      ///< Begins the graceful shutdown.
    /// Returns the membership ledger as JSON; null if membership is not configured.
    std::function<boost::json::value()> describe_members = nullptr;
    /// Releases the retained members and returns their number; set if `describe_members` is.
    std::function<std::size_t()> release_members = nullptr;
    /// Returns the state of zone failover as JSON; null if zone failover is not configured.
    std::function<boost::json::value()> describe_zones = nullptr;
  };

  /// Starts listening. Throws std::runtime_error if the socket cannot be opened.
  AdminApi(boost::asio::io_context& io, const operator_config::AdminApiSettings& settings,
           Dependencies dependencies);

  /// Executes a request. Errors become 4xx responses with a JSON body.
  http_api::Response Handle(const http_api::Request& request);

 private:
  Result<boost::json::value> Perform(const http_api::Request& request);
  Result<boost::json::value> DescribeMembers() const;
  Result<boost::json::value> ReleaseMembers();
  Result<boost::json::value> DescribeZones() const;
  Result<boost::json::value> Drain(const http_api::Request& request);
  Result<boost::json::value> Undrain();
  Result<boost::json::value> Stop();

  ProxyState State() const;
  boost::json::value DescribeStatus() const;
  boost::json::value DescribeBackends() const;
  std::vector<ClassStatus> Classes() const;
  EndpointListStatus EndpointList(balancer::TimePoint now) const;
  std::optional<DrainStatus> CurrentDrain(balancer::TimePoint now, ProxyState state) const;

  Dependencies dependencies_;
  balancer::TimePoint started_at_;
  std::optional<balancer::TimePoint> drain_started_at_;
  std::optional<balancer::TimePoint> drain_deadline_;
  http_api::UnixServer server_;
};

}  // namespace badgerbridge::admin_api

#endif  // BADGERBRIDGE_ADMIN_API_ADMIN_API_H_
