// SPDX-License-Identifier: Apache-2.0

/// @file
/// Takes fixed-size fields from the front of some bytes.
#ifndef BADGERBRIDGE_SIMULATOR_PROTOCOL_FIELD_READER_H_
#define BADGERBRIDGE_SIMULATOR_PROTOCOL_FIELD_READER_H_

#include <cstddef>
#include <cstring>
#include <optional>
#include <string_view>
#include <type_traits>

#include "simulator_protocol/error.h"

namespace badgerbridge::simulator_protocol {

/// Reads fields in order. The first error stays: from then on every field reads as 0 and all bytes as none,
/// so that a caller checks once, behind the last field. Does not own the bytes.
class FieldReader {
 public:
  /// Reads from the front of `bytes`, which must outlive the reader.
  explicit FieldReader(std::string_view bytes) : remaining_(bytes) {}

  /// The next number.
  template <typename Number>
  Number Get() {
    static_assert(std::is_arithmetic_v<Number>);
    Number number{};
    const std::string_view bytes = GetBytes(sizeof number);
    if (bytes.size() == sizeof number) std::memcpy(&number, bytes.data(), sizeof number);
    return number;
  }

  /// The next `size` bytes.
  std::string_view GetBytes(std::size_t size) {
    if (error_) return {};
    if (size > remaining_.size()) {
      Fail(DecodeErrorCode::kFieldOverrun, size);
      return {};
    }
    const std::string_view bytes = remaining_.substr(0, size);
    remaining_.remove_prefix(size);
    return bytes;
  }

  /// Takes in an error that the caller has found, unless there was one before.
  void Fail(DecodeErrorCode code, std::uint64_t value) {
    if (!error_) error_ = DecodeError{code, 0, value};
  }

  /// Takes in the error of a reader of some of these bytes.
  void Fail(const FieldReader& part) {
    if (!error_) error_ = part.error_;
  }

  /// Bytes that have not been read.
  std::size_t remaining_bytes() const { return remaining_.size(); }
  /// The first error, if there was one.
  const std::optional<DecodeError>& error() const { return error_; }

 private:
  std::string_view remaining_;
  std::optional<DecodeError> error_;
};

}  // namespace badgerbridge::simulator_protocol

#endif  // BADGERBRIDGE_SIMULATOR_PROTOCOL_FIELD_READER_H_
