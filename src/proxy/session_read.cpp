// SPDX-License-Identifier: Apache-2.0
//
// A session's reading: from bytes to complete requests, one after another.
#include <boost/asio/buffer.hpp>
#include <optional>

#include "net/socket_state.h"
#include "proxy/session.h"

namespace badgerbridge::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr std::size_t kMaxDiscardedBytes = 256 << 10;  // without a pause
constexpr std::chrono::milliseconds kDiscardPause{2};

}  // namespace

void Session::AwaitInput() {
  if (is_awaiting_input_ || state_ == State::kClosed) return;
  // A pipelined request is not read any more once there is no time left to answer it: what has been read must
  // be answered here, what has not can be sent elsewhere.
  const bool is_pipelined = state_ == State::kServing || state_ == State::kAnswering;
  if (is_pipelined && input_mode_ == InputMode::kParse && !input_.has_begun() && listener_.IsPastLastAnswer())
    return;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
    self->is_awaiting_input_ = false;
    if (self->state_ == State::kClosed || error == asio::error::operation_aborted) return;
    self->Guarded([&session = *self] { session.OnReadable(); });
  });
  is_awaiting_input_ = true;
}

void Session::OnReadable() {
  switch (input_mode_) {
    case InputMode::kDiscard:
      return DiscardSome();
    case InputMode::kLeaveUnread:
      return CheckForClose();
    case InputMode::kParse:
      if (ReadSome()) Advance();
      return AwaitInput();
  }
}

// False if nothing has come, or the client has left.
bool Session::ReadSome() {
  if (input_.is_full()) {
    input_.SetOverflowed();
    input_mode_ = InputMode::kDiscard;
    return true;
  }
  // Before the read: it may throw, and bytes that were read must not be lost.
  const asio::mutable_buffer buffer = input_.Prepare();
  beast::error_code error;
  const std::size_t bytes = socket_.read_some(buffer, error);
  if (error == asio::error::would_block) return false;
  if (error) {
    Close();  // the client has left
    return false;
  }
  const Duration age = net::TimeSinceLastDataReceived(socket_).value_or(std::chrono::milliseconds(0));
  input_.Commit(bytes, listener_.clock_.Now() - age);
  return true;
}

// For a decision that must consider all that has come. Bounded by the buffer.
void Session::ReadAllUnread() {
  while (IsBeforeServing() && input_mode_ == InputMode::kParse &&
         (net::UnreadBytes(socket_) > 0 || net::PeerHasClosed(socket_))) {
    if (!ReadSome()) return;
    Advance();
  }
}

// The body of a rejected request may be large: past a limit a connection that lingers is not read any more.
// One that is owed an answer is read on, slowly: its end may stand behind what it sent.
void Session::DiscardSome() {
  beast::error_code error;
  const std::size_t bytes = socket_.read_some(asio::buffer(listener_.discarded_), error);
  if (error == asio::error::would_block) return AwaitInput();
  if (error) return Close();  // the client has left
  discarded_bytes_ += bytes;
  if (discarded_bytes_ <= kMaxDiscardedBytes) return AwaitInput();
  if (state_ == State::kLingering) return AwaitHangup();
  discard_pause_.ArmAfter(kDiscardPause, [self = shared_from_this()] {
    self->Guarded([&session = *self] { session.AwaitInput(); });
  });
}

// Input behind the end stays in the kernel.
void Session::CheckForClose() {
  if (net::PeerHasClosed(socket_)) return Close();
  if (net::UnreadBytes(socket_) > 0) return AwaitHangup();
  AwaitInput();
}

// Readability says nothing any more, since bytes stay unread. Both sides have been shut down once the client
// closes its own, and that is an error event to the system.
void Session::AwaitHangup() {
  socket_.async_wait(tcp::socket::wait_error, [self = shared_from_this()](beast::error_code error) {
    if (!error) self->Close();
  });
}

// A request's time counts from when its first bytes came, not from when they are read: this process may have
// been descheduled, or the connection may have waited to be accepted. The state of a connection that serves
// another request changes when that one is answered.
void Session::BeginRequest() {
  const std::optional<TimePoint> arrival = input_.OldestArrival();
  input_.Begin(arrival ? *arrival : listener_.clock_.Now());
  since_ = input_.began_at();
  const State former = state_;
  if (IsBeforeServing()) state_ = State::kReceiving;
  // The keep-alive time is over. The time for the first request counts from the connection.
  if (former == State::kIdle) ArmReceiveTimeout();
}

void Session::ParseInput() {
  if (!input_.NeedsParsing()) return;
  if (!input_.has_begun()) BeginRequest();
  input_.Parse();
  if (input_.has_failed()) input_mode_ = InputMode::kDiscard;  // what follows is no request
}

// Acts on what has been read, once the request before it has been answered.
void Session::Advance() {
  ParseInput();
  if (!IsBeforeServing()) return;
  if (input_.has_failed()) return Reject(input_.TakeError());
  if (input_.IsComplete()) return ServeNext();
}

}  // namespace badgerbridge::proxy
