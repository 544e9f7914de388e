// SPDX-License-Identifier: Apache-2.0

/// @file
/// Takes fixed-size fields from the front of some bytes.
#ifndef BADGERBRIDGE_SIMULATOR_PROTOCOL_FIELD_READER_H_
#define BADGERBRIDGE_SIMULATOR_PROTOCOL_FIELD_READER_H_

#include <cstddef>
#include <cstring>
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
    if (has_error_) return {};
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
    if (has_error_) return;
    has_error_ = true;
    error_ = {code, 0, value};
  }

  /// Takes in the error of a reader of some of these bytes.
  void Fail(const FieldReader& part) {
    if (part.has_error_) Fail(part.error_.code, part.error_.value);
  }

  /// Bytes that have not been read.
  std::size_t remaining_bytes() const { return remaining_.size(); }
  /// Whether there was an error.
  bool has_error() const { return has_error_; }
  /// The first error; only if there was one. Its record is not set.
  const DecodeError& error() const { return error_; }

 private:
  std::string_view remaining_;
  // Not an optional: GCC 12 at -O3 takes its value for uninitialized where it is read behind has_value().
  bool has_error_ = false;
  DecodeError error_;
};

}  // namespace badgerbridge::simulator_protocol

#endif  // BADGERBRIDGE_SIMULATOR_PROTOCOL_FIELD_READER_H_
