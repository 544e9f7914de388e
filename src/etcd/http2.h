// SPDX-License-Identifier: Apache-2.0
//
// The client's side of an HTTP/2 connection (RFC 9113) that carries gRPC calls, without a socket: bytes that
// came are fed, bytes to send are asked for. nghttp2 does the protocol.
#ifndef BADGERBRIDGE_ETCD_HTTP2_H_
#define BADGERBRIDGE_ETCD_HTTP2_H_

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

using CallId = std::int32_t;

struct CallHandler {
  std::function<void(std::string_view)> on_message;
  std::function<void(const Status&)> on_end;  // exactly once; nothing comes after it
};

struct Http2Limits {
  std::size_t message = 4 << 20;  // bytes of one message
  std::size_t unsent = 8 << 20;   // bytes of messages that wait for the other side's window, in all
  std::size_t calls = 64;         // at once
};

class Http2Client {
 public:
  // `tls`: what carries the bytes is encrypted, which the requests' :scheme says.
  explicit Http2Client(std::string authority, Http2Limits limits = {}, bool tls = false);
  ~Http2Client();  // ends every open call as lost
  Http2Client(const Http2Client&) = delete;
  Http2Client& operator=(const Http2Client&) = delete;

  // Begins a call of `path`, "/package.Service/Method"; negative if no more can be begun here. With `last`,
  // that is its only message.
  CallId Begin(const std::string& path, const std::vector<std::pair<std::string, std::string>>& metadata,
               std::string_view message, bool last, CallHandler handler);
  // One more message of a call that is open for it; false if it is not, or too much is unsent.
  bool Send(CallId call, std::string_view message, bool last);
  // Ends it at once; its handler is told that it was given up, unless it has ended.
  void Cancel(CallId call, Ending ending = Ending::kCancelled);

  // Handlers run within. False: the connection can't be gone on with, and error() says why.
  bool Feed(std::string_view bytes);
  std::string TakeOutput();
  // A PING; Pongs counts the answers.
  void Ping();
  std::uint64_t pongs() const { return pongs_; }
  bool going_away() const { return going_away_; }  // takes no further calls
  std::size_t open() const { return calls_.size(); }
  const std::string& error() const { return error_; }

  // The connection has ended: so has every call.
  void Lost(const std::string& why);

 private:
  struct Call;
  struct Callbacks;

  void End(CallId id, Status status);

  nghttp2_session* session_ = nullptr;
  std::string authority_, scheme_;
  Http2Limits limits_;
  std::map<CallId, std::unique_ptr<Call>> calls_;
  std::size_t unsent_ = 0;
  std::uint64_t pongs_ = 0;
  bool going_away_ = false;
  CallId last_processed_ = INT32_MAX;
  std::string error_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_HTTP2_H_
