// SPDX-License-Identifier: Apache-2.0
//
// The keys of the regions in etcd, below the prefix that the operator's file names. Members of different
// releases share them, so the text stays what it is, also where the code has another name for the thing. The
// same holds for the fields of the values: decision.cpp and evidence.cpp, which encode and decode them, have
// those.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_KEYS_H_
#define BADGERBRIDGE_ZONE_FAILOVER_KEYS_H_

#include <string>

namespace badgerbridge::zone_failover {

constexpr char kMembersKey[] = "members/";   // and a member's name: its evidence, under its lease
constexpr char kDeciderKey[] = "decider";    // the decider's name, under its lease
constexpr char kDecisionKey[] = "decision";  // the Decision
constexpr char kRosterKey[] = "roll";        // Decision::roster: whom the decision counts
constexpr char kOrdersKey[] = "orders/";     // and a zone's number: who ordered that it be left

inline std::string MemberKey(const std::string& member) { return kMembersKey + member; }
inline std::string OrderKey(std::size_t zone) { return kOrdersKey + std::to_string(zone); }

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_KEYS_H_
