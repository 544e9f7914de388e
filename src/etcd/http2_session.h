// SPDX-License-Identifier: Apache-2.0

/// \file
/// What the two sides of an HTTP/2 connection (RFC 9113) share in their use of nghttp2: the ownership of its
/// session, input, output and header fields.
#ifndef BADGERBRIDGE_ETCD_HTTP2_SESSION_H_
#define BADGERBRIDGE_ETCD_HTTP2_SESSION_H_

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "etcd/error.h"
#include "etcd/header_field.h"
#include "etcd/http2_session_ptr.h"

namespace badgerbridge::etcd {

/// Frees nghttp2's table of callbacks.
struct Http2CallbacksDeleter {
  /// Frees `callbacks`; they are no longer needed once a session was created with them.
  void operator()(nghttp2_session_callbacks* callbacks) const { nghttp2_session_callbacks_del(callbacks); }
};
/// Owns nghttp2's table of callbacks.
using Http2CallbacksPtr = std::unique_ptr<nghttp2_session_callbacks, Http2CallbacksDeleter>;

/// An empty table of callbacks. Throws std::bad_alloc.
Http2CallbacksPtr NewHttp2Callbacks();

/// A session of the client's side. Throws std::bad_alloc.
Http2SessionPtr NewHttp2ClientSession(const nghttp2_session_callbacks& callbacks, void* user_data);
/// A session of the server's side. Throws std::bad_alloc.
Http2SessionPtr NewHttp2ServerSession(const nghttp2_session_callbacks& callbacks, void* user_data);

/// Lets the session process received bytes; its callbacks run within. An error if HTTP/2 was violated.
std::optional<ConnectionError> ReceiveBytes(nghttp2_session& session, std::string_view bytes);

/// What a session has to send.
struct Http2Output {
  std::string bytes;                     ///< To be sent; on an error those up to it.
  std::optional<ConnectionError> error;  ///< The session failed.
};
/// Takes output until there is none, or at least `enough` bytes: the last frame may go beyond it.
Http2Output TakeBytes(nghttp2_session& session, std::size_t enough = std::numeric_limits<std::size_t>::max());

/// nghttp2's views of the fields, which must outlive them; nghttp2 copies both when they are submitted.
std::vector<nghttp2_nv> MakeNameValues(const HeaderFields& fields);

/// A view of bytes that nghttp2 gives.
inline std::string_view MakeStringView(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_HTTP2_SESSION_H_
