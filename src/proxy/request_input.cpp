// SPDX-License-Identifier: Apache-2.0
#include "proxy/request_input.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <new>

namespace badgerbridge::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

RequestError ToRequestError(beast::error_code error) {
  if (error == asio::error::no_memory) return RequestError::kInternal;
  if (error == http::error::body_limit) return RequestError::kBodyTooLarge;
  if (error == http::error::header_limit) return RequestError::kHeaderTooLarge;
  if (error == http::error::buffer_overflow) return RequestError::kPipelineOverflow;
  return RequestError::kMalformed;
}

}  // namespace

void RequestInput::Reset() {
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
  parser_.emplace();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBodyBytes);
  parser_->eager(true);
  has_begun_ = false;
}

void RequestInput::Clear() {
  buffer_.clear();
  arrivals_ = {};
  error_.reset();
  overflowed_ = false;
  Reset();
}

asio::mutable_buffer RequestInput::Prepare() {
  return buffer_.prepare(std::min(buffer_.max_size() - buffer_.size(), kMaxReadBytes));
}

void RequestInput::Commit(std::size_t bytes, TimePoint arrived_at) {
  buffer_.commit(bytes);
  arrivals_.Add(bytes, arrived_at);
}

bool RequestInput::NeedsParsing() const {
  return !error_ && !parser_->is_done() && (buffer_.size() > 0 || overflowed_);
}

std::optional<TimePoint> RequestInput::OldestArrival() const {
  if (arrivals_.empty()) return std::nullopt;
  return arrivals_.Oldest();
}

void RequestInput::Begin(TimePoint began_at) {
  has_begun_ = true;
  began_at_ = began_at;
}

void RequestInput::Parse() {
  beast::error_code error = ParseBuffered();
  if (error == http::error::need_more) error = {};
  if (!error && !parser_->is_done()) {
    if (overflowed_) {
      error = http::error::buffer_overflow;
    } else if (is_full()) {
      error = http::error::header_limit;  // a chunk header fills the buffer
    }
  }
  if (error) error_ = ToRequestError(error);
}

// Calls the parser directly, because Beast's read doesn't report a header that has begun until it is
// complete.
beast::error_code RequestInput::ParseBuffered() {
  beast::error_code error;
  if (buffer_.size() == 0) return error;
  try {
    const std::size_t parsed = parser_->put(buffer_.data(), error);
    buffer_.consume(parsed);
    arrivals_.Consume(parsed);
  } catch (const std::bad_alloc&) {
    error = asio::error::no_memory;  // the parser is unusable after an exception
  }
  return error;
}

RequestError RequestInput::TakeError() {
  const RequestError error = *error_;
  error_.reset();
  return error;
}

}  // namespace badgerbridge::proxy
