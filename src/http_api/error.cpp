// SPDX-License-Identifier: Apache-2.0
#include "http_api/error.h"

#include <stdexcept>

namespace badgerbridge::http_api {

std::string Message(const BodyError& error) {
  const std::string position = std::to_string(error.byte_offset);
  switch (error.code) {
    case BodyErrorCode::kTrailingData:
      return "the body has more after its JSON, from byte " + position + " on";
    case BodyErrorCode::kNotJson:
      return "the body is no JSON: " + error.detail + " at byte " + position;
    case BodyErrorCode::kNotJsonObject:
      break;
  }
  return "the body is no JSON object";
}

void throw_exception_from_error(const BodyError& error, const boost::source_location& /*location*/) {
  throw std::runtime_error(Message(error));
}

std::string Message(const CallError& error) {
  switch (error.code) {
    case CallErrorCode::kSocketPathTooLong:
      return "the socket's path is too long";
    case CallErrorCode::kTimeout:
      return "no answer within " + std::to_string(error.timeout.count()) + " ms";
    case CallErrorCode::kConnectionClosed:
      return "it closed the connection without an answer";
    case CallErrorCode::kResponseNotJson:
      return "its answer is no JSON";
    case CallErrorCode::kCallFailed:
      return "the call could not be made";
    case CallErrorCode::kInvalidTlsFiles:
    case CallErrorCode::kTransport:
      break;
  }
  return error.detail;
}

}  // namespace badgerbridge::http_api
