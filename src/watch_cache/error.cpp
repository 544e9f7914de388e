// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/error.h"

#include <stdexcept>

namespace badgerbridge::watch_cache {
namespace {

// The beginning of a message about a key value.
std::string Location(UpstreamMessage where) {
  switch (where) {
    case UpstreamMessage::kList:
      return "a list: ";
    case UpstreamMessage::kEvent:
      return "an event: ";
    case UpstreamMessage::kNotification:
      return "a progress notification: ";
  }
  return "";
}

}  // namespace

std::string Message(const UpstreamError& error) {
  const std::string key = Location(error.where) + "the key " + error.key;
  const std::string revision = std::to_string(error.revision);
  const std::string expected = std::to_string(error.expected_revision);
  switch (error.code) {
    case UpstreamErrorCode::kKeyOutsidePrefix:
      return key + " is outside the prefix " + error.expected_prefix;
    case UpstreamErrorCode::kKeyWithoutRevision:
      return key + " has no revision";
    case UpstreamErrorCode::kRevisionAfterHeader:
      return key + " is of revision " + revision + ", after the answer's " + expected;
    case UpstreamErrorCode::kDuplicateKey:
      return key + " is there twice";
    case UpstreamErrorCode::kUnknownEventType:
      return "an event of an unknown type";
    case UpstreamErrorCode::kRevisionOutOfOrder:
      return "an event of revision " + revision + " where one of " + expected + " or later is due";
    case UpstreamErrorCode::kEventsBeforeSnapshot:
      return "events before a list";
    case UpstreamErrorCode::kProgressBeforeSnapshot:
      return "progress before a list";
    case UpstreamErrorCode::kProgressDecreased:
      return "progress at revision " + revision + " after " + expected;
  }
  return "";
}

void throw_exception_from_error(const UpstreamError& error, const boost::source_location&) {
  throw std::runtime_error(Message(error));
}

}  // namespace badgerbridge::watch_cache
