// SPDX-License-Identifier: Apache-2.0
//
// The server's side of an HTTP/2 connection (RFC 9113) that carries gRPC calls, without a socket: the twin of
// Http2Client. Bytes that came are fed, bytes to send are asked for; nghttp2 does the protocol. What a peer
// can make it hold is bounded: calls, header bytes, the size of a message, and what waits to be sent.
#ifndef BADGERBRIDGE_ETCD_HTTP2_SERVER_H_
#define BADGERBRIDGE_ETCD_HTTP2_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "etcd/grpc.h"

struct nghttp2_session;

namespace badgerbridge::etcd {

using StreamId = std::int32_t;

// The headers of a call that servers of etcd's API ask for; those that did not come are empty.
struct CallHead {
  std::string method, path, content_type, te, token;

  // As gRPC wants it: POST, application/grpc, trailers taken.
  bool IsGrpc() const;
};

// What is told of a connection's calls. Each runs within Feed, TakeOutput or Lost; it may use the server, but
// for those three.
struct Http2ServerHandler {
  std::function<void(StreamId, const CallHead&)> on_call;
  std::function<void(StreamId, std::string_view)> on_message;
  std::function<void(StreamId)> on_half_closed;  // the client sends nothing more
  // The call is over, answered or given up; nothing comes after it. Once for each on_call.
  std::function<void(StreamId)> on_closed;
  std::function<void(const std::string& why)> on_violation;  // of the protocol, by the client
};

struct Http2ServerLimits {
  std::size_t message = 4 << 20;        // bytes of one message of the client's
  std::size_t header_bytes = 16 << 10;  // of one call's headers
  std::size_t calls = 100;              // at once
  // Bytes that wait for the client's windows, in all: at the bound nothing more is taken, so that at most one
  // message goes beyond it.
  std::size_t unsent = 8 << 20;
};

// RFC 9113, section 7.
enum class Http2Error : std::uint32_t {
  kNone = 0x0,
  kProtocol = 0x1,
  kInternal = 0x2,
  kRefusedStream = 0x7,
  kCancel = 0x8,
  kEnhanceYourCalm = 0xb,
};

class Http2Server {
 public:
  Http2Server(Http2ServerLimits limits, Http2ServerHandler handler);
  ~Http2Server();  // tells nobody; Lost does
  Http2Server(const Http2Server&) = delete;
  Http2Server& operator=(const Http2Server&) = delete;

  // ---- an answer: messages, then a status in the trailers
  // False if the call is over or finished, or too much is unsent.
  bool Send(StreamId stream, std::string_view message);
  // The same for bytes that are framed already (grpc.h, Frame).
  bool SendFrames(StreamId stream, std::string frames);
  // After what was sent before. Without a message before it, the status goes with the headers.
  void Finish(StreamId stream, const Status& status);
  // Headers and nothing else: what is no gRPC answer.
  void AnswerHeaders(StreamId stream, const std::vector<std::pair<std::string, std::string>>& fields);
  // Ends the body without a status, as no gRPC server may: a fault for tests of clients.
  void FinishWithoutStatus(StreamId stream);
  void Reset(StreamId stream, Http2Error error);

  // ---- the connection
  // False: the connection can't be gone on with, and error() says why.
  bool Feed(std::string_view bytes);
  // At most about `enough` bytes, a frame more; empty if nothing can be sent now.
  std::string TakeOutput(std::size_t enough = kOutputBytes);
  void Ping();
  std::uint64_t pongs() const { return pongs_; }
  // Takes no further calls; those up to `last`, else those that have begun, go on. What comes later is known
  // to its client as never processed.
  void GoAway(std::optional<StreamId> last = std::nullopt);
  // The connection has ended: so has every call.
  void Lost(const std::string& why);

  std::size_t unsent() const { return unsent_; }  // bytes, of all calls
  std::size_t unsent(StreamId stream) const;
  std::size_t open() const { return calls_.size(); }
  // Both sides are done with the connection, all is sent.
  bool done() const;
  const std::string& error() const { return error_; }

  static constexpr std::size_t kOutputBytes = 64 << 10;

 private:
  struct Call;
  struct Callbacks;

  Call* Find(StreamId stream) const;
  void BeginAnswer(StreamId stream, Call& call);
  void Resume(StreamId stream, Call& call);
  void Violation(StreamId stream, Call& call, Http2Error error, const std::string& why);

  nghttp2_session* session_ = nullptr;
  Http2ServerLimits limits_;
  Http2ServerHandler handler_;
  std::map<StreamId, std::unique_ptr<Call>> calls_;
  std::size_t unsent_ = 0;
  std::uint64_t pongs_ = 0;
  StreamId last_taken_ = INT32_MAX;  // no call beyond it, by GoAway
  std::string error_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_HTTP2_SERVER_H_
