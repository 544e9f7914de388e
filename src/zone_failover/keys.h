// SPDX-License-Identifier: Apache-2.0
/// @file
/// The etcd keys of zone failover, below the prefix set in the operator's file. Members of different releases
/// share them, so their text must not change. The same holds for the fields of the values, defined in
/// decision_codec.cpp and load_report.cpp.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_KEYS_H_
#define BADGERBRIDGE_ZONE_FAILOVER_KEYS_H_

#include <cstddef>
#include <string>

namespace badgerbridge::zone_failover {

constexpr char kMembersKey[] = "members/";   ///< prefix of the members' load reports; see MemberKey
constexpr char kLeaderKey[] = "decider";     ///< name of the leader, bound to its lease
constexpr char kDecisionKey[] = "decision";  ///< the Decision
constexpr char kRosterKey[] = "roll";        ///< Decision::roster
constexpr char kOrdersKey[] = "orders/";     ///< prefix of the evacuation orders; see OrderKey

/// Key of a member's LoadReport, which is bound to the member's lease.
inline std::string MemberKey(const std::string& member) { return kMembersKey + member; }
/// Key of the order to evacuate a zone; its value is the name of the operator who gave the order.
inline std::string OrderKey(std::size_t zone) { return kOrdersKey + std::to_string(zone); }

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_KEYS_H_
