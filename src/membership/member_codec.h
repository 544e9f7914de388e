// SPDX-License-Identifier: Apache-2.0

/// @file
/// Members as they are written in etcd: one key for each backend under a prefix, its value a JSON object in
/// discovery's endpoint form. The one place where the wire's words ("converters", "Terminating", "since_ms")
/// meet the code's. Pure.
#ifndef BADGERBRIDGE_MEMBERSHIP_MEMBER_CODEC_H_
#define BADGERBRIDGE_MEMBERSHIP_MEMBER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "etcd.pb.h"
#include "membership/error.h"
#include "membership/member.h"

namespace badgerbridge::membership {

/// What precedes a backend's name in its key, unless the operator's file has another prefix.
constexpr char kBackendsPrefix[] = "/badgerbridge/converters/";

/// Parses the value under the key of the backend `name`. Errors: kNotJsonObject, kNameMismatch,
/// kUnknownStatus, kMissingAddress, kInvalidNumber.
Result<Member> ParseMember(std::string_view name, std::string_view value);

/// The value that ParseMember reads. A member of state kGone has none: it must not be passed.
std::string SerializeMember(const Member& member);

/// A compare-and-swap of the status alone: the transaction that writes `state` into the value of `kv` if the
/// key is still as it was read, with the lease and all else of the value as they are. Its other branch reads
/// the key again. Nothing if the value has that state already. Error: kNotJsonObject.
Result<std::optional<etcdserverpb::TxnRequest>> MakeStateChange(const etcdserverpb::KeyValue& kv,
                                                                MemberState state);

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_MEMBER_CODEC_H_
