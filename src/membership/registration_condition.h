// SPDX-License-Identifier: Apache-2.0

/// @file
/// Why a registration ended, or its newest fault. Pure.
#ifndef BADGERBRIDGE_MEMBERSHIP_REGISTRATION_CONDITION_H_
#define BADGERBRIDGE_MEMBERSHIP_REGISTRATION_CONDITION_H_

#include <string>

#include "etcd/grpc.h"

namespace badgerbridge::membership {

/// What a condition is about.
enum class ConditionReason {
  kNone,              ///< Nothing has gone wrong so far.
  kCallFailed,        ///< A call to etcd failed; it is made again.
  kLeaseLost,         ///< The lease ran out; another one is asked for.
  kStopped,           ///< It was stopped.
  kNewerIncarnation,  ///< The key is a newer incarnation's; the registration ends.
  kKeyDeleted,        ///< Somebody deleted the key; the registration ends.
};

/// A condition of a registration.
struct RegistrationCondition {
  ConditionReason reason = ConditionReason::kNone;  ///< What it is about.
  std::string subject;                              ///< The call that failed, or the backend's name.
  etcd::Status status;                              ///< Of the call that failed.
};

/// The condition as one line for people; empty for kNone.
std::string Message(const RegistrationCondition& condition);

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_REGISTRATION_CONDITION_H_
