// SPDX-License-Identifier: Apache-2.0
//
// Ranges of keys as etcd's API has them: a key alone, [key, range_end), or all from a key on (range_end
// "\0"). Pure.
#ifndef BADGERBRIDGE_WATCH_CACHE_KEY_RANGE_H_
#define BADGERBRIDGE_WATCH_CACHE_KEY_RANGE_H_

#include <string>
#include <string_view>

namespace badgerbridge::watch_cache {

struct KeyRange {
  std::string begin, end;

  static KeyRange Prefix(std::string_view prefix);  // an empty prefix: all keys

  bool Contains(std::string_view key) const;
  bool Contains(const KeyRange& other) const;
  bool single_key() const { return end.empty(); }
  bool unbounded() const { return end == std::string_view("\0", 1); }
  bool operator==(const KeyRange&) const = default;
  auto operator<=>(const KeyRange&) const = default;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_KEY_RANGE_H_
