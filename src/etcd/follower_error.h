// SPDX-License-Identifier: Apache-2.0

/// \file
/// Why a follower gave up a connection, or could not get one. Pure.
#ifndef BADGERBRIDGE_ETCD_FOLLOWER_ERROR_H_
#define BADGERBRIDGE_ETCD_FOLLOWER_ERROR_H_

#include <cstdint>
#include <string>

#include "etcd/status.h"

namespace badgerbridge::etcd {

/// What went wrong.
enum class FollowerErrorCode {
  kConnectionLost,            ///< Not connected, or no longer; `detail` has the cause.
  kConnectTimeout,            ///< Not connected in time.
  kStepTimeout,               ///< No answer in time on the way to a watch.
  kAuthenticationFailed,      ///< With `status`.
  kProbeFailed,               ///< The read of what is committed failed with `status`.
  kSnapshotFailed,            ///< A page could not be read: `status`.
  kMissingRevision,           ///< A page has no revision.
  kClusterChangedInSnapshot,  ///< A page is of another cluster than the first.
  kSnapshotTooLarge,          ///< More than `limit` bytes.
  kClusterChangedInWatch,     ///< A message of the watch is of another cluster than the snapshot.
  kCompacted,                 ///< The watch's start was compacted; `revision` is the compaction's.
  kWatchCancelled,            ///< By the server; `detail` is its reason.
  kUnknownWatch,              ///< Events of a watch that was not requested.
  kTooManyBufferedEvents,     ///< One revision has more than `limit` events.
  kEventsOutOfOrder,          ///< A revision is below that of an earlier event.
  kWatchUnresponsive,         ///< No progress notification, though one was requested.
  kWatchEnded,                ///< With `status`.
  kRejected,                  ///< By the follower's owner; `detail` is its reason.
};

/// One error, with the value that was wrong.
struct FollowerError {
  FollowerErrorCode code = FollowerErrorCode::kConnectionLost;  ///< What went wrong.
  Status status = {};                                           ///< Of the call that failed, if one did.
  std::string detail = {};                                      ///< See FollowerErrorCode; may be empty.
  std::uint64_t limit = 0;                                      ///< The limit that was exceeded.
  std::int64_t revision = 0;                                    ///< See FollowerErrorCode.
};

/// An error with a `detail` alone. Not inline: GCC 12 at -O3 takes the empty status of one that is built in
/// place for uninitialized.
FollowerError MakeFollowerError(FollowerErrorCode code, std::string detail);

/// The error as one line for people, without a line end.
std::string Message(const FollowerError& error);

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_FOLLOWER_ERROR_H_
