// SPDX-License-Identifier: Apache-2.0

/// @file
/// The front of each zone, which distributes clients over the proxies.
#ifndef BADGERBRIDGE_SIMULATOR_FRONT_H_
#define BADGERBRIDGE_SIMULATOR_FRONT_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "simulator/random.h"

namespace badgerbridge::simulator {

/// The proxies that the fronts know, by zone. They notice late that one has died.
class Front {
 public:
  /// For `zones` zones, with no proxies.
  explicit Front(std::size_t zones) : proxies_by_zone_(zones) {}

  /// Adds a proxy at the end of its zone's.
  void Add(std::size_t zone, std::size_t proxy) { proxies_by_zone_[zone].push_back(proxy); }
  /// Removes a proxy, if it is there.
  void Remove(std::size_t zone, std::size_t proxy) { std::erase(proxies_by_zone_[zone], proxy); }
  /// Draws a proxy of the zone, or of any if it has none; none if there is no proxy.
  std::optional<std::size_t> Pick(std::size_t zone, Random& random) const;

 private:
  std::vector<std::vector<std::size_t>> proxies_by_zone_;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_FRONT_H_
