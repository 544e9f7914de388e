// SPDX-License-Identifier: Apache-2.0
//
// A session's beginning and end: time limits, eviction, and the close.
#include "proxy/session.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iostream>
#include <utility>

#include "net/socket_state.h"

namespace badgerbridge::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

// A client sends a request at once: one that takes longer will not be complete. Also for the first bytes.
constexpr milliseconds kRequestTimeout{2200};
// Between requests: more than the 2 s that clients may count on.
constexpr milliseconds kKeepAliveTimeout{2200};
constexpr Duration kTypicalFirstRequestTime{250};  // from the connection to a typical client's whole request
constexpr Duration kTypicalReadTime{1000};         // of an answer, by a typical client
// For a client that has not read its answer yet, while unread bytes would make the close a reset.
constexpr int kMaxLingerExtensions = 3;

}  // namespace

Session::Session(Listener& listener)
    : listener_(listener), socket_(listener.io_), timer_(listener.io_), discard_pause_(listener.io_) {}

void Session::Adopt(const tcp& protocol, int descriptor) { socket_.assign(protocol, descriptor); }

void Session::Start(SessionList::Position position) noexcept {
  position_ = position;
  Guarded([this] {
    beast::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    since_ = listener_.clock_.Now();
    input_.Reset();
    ArmTimer(kRequestTimeout);
    AwaitInput();
  });
}

// After an exception. What is owed is still given; a second exception here ends the connection.
void Session::Recover(const std::exception& cause) noexcept {
  std::cerr << "a connection's event could not be handled: " << cause.what() << '\n';
  try {
    ResumeState();
  } catch (const std::exception&) {
    if (state_ != State::kServing) Close();
  }
}

// The table answers the requests that it holds, an answer that is being written is written on, and what has
// been read of a request is answered.
void Session::ResumeState() {
  switch (state_) {
    case State::kAwaitingFirst:
    case State::kIdle:
    case State::kReceiving:
      if (input_.has_begun() || input_.buffered_bytes() > 0) return Reject(RequestError::kInternal);
      if (!timer_.armed()) ArmReceiveTimeout();
      return AwaitInput();
    case State::kServing:
      return AwaitInput();
    case State::kAnswering:
      return WriteSome();
    case State::kLingering:
      if (!timer_.armed()) ArmTimer(listener_.limits_.linger);
      return AwaitInput();
    case State::kClosed:
      return;
  }
}

bool Session::IsBeforeServing() const {
  return state_ == State::kAwaitingFirst || state_ == State::kIdle || state_ == State::kReceiving;
}

bool Session::IsIdle() const {
  return state_ == State::kAwaitingFirst || state_ == State::kIdle || state_ == State::kLingering;
}

bool Session::HasBeenIdleFor(Duration min_idle) const {
  return state_ == State::kIdle && listener_.clock_.Now() - since_ >= min_idle &&
         net::UnreadBytes(socket_) == 0;
}

bool Session::HasSentNothing() const {
  return state_ == State::kAwaitingFirst && listener_.clock_.Now() - since_ >= kTypicalFirstRequestTime &&
         net::UnreadBytes(socket_) == 0;
}

bool Session::IsSlowToSend() const {
  return state_ == State::kReceiving && listener_.clock_.Now() - since_ >= kTypicalFirstRequestTime;
}

bool Session::IsSlowToRead() const {
  return state_ == State::kAnswering && listener_.clock_.Now() - since_ >= kTypicalReadTime;
}

bool Session::EndedCleanly() const {
  return is_lingering() && net::UnreadBytes(socket_) == 0 && net::UnacknowledgedBytes(socket_) == 0;
}

void Session::Close() noexcept {
  if (state_ == State::kClosed) return;
  const State former = std::exchange(state_, State::kClosed);
  if (former == State::kLingering) listener_.sessions_.RemoveLingering();
  timer_.Disarm();
  discard_pause_.Disarm();
  beast::error_code ignored;
  socket_.close(ignored);
  try {
    if (former == State::kServing) listener_.proxy_.ClientDisconnected(std::exchange(request_, 0));
  } catch (const std::exception& error) {
    std::cerr << "a departure could not be noted: " << error.what() << '\n';
  }
  listener_.Remove(position_);
}

void Session::ShutdownIfIdle() noexcept {
  Guarded([this] {
    const bool between_requests = state_ == State::kAwaitingFirst || state_ == State::kIdle;
    if (between_requests && net::UnreadBytes(socket_) == 0) BeginLinger(InputMode::kLeaveUnread);
  });
}

void Session::RejectPartialRequest() noexcept {
  Guarded([this] {
    ReadAllUnread();
    if (state_ == State::kReceiving) Reject(RequestError::kIncompleteAtClientLimit);
  });
}

void Session::EndIfDrained() noexcept {
  if (state_ == State::kIdle) ShutdownIfIdle();
}

void Session::BeginDrain() noexcept {
  Guarded([this] {
    EndIfDrained();
    if (IsBeforeServing()) ArmReceiveTimeout();
  });
}

// From here on nothing is read that could be a request.
void Session::BeginLinger(InputMode mode) {
  state_ = State::kLingering;
  input_mode_ = mode;
  listener_.sessions_.AddLingering();
  discarded_bytes_ = 0;
  linger_extensions_ = 0;
  beast::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  ArmTimer(listener_.limits_.linger);
  AwaitInput();
}

bool Session::HasLeft() noexcept {
  if (state_ == State::kClosed) return true;
  if (!net::PeerHasClosed(socket_)) return false;
  try {
    asio::post(listener_.io_, [self = shared_from_this()] { self->Close(); });
  } catch (const std::exception&) {
    // The wait for input reports the departure as well.
  }
  return true;
}

void Session::OnTimer() {
  switch (state_) {
    case State::kAwaitingFirst:
    case State::kIdle:
    case State::kReceiving:
      return OnReceiveTimeout();
    case State::kAnswering:
      return Close();  // a client that does not read must not hold the connection for ever
    case State::kLingering:
      return OnLingerTimeout();
    case State::kServing:
    case State::kClosed:
      return;
  }
}

// The rest of the request, or the next one, may have come in the same turn of the loop.
void Session::OnReceiveTimeout() {
  ReadAllUnread();
  if (!IsBeforeServing() || timer_.armed()) return;
  if (state_ == State::kReceiving) return Reject(RequestError::kIncompleteInTime);
  BeginLinger(InputMode::kLeaveUnread);
}

// A close over unread bytes is a reset, which would take away what the client has not got yet.
void Session::OnLingerTimeout() {
  const bool would_lose = net::UnreadBytes(socket_) > 0 && net::UnacknowledgedBytes(socket_) > 0;
  if (!would_lose || ++linger_extensions_ > kMaxLingerExtensions) return Close();
  ArmTimer(listener_.limits_.linger);
}

void Session::ArmTimer(milliseconds wait) {
  timer_.ArmAfter(wait,
                  [self = shared_from_this()] { self->Guarded([&session = *self] { session.OnTimer(); }); });
}

void Session::ArmReceiveTimeout() {
  milliseconds wait = state_ == State::kIdle ? kKeepAliveTimeout : kRequestTimeout;
  if (listener_.acceptor_.is_closed()) {
    const StopSchedule& schedule = listener_.stop_schedule_;
    const TimePoint now = listener_.clock_.Now();
    const milliseconds rest = state_ == State::kReceiving
                                  ? std::min(listener_.limits_.linger, schedule.UntilLastAnswer(now))
                                  : schedule.UntilServingEnds(now);
    wait = std::min(wait, rest);
  }
  ArmTimer(wait);
}

}  // namespace badgerbridge::proxy
