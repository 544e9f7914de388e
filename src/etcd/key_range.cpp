// SPDX-License-Identifier: Apache-2.0
#include "etcd/key_range.h"

namespace badgerbridge::etcd {

std::string PrefixRangeEnd(std::string prefix) {
  while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) prefix.pop_back();
  if (prefix.empty()) return std::string(1, '\0');
  prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
  return prefix;
}

}  // namespace badgerbridge::etcd
