// SPDX-License-Identifier: Apache-2.0

/// \file
/// Why a follower closed a connection or could not open one.
#ifndef BADGERBRIDGE_ETCD_FOLLOWER_ERROR_H_
#define BADGERBRIDGE_ETCD_FOLLOWER_ERROR_H_

#include <cstdint>
#include <string>

#include "etcd/status.h"

namespace badgerbridge::etcd {

/// What went wrong.
enum class FollowerErrorCode {
  kConnectionLost,            ///< Connect failed or the connection ended; `detail` has the cause.
  kConnectTimeout,            ///< Not connected in time.
  kStepTimeout,               ///< A step before the watch was not answered in time.
  kAuthenticationFailed,      ///< Authentication failed with `status`.
  kProbeFailed,               ///< The read of the committed revision failed with `status`.
  kSnapshotFailed,            ///< Reading a page failed with `status`.
  kMissingRevision,           ///< A page has no revision.
  kClusterChangedInSnapshot,  ///< A page is from a different cluster than the first page.
  kSnapshotTooLarge,          ///< The snapshot exceeds `limit` bytes.
  kClusterChangedInWatch,     ///< A watch response is from a different cluster than the snapshot.
  kCompacted,                 ///< The start revision was compacted; `revision` is the compact revision.
  kWatchCancelled,            ///< The server cancelled the watch; `detail` is its reason.
  kUnknownWatch,              ///< Events with the id of a watch that was not requested.
  kTooManyBufferedEvents,     ///< More than `limit` events are buffered before a complete revision.
  kEventsOutOfOrder,          ///< An event's revision is lower than that of an earlier event.
  kWatchUnresponsive,         ///< A requested progress notification was not received in time.
  kWatchEnded,                ///< The watch stream ended with `status`.
  kRejected,                  ///< The follower's owner rejected the data; `detail` is its reason.
};

/// An error and its details.
struct FollowerError {
  FollowerErrorCode code = FollowerErrorCode::kConnectionLost;  ///< Kind of error.
  Status status = {};                                           ///< Status of the failed call, if any.
  std::string detail = {};                                      ///< See FollowerErrorCode; may be empty.
  std::uint64_t limit = 0;    ///< The exceeded limit, for codes with a limit.
  std::int64_t revision = 0;  ///< See FollowerErrorCode.
};

/// Makes an error that has only a `detail`. Not inline, because GCC 12 at -O3 warns that the empty status is
/// uninitialized if the error is constructed in place.
FollowerError MakeFollowerError(FollowerErrorCode code, std::string detail);

/// A human-readable message in one line, without a newline.
std::string Message(const FollowerError& error);

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_FOLLOWER_ERROR_H_
