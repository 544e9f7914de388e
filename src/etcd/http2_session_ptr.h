// SPDX-License-Identifier: Apache-2.0

/// \file
/// Owning pointer to an nghttp2 session that does not require nghttp2's headers.
#ifndef BADGERBRIDGE_ETCD_HTTP2_SESSION_PTR_H_
#define BADGERBRIDGE_ETCD_HTTP2_SESSION_PTR_H_

#include <memory>

struct nghttp2_session;

namespace badgerbridge::etcd {

/// Deleter for an nghttp2 session.
struct Http2SessionDeleter {
  /// Frees `session`; no callback runs.
  void operator()(nghttp2_session* session) const;
};
/// Owns an nghttp2 session.
using Http2SessionPtr = std::unique_ptr<nghttp2_session, Http2SessionDeleter>;

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_HTTP2_SESSION_PTR_H_
