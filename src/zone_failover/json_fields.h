// SPDX-License-Identifier: Apache-2.0
/// @file
/// What the codecs of this package share: parsing a record and making errors of its fields.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_JSON_FIELDS_H_
#define BADGERBRIDGE_ZONE_FAILOVER_JSON_FIELDS_H_

#include <boost/json.hpp>
#include <string>
#include <string_view>

#include "zone_failover/error.h"

namespace badgerbridge::zone_failover {

/// Largest epoch and revision that is accepted: below it a double holds each whole number.
constexpr double kMaxRevision = 9e15;

/// An error of one field; `value` may be null where the field is absent.
ZoneFailoverError FieldError(ZoneFailoverError::Record record, ZoneFailoverError::Kind kind,
                             std::string field, const boost::json::value* value);
/// The record's JSON object; an error where `text` has more than `max_bytes` or is no object.
Result<boost::json::object> ParseRecord(ZoneFailoverError::Record record, std::string_view text,
                                        std::size_t max_bytes);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_JSON_FIELDS_H_
