// SPDX-License-Identifier: Apache-2.0

/// @file
/// Why a registration ended, or its most recent failure. Pure: no I/O.
#ifndef BADGERBRIDGE_MEMBERSHIP_REGISTRATION_CONDITION_H_
#define BADGERBRIDGE_MEMBERSHIP_REGISTRATION_CONDITION_H_

#include <string>

#include "etcd/grpc.h"

namespace badgerbridge::membership {

/// The reason of a condition.
enum class ConditionReason {
  kNone,              ///< No failure so far.
  kCallFailed,        ///< A call to etcd failed and is retried.
  kLeaseLost,         ///< The lease expired; unless stopped, a new one is requested.
  kStopped,           ///< Registration::Stop was called.
  kNewerIncarnation,  ///< A newer incarnation has the key; the registration ends.
  kKeyDeleted,        ///< An operator deleted the key; the registration ends.
};

/// The end or the most recent failure of a registration.
struct RegistrationCondition {
  ConditionReason reason = ConditionReason::kNone;  ///< The reason; kNone: all is well.
  std::string subject;                              ///< The failed operation, or the backend's name.
  etcd::Status status;                              ///< The status of the failed call.
};

/// The condition as one human-readable line; empty for kNone.
std::string Message(const RegistrationCondition& condition);

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_REGISTRATION_CONDITION_H_
