// SPDX-License-Identifier: Apache-2.0
//
// Names that the files of a trial share: of zones, of the processes of their clients, and of etcd's keys.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_TRIAL_NAMES_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_TRIAL_NAMES_H_

#include <string>

namespace badgerbridge::multiprocess {

// The prefix of the regions' keys in etcd.
constexpr const char* kPrefix = "/badgerbridge/regions/";

// The prefix of the backends' keys in etcd, where the proxies follow relays. Below it, one prefix a zone of
// proxies: each zone reaches a backend at an address of its own.
constexpr const char* kMembersPrefix = "/badgerbridge/converters/";

inline std::string ZoneName(int zone) { return "z" + std::to_string(zone); }

inline std::string MembersPrefix(int zone) { return kMembersPrefix + ZoneName(zone) + "/"; }

inline std::string RelayName(std::size_t index) { return "relay-" + std::to_string(index + 1); }

inline std::string ClientsName(int zone) { return "clients-" + std::to_string(zone); }

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_TRIAL_NAMES_H_
