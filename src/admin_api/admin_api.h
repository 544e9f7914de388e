// SPDX-License-Identifier: Apache-2.0
//
// A proxy's control API; docs/operators/admin_api.md lists the calls. It only reads what the proxy holds, and
// asks the listener to drain or the program to stop: no decision on a request is made here.
#ifndef BADGERBRIDGE_ADMIN_API_ADMIN_API_H_
#define BADGERBRIDGE_ADMIN_API_ADMIN_API_H_

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <optional>
#include <string>

#include "http_api/server.h"
#include "operator_config/operator_file.h"
#include "proxy/config.h"
#include "proxy/endpoint_list_reader.h"
#include "proxy/listener.h"
#include "proxy/proxy.h"

namespace badgerbridge::admin_api {

constexpr std::chrono::milliseconds kMostDeadline{3600000};

struct ReloadStatus {
  std::uint64_t applied = 0, refused = 0;
  std::string last_error;  // of the newest, if that was refused
};

class AdminApi {
 public:
  // What it reports on; all must outlive it.
  struct Subject {
    const proxy::Config& config;
    const proxy::ProxyClock& clock;
    proxy::Proxy& proxy;
    proxy::Listener& listener;
    const proxy::EndpointListReader& list;
    const ReloadStatus& reloads;
    std::function<void()> stop;
    std::function<boost::json::value()> members = nullptr;  // the ledger, where there is one
    std::function<std::size_t()> release = nullptr;         // lets go what it holds; how many that were
    std::function<boost::json::value()> zones = nullptr;    // its part in the regions, where it has one
  };

  // Throws std::runtime_error if it can't listen.
  AdminApi(boost::asio::io_context& io, const operator_config::AdminApiSettings& settings, Subject subject);

  http_api::Response Handle(const http_api::Request& request);

 private:
  boost::json::object Status() const;
  boost::json::object Backends() const;
  std::string_view State() const;
  http_api::Response Drain(const http_api::Request& request);

  Subject subject_;
  balancer::TimePoint started_;
  std::optional<balancer::TimePoint> drain_began_, drain_due_;
  http_api::UnixServer server_;
};

}  // namespace badgerbridge::admin_api

#endif  // BADGERBRIDGE_ADMIN_API_ADMIN_API_H_
