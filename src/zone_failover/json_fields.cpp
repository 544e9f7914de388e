// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/json_fields.h"

#include <utility>

namespace badgerbridge::zone_failover {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxErrorValueBytes = 64;

}  // namespace

ZoneFailoverError FieldError(ZoneFailoverError::Record record, ZoneFailoverError::Kind kind,
                             std::string field, const json::value* value) {
  ZoneFailoverError error{record, kind, std::move(field), {}};
  if (value) error.value = json::serialize(*value).substr(0, kMaxErrorValueBytes);
  return error;
}

Result<json::object> ParseRecord(ZoneFailoverError::Record record, std::string_view text,
                                 std::size_t max_bytes) {
  const std::string truncated(text.substr(0, kMaxErrorValueBytes));
  if (text.size() > max_bytes)
    return ZoneFailoverError{record, ZoneFailoverError::Kind::kTooLong, {}, truncated};
  boost::system::error_code error;
  json::value root = json::parse(json::string_view(text.data(), text.size()), error);
  if (error || !root.is_object())
    return ZoneFailoverError{record, ZoneFailoverError::Kind::kNotAnObject, {}, truncated};
  return std::move(root.get_object());
}

}  // namespace badgerbridge::zone_failover
