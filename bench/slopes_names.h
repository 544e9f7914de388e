// SPDX-License-Identifier: Apache-2.0
//
// Names, addresses and values of a large installation's backends, as the parts of bench/slopes use them.
#ifndef BADGERBRIDGE_BENCH_SLOPES_NAMES_H_
#define BADGERBRIDGE_BENCH_SLOPES_NAMES_H_

#include <cstdio>
#include <string>
#include <vector>

#include "membership/ledger.h"
#include "slopes.h"

namespace badgerbridge::bench {

inline std::string ZoneName(int zone) { return "zone-" + std::to_string(zone); }

// 22 characters, as in bench/etcd.
inline std::string BackendName(int index) {
  char name[32];
  std::snprintf(name, sizeof(name), "converter-rack%02d-%06d", index % 100, index);
  return name;
}

inline std::string BackendAddress(int index) {
  return "10." + std::to_string(index / 65536 % 256) + "." + std::to_string(index / 256 % 256) + "." +
         std::to_string(index % 256) + ":8080";
}

inline membership::Member BackendMember(int index) {
  membership::Member member;
  member.name = BackendName(index);
  member.address = BackendAddress(index);
  member.zone = ZoneName(index % kZones);
  member.kind = "standard";
  member.group = index / 16;
  member.weight = 1;
  member.start_time_ms = 1.79e12 + index * 1000.0;
  return member;
}

inline std::vector<membership::Member> BackendMembers(int count) {
  std::vector<membership::Member> members;
  for (int i = 0; i < count; ++i) members.push_back(BackendMember(i));
  return members;
}

}  // namespace badgerbridge::bench

#endif  // BADGERBRIDGE_BENCH_SLOPES_NAMES_H_
