// SPDX-License-Identifier: Apache-2.0

/// @file
/// A backend as a member of the list that proxies balance requests over.
#ifndef BADGERBRIDGE_MEMBERSHIP_MEMBER_H_
#define BADGERBRIDGE_MEMBERSHIP_MEMBER_H_

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace badgerbridge::membership {

/// A time point on the monotonic clock, or a duration, in milliseconds.
using Time = std::chrono::milliseconds;

/// The state of a member.
enum class MemberState {
  kGone,      ///< Not in the list any more.
  kReady,     ///< Accepts new requests.
  kDraining,  ///< Finishes its requests in flight and accepts no new ones.
};

/// The state as written in the control API and in messages.
std::string_view Name(MemberState state);

/// One backend, with the fields of an endpoint in service discovery.
struct Member {
  std::string name;                         ///< Unique in the list.
  std::string address;                      ///< "ADDRESS:PORT".
  std::string zone;                         ///< The zone it runs in.
  std::string kind;                         ///< The machine type.
  std::string service;                      ///< Empty: the source does not list members by service.
  int group = 0;                            ///< The failure domain (cell) it belongs to.
  MemberState state = MemberState::kReady;  ///< As reported by a source, or as decided by the ledger.
  double weight = 1;                        ///< Relative capacity, at least 0.
  /// The start of this incarnation, Unix time in milliseconds; 0: unknown, older than any other.
  double start_time_ms = 0;

  /// Compares all fields.
  friend bool operator==(const Member&, const Member&) = default;
};

/// A shared immutable member, so that a list of ten thousand is stored only once.
using MemberPtr = std::shared_ptr<const Member>;

/// A copy of `member` with `state`.
MemberPtr WithState(const Member& member, MemberState state);

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_MEMBER_H_
