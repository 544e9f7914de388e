// SPDX-License-Identifier: Apache-2.0
//
// Encodes the admin API's zone failover response as JSON. Its field names differ from the terms of the code;
// the mapping is here and in docs/terms.md. No I/O.
#ifndef BADGERBRIDGE_PROXY_MAIN_ZONE_STATUS_CODEC_H_
#define BADGERBRIDGE_PROXY_MAIN_ZONE_STATUS_CODEC_H_

#include <boost/json/object.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "zone_failover/member.h"

namespace badgerbridge::proxy_main {

/// Names of all zones, and the proxy's own zone.
struct ZoneNames {
  std::vector<std::string> all;  ///< In the configuration's order.
  std::size_t home = 0;          ///< The index of the zone that the proxy runs in.
};

/// Encodes this proxy's role in zone failover and the decision that it applies, as of `now`. `is_coordinated`
/// is false if the proxy decides without the other members.
boost::json::object EncodeZoneStatus(balancer::TimePoint now, const zone_failover::Member& member,
                                     const ZoneNames& zones, bool is_coordinated);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_ZONE_STATUS_CODEC_H_
