// SPDX-License-Identifier: Apache-2.0

/// \file
/// The server's side of an HTTP/2 connection (RFC 9113) that carries gRPC calls (PROTOCOL-HTTP2 of the gRPC
/// documentation), without a socket: received bytes go in, bytes to send come out. nghttp2 implements HTTP/2.
/// What a peer can make it hold is bounded: calls, header bytes, the size of a message, and unsent bytes.
#ifndef BADGERBRIDGE_ETCD_HTTP2_SERVER_H_
#define BADGERBRIDGE_ETCD_HTTP2_SERVER_H_

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

/// A call on a connection: its stream identifier (RFC 9113, section 5.1.1).
using StreamId = std::int32_t;

/// The headers of a call that matter to servers of etcd's API. Those that were not sent are empty.
struct CallHeaders {
  std::string method;        ///< `:method`.
  std::string path;          ///< `:path`, "/package.Service/Method".
  std::string content_type;  ///< `content-type`.
  std::string te;            ///< `te`.
  std::string token;         ///< `token`: etcd's authentication token.

  /// Whether it is a gRPC request, as PROTOCOL-HTTP2 defines it: POST, application/grpc, te: trailers.
  bool IsGrpc() const;
};

/// Callbacks for the calls of a connection. Each runs within Feed, TakeOutput or ConnectionLost; it may use
/// the server, except for these three.
struct Http2ServerHandler {
  /// A call has begun.
  std::function<void(StreamId, const CallHeaders&)> on_call;
  /// A message of the request is complete.
  std::function<void(StreamId, std::string_view)> on_message;
  /// The client sends nothing more in this call.
  std::function<void(StreamId)> on_half_closed;
  /// The call is over, answered or not. Exactly once for each on_call; nothing is called for it afterwards.
  std::function<void(StreamId)> on_closed;
  /// The client has violated the protocol. Its call is reset, or the connection is lost.
  std::function<void(const ProtocolError&)> on_protocol_error;
};

/// Limits of a server's connection.
struct Http2ServerLimits {
  std::size_t max_message_bytes = 4 << 20;  ///< Of one message of a request.
  std::size_t max_header_bytes = 16 << 10;  ///< Of the headers of one call.
  std::size_t max_concurrent_calls = 100;   ///< Announced as SETTINGS_MAX_CONCURRENT_STREAMS.
  /// Of messages that wait for the client's windows, in all. At the limit no further message is accepted, so
  /// that at most one goes beyond it.
  std::size_t max_unsent_bytes = 8 << 20;
};

/// Error codes of HTTP/2 that are used here (RFC 9113, section 7).
enum class Http2Error : std::uint32_t {
  kNone = 0x0,             ///< NO_ERROR.
  kProtocol = 0x1,         ///< PROTOCOL_ERROR.
  kInternal = 0x2,         ///< INTERNAL_ERROR.
  kRefusedStream = 0x7,    ///< REFUSED_STREAM: the call was not processed.
  kCancel = 0x8,           ///< CANCEL.
  kEnhanceYourCalm = 0xb,  ///< ENHANCE_YOUR_CALM: excessive load.
};

/// One connection. Not thread-safe.
class Http2Server {
 public:
  /// Sends its settings with the first output.
  Http2Server(Http2ServerLimits limits, Http2ServerHandler handler);
  /// Calls no handler; ConnectionLost does.
  ~Http2Server();
  Http2Server(const Http2Server&) = delete;
  Http2Server& operator=(const Http2Server&) = delete;

  // ---- a response: messages, then a status in the trailers

  /// Sends a message. False if the call is over or finished, or too much is unsent.
  bool SendMessage(StreamId stream, std::string_view message);
  /// The same for messages that are already framed (FrameMessage).
  bool SendFramedMessages(StreamId stream, std::string frames);
  /// Ends the response with a status, after the messages. Without messages it is Trailers-Only.
  void Finish(StreamId stream, const Status& status);
  /// A response of headers alone, which is not gRPC's.
  void SendHeadersOnly(StreamId stream, const HeaderFields& fields);
  /// Ends the body without a status, which gRPC does not allow: a fault for tests of clients.
  void FinishWithoutStatus(StreamId stream);
  /// Ends the call with RST_STREAM (RFC 9113, section 6.4).
  void Reset(StreamId stream, Http2Error error);

  // ---- the connection

  /// Processes received bytes. After an error the connection cannot be used further.
  ConnectionResult Feed(std::string_view bytes);
  /// Bytes to send, at least `enough` unless there are fewer; the last frame may go beyond it. Empty if
  /// nothing can be sent now.
  std::string TakeOutput(std::size_t enough = kOutputBytes);
  /// Sends a PING (RFC 9113, section 6.7).
  void Ping();
  /// Sends GOAWAY (RFC 9113, section 6.8): accepts no further calls. Those up to stream `last`, by default
  /// all that have begun, continue; the client learns that later ones were never processed.
  void GoAway(std::optional<StreamId> last = std::nullopt);
  /// Ends all calls, as the connection has ended.
  void ConnectionLost(const ConnectionError& error);

  std::size_t unsent_bytes() const { return unsent_bytes_; }  ///< Of messages, in all calls.
  std::size_t unsent_bytes(StreamId stream) const;            ///< Of messages of one call.
  std::size_t open_calls() const { return calls_.size(); }    ///< Calls that are not over.
  /// Whether both sides are done with the connection and everything is sent.
  bool IsDone() const;

  static constexpr std::size_t kOutputBytes = 64 << 10;  ///< See TakeOutput.

 private:
  struct Call;
  struct Callbacks;

  Call* FindCall(StreamId stream) const;
  void BeginResponse(StreamId stream, Call& call);
  void SubmitHeadersOnly(StreamId stream, Call& call, const HeaderFields& fields);
  void ResumeOutput(StreamId stream, Call& call);
  void RejectCall(StreamId stream, Call& call, Http2Error http2_error, const ProtocolError& error);
  void SubmitReset(StreamId stream, Http2Error error);

  Http2SessionPtr session_;
  Http2ServerLimits limits_;
  Http2ServerHandler handler_;
  std::map<StreamId, std::unique_ptr<Call>> calls_;
  std::size_t unsent_bytes_ = 0;
  StreamId last_accepted_ = INT32_MAX;  // by GoAway
  std::optional<ConnectionError> error_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_HTTP2_SERVER_H_
