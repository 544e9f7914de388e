// SPDX-License-Identifier: Apache-2.0
//
// What a node is told at its start: environment and JSON into settings.
#ifndef BADGERBRIDGE_PROXY_CONFIG_H_
#define BADGERBRIDGE_PROXY_CONFIG_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "http_api/address.h"
#include "proxy/balancer_types.h"

namespace badgerbridge::proxy {

// what() is one line that names the fault.
class BadConfig : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen, discovery;
  std::uint64_t seed = 0;
  std::size_t max_clients = 0, max_backend_connections = 0;  // what the limits leave for each side
  Settings settings;
  std::vector<std::string> classes, tenants, zones, kinds;  // names, by the module's indices
  Duration connect_timeout{250};
  Duration idle_limit{15000};  // a backend closes a connection that was idle for this long
  boost::json::value known;    // the last list of backends, in discovery's form
};

using Environment = std::function<const char*(const char*)>;  // as getenv

// Reads the file that ROUTER_CONFIG names; the other variables override what it says.
Config ReadConfig(const Environment& environment);
Config ParseConfig(std::string_view json, const Environment& environment);
// The same once more at SIGHUP. Where discovery is stands in the file alone then: what the environment says
// is as old as this process.
Config RereadConfig(const Environment& environment);

// Nested JSON as the path=value lines that ParseSettings reads.
std::string Flatten(const boost::json::value& settings);

using http_api::ParseAddress;

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_CONFIG_H_
