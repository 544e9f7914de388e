// SPDX-License-Identifier: Apache-2.0

/// @file
/// The error of decoding the simulator's wire, and the result type that carries it.
#ifndef BADGERBRIDGE_SIMULATOR_PROTOCOL_ERROR_H_
#define BADGERBRIDGE_SIMULATOR_PROTOCOL_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <cstdint>
#include <string>

namespace badgerbridge::simulator_protocol {

/// What is wrong with the input.
enum class DecodeErrorCode {
  kTruncatedHeader,      ///< The input ends inside the header of a frame; value: the bytes that came.
  kTruncatedFrame,       ///< The input ends inside the body of a frame; value: the bytes that are missing.
  kFrameTooShort,        ///< A frame that is shorter than its own header; value: the stated length.
  kFieldOverrun,         ///< A length or field goes beyond its record; value: the bytes that it needs.
  kTrailingBytes,        ///< Bytes behind the last record of a frame; value: how many.
  kEndpointListOverrun,  ///< An endpoint list goes beyond its record; value: the stated number of entries.
  kUnknownListKind,      ///< An endpoint list of an unknown kind; value: the kind.
  kUnknownBackendState,  ///< An entry of an endpoint list with an unknown state; value: the state.
};

/// One error: what went wrong, where, and the value that was wrong.
struct DecodeError {
  DecodeErrorCode code = DecodeErrorCode::kFieldOverrun;  ///< What went wrong.
  std::uint32_t record_index = 0;  ///< The record in its frame, from 0; 0 for errors of the frame itself.
  std::uint64_t value = 0;         ///< The wrong value; DecodeErrorCode says which it is.
};

/// The error as one line for people, without a line feed.
std::string Message(const DecodeError& error);

/// Either a value or the error that prevented it.
template <typename T>
using DecodeResult = boost::system::result<T, DecodeError>;

/// Called by `DecodeResult::value()` where there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const DecodeError& error,
                                             const boost::source_location& location);

}  // namespace badgerbridge::simulator_protocol

#endif  // BADGERBRIDGE_SIMULATOR_PROTOCOL_ERROR_H_
