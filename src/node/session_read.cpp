// SPDX-License-Identifier: Apache-2.0
//
// A session's reading: from bytes to whole requests, one after another.
#include <boost/asio/buffer.hpp>
#include <iostream>
#include <utility>

#include "node/session.h"

namespace badgerbridge::node {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

void Listener::Session::NextRequest() {
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
  parser_.emplace();
  parser_->header_limit(kMostHeader);
  parser_->body_limit(kMostBody);
  parser_->eager(true);
  begun_ = next_whole_ = false;
  if (buffer_.size() > 0 || overflowed_) return TakeIn();
  Read();
}

void Listener::Session::NoteBegin() {
  begun_ = true;
  began_ = since_ = listener_.clock_.Now();
}

void Listener::Session::Read() {
  if (reading_ || closed_) return;
  reading_ = true;
  const asio::mutable_buffer into = deaf_ ? asio::buffer(listener_.dropped_) : asio::buffer(piece_);
  socket_.async_read_some(into, [self = shared_from_this()](beast::error_code error, std::size_t n) {
    self->reading_ = false;
    self->OnRead(error, n);
  });
}

void Listener::Session::OnRead(beast::error_code error, std::size_t n) {
  if (closed_) return;
  if (error) return Close();  // the client has left
  if (deaf_) return Drop(n);
  // The parser takes all that it can, so that its own request always fits.
  if (n > buffer_.max_size() - buffer_.size()) {
    overflowed_ = deaf_ = true;
    return Drop(n);
  }
  buffer_.commit(asio::buffer_copy(buffer_.prepare(n), asio::buffer(piece_, n)));
  if (parser_->is_done()) return Read();  // of one after the next
  TakeIn();
}

// Not by Beast's own read, which keeps to itself that a head has begun until all of it is there.
void Listener::Session::TakeIn() {
  if (!begun_) {
    NoteBegin();
    if (asked_)
      timed_ = false;  // the time between requests is over; the first request counts from the connect
  }
  beast::error_code error;
  if (buffer_.size() > 0) buffer_.consume(parser_->put(buffer_.data(), error));
  if (error == http::error::need_more) error = {};
  if (!error && !parser_->is_done()) {
    if (overflowed_) {
      error = http::error::buffer_overflow;
    } else if (buffer_.max_size() - buffer_.size() >= kPiece) {
      if (!Busy() && !timed_) SetTimer(listener_.door_closed_ ? listener_.limits_.linger : kSlowRequest);
      return Read();
    } else {
      error = http::error::header_limit;  // of a chunk
    }
  }
  failed_ = error;
  if (failed_) deaf_ = true;  // what follows is not looked at
  Proceed();
  Read();
}

// Acts on a request that has been read, once the one before it has been answered.
void Listener::Session::Proceed() {
  if (serving_ != 0 || writing_) {
    next_whole_ = !failed_ && parser_->is_done();
    return;
  }
  StopTimer();
  if (failed_) {
    const beast::error_code error = std::exchange(failed_, {});
    if (error == http::error::body_limit) return Reject({413, "the body is too large\n"});
    if (error == http::error::header_limit) return Reject({431, "the header is too large\n"});
    if (error == http::error::buffer_overflow) return Reject({400, "too much was sent ahead\n"});
    return Reject({400, "malformed request\n"});
  }
  if (!parser_->is_done()) {
    if (begun_) SetTimer(kSlowRequest);
    return;
  }
  ClientRequest request = parser_->release();
  const TimePoint began = began_;
  asked_ = true;
  keep_alive_ = request.keep_alive();
  try {
    if (const auto fault = Serve(request, began)) Reject(*fault);
  } catch (const std::exception& error) {
    std::cerr << "a request could not be taken: " << error.what() << '\n';
    if (serving_ == 0 && !writing_) Reject({500, ""});
  }
  // After the request is in the table, so that a client that has left by now is noted there. What comes
  // after a request that was turned away is not looked at.
  if (!closed_ && keep_alive_) return NextRequest();
  deaf_ = true;
  Read();
}

}  // namespace badgerbridge::node
