// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A digest over numbers and bytes that is the same on every machine, build type and run.
#ifndef BADGERBRIDGE_TESTS_FINGERPRINT_DIGEST_H_
#define BADGERBRIDGE_TESTS_FINGERPRINT_DIGEST_H_

#include <bit>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace badgerbridge::fingerprint {

/// 64-bit FNV-1a over the values added, in their order. Integers, booleans and enumerators are added as
/// 64-bit numbers and doubles by their bit pattern, least significant byte first, so that neither the width
/// of a type nor the name of an enumerator matters.
class Digest {
 public:
  /// Adds an integer, a boolean or an enumerator.
  template <typename T>
  requires std::is_integral_v<T> || std::is_enum_v<T>
  void Add(T value) { AddWord(static_cast<std::uint64_t>(value)); }
  void Add(double value) { AddWord(std::bit_cast<std::uint64_t>(value)); }  ///< Adds the bit pattern.
  /// Adds the length and the bytes.
  void Add(std::string_view bytes) {
    AddWord(bytes.size());
    for (const char byte : bytes) AddByte(static_cast<unsigned char>(byte));
  }
  /// Without it a literal would be taken for a boolean.
  void Add(const char* bytes) { Add(std::string_view(bytes)); }
  void Add(const std::string& bytes) { Add(std::string_view(bytes)); }  ///< As a string_view.
  /// Adds the count of the duration's own unit.
  template <typename Rep, typename Period>
  void Add(std::chrono::duration<Rep, Period> duration) {
    Add(duration.count());
  }
  /// Adds the time since the clock's epoch.
  template <typename Clock, typename Duration>
  void Add(std::chrono::time_point<Clock, Duration> time) {
    Add(time.time_since_epoch());
  }
  /// Adds several values in turn.
  template <typename First, typename Second, typename... Rest>
  void Add(const First& first, const Second& second, const Rest&... rest) {
    Add(first);
    Add(second);
    (Add(rest), ...);
  }

  std::uint64_t value() const { return value_; }  ///< Of all that was added so far.

 private:
  static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  static constexpr std::uint64_t kPrime = 0x100000001b3;

  void AddByte(unsigned char byte) { value_ = (value_ ^ byte) * kPrime; }
  void AddWord(std::uint64_t word) {
    for (int shift = 0; shift < 64; shift += 8) AddByte(static_cast<unsigned char>(word >> shift));
  }

  std::uint64_t value_ = kOffsetBasis;
};

}  // namespace badgerbridge::fingerprint

#endif  // BADGERBRIDGE_TESTS_FINGERPRINT_DIGEST_H_
