// SPDX-License-Identifier: Apache-2.0
//
// A proxy's admin API: HTTP/1.1 with JSON over a Unix domain socket. It only reads the proxy's state, and
// asks the listener to drain or the program to stop: it decides nothing about a request. request_codec.h and
// response_codec.h have its wire format.
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
  /// What it reports on and acts upon. All that is referred to must outlive the API.
  struct Dependencies {
    const proxy::Config& config;                     ///< Names of zones, kinds and classes.
    const proxy::ProxyClock& clock;                  ///< The proxy's.
    proxy::Proxy& proxy;                             ///< Counters and backends.
    proxy::Listener& listener;                       ///< Is drained.
    const proxy::EndpointListReader& endpoint_list;  ///< The list in use.
    const ReloadStatus& reloads;                     ///< Of the configuration.
    std::function<void()> stop;                      ///< Begins the graceful shutdown.
    /// The ledger of membership as JSON; null if membership is not configured.
    std::function<boost::json::value()> describe_members = nullptr;
    /// Releases the retained members and returns their number; set if `describe_members` is.
    std::function<std::size_t()> release_members = nullptr;
    /// Zone failover as JSON; null if it is not configured.
    std::function<boost::json::value()> describe_zones = nullptr;
  };

  /// Listens at once. Throws std::runtime_error if it cannot.
  AdminApi(boost::asio::io_context& io, const operator_config::AdminApiSettings& settings,
           Dependencies dependencies);

  /// Carries out a request.
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
