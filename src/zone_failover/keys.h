// SPDX-License-Identifier: Apache-2.0
/// @file
/// The keys of zone failover in etcd, below the prefix that the operator's file names. Members of different
/// releases share them, so their text stays as it is. The same holds for the fields of the values, which are
/// in decision_codec.cpp and load_report.cpp.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_KEYS_H_
#define BADGERBRIDGE_ZONE_FAILOVER_KEYS_H_

#include <cstddef>
#include <string>

namespace badgerbridge::zone_failover {

constexpr char kMembersKey[] = "members/";   ///< and a member's name: its LoadReport, under its lease
constexpr char kLeaderKey[] = "decider";     ///< the leader's name, under its lease
constexpr char kDecisionKey[] = "decision";  ///< the Decision
constexpr char kRosterKey[] = "roll";        ///< Decision::roster
constexpr char kOrdersKey[] =
    "orders/";  ///< and a zone's number: name of the person who ordered to evacuate it

/// Key of a member's load report.
inline std::string MemberKey(const std::string& member) { return kMembersKey + member; }
/// Key of the order to evacuate a zone.
inline std::string OrderKey(std::size_t zone) { return kOrdersKey + std::to_string(zone); }

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_KEYS_H_
