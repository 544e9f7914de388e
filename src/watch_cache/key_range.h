// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Ranges of keys as in etcd's API: a single key, [key, range_end), or all keys from one on (range_end "\0").
#ifndef BADGERBRIDGE_WATCH_CACHE_KEY_RANGE_H_
#define BADGERBRIDGE_WATCH_CACHE_KEY_RANGE_H_

#include <string>
#include <string_view>

namespace badgerbridge::watch_cache {

/// A range of keys.
struct KeyRange {
  std::string begin;  ///< The first key.
  std::string end;    ///< The first key after the range. Empty: `begin` only; "\0": no end.

  /// All keys that begin with `prefix`; with an empty one, all keys.
  static KeyRange Prefix(std::string_view prefix);

  /// Whether the key is in this range.
  bool Contains(std::string_view key) const;
  /// Whether all keys of the other range are in this one.
  bool Contains(const KeyRange& other) const;

  bool single_key() const { return end.empty(); }                      ///< Whether it is one key.
  bool unbounded() const { return end == std::string_view("\0", 1); }  ///< Whether it has no end.
  bool operator==(const KeyRange&) const = default;                    ///< By both ends.
  auto operator<=>(const KeyRange&) const = default;                   ///< By begin, then end.
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_KEY_RANGE_H_
