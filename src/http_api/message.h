// SPDX-License-Identifier: Apache-2.0
//
// The messages of the control APIs, of a proxy's and of an agent's: HTTP/1.1 (RFC 9112) with JSON bodies.
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

namespace badgerbridge::http_api {

// What a peer may do; each may what those before it may.
enum class Role { kNone, kReader, kOperator, kAdmin };
std::string_view Name(Role role);
std::optional<Role> ParseRole(std::string_view name);

struct Peer {
  std::string who;  // "uid 1000", or the common name of a certificate
  Role role = Role::kNone;
};

struct Request {
  std::string method, path;                  // the path without its query
  std::map<std::string, std::string> query;  // decoded; of a name given twice the last
  std::string body;
};

struct Response {
  unsigned status = 200;
  boost::json::value body;
};

// {"error": text}
Response Error(unsigned status, std::string_view text);

// The body as a JSON object (RFC 8259); nothing if it is none, and *why is one line that says what is wrong,
// and where.
std::optional<boost::json::object> ReadObject(const Request& request, std::string* why);

// The query's value as a whole number from 0 to `most`; `otherwise` if absent or not such a number.
std::int64_t QueryNumber(const Request& request, const std::string& name, std::int64_t otherwise,
                         std::int64_t most);

}  // namespace badgerbridge::http_api

#endif  // BADGERBRIDGE_HTTP_API_MESSAGE_H_
