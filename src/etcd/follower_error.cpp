// SPDX-License-Identifier: Apache-2.0
#include "etcd/follower_error.h"

#include <utility>

namespace badgerbridge::etcd {

FollowerError MakeFollowerError(FollowerErrorCode code, std::string detail) {
  FollowerError error;
  error.code = code;
  error.detail = std::move(detail);
  return error;
}

std::string Message(const FollowerError& error) {
  switch (error.code) {
    case FollowerErrorCode::kConnectionLost:
    case FollowerErrorCode::kRejected:
      return error.detail;
    case FollowerErrorCode::kConnectTimeout:
      return "no connection in time";
    case FollowerErrorCode::kStepTimeout:
      return "no answer in time";
    case FollowerErrorCode::kAuthenticationFailed:
      return "authentication: " + error.status.ToString();
    case FollowerErrorCode::kProbeFailed:
      return "asking: " + error.status.ToString();
    case FollowerErrorCode::kSnapshotFailed:
      return "listing: " + error.status.ToString();
    case FollowerErrorCode::kMissingRevision:
      return "a list without a revision";
    case FollowerErrorCode::kClusterChangedInSnapshot:
      return "another cluster answers in the midst of a list";
    case FollowerErrorCode::kSnapshotTooLarge:
      return "a list of more than " + std::to_string(error.limit) + " bytes";
    case FollowerErrorCode::kClusterChangedInWatch:
      return "another cluster answers a watch";
    case FollowerErrorCode::kCompacted:
      return "history is compacted up to " + std::to_string(error.revision);
    case FollowerErrorCode::kWatchCancelled:
      return "the watch was cancelled: " + error.detail;
    case FollowerErrorCode::kUnknownWatch:
      return "events of a watch that was not asked for";
    case FollowerErrorCode::kTooManyBufferedEvents:
      return "more events of one revision than are taken";
    case FollowerErrorCode::kEventsOutOfOrder:
      return "events out of their order";
    case FollowerErrorCode::kWatchUnresponsive:
      return "the watch says nothing, not even when asked";
    case FollowerErrorCode::kWatchEnded:
      return "the watch ended: " + error.status.ToString();
  }
  return "unknown error";
}

}  // namespace badgerbridge::etcd
