// SPDX-License-Identifier: Apache-2.0
#include "membership/registration_condition.h"

namespace badgerbridge::membership {

std::string Message(const RegistrationCondition& condition) {
  switch (condition.reason) {
    case ConditionReason::kNone:
      return "";
    case ConditionReason::kCallFailed:
      return condition.subject + ": " + condition.status.ToString();
    case ConditionReason::kLeaseLost:
      return "the lease expired";
    case ConditionReason::kStopped:
      return "the registration was stopped";
    case ConditionReason::kNewerIncarnation:
      return "a newer incarnation of " + condition.subject + " is registered; this registration ends";
    case ConditionReason::kKeyDeleted:
      return "its key was deleted by somebody else: it is not written again";
  }
  return "";
}

}  // namespace badgerbridge::membership
