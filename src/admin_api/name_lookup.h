// SPDX-License-Identifier: Apache-2.0
//
// Maps the balancer's indices to the names of zones, kinds and request classes.
#ifndef BADGERBRIDGE_ADMIN_API_NAME_LOOKUP_H_
#define BADGERBRIDGE_ADMIN_API_NAME_LOOKUP_H_

#include <cstddef>
#include <string>
#include <vector>

namespace badgerbridge::admin_api {

/// The name at an index; empty if the index is out of range, as for an endpoint whose zone is missing from
/// the configuration.
inline std::string NameAt(const std::vector<std::string>& names, int index) {
  if (index < 0 || static_cast<std::size_t>(index) >= names.size()) return {};
  return names[static_cast<std::size_t>(index)];
}

}  // namespace badgerbridge::admin_api

#endif  // BADGERBRIDGE_ADMIN_API_NAME_LOOKUP_H_
