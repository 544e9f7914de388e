// SPDX-License-Identifier: Apache-2.0

/// @file
/// A backend as a member of the list that proxies balance over.
#ifndef BADGERBRIDGE_MEMBERSHIP_MEMBER_H_
#define BADGERBRIDGE_MEMBERSHIP_MEMBER_H_

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace badgerbridge::membership {

/// A point on the monotonic clock, or a difference of two, in milliseconds.
using Time = std::chrono::milliseconds;

/// The state of a member of the list.
enum class MemberState {
  kGone,      ///< It has left the list.
  kReady,     ///< It takes new work.
  kDraining,  ///< It finishes the work it has and takes no new work.
};

/// The state's name in the control API and in messages.
std::string_view Name(MemberState state);

/// One backend, in the terms of service discovery's endpoints.
struct Member {
  std::string name;                         ///< Unique in the list.
  std::string address;                      ///< "ADDRESS:PORT".
  std::string zone;                         ///< The zone it runs in.
  std::string kind;                         ///< The kind of machine.
  std::string service;                      ///< Empty: its source has no services.
  int group = 0;                            ///< The failure domain (cell) it belongs to.
  MemberState state = MemberState::kReady;  ///< As its source reports it, or as decided.
  double weight = 1;                        ///< Relative capacity, at least 0.
  /// The start of this incarnation, Unix time in milliseconds; 0: long ago.
  double start_time_ms = 0;

  /// Whether all fields are equal.
  friend bool operator==(const Member&, const Member&) = default;
};

/// A member that is shared by all who refer to it, so that a list of ten thousand is stored once.
using MemberPtr = std::shared_ptr<const Member>;

/// A copy of `member` in another state.
MemberPtr WithState(const Member& member, MemberState state);

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_MEMBER_H_
