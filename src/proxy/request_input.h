// SPDX-License-Identifier: Apache-2.0
//
// The input of a client's connection: bytes that were read, and the requests that they hold.
#ifndef BADGERBRIDGE_PROXY_REQUEST_INPUT_H_
#define BADGERBRIDGE_PROXY_REQUEST_INPUT_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <optional>

#include "proxy/arrival_times.h"
#include "proxy/balancer_types.h"
#include "proxy/client_request.h"
#include "proxy/request_error.h"

namespace badgerbridge::proxy {

/// A bounded buffer of input and a parser of one request after another. It reads no socket: the caller copies
/// bytes in and says when they came. Reset() has to be called before anything else.
///
/// One request at a time: bytes behind a complete request stay in the buffer until it has been released and
/// Reset() has been called.
class RequestInput {
 public:
  /// Prepares for the next request. Buffered bytes stay.
  void Reset();

  /// Whether no further bytes fit.
  bool is_full() const { return buffer_.size() == buffer_.max_size(); }
  /// The number of bytes that were read and not parsed.
  std::size_t buffered_bytes() const { return buffer_.size(); }
  /// Room for some bytes, to be followed by Commit(). Throws std::bad_alloc. Requires !is_full().
  boost::asio::mutable_buffer Prepare();
  /// Adds the first `bytes` bytes of what Prepare() returned; they came at `arrived_at`.
  void Commit(std::size_t bytes, TimePoint arrived_at);
  /// Notes that bytes which did not fit are dropped: a request that is incomplete without them fails.
  void SetOverflowed() { overflowed_ = true; }

  /// Whether Parse() has something to do.
  bool NeedsParsing() const;
  /// When the oldest byte in the buffer came; nothing if the buffer is empty.
  std::optional<TimePoint> OldestArrival() const;
  /// Notes that a request begins, and when its first byte came.
  void Begin(TimePoint began_at);
  /// Parses what is buffered. Requires NeedsParsing() and has_begun().
  void Parse();

  /// Whether bytes of a request have been parsed that is not released yet.
  bool has_begun() const { return has_begun_; }
  /// When that request began.
  TimePoint began_at() const { return began_at_; }
  /// Whether the request is complete.
  bool IsComplete() const { return parser_->is_done(); }
  /// Whether the request can't be parsed.
  bool has_failed() const { return error_.has_value(); }
  /// Why it can't be parsed; clears that. Requires has_failed().
  RequestError TakeError();
  /// Moves the request out. Requires IsComplete().
  ClientRequest Release() { return parser_->release(); }

 private:
  static constexpr std::size_t kMaxBodyBytes = 64 << 10;
  static constexpr std::size_t kMaxHeaderBytes = 16 << 10;
  static constexpr std::size_t kMaxReadBytes = 8 << 10;

  boost::beast::error_code ParseBuffered();

  boost::beast::flat_buffer buffer_{kMaxHeaderBytes + kMaxBodyBytes};
  ArrivalTimes arrivals_;  // of the bytes in the buffer
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::optional<RequestError> error_;
  TimePoint began_at_{};
  bool has_begun_ = false;
  bool overflowed_ = false;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_REQUEST_INPUT_H_
