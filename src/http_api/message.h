// SPDX-License-Identifier: Apache-2.0
//
// Requests and responses of the control APIs of the proxy, the agent and the watch cache: HTTP/1.1 (RFC 9112)
// with JSON bodies (RFC 8259).
#ifndef BADGERBRIDGE_HTTP_API_MESSAGE_H_
#define BADGERBRIDGE_HTTP_API_MESSAGE_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "http_api/error.h"

namespace badgerbridge::http_api {

/// The permissions of a peer. Each role includes the permissions of those before it.
enum class Role {
  kNone,      ///< nothing
  kReader,    ///< read the state
  kOperator,  ///< give orders
  kAdmin,     ///< all requests
};

/// The role's name in configuration files and messages.
std::string_view Name(Role role);

/// The role with this name; std::nullopt for "none" and for unknown names.
std::optional<Role> ParseRole(std::string_view name);

/// The client of a connection.
struct Peer {
  std::string name;         ///< "uid 1000", or "cn " and the common name of its certificate
  Role role = Role::kNone;  ///< its permissions
};

/// A decoded request.
struct Request {
  std::string method;                        ///< RFC 9110, section 9
  std::string path;                          ///< path of the target, without the query
  std::map<std::string, std::string> query;  ///< decoded; the last value of a repeated name
  std::string body;                          ///< as received, not parsed
};

/// A response.
struct Response {
  unsigned status = 200;    ///< RFC 9110, section 15
  boost::json::value body;  ///< sent as JSON
};

/// A response with the body {"error": text}.
Response Error(unsigned status, std::string_view text);

/// Parses the request's body as a JSON object (RFC 8259).
BodyResult<boost::json::object> ParseJsonObject(const Request& request);

/// The query parameter `name` as an integer from 0 to `max_value`; `default_value` if it is absent or is not
/// such an integer.
std::int64_t QueryNumber(const Request& request, const std::string& name, std::int64_t default_value,
                         std::int64_t max_value);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_MESSAGE_H_
