// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Fields of the JSON objects that agents, proxies and watch caches answer with, each with a default: an
/// answer that lacks a field, or has it of another type, must not break the tool.
#ifndef BADGERBRIDGE_CLI_JSON_FIELDS_H_
#define BADGERBRIDGE_CLI_JSON_FIELDS_H_

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "http_api/client.h"

namespace badgerbridge::cli {

/// The value if it is a string; otherwise "".
inline std::string StringOf(const boost::json::value& value) {
  return value.is_string() ? std::string(value.get_string()) : std::string();
}

/// The string in this field, or "".
inline std::string StringField(const boost::json::object& object, std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  return value ? StringOf(*value) : std::string();
}

/// The number in this field, or 0.
inline std::int64_t IntegerField(const boost::json::object& object, std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  boost::system::error_code error;
  const auto number = value ? value->to_number<std::int64_t>(error) : 0;
  return error ? 0 : number;
}

/// Whether this field is true.
inline bool BoolField(const boost::json::object& object, std::string_view key) {
  const boost::json::value* value = object.if_contains(key);
  return value && value->is_bool() && value->get_bool();
}

/// The object in this field, or an empty one. Lives as long as `object`.
inline const boost::json::object& ObjectField(const boost::json::object& object, std::string_view key) {
  static const boost::json::object kNone;
  const boost::json::value* value = object.if_contains(key);
  return value && value->is_object() ? value->get_object() : kNone;
}

/// The array in this field, or an empty one. Lives as long as `object`.
inline const boost::json::array& ArrayField(const boost::json::object& object, std::string_view key) {
  static const boost::json::array kNone;
  const boost::json::value* value = object.if_contains(key);
  return value && value->is_array() ? value->get_array() : kNone;
}

/// The body of an answer that reports success with a JSON object; otherwise null. Lives as long as `reply`.
inline const boost::json::object* BodyOf(const http_api::Reply& reply) {
  return reply.ok() ? reply.body.if_object() : nullptr;
}

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_JSON_FIELDS_H_
