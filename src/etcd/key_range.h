// SPDX-License-Identifier: Apache-2.0

/// \file
/// Ranges of etcd's keys (etcd's v3 API, "Key ranges"). Pure.
#ifndef BADGERBRIDGE_ETCD_KEY_RANGE_H_
#define BADGERBRIDGE_ETCD_KEY_RANGE_H_

#include <string>

namespace badgerbridge::etcd {

/// The range_end of the range that holds all keys with this prefix: the prefix with its last byte one higher.
/// "\0", which means "to the last key", for a prefix without such a successor.
std::string PrefixRangeEnd(std::string prefix);

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_KEY_RANGE_H_
