// SPDX-License-Identifier: Apache-2.0
/// @file
/// Helpers that the codecs of this package share: parsing a record and creating field errors.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_JSON_FIELDS_H_
#define BADGERBRIDGE_ZONE_FAILOVER_JSON_FIELDS_H_

#include <boost/json.hpp>
#include <string>
#include <string_view>

#include "zone_failover/error.h"

namespace badgerbridge::zone_failover {

/// Largest accepted epoch and revision; a double represents each integer up to it exactly.
constexpr double kMaxRevision = 9e15;

/// Creates an error about one field; `value` is null if the field is absent.
ZoneFailoverError FieldError(ZoneFailoverError::Record record, ZoneFailoverError::Kind kind,
                             std::string field, const boost::json::value* value);
/// Parses the record's JSON object; returns an error if `text` is longer than `max_bytes` or not an object.
Result<boost::json::object> ParseRecord(ZoneFailoverError::Record record, std::string_view text,
                                        std::size_t max_bytes);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_JSON_FIELDS_H_
