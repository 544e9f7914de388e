// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What one proxy reports of zone failover (GET /v1/zones), and the check of all proxies' quotas together.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_ZONE_FAILOVER_VIEW_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_ZONE_FAILOVER_VIEW_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace badgerbridge::multiprocess {

/// One zone, as a proxy reports it.
struct ReceiverView {
  double quota = -1;  ///< What this proxy may send there, work a ms; negative: without limit.
  double limit = 0;   ///< Of all proxies, in the decision that this one follows.
  std::string state;  ///< Of the zone, by its wire word.
};

/// A proxy's view of zone failover.
struct ProxyZoneView {
  int zone = 0;                         ///< Of the proxy.
  std::uint64_t epoch = 0;              ///< Of the decision that it follows; 0: it has received none.
  bool is_connected = false;            ///< To etcd, as zone failover needs it.
  bool is_leader = false;               ///< Whether it leads.
  std::vector<ReceiverView> receivers;  ///< By zone.
};

/// Reads the answer of a proxy; nothing if it is malformed. `zones`: all zones' names.
std::optional<ProxyZoneView> ParseZoneView(const boost::json::value& answer,
                                           const std::vector<std::string>& zones);

/// For the worst zone: what all proxies that follow a decision may send there from elsewhere, and its own
/// proxies too where it is not healthy, over the largest limit that one of their decisions gives it. 0:
/// nothing is granted.
double MaxQuotaRatio(const std::vector<const ProxyZoneView*>& views);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_ZONE_FAILOVER_VIEW_H_
