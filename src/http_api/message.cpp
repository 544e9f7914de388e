// SPDX-License-Identifier: Apache-2.0
#include "http_api/message.h"

#include <boost/json.hpp>
#include <charconv>

namespace badgerbridge::http_api {

std::string_view Name(Role role) {
  constexpr std::string_view kNames[] = {"none", "reader", "operator", "admin"};
  return kNames[static_cast<int>(role)];
}

std::optional<Role> ParseRole(std::string_view name) {
  for (const Role role : {Role::kReader, Role::kOperator, Role::kAdmin}) {
    if (name == Name(role)) return role;
  }
  return std::nullopt;
}

Response Error(unsigned status, std::string_view text) {
  return {status, boost::json::object{{"error", text}}};
}

std::int64_t QueryNumber(const Request& request, const std::string& name, std::int64_t otherwise,
                         std::int64_t most) {
  const auto found = request.query.find(name);
  if (found == request.query.end()) return otherwise;
  std::int64_t value = 0;
  const char* end = found->second.data() + found->second.size();
  const auto [at, error] = std::from_chars(found->second.data(), end, value);
  return error == std::errc() && at == end && value >= 0 && value <= most ? value : otherwise;
}

std::optional<boost::json::object> ReadObject(const Request& request, std::string* why) {
  boost::json::stream_parser parser;
  boost::system::error_code error;
  const std::size_t taken = parser.write_some(request.body, error);
  if (!error && taken < request.body.size()) {
    *why = "the body has more after its JSON, from byte " + std::to_string(taken) + " on";
    return std::nullopt;
  }
  if (!error) parser.finish(error);
  if (error) {
    *why = "the body is no JSON: " + error.message() + " at byte " + std::to_string(taken);
    return std::nullopt;
  }
  boost::json::value value = parser.release();
  if (!value.is_object()) {
    *why = "the body is no JSON object";
    return std::nullopt;
  }
  return std::move(value.get_object());
}

}  // namespace badgerbridge::http_api
