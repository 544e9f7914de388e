// SPDX-License-Identifier: Apache-2.0
//
// Names that the files of a trial share: of zones, of the processes of their clients, and of etcd's keys.
#ifndef BADGERBRIDGE_TESTS_TOGETHER_TRIAL_NAMES_H_
#define BADGERBRIDGE_TESTS_TOGETHER_TRIAL_NAMES_H_

#include <string>

namespace badgerbridge::together {

// The prefix of the regions' keys in etcd.
constexpr const char* kPrefix = "/badgerbridge/regions/";

inline std::string ZoneName(int zone) { return "z" + std::to_string(zone); }

inline std::string ClientsName(int zone) { return "clients-" + std::to_string(zone); }

}  // namespace badgerbridge::together

#endif  // BADGERBRIDGE_TESTS_TOGETHER_TRIAL_NAMES_H_
