// SPDX-License-Identifier: Apache-2.0
#include "simulator/front.h"

namespace badgerbridge::simulator {

std::optional<std::size_t> Front::Pick(std::size_t zone, Random& random) const {
  const std::vector<std::size_t>& own = proxies_by_zone_[zone];
  if (!own.empty()) return own[random.DrawBelow(own.size())];
  std::vector<std::size_t> all;
  for (const auto& proxies : proxies_by_zone_) all.insert(all.end(), proxies.begin(), proxies.end());
  if (all.empty()) return std::nullopt;
  return all[random.DrawBelow(all.size())];
}

}  // namespace badgerbridge::simulator
