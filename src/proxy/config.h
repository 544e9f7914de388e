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

/// The memory (in bytes) that one client occupies at most, and by which Config::max_clients is limited: a
/// request, its answer, and a full buffer of input that follows the request.
inline constexpr std::size_t kMaxBytesPerClient = 224 << 10;

/// The configuration of a proxy.
struct Config {
  std::string name;                          ///< this proxy's name
  boost::asio::ip::tcp::endpoint listen;     ///< address for clients
  boost::asio::ip::tcp::endpoint discovery;  ///< address of discovery
  std::uint64_t seed = 0;                    ///< seed of all random number generators
  std::size_t max_clients = 0;               ///< maximum number of client connections
  std::size_t max_backend_connections = 0;   ///< maximum number of backend connections
  Settings settings;                         ///< settings of the decision module
  std::vector<std::string> classes;          ///< names of service classes, by the decision module's indices
  std::vector<std::string> tenants;          ///< names of tenants, by the decision module's indices
  std::vector<std::string> zones;            ///< names of zones, by the decision module's indices
  std::vector<std::string> kinds;            ///< names of kinds of backends, by the decision module's indices
  Duration connect_timeout{250};             ///< for connecting to a backend
  Duration backend_idle_timeout{15000};      ///< after which a backend closes an idle connection
  boost::json::value known;  ///< last known list of backends, as sent by discovery; null: none
};

/// Looks an environment variable up, as getenv does.
using Environment = std::function<const char*(const char*)>;

/// Reads the file named by ROUTER_CONFIG; other environment variables override its values. Throws BadConfig.
Config ReadConfig(const Environment& environment);
/// Parses the text of a configuration file, with the same overrides. Throws BadConfig.
Config ParseConfig(std::string_view json, const Environment& environment);
/// Reads the file again after SIGHUP. Takes the address of discovery from the file only, since the
/// environment still holds the value from process start.
ConfigResult<Config> RereadConfig(const Environment& environment);

/// Flattens nested JSON into the path=value lines that ParseSettings reads.
std::string Flatten(const boost::json::value& settings);

using http_api::ParseAddress;

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_CONFIG_H_
