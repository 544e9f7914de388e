// SPDX-License-Identifier: Apache-2.0
//
// Round trips and prices between zones, from a table that lists what is out of the ordinary. Pure: the table
// is whatever has these members (operator_config::Regions), so that this package needs no file.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_LINKS_H_
#define BADGERBRIDGE_ZONE_FAILOVER_LINKS_H_

#include <algorithm>

#include "zone_failover/decision.h"

namespace badgerbridge::zone_failover {

struct Links {
  Matrix round_trip;  // ms
  Matrix price;       // share of the work that crosses
};

// `table.zones` in order; `table.links` go both ways, and a zone that `zones` does not name is left out.
template <typename Table>
Links LinksOf(const Table& table) {
  const std::size_t n = table.zones.size();
  Links links{Matrix(n, static_cast<double>(table.round_trip.count())),
              Matrix(n, table.price_percent / 100.0)};
  for (std::size_t z = 0; z < n; ++z) links.round_trip.at(z, z) = links.price.at(z, z) = 0;
  const auto index = [&](const auto& name) {
    return static_cast<std::size_t>(std::find(table.zones.begin(), table.zones.end(), name) -
                                    table.zones.begin());
  };
  for (const auto& link : table.links) {
    const std::size_t a = index(link.from), b = index(link.to);
    if (a >= n || b >= n) continue;
    links.round_trip.at(a, b) = links.round_trip.at(b, a) = static_cast<double>(link.round_trip.count());
    links.price.at(a, b) = links.price.at(b, a) = link.price_percent / 100.0;
  }
  return links;
}

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_LINKS_H_
