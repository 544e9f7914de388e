// SPDX-License-Identifier: Apache-2.0

/// \file
/// The client side of an HTTP/2 connection (RFC 9113) that carries gRPC calls (PROTOCOL-HTTP2 of the gRPC
/// documentation). Performs no I/O: the owner passes received bytes to Feed and sends the bytes returned by
/// TakeOutput. nghttp2 implements HTTP/2.
#ifndef BADGERBRIDGE_ETCD_HTTP2_CLIENT_H_
#define BADGERBRIDGE_ETCD_HTTP2_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "etcd/error.h"
#include "etcd/grpc.h"
#include "etcd/header_field.h"
#include "etcd/http2_session_ptr.h"

namespace badgerbridge::etcd {

/// Identifies a call on a connection by its stream identifier (RFC 9113, section 5.1.1).
using CallId = std::int32_t;

/// Callbacks of a call. Both may use the client and may cancel the call itself.
struct CallHandler {
  /// Called for each message of the response.
  std::function<void(std::string_view)> on_message;
  /// Called exactly once; neither function is called after it.
  std::function<void(const Status&)> on_end;
};

/// Limits of a client's connection.
struct Http2Limits {
  std::size_t max_message_bytes = 4 << 20;  ///< Limit for one response message.
  std::size_t max_unsent_bytes = 8 << 20;   ///< Limit for all messages that wait for flow control.
  std::size_t max_concurrent_calls = 64;    ///< BeginCall fails at this limit.
};

/// Whether a request's `:scheme` is "http" or "https" (RFC 9113, section 8.3.1).
enum class Scheme {
  kHttp,   ///< Cleartext.
  kHttps,  ///< TLS.
};

/// One connection. Not thread-safe.
class Http2Client {
 public:
  /// `authority` is sent as `:authority` in each request.
  explicit Http2Client(std::string authority, Http2Limits limits = {}, Scheme scheme = Scheme::kHttp);
  /// Ends all open calls like ConnectionLost.
  ~Http2Client();
  Http2Client(const Http2Client&) = delete;
  Http2Client& operator=(const Http2Client&) = delete;

  /// Begins a call of `path` ("/package.Service/Method") with its first message. With `end_stream` the call
  /// is unary: this is the only request message, and exactly one response message is expected. Returns
  /// nullopt and does not use the handler if the connection accepts no more calls (after a GOAWAY or an
  /// error, or at the limit of open calls).
  std::optional<CallId> BeginCall(const std::string& path, const HeaderFields& metadata,
                                  std::string_view message, bool end_stream, CallHandler handler);
  /// Sends another message of a call begun without `end_stream`. Returns false if the call has ended, its
  /// last message was sent, or max_unsent_bytes would be exceeded.
  bool SendMessage(CallId call, std::string_view message, bool end_stream);
  /// Ends the call immediately with `ending`, which is kCancelled or kTimeout, and calls its handler. Does
  /// nothing if the call has ended.
  void CancelCall(CallId call, Ending ending = Ending::kCancelled);

  /// Processes received bytes and runs handlers. After an error the connection is unusable.
  ConnectionResult Feed(std::string_view bytes);
  /// Returns all bytes that can be sent now.
  std::string TakeOutput();
  /// Sends a PING (RFC 9113, section 6.7).
  void Ping();
  /// Ends all calls because the connection has ended.
  void ConnectionLost(const ConnectionError& error);

  bool going_away() const { return going_away_; }  ///< GOAWAY was received; no more calls are accepted.
  std::size_t open_calls() const { return calls_.size(); }  ///< Calls that have not ended.

 private:
  struct Call;
  struct Callbacks;

  void EndCall(CallId id, const Status& status);
  Status StatusAtClose(CallId id, const Call& call, std::uint32_t http2_error) const;

  Http2SessionPtr session_;
  std::string authority_;
  std::string scheme_;
  Http2Limits limits_;
  std::map<CallId, std::unique_ptr<Call>> calls_;
  std::size_t unsent_bytes_ = 0;  // of all calls
  bool going_away_ = false;
  CallId last_processed_ = INT32_MAX;  // highest stream the server processes, from its GOAWAY
  std::optional<ConnectionError> error_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_HTTP2_CLIENT_H_
