// SPDX-License-Identifier: Apache-2.0
//
// The input of a client connection: buffered bytes and the requests parsed from them.
#ifndef BADGERBRIDGE_PROXY_REQUEST_INPUT_H_
#define BADGERBRIDGE_PROXY_REQUEST_INPUT_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <optional>

#include "proxy/arrival_times.h"
#include "proxy/balancer_types.h"
#include "proxy/client_request.h"
#include "proxy/request_error.h"
#include "proxy/request_parser.h"

namespace badgerbridge::proxy {

/// A bounded input buffer and a parser for one request after another. It reads no socket: the caller copies
/// the bytes in and reports when they arrived. Reset() must be called first.
///
/// One request is parsed at a time: bytes after a complete request stay in the buffer until that request has
/// been released and Reset() has been called.
class RequestInput {
 public:
  /// Prepares for the next request. Keeps the buffered bytes.
  void Reset();

  /// Discards all input, also of an incomplete request, and frees its memory.
  void Clear();

  /// Whether no further bytes fit.
  bool is_full() const { return buffer_.size() == buffer_.max_size(); }
  /// Number of bytes that were read but not parsed yet.
  std::size_t buffered_bytes() const { return buffer_.size(); }
  /// Free space for the next read, to be followed by Commit(). Throws std::bad_alloc. Requires !is_full().
  boost::asio::mutable_buffer Prepare();
  /// Adds the first `bytes` bytes of the space that Prepare() returned; they arrived at `arrived_at`.
  void Commit(std::size_t bytes, TimePoint arrived_at);
  /// Records that bytes which did not fit were dropped. A request that is incomplete without them fails.
  void SetOverflowed() { overflowed_ = true; }

  /// Whether Parse() has bytes or an overflow to process.
  bool NeedsParsing() const;
  /// When the oldest byte in the buffer arrived; empty if the buffer is empty.
  std::optional<TimePoint> OldestArrival() const;
  /// Begins a request whose first byte arrived at `began_at`.
  void Begin(TimePoint began_at);
  /// Parses the buffered bytes. Requires NeedsParsing() and has_begun().
  void Parse();

  /// Whether Begin() has been called since the last Reset().
  bool has_begun() const { return has_begun_; }
  /// When the first byte of the request arrived. Requires has_begun().
  TimePoint began_at() const { return began_at_; }
  /// Whether the request is complete.
  bool IsComplete() const { return parser_->is_done(); }
  /// Whether parsing the request failed.
  bool has_failed() const { return error_.has_value(); }
  /// Returns and clears the parse error. Requires has_failed().
  RequestError TakeError();
  /// Whether the client keeps the connection open after this request (RFC 9112, 9.3). Requires IsComplete().
  bool KeepsAlive() const { return parser_->keep_alive(); }
  /// Moves the request out, with the header fields that RequestParser keeps. Requires IsComplete().
  ClientRequest Release() { return parser_->release(); }

 private:
  static constexpr std::size_t kMaxBodyBytes = 64 << 10;
  static constexpr std::size_t kMaxHeaderBytes = 16 << 10;
  static constexpr std::size_t kMaxReadBytes = 8 << 10;

  boost::beast::error_code ParseBuffered();

  boost::beast::flat_buffer buffer_{kMaxHeaderBytes + kMaxBodyBytes};
  ArrivalTimes arrivals_;  // of the bytes in the buffer
  std::optional<RequestParser> parser_;
  std::optional<RequestError> error_;
  TimePoint began_at_{};
  bool has_begun_ = false;
  bool overflowed_ = false;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_REQUEST_INPUT_H_
