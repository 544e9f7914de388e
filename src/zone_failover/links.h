// SPDX-License-Identifier: Apache-2.0
/// @file
/// Round trips and transfer prices between zones, from a table that lists those that differ from the default.
/// Pure: the table is any type that has these members (operator_config::ZoneFailoverSettings), so that this
/// package needs no file.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_LINKS_H_
#define BADGERBRIDGE_ZONE_FAILOVER_LINKS_H_

#include <algorithm>
#include <cstddef>

#include "zone_failover/matrix.h"

namespace badgerbridge::zone_failover {

/// What it takes to send from one zone to another, both ways alike.
struct ZoneLinks {
  Matrix round_trip_ms;   ///< 0 within a zone
  Matrix transfer_price;  ///< share of the work that crosses; 0 within a zone
};

/// Reads `table.zones`, in order, and `table.links`, which go both ways; a link of a zone that `zones` does
/// not name is left out.
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
