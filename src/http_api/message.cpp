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

std::int64_t QueryNumber(const Request& request, const std::string& name, std::int64_t default_value,
                         std::int64_t max_value) {
  const auto found = request.query.find(name);
  if (found == request.query.end()) return default_value;
  const std::string& text = found->second;
  const char* end = text.data() + text.size();
  std::int64_t value = 0;
  const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
  const bool is_number = error == std::errc() && parsed_end == end;
  return is_number && value >= 0 && value <= max_value ? value : default_value;
}

BodyResult<boost::json::object> ParseJsonObject(const Request& request) {
  boost::json::stream_parser parser;
  boost::system::error_code error;
  const std::size_t parsed_bytes = parser.write_some(request.body, error);
  if (!error && parsed_bytes < request.body.size())
    return BodyError{BodyErrorCode::kTrailingData, parsed_bytes, ""};
  if (!error) parser.finish(error);
  if (error) return BodyError{BodyErrorCode::kNotJson, parsed_bytes, error.message()};
  boost::json::value value = parser.release();
  if (!value.is_object()) return BodyError{BodyErrorCode::kNotJsonObject, 0, ""};
  return std::move(value.get_object());
}

}  // namespace badgerbridge::http_api
