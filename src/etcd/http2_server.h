// SPDX-License-Identifier: Apache-2.0

/// \file
/// The server side of an HTTP/2 connection (RFC 9113) that carries gRPC calls (PROTOCOL-HTTP2 of the gRPC
/// documentation). Performs no I/O: the owner passes received bytes to Feed and sends the bytes returned by
/// TakeOutput. nghttp2 implements HTTP/2. The memory that a peer can occupy is bounded by limits for calls,
/// header bytes, message size and unsent bytes.
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

/// Identifies a call on a connection by its stream identifier (RFC 9113, section 5.1.1).
using StreamId = std::int32_t;

/// The request headers used by servers of etcd's API. Headers that were not sent are empty.
struct CallHeaders {
  std::string method;        ///< `:method`.
  std::string path;          ///< `:path`, "/package.Service/Method".
  std::string content_type;  ///< `content-type`.
  std::string te;            ///< `te`.
  std::string token;         ///< `token`: etcd's authentication token.

  /// Whether it is a gRPC request, as PROTOCOL-HTTP2 defines it: POST, application/grpc, te: trailers.
  bool IsGrpc() const;
};

/// Callbacks for the calls of a connection. Each runs within Feed, TakeOutput or ConnectionLost. Callbacks
/// may use the server, except for these three functions.
struct Http2ServerHandler {
  /// A call has begun.
  std::function<void(StreamId, const CallHeaders&)> on_call;
  /// A message of the request is complete.
  std::function<void(StreamId, std::string_view)> on_message;
  /// The client has ended its side of the call.
  std::function<void(StreamId)> on_half_closed;
  /// The call has ended, with or without a response. Called exactly once for each on_call, as the last
  /// callback of the call.
  std::function<void(StreamId)> on_closed;
  /// The client violated the protocol. The call is reset or the connection is lost.
  std::function<void(const ProtocolError&)> on_protocol_error;
};

/// Limits of a server's connection.
struct Http2ServerLimits {
  std::size_t max_message_bytes = 4 << 20;  ///< Of one request message.
  std::size_t max_header_bytes = 16 << 10;  ///< Of the headers of one call.
  std::size_t max_concurrent_calls = 100;   ///< Sent as SETTINGS_MAX_CONCURRENT_STREAMS.
  /// Of all messages that wait for flow control. At the limit no more messages are accepted, so that at most
  /// one message exceeds it.
  std::size_t max_unsent_bytes = 8 << 20;
};

/// The HTTP/2 error codes used by the server (RFC 9113, section 7).
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
  /// Queues the SETTINGS frame for the first output.
  Http2Server(Http2ServerLimits limits, Http2ServerHandler handler);
  /// Calls no handler; call ConnectionLost first to end the calls.
  ~Http2Server();
  Http2Server(const Http2Server&) = delete;
  Http2Server& operator=(const Http2Server&) = delete;

  // ---- a response: messages, then a status in the trailers

  /// Sends a message. Returns false if the call has ended, its response is finished, or max_unsent_bytes is
  /// reached.
  bool SendMessage(StreamId stream, std::string_view message);
  /// Like SendMessage, for messages already framed by FrameMessage.
  bool SendFramedMessages(StreamId stream, std::string frames);
  /// Ends the response with a status after its messages. A response without messages is sent as
  /// Trailers-Only.
  void Finish(StreamId stream, const Status& status);
  /// Sends a response that consists of headers only and is not a gRPC response.
  void SendHeadersOnly(StreamId stream, const HeaderFields& fields);
  /// Ends the body without a status, which violates gRPC. Injects a fault in tests of clients.
  void FinishWithoutStatus(StreamId stream);
  /// Ends the call with RST_STREAM (RFC 9113, section 6.4).
  void Reset(StreamId stream, Http2Error error);

  // ---- the connection

  /// Processes received bytes. After an error the connection is unusable.
  ConnectionResult Feed(std::string_view bytes);
  /// Returns bytes to send: whole frames until there are at least `min_bytes`, or fewer if no more can be
  /// sent now. Empty if nothing can be sent now.
  std::string TakeOutput(std::size_t min_bytes = kOutputBytes);
  /// Sends a PING (RFC 9113, section 6.7).
  void Ping();
  /// Sends GOAWAY (RFC 9113, section 6.8) and accepts no more calls. Calls up to `last_stream` continue, by
  /// default all calls that have begun. The GOAWAY states that later calls were never processed.
  void GoAway(std::optional<StreamId> last_stream = std::nullopt);
  /// Ends all calls because the connection has ended.
  void ConnectionLost(const ConnectionError& error);

  std::size_t unsent_bytes() const { return unsent_bytes_; }  ///< Unsent message bytes of all calls.
  std::size_t unsent_bytes(StreamId stream) const;            ///< Unsent message bytes of one call.
  std::size_t open_calls() const { return calls_.size(); }    ///< Calls that have not ended.
  /// Whether both sides have finished and all output was taken.
  bool IsDone() const;

  static constexpr std::size_t kOutputBytes = 64 << 10;  ///< Default for TakeOutput.

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
  StreamId last_accepted_ = INT32_MAX;  // highest stream accepted after GoAway
  std::optional<ConnectionError> error_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_HTTP2_SERVER_H_
