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
      return "the lease was lost";
    case ConditionReason::kStopped:
      return "it was ended";
    case ConditionReason::kNewerIncarnation:
      return "a newer start of " + condition.subject + " is registered";
    case ConditionReason::kKeyDeleted:
      return "its key was deleted by somebody else: it is not written again";
  }
  return "";
}

}  // namespace badgerbridge::membership
