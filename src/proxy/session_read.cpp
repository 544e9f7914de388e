// SPDX-License-Identifier: Apache-2.0
//
// A session's reading: from bytes to whole requests, one after another.
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <exception>
#include <iostream>
#include <utility>

#include "net/socket_state.h"
#include "proxy/session.h"

namespace badgerbridge::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// Between requests: more than the 2 s that clients may count on.
constexpr std::chrono::milliseconds kKeepAlive{2200};
constexpr std::size_t kMostRead = 8 << 10;       // bytes in one go
constexpr std::size_t kMostDropped = 256 << 10;  // bytes without a pause, of what nobody wants
constexpr std::chrono::milliseconds kDropPause{2};

}  // namespace

void Listener::Session::AwaitInput() {
  if (awaiting_ || state_ == State::kClosed) return;
  // Ahead of its turn nothing is read any more once there is no time left to answer it: what has been read
  // must be answered here, what has not can be sent elsewhere.
  const bool ahead = state_ == State::kServing || state_ == State::kAnswering;
  if (ahead && input_ == Input::kParsed && !begun_ && listener_.PastLastAnswer()) return;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
    self->awaiting_ = false;
    if (self->state_ == State::kClosed || error == asio::error::operation_aborted) return;
    self->Guarded([&session = *self] { session.OnReadable(); });
  });
  awaiting_ = true;
}

void Listener::Session::OnReadable() {
  switch (input_) {
    case Input::kDiscarded:
      return DiscardSome();
    case Input::kLeftUnread:
      return LookForEnd();
    case Input::kParsed:
      if (ReadSome()) Advance();
      return AwaitInput();
  }
}

// False if nothing has come, or the client has left.
bool Listener::Session::ReadSome() {
  const std::size_t room = buffer_.max_size() - buffer_.size();
  if (room == 0) {
    overflowed_ = true;
    input_ = Input::kDiscarded;
    return true;
  }
  const auto into =
      buffer_.prepare(std::min(room, kMostRead));  // first: once read, bytes must not be dropped
  beast::error_code error;
  const std::size_t n = socket_.read_some(into, error);
  if (error == asio::error::would_block) return false;
  if (error) {
    Close();  // the client has left
    return false;
  }
  buffer_.commit(n);
  const Duration age = net::SinceLastData(socket_).value_or(std::chrono::milliseconds(0));
  arrivals_.Added(n, listener_.clock_.Now() - age);
  return true;
}

// For a decision that must know of all that has come. Bounded by the buffer.
void Listener::Session::ReadAllUnread() {
  while (state_ == State::kReceiving && input_ == Input::kParsed &&
         (net::UnreadBytes(socket_) > 0 || net::PeerHasClosed(socket_))) {
    if (!ReadSome()) return;
    Advance();
  }
}

// What 60 MB of a body that was turned away would cost is not spent on it. One that is owed an answer is
// read on, slowly: its end may stand behind what it sent.
void Listener::Session::DiscardSome() {
  beast::error_code error;
  const std::size_t n = socket_.read_some(asio::buffer(listener_.dropped_), error);
  if (error == asio::error::would_block) return AwaitInput();
  if (error) return Close();  // the client has left
  dropped_ += n;
  if (dropped_ <= kMostDropped) return AwaitInput();
  if (state_ == State::kEnding) return AwaitHangup();
  pause_.ArmAfter(kDropPause, [self = shared_from_this()] {
    self->Guarded([&session = *self] { session.AwaitInput(); });
  });
}

// What has come behind the end stays where it is.
void Listener::Session::LookForEnd() {
  if (net::PeerHasClosed(socket_)) return Close();
  if (net::UnreadBytes(socket_) > 0) return AwaitHangup();
  AwaitInput();
}

// Readability says nothing any more, since bytes stand unread. Both sides have been shut down once the client
// closes its own, and that is an error event to the system.
void Listener::Session::AwaitHangup() {
  socket_.async_wait(tcp::socket::wait_error, [self = shared_from_this()](beast::error_code error) {
    if (!error) self->Close();
  });
}

void Listener::Session::ResetParser() {
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
  parser_.emplace();
  parser_->header_limit(kMostHeader);
  parser_->body_limit(kMostBody);
  parser_->eager(true);
  begun_ = false;
}

// The request's time runs from when its first bytes came, not from when they are read: this process may have
// been descheduled, or the connection may have waited for its place.
void Listener::Session::NoteBegin() {
  begun_ = true;
  began_ = since_ = arrivals_.empty() ? listener_.clock_.Now() : arrivals_.Oldest();
  // The time between requests is over. The first request's counts from the connection.
  if (state_ == State::kReceiving && asked_) ArmReceiveTimeout();
}

// Not by Beast's own read, which keeps to itself that a head has begun until all of it is there.
void Listener::Session::ParseBuffered() {
  if (failed_ || parser_->is_done() || (buffer_.size() == 0 && !overflowed_)) return;
  if (!begun_) NoteBegin();
  beast::error_code error;
  if (buffer_.size() > 0) {
    try {
      const std::size_t parsed = parser_->put(buffer_.data(), error);
      buffer_.consume(parsed);
      arrivals_.Consumed(parsed);
    } catch (const std::bad_alloc&) {
      error = asio::error::no_memory;  // the parser is no good any more
    }
  }
  if (error == http::error::need_more) error = {};
  if (!error && !parser_->is_done()) {
    if (overflowed_) {
      error = http::error::buffer_overflow;
    } else if (buffer_.size() == buffer_.max_size()) {
      error = http::error::header_limit;  // of a chunk
    }
  }
  if (!error) return;
  failed_ = error;
  input_ = Input::kDiscarded;  // what follows is not looked at
}

// Acts on what has been read, once the request before it has been answered.
void Listener::Session::Advance() {
  ParseBuffered();
  if (state_ != State::kReceiving) return;
  if (failed_) return RejectInput(std::exchange(failed_, {}));
  if (parser_->is_done()) return ServeNext();
}

void Listener::Session::ArmReceiveTimeout() {
  using std::chrono::milliseconds;
  milliseconds wait = asked_ && !begun_ ? kKeepAlive : kSlowRequest;
  if (listener_.door_closed_) {
    const milliseconds rest = begun_ ? std::min(listener_.limits_.linger, listener_.UntilLastAnswer())
                                     : listener_.UntilPastServing();
    wait = std::min(wait, rest);
  }
  SetTimer(wait);
}

void Listener::Session::ServeNext() {
  timer_.Disarm();
  ClientRequest request = parser_->release();
  const TimePoint began = began_;
  asked_ = true;
  keep_alive_ = request.keep_alive();
  ResetParser();
  // A client that ends with this request has said that no other follows; what it sends all the same is
  // dropped.
  if (!keep_alive_) input_ = Input::kDiscarded;
  try {
    if (const auto fault = Serve(request, began)) Reject(*fault);
  } catch (const std::exception& error) {
    // It is not in the table then.
    std::cerr << "a request could not be taken: " << error.what() << '\n';
    if (state_ == State::kReceiving || state_ == State::kServing) Reject({500, ""});
  }
  // Behind the request in the table, so that what it left of the next one is known there.
  if (keep_alive_ && state_ != State::kClosed) ParseBuffered();
}

}  // namespace badgerbridge::proxy
