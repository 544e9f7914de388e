// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/key_range.h"

#include "etcd/key_range.h"

namespace badgerbridge::watch_cache {

KeyRange KeyRange::Prefix(std::string_view prefix) {
  return {std::string(prefix), etcd::PrefixRangeEnd(std::string(prefix))};
}

bool KeyRange::Contains(std::string_view key) const {
  if (single_key()) return key == begin;
  return key >= begin && (unbounded() || key < end);
}

bool KeyRange::Contains(const KeyRange& other) const {
  if (!Contains(std::string_view(other.begin))) return false;
  if (other.single_key() || unbounded()) return true;
  return !other.unbounded() && other.end <= end;
}

}  // namespace badgerbridge::watch_cache
