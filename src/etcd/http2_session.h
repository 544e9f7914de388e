// SPDX-License-Identifier: Apache-2.0

/// \file
/// nghttp2 helpers shared by the client and server side of an HTTP/2 connection (RFC 9113): session
/// ownership, input, output and header fields.
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

/// Deleter for nghttp2's callback table.
struct Http2CallbacksDeleter {
  /// Frees `callbacks`. A session copies them, so they may be freed once the session was created.
  void operator()(nghttp2_session_callbacks* callbacks) const { nghttp2_session_callbacks_del(callbacks); }
};
/// Owns nghttp2's callback table.
using Http2CallbacksPtr = std::unique_ptr<nghttp2_session_callbacks, Http2CallbacksDeleter>;

/// Creates an empty callback table. Throws std::bad_alloc.
Http2CallbacksPtr NewHttp2Callbacks();

/// Creates a client session. Throws std::bad_alloc.
Http2SessionPtr NewHttp2ClientSession(const nghttp2_session_callbacks& callbacks, void* user_data);
/// Creates a server session. Throws std::bad_alloc.
Http2SessionPtr NewHttp2ServerSession(const nghttp2_session_callbacks& callbacks, void* user_data);

/// Passes received bytes to the session and runs its callbacks. Returns an error if the bytes violate HTTP/2.
std::optional<ConnectionError> ReceiveBytes(nghttp2_session& session, std::string_view bytes);

/// Output of a session.
struct Http2Output {
  std::string bytes;                     ///< Bytes to send, up to the failure if there is one.
  std::optional<ConnectionError> error;  ///< Set if the session failed.
};
/// Takes whole frames until there are at least `min_bytes` bytes or no more output.
Http2Output TakeBytes(nghttp2_session& session,
                      std::size_t min_bytes = std::numeric_limits<std::size_t>::max());

/// Returns nghttp2's views of the fields. The fields must outlive the views; nghttp2 copies both on
/// submission.
std::vector<nghttp2_nv> MakeNameValues(const HeaderFields& fields);

/// Returns a view of bytes owned by nghttp2.
inline std::string_view MakeStringView(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_HTTP2_SESSION_H_
