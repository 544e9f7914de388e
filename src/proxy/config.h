// SPDX-License-Identifier: Apache-2.0
//
// The proxy's configuration: environment variables and a JSON file.
#ifndef BADGERBRIDGE_PROXY_CONFIG_H_
#define BADGERBRIDGE_PROXY_CONFIG_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "http_api/address.h"
#include "proxy/balancer_types.h"
#include "proxy/error.h"

namespace badgerbridge::proxy {

/// What a proxy is started with.
struct Config {
  std::string name;                          ///< of this proxy
  boost::asio::ip::tcp::endpoint listen;     ///< where clients connect
  boost::asio::ip::tcp::endpoint discovery;  ///< where the endpoint list is
  std::uint64_t seed = 0;                    ///< of all random numbers
  std::size_t max_clients = 0;               ///< connections that the limits leave for clients
  std::size_t max_backend_connections = 0;   ///< connections that the limits leave for backends
  Settings settings;                         ///< of the decision module
  std::vector<std::string> classes;          ///< names of service classes, by the decision module's indices
  std::vector<std::string> tenants;          ///< names of tenants, by the decision module's indices
  std::vector<std::string> zones;            ///< names of zones, by the decision module's indices
  std::vector<std::string> kinds;            ///< names of kinds of backends, by the decision module's indices
  Duration connect_timeout{250};             ///< for a connection to a backend
  Duration backend_idle_timeout{15000};      ///< after which a backend closes an idle connection
  boost::json::value known;                  ///< the last list of backends, in discovery's form; null: none
};

/// Looks an environment variable up, as getenv does.
using Environment = std::function<const char*(const char*)>;

/// Reads the file that ROUTER_CONFIG names; the other variables override what it says. Throws BadConfig.
Config ReadConfig(const Environment& environment);
/// The same for the text of a file. Throws BadConfig.
Config ParseConfig(std::string_view json, const Environment& environment);
/// Reads the file once more, at SIGHUP. The address of discovery is taken from the file alone then: the
/// environment is as old as this process.
ConfigResult<Config> RereadConfig(const Environment& environment);

/// Nested JSON as the path=value lines that ParseSettings reads.
std::string Flatten(const boost::json::value& settings);

using http_api::ParseAddress;

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_CONFIG_H_
