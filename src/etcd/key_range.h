// SPDX-License-Identifier: Apache-2.0

/// \file
/// Ranges of etcd's keys (etcd's v3 API, "Key ranges").
#ifndef BADGERBRIDGE_ETCD_KEY_RANGE_H_
#define BADGERBRIDGE_ETCD_KEY_RANGE_H_

#include <string>

namespace badgerbridge::etcd {

/// Returns the range_end for all keys with this prefix: the prefix with its last byte incremented. If no such
/// successor exists, returns "\0", which means "to the last key".
std::string PrefixRangeEnd(std::string prefix);

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_KEY_RANGE_H_
