// SPDX-License-Identifier: Apache-2.0
//
// Members of an agent's or a proxy's answer, each with a default: an answer that lacks one, or has it of
// another type, must not break the tool.
#ifndef BADGERBRIDGE_CLI_FIELDS_H_
#define BADGERBRIDGE_CLI_FIELDS_H_

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "http_api/client.h"

namespace badgerbridge::cli {

inline std::string Text(const boost::json::object& object, std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  return value && value->is_string() ? std::string(value->get_string()) : std::string();
}
inline std::int64_t Whole(const boost::json::object& object, std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  boost::system::error_code error;
  const auto number = value ? value->to_number<std::int64_t>(error) : 0;
  return error ? 0 : number;
}
inline bool Flag(const boost::json::object& object, std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  return value && value->is_bool() && value->get_bool();
}
inline const boost::json::object& Object(const boost::json::object& object, std::string_view key) {
  static const boost::json::object kNone;
  const boost::json::value* value = object.if_contains(key);
  return value && value->is_object() ? value->get_object() : kNone;
}
inline const boost::json::array& Array(const boost::json::object& object, std::string_view key) {
  static const boost::json::array kNone;
  const boost::json::value* value = object.if_contains(key);
  return value && value->is_array() ? value->get_array() : kNone;
}

inline const boost::json::object* Body(const http_api::Reply& reply) { return reply.body.if_object(); }

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_FIELDS_H_
