// SPDX-License-Identifier: Apache-2.0
//
// A session's start and its end: time limits, the place that it gives up, and the close.
#include "proxy/session.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <exception>
#include <iostream>
#include <utility>

#include "net/socket_state.h"

namespace badgerbridge::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr Duration kUsualFirstRequest{250};  // from the connection to a usual client's whole request
constexpr Duration kUsualReader{1000};       // from the answer to a usual client's having read it
// Of a client that has not read its answer yet, while unread bytes would make the close a reset.
constexpr int kMostLingerExtensions = 3;

}  // namespace

Listener::Session::Session(Listener& listener)
    : listener_(listener), socket_(listener.io_), timer_(listener.io_), pause_(listener.io_) {}

void Listener::Session::Adopt(const tcp& protocol, int descriptor) { socket_.assign(protocol, descriptor); }

// After an exception. What is owed is still given: the table answers what it holds, an answer that is being
// written is written on, and what has been read of a request is answered. A second exception here ends the
// connection.
void Listener::Session::Recover(const std::exception& cause) noexcept {
  std::cerr << "a connection's event could not be handled: " << cause.what() << '\n';
  try {
    switch (state_) {
      case State::kReceiving:
        if (begun_ || buffer_.size() > 0) return Reject({500, ""});
        if (!timer_.armed()) ArmReceiveTimeout();
        return AwaitInput();
      case State::kServing:
        return AwaitInput();
      case State::kAnswering:
        return WriteSome();
      case State::kEnding:
        if (!timer_.armed()) SetTimer(listener_.limits_.linger);
        return AwaitInput();
      case State::kClosed:
        return;
    }
  } catch (const std::exception&) {
    if (state_ != State::kServing) Close();
  }
}

void Listener::Session::Start(Sessions::iterator at) noexcept {
  at_ = at;
  Guarded([this] {
    beast::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    since_ = listener_.clock_.Now();
    ResetParser();
    SetTimer(kSlowRequest);  // also for one that says nothing at all
    AwaitInput();
  });
}

bool Listener::Session::HasBeenIdleFor(Duration silent) const {
  return state_ == State::kReceiving && asked_ && !begun_ && listener_.clock_.Now() - since_ >= silent &&
         net::UnreadBytes(socket_) == 0;
}

bool Listener::Session::NeverAsked() const {
  return state_ == State::kReceiving && !asked_ && !begun_ &&
         listener_.clock_.Now() - since_ >= kUsualFirstRequest && net::UnreadBytes(socket_) == 0;
}

bool Listener::Session::SlowToSend() const {
  return state_ == State::kReceiving && begun_ && listener_.clock_.Now() - since_ >= kUsualFirstRequest;
}

bool Listener::Session::SlowToRead() const {
  return state_ == State::kAnswering && listener_.clock_.Now() - since_ >= kUsualReader;
}

void Listener::Session::Close() noexcept {
  if (state_ == State::kClosed) return;
  const State was = std::exchange(state_, State::kClosed);
  if (was == State::kEnding) --listener_.ending_;
  timer_.Disarm();
  pause_.Disarm();
  beast::error_code ignored;
  socket_.close(ignored);
  try {
    if (was == State::kServing) listener_.proxy_.ClientDisconnected(std::exchange(request_, 0));
  } catch (const std::exception& error) {
    std::cerr << "a departure could not be noted: " << error.what() << '\n';
  }
  listener_.Remove(at_);
}

void Listener::Session::ShutdownIfIdle() noexcept {
  Guarded([this] {
    if (state_ == State::kReceiving && !begun_ && net::UnreadBytes(socket_) == 0)
      ShutdownSend(Input::kLeftUnread);
  });
}

void Listener::Session::RejectPartialRequest() noexcept {
  Guarded([this] {
    if (state_ != State::kReceiving) return;
    ReadAllUnread();
    if (state_ == State::kReceiving && begun_) Reject({503, "no room for a request that is not whole\n"});
  });
}

void Listener::Session::EndIfDrained() noexcept {
  if (asked_) ShutdownIfIdle();
}

void Listener::Session::BeginDrain() noexcept {
  Guarded([this] {
    if (state_ != State::kReceiving) return;
    if (asked_) ShutdownIfIdle();
    if (state_ == State::kReceiving) ArmReceiveTimeout();
  });
}

// From here on nothing is read that could be a request.
void Listener::Session::ShutdownSend(Input what_still_comes) {
  state_ = State::kEnding;
  input_ = what_still_comes;
  ++listener_.ending_;
  dropped_ = 0;
  linger_extensions_ = 0;
  beast::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  SetTimer(listener_.limits_.linger);
  AwaitInput();
}

bool Listener::Session::EndedCleanly() const {
  return ending() && net::UnreadBytes(socket_) == 0 && net::UnacknowledgedBytes(socket_) == 0;
}

bool Listener::Session::HasLeft() noexcept {
  if (state_ == State::kClosed) return true;
  if (!net::PeerHasClosed(socket_)) return false;
  try {
    asio::post(listener_.io_, [self = shared_from_this()] { self->Close(); });
  } catch (const std::exception&) {
    // The wait for input reports the departure as well.
  }
  return true;
}

void Listener::Session::OnTimer() {
  switch (state_) {
    case State::kReceiving:
      return OnReceiveTimeout();
    case State::kAnswering:
      return Close();  // a client that does not read must not hold the connection for ever
    case State::kEnding:
      return OnLingerTimeout();
    case State::kServing:
    case State::kClosed:
      return;
  }
}

// The rest of the request, or the next one, may have come in the same turn of the loop.
void Listener::Session::OnReceiveTimeout() {
  ReadAllUnread();
  if (state_ != State::kReceiving || timer_.armed()) return;
  if (begun_) return Reject({408, "the request is not whole\n"});
  ShutdownSend(Input::kLeftUnread);
}

// A close over unread bytes is a reset, which would take away what the client has not got yet.
void Listener::Session::OnLingerTimeout() {
  const bool would_lose = net::UnreadBytes(socket_) > 0 && net::UnacknowledgedBytes(socket_) > 0;
  if (!would_lose || ++linger_extensions_ > kMostLingerExtensions) return Close();
  SetTimer(listener_.limits_.linger);
}

void Listener::Session::SetTimer(std::chrono::milliseconds wait) {
  timer_.ArmAfter(wait,
                  [self = shared_from_this()] { self->Guarded([&session = *self] { session.OnTimer(); }); });
}

}  // namespace badgerbridge::proxy
