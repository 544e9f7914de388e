// SPDX-License-Identifier: Apache-2.0
//
// The messages of the control APIs of a proxy, an agent and a watch cache: HTTP/1.1 (RFC 9112) with JSON
// bodies (RFC 8259).
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

/// What a peer may do. Each role includes those before it.
enum class Role {
  kNone,      ///< nothing
  kReader,    ///< read the state
  kOperator,  ///< give orders
  kAdmin,     ///< everything
};

/// The name of a role in files and messages.
std::string_view Name(Role role);

/// The role of this name; nothing for "none" and for names of no role.
std::optional<Role> ParseRole(std::string_view name);

/// The client of a connection.
struct Peer {
  std::string name;         ///< "uid 1000", or "cn " and the common name of its certificate
  Role role = Role::kNone;  ///< what it may do
};

/// A request, decoded.
struct Request {
  std::string method;                        ///< RFC 9110, section 9
  std::string path;                          ///< of the target, without its query
  std::map<std::string, std::string> query;  ///< decoded; of a name given twice the last value
  std::string body;                          ///< as it was sent
};

/// An answer.
struct Response {
  unsigned status = 200;    ///< RFC 9110, section 15
  boost::json::value body;  ///< sent as JSON
};

/// An answer with the body {"error": text}.
Response Error(unsigned status, std::string_view text);

/// The request's body as a JSON object (RFC 8259), or what is wrong with it and where.
BodyResult<boost::json::object> ParseJsonObject(const Request& request);

/// The query's value as a whole number from 0 to `max_value`; `default_value` if it is absent or not such a
/// number.
std::int64_t QueryNumber(const Request& request, const std::string& name, std::int64_t default_value,
                         std::int64_t max_value);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_MESSAGE_H_
