// SPDX-License-Identifier: Apache-2.0
/// @file
/// Round trips and transfer prices between zones, from a table of the links that differ from the default.
/// Pure: the table is any type with the members of operator_config::ZoneFailoverSettings, so that this
/// package does not depend on the operator's file.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_LINKS_H_
#define BADGERBRIDGE_ZONE_FAILOVER_LINKS_H_

#include <algorithm>
#include <cstddef>

#include "zone_failover/matrix.h"

namespace badgerbridge::zone_failover {

/// Round trip and transfer price between each pair of zones; both are symmetric.
struct ZoneLinks {
  Matrix round_trip_ms;   ///< 0 within a zone
  Matrix transfer_price;  ///< fraction of the transferred work; 0 within a zone
};

/// Builds the links from `table.zones`, whose order gives the zone indexes, and `table.links`, which apply in
/// both directions. Ignores links of zones that `table.zones` does not contain.
template <typename Table>
ZoneLinks ZoneLinksFrom(const Table& table) {
  const std::size_t zones = table.zones.size();
  ZoneLinks links{Matrix(zones, static_cast<double>(table.round_trip.count())),
                  Matrix(zones, table.transfer_price_percent / 100.0)};
  for (std::size_t zone = 0; zone < zones; ++zone) {
    links.round_trip_ms.at(zone, zone) = 0;
    links.transfer_price.at(zone, zone) = 0;
  }
  const auto index_of = [&](const auto& name) {
    return static_cast<std::size_t>(std::find(table.zones.begin(), table.zones.end(), name) -
                                    table.zones.begin());
  };
  for (const auto& link : table.links) {
    const std::size_t from = index_of(link.from);
    const std::size_t to = index_of(link.to);
    if (from >= zones || to >= zones) continue;
    const double round_trip_ms = static_cast<double>(link.round_trip.count());
    const double price = link.transfer_price_percent / 100.0;
    links.round_trip_ms.at(from, to) = round_trip_ms;
    links.round_trip_ms.at(to, from) = round_trip_ms;
    links.transfer_price.at(from, to) = price;
    links.transfer_price.at(to, from) = price;
  }
  return links;
}

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_LINKS_H_
