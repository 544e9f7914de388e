// SPDX-License-Identifier: Apache-2.0
#include "cli/etcd_session.h"

namespace badgerbridge::cli {
namespace {

ExitCode ExitCodeOf(const etcd::Status& status) {
  const bool is_denied =
      status.code == etcd::Code::kUnauthenticated || status.code == etcd::Code::kPermissionDenied;
  if (is_denied) return ExitCode::kNotAllowed;
  return status.IsRetriable() ? ExitCode::kUnreachable : ExitCode::kPartialFailure;
}

}  // namespace

EtcdError EtcdCallError(const etcd::Status& status) {
  return {EtcdError::Kind::kCallFailed, ExitCodeOf(status), "", status.ToString()};
}

}  // namespace badgerbridge::cli
