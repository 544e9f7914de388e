// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The errors of the watch cache's core, and the result type that carries them.
#ifndef BADGERBRIDGE_WATCH_CACHE_ERROR_H_
#define BADGERBRIDGE_WATCH_CACHE_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <cstdint>
#include <string>

namespace badgerbridge::watch_cache {

/// Why data from upstream is rejected.
enum class UpstreamErrorCode {
  kKeyOutsidePrefix,        ///< `key` does not begin with `expected_prefix`.
  kKeyWithoutRevision,      ///< `key` has no mod_revision.
  kRevisionAfterHeader,     ///< `key` has `revision`, which is above the response's `expected_revision`.
  kDuplicateKey,            ///< `key` is in a list twice.
  kUnknownEventType,        ///< Neither a put nor a deletion.
  kRevisionOutOfOrder,      ///< An event of `revision` where `expected_revision` or later is due.
  kEventsBeforeSnapshot,    ///< Events before the first list.
  kProgressBeforeSnapshot,  ///< A progress notification before the first list.
  kProgressDecreased,       ///< Progress at `revision`, below the cache's revision, `expected_revision`.
};

/// The kind of upstream message that contains invalid data.
enum class UpstreamMessage {
  kList,          ///< The response to a range read.
  kEvent,         ///< An event of a watch.
  kNotification,  ///< A progress notification of a watch.
};

/// Data from upstream that contradicts itself or earlier data.
struct UpstreamError {
  UpstreamErrorCode code = UpstreamErrorCode::kKeyOutsidePrefix;  ///< The reason.
  UpstreamMessage where = UpstreamMessage::kList;                 ///< The kind of message.
  std::string key;                                                ///< The key concerned, if any.
  std::int64_t revision = 0;                                      ///< The invalid revision, if any.
  std::int64_t expected_revision = 0;                             ///< See UpstreamErrorCode.
  std::string expected_prefix;                                    ///< See UpstreamErrorCode.
};

/// A one-line description for operators, without a trailing newline.
std::string Message(const UpstreamError& error);

/// Either a value or the error that prevented it.
template <typename T>
using Result = boost::system::result<T, UpstreamError>;

/// Called by Result::value() if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const UpstreamError& error,
                                             const boost::source_location& location);

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_ERROR_H_
