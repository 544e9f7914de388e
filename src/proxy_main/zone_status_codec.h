// SPDX-License-Identifier: Apache-2.0
//
// The admin API's answer about zone failover as JSON. Here its field names meet the code's terms
// (docs/terms.md). No I/O.
#ifndef BADGERBRIDGE_PROXY_MAIN_ZONE_STATUS_CODEC_H_
#define BADGERBRIDGE_PROXY_MAIN_ZONE_STATUS_CODEC_H_

#include <boost/json/object.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "zone_failover/member.h"

namespace badgerbridge::proxy_main {

/// The zones as one proxy knows them.
struct ZoneNames {
  std::vector<std::string> all;  ///< In the configuration's order.
  std::size_t home = 0;          ///< The index of the zone that the proxy runs in.
};

/// This proxy's part in zone failover, and the decision that it acts on, at `now`. `is_coordinated`: it
/// decides together with the other members, and not alone.
boost::json::object EncodeZoneStatus(balancer::TimePoint now, const zone_failover::Member& member,
                                     const ZoneNames& zones, bool is_coordinated);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_ZONE_STATUS_CODEC_H_
