// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/error.h"

#include <system_error>
#include <utility>

namespace badgerbridge::multiprocess {

std::string Message(const RunError& error) {
  switch (error.kind) {
    case RunErrorKind::kSystemCall:
      return error.where + " " + error.detail + ": " + std::generic_category().message(error.error_number);
    case RunErrorKind::kNoAddressBlock:
      return "every block of loopback addresses is taken by another run";
    case RunErrorKind::kNotInTime:
      return "not in time: " + error.where;
    case RunErrorKind::kProcessEnded:
      return error.where + " ended at its start, " + error.detail;
    case RunErrorKind::kMalformedMessage:
      return error.where + ": malformed message: " + error.detail;
  }
  return error.detail;
}

std::string Message(const ProcessFault& fault) {
  switch (fault.kind) {
    case ProcessFaultKind::kRoleError:
      return fault.process + ": " + fault.detail;
    case ProcessFaultKind::kEnded:
      return fault.process + " ended by itself, " + fault.detail;
    case ProcessFaultKind::kNotEnded:
      return fault.process + " had not ended in time after SIGTERM";
    case ProcessFaultKind::kBadExit:
      return fault.process + " did not end with 0, " + fault.detail;
    case ProcessFaultKind::kMalformedRequest:
      return fault.process + ": a backend received a request that no proxy may send";
    case ProcessFaultKind::kNoLeader:
      return fault.detail + ": there was no leader then";
    case ProcessFaultKind::kFewQuotaChecks:
      return "the proxies' quotas were checked together " + fault.detail + " times only";
  }
  return fault.detail;
}

RunFailure::RunFailure(RunError error) : std::runtime_error(Message(error)), error_(std::move(error)) {}

}  // namespace badgerbridge::multiprocess
