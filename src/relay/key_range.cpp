// SPDX-License-Identifier: Apache-2.0
#include "relay/key_range.h"

namespace badgerbridge::relay {
namespace {

const std::string kToTheLast(1, '\0');

}  // namespace

KeyRange KeyRange::Prefix(std::string_view prefix) {
  std::string end(prefix);
  while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff) end.pop_back();
  if (end.empty()) return {std::string(prefix), kToTheLast};
  end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
  return {std::string(prefix), end};
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

}  // namespace badgerbridge::relay
