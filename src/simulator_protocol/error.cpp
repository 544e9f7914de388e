// SPDX-License-Identifier: Apache-2.0
#include "simulator_protocol/error.h"

#include <stdexcept>

namespace badgerbridge::simulator_protocol {

std::string Message(const DecodeError& error) {
  switch (error.code) {
    case DecodeErrorCode::kTruncatedHeader:
      return "input ends inside the header of a frame";
    case DecodeErrorCode::kTruncatedFrame:
      return "input ends inside a frame";
    case DecodeErrorCode::kFrameTooShort:
      return "a frame shorter than its own header";
    case DecodeErrorCode::kFieldOverrun:
      return "a length or field overruns its record";
    case DecodeErrorCode::kTrailingBytes:
      return "bytes are left over behind the records of a frame";
    case DecodeErrorCode::kEndpointListOverrun:
      return "a list overruns its record";
    case DecodeErrorCode::kUnknownListKind:
      return "a list of an unknown kind";
    case DecodeErrorCode::kUnknownBackendState:
      return "a list entry of an unknown state";
  }
  return "unknown error";
}

void throw_exception_from_error(const DecodeError& error, const boost::source_location&) {
  throw std::runtime_error(Message(error));
}

}  // namespace badgerbridge::simulator_protocol
