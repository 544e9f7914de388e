// SPDX-License-Identifier: Apache-2.0

/// @file
/// Encodes members as etcd key-value pairs: one key for each backend under a prefix, with a JSON object in
/// the form of a service discovery endpoint as its value. Only this file maps the stored names ("converters",
/// "Terminating", "since_ms") to the names in the code. Pure: no I/O.
#ifndef BADGERBRIDGE_MEMBERSHIP_MEMBER_CODEC_H_
#define BADGERBRIDGE_MEMBERSHIP_MEMBER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "etcd.pb.h"
#include "membership/error.h"
#include "membership/member.h"

namespace badgerbridge::membership {

/// The default prefix of the backends' keys; the operator's file can set another.
constexpr char kBackendsPrefix[] = "/badgerbridge/converters/";

/// Parses the value of the key of the backend `name`. Errors: kNotJsonObject, kNameMismatch,
/// kUnknownStatus, kMissingAddress, kInvalidNumber.
Result<Member> ParseMember(std::string_view name, std::string_view value);

/// The value that ParseMember reads. Precondition: the state is not kGone, which has no stored form.
std::string SerializeMember(const Member& member);

/// A compare-and-swap transaction that sets the status in the value of `kv` to `state` if the key has not
/// been modified since it was read. The lease and all other fields are preserved. The failure branch reads
/// the key again. nullopt: the value has that state already. Error: kNotJsonObject.
Result<std::optional<etcdserverpb::TxnRequest>> MakeStateChange(const etcdserverpb::KeyValue& kv,
                                                                MemberState state);

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_MEMBER_CODEC_H_
