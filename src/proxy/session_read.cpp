// SPDX-License-Identifier: Apache-2.0
//
// Reads the input of a session and parses it into requests, one after another.
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "net/socket_state.h"
#include "proxy/session.h"

namespace badgerbridge::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr std::size_t kMaxUnpacedBytes = 256 << 10;         // that are discarded at full speed
constexpr std::size_t kMaxDiscardedWhileServing = 4 << 20;  // behind requests
constexpr std::size_t kMaxDiscardedWhileLingering = 256 << 10;
constexpr std::chrono::milliseconds kDiscardPause{2};  // after each read of the discard buffer's size
// Less than the receive window of a connection. With fewer bytes unread the window is open, so that a close
// of the client would have arrived with them.
constexpr std::size_t kMinBacklogBytes = 16 << 10;

}  // namespace

void Session::AwaitInput() {
  if (is_awaiting_input_ || state_ == State::kClosed) return;
  // Stops reading pipelined requests once there is no time left to answer them. A request that has been read
  // must be answered by this proxy; the client can send an unread one elsewhere.
  const bool is_pipelined = state_ == State::kServing || state_ == State::kAnswering;
  if (is_pipelined && input_mode_ == InputMode::kParse && input_.buffered_bytes() == 0 &&
      listener_.IsPastAnswerDeadline())
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

// False if there was no input, or the client has disconnected.
bool Session::ReadSome() {
  NoteBacklog();
  if (input_.is_full()) {
    input_.SetOverflowed();
    input_mode_ = InputMode::kDiscard;
    return true;
  }
  // Allocates before the read, because it may throw and bytes already read would be lost.
  const asio::mutable_buffer buffer = input_.Prepare();
  beast::error_code error;
  const std::size_t bytes = socket_.read_some(buffer, error);
  if (error == asio::error::would_block) return false;
  if (error) {
    Close();  // the client has disconnected
    return false;
  }
  const Duration age = net::TimeSinceLastDataReceived(socket_).value_or(std::chrono::milliseconds(0));
  input_.Commit(bytes, listener_.clock_.Now() - age);
  return true;
}

// Called before a decision that must consider all input that has arrived. Bounded by the size of the buffer.
void Session::ReadAllUnread() {
  while (IsBeforeServing() && input_mode_ == InputMode::kParse &&
         (net::UnreadBytes(socket_) > 0 || net::PeerHasClosed(socket_))) {
    if (!ReadSome()) return;
    Advance();
  }
}

// Input behind a request that is served is read at a limited rate, so that a client that sends at full speed
// costs others little. Until all of it has been read, CheckClient() doesn't know whether the client has left.
void Session::DiscardSome() {
  NoteBacklog();
  beast::error_code error;
  const std::size_t bytes = socket_.read_some(asio::buffer(listener_.discard_buffer_), error);
  if (error == asio::error::would_block) return AwaitInput();
  if (error) return Close();  // the client has disconnected
  discarded_bytes_ += bytes;
  const bool is_lingering = state_ == State::kLingering;
  const std::size_t max_bytes = is_lingering ? kMaxDiscardedWhileLingering : kMaxDiscardedWhileServing;
  if (discarded_bytes_ > max_bytes) return OnTooMuchDiscarded();
  if (discarded_bytes_ <= kMaxUnpacedBytes) return AwaitInput();
  discard_pause_.ArmAfter(kDiscardPause, [self = shared_from_this()] {
    self->Guarded([&session = *self] { session.AwaitInput(); });
  });
}

// A client that never stops sending keeps the proxy from seeing whether it has left, so its request gets no
// further attempt and is failed. An answer that is being written is followed by lingering.
void Session::OnTooMuchDiscarded() {
  if (state_ == State::kLingering) return AwaitHangup();
  if (state_ != State::kServing) return;
  WithdrawRequest();
  Reject(RequestError::kPipelineOverflow);
}

// While a request is served, records whether so much is unread behind it that the client's close can't
// arrive.
void Session::NoteBacklog() {
  if (state_ != State::kServing || net::UnreadBytes(socket_) < kMinBacklogBytes) return;
  last_backlog_at_ = listener_.clock_.Now();
}

// Input that arrives after the shutdown stays in the kernel.
void Session::CheckForClose() {
  if (net::PeerHasClosed(socket_)) return Close();
  if (net::UnreadBytes(socket_) > 0) return AwaitHangup();
  AwaitInput();
}

// The socket stays readable because of the unread bytes, so readability can't show a close. Once the client
// closes its side, both sides are shut down, which poll reports as an error event.
void Session::AwaitHangup() {
  socket_.async_wait(tcp::socket::wait_error, [self = shared_from_this()](beast::error_code error) {
    if (!error) self->Close();
  });
}

// The deadline of a request counts from the arrival of its first bytes, not from the read: this process may
// have been descheduled, or the connection may have waited in the accept queue.
void Session::BeginRequest() {
  const std::optional<TimePoint> arrival = input_.OldestArrival();
  input_.Begin(arrival ? *arrival : listener_.clock_.Now());
  state_since_ = input_.began_at();
  const State former = std::exchange(state_, State::kReceiving);
  // The request timeout replaces the keep-alive timeout. For the first request it has run since the connect.
  if (former == State::kIdle) ArmReceiveTimeout();
}

void Session::ParseInput() {
  if (!input_.NeedsParsing()) return;
  if (!input_.has_begun()) BeginRequest();
  input_.Parse();
  if (input_.has_failed()) input_mode_ = InputMode::kDiscard;  // the next request can't be located
}

// Parses the input and serves or rejects the request. While an earlier one is served or answered, input stays
// in the bounded buffer: parsing it would allocate the body of the next request.
void Session::Advance() {
  if (!IsBeforeServing()) return;
  ParseInput();
  if (input_.has_failed()) return Reject(input_.TakeError());
  if (input_.IsComplete()) return ServeNext();
}

}  // namespace badgerbridge::proxy
