// SPDX-License-Identifier: Apache-2.0
//
// What is written in etcd: one key a backend under a prefix, its value in discovery's endpoint form. Pure.
#ifndef BADGERBRIDGE_MEMBERSHIP_VALUE_H_
#define BADGERBRIDGE_MEMBERSHIP_VALUE_H_

#include <optional>
#include <string>
#include <string_view>

#include "etcd.pb.h"
#include "membership/ledger.h"

namespace badgerbridge::membership {

// A value under its key. The reason if it can't be read, or names another backend than its key.
std::optional<std::string> ReadMember(std::string_view name, std::string_view value, Member* member);

// What ReadMember reads; a member that is gone has no value.
std::string ValueOf(const Member& member);

// Compare-and-swap of the status alone: the transaction that writes `state` into the value of `kv` if the key
// is still as it was read, and leaves its lease and all else of the value alone. Its other branch reads the
// key again. Nothing if the value says so already; *problem if it can't be read.
std::optional<etcdserverpb::TxnRequest> ChangeOfState(const etcdserverpb::KeyValue& kv, State state,
                                                      std::string* problem);

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_VALUE_H_
