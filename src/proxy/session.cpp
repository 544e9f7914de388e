// SPDX-License-Identifier: Apache-2.0
//
// Start and end of a session: timeouts, eviction and close.
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

// Clients write a request in one go, so one that takes longer is not going to be completed. Also limits the
// time to the first byte of a new connection.
constexpr milliseconds kRequestTimeout{2200};
constexpr milliseconds kKeepAliveTimeout{2200};    // longer than the 2 s that clients may rely on
constexpr Duration kTypicalFirstRequestTime{250};  // from connecting until the complete first request
constexpr Duration kTypicalReadTime{1000};         // for reading a complete answer
// The linger time is extended at most this often while a close would reset the connection, because bytes are
// unread, before the client has received its answer.
constexpr int kMaxLingerExtensions = 3;
// For input that a client's system holds back to arrive after the proxy has read what was before it.
constexpr Duration kMaxBacklogGap{20};
// An attempt may begin as long after the client has left.
constexpr Duration kMaxUnseenAbsence{50};

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
    state_since_ = listener_.clock_.Now();
    input_.Reset();
    ArmTimer(kRequestTimeout);
    AwaitInput();
  });
}

// Called after an exception. Still answers the request if there is one; a second exception closes the
// connection.
void Session::Recover(const std::exception& cause) noexcept {
  std::cerr << "failed to handle an event of a client connection; recovering: " << cause.what() << '\n';
  try {
    ResumeState();
  } catch (const std::exception&) {
    if (state_ != State::kServing) Close();
  }
}

// Continues in the current state: a partly read request is rejected, a request in the table stays there, and
// an answer is written further.
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
  return state_ == State::kIdle && listener_.clock_.Now() - state_since_ >= min_idle &&
         net::UnreadBytes(socket_) == 0;
}

bool Session::HasSentNothing() const {
  return state_ == State::kAwaitingFirst &&
         listener_.clock_.Now() - state_since_ >= kTypicalFirstRequestTime && net::UnreadBytes(socket_) == 0;
}

bool Session::IsSlowToSend() const {
  return state_ == State::kReceiving && listener_.clock_.Now() - state_since_ >= kTypicalFirstRequestTime;
}

bool Session::IsSlowToRead() const {
  return state_ == State::kAnswering && listener_.clock_.Now() - state_since_ >= kTypicalReadTime;
}

bool Session::IsEnding() const {
  if (state_ == State::kAnswering) return !keep_alive_after_answer_;
  return state_ == State::kLingering || state_ == State::kClosed;
}

bool Session::CanCloseWithoutLoss() const {
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
    if (former == State::kServing) WithdrawRequest();
  } catch (const std::exception& error) {
    std::cerr << "failed to report a client disconnect to the request table: " << error.what() << '\n';
  }
  listener_.Remove(position_);
}

// Takes the request out of the request table. If none of its attempts was begun, the client may send it
// again.
void Session::WithdrawRequest() {
  const bool was_attempted = listener_.proxy_.ClientDisconnected(std::exchange(request_, 0));
  if (!was_attempted) listener_.recent_ids_.Remove(correlation_id_);
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

// After this call no input is parsed as a request.
void Session::BeginLinger(InputMode mode) {
  state_ = State::kLingering;
  input_mode_ = mode;
  listener_.sessions_.AddLingering();
  discarded_bytes_ = 0;
  linger_extensions_ = 0;
  beast::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  listener_.ResumeAccept();
  input_.Clear();
  ArmTimer(listener_.limits_.linger);
  AwaitInput();
}

// Whether the client may have left for longer than an attempt may begin after it, with its close held back
// behind the input that it has sent after its request.
bool Session::MayHideDisconnect() {
  NoteBacklog();
  const TimePoint now = listener_.clock_.Now();
  const bool has_backlog = last_backlog_at_ && now - *last_backlog_at_ < kMaxBacklogGap;
  return has_backlog && now - request_began_at_ >= kMaxUnseenAbsence;
}

ClientState Session::CheckClient() noexcept {
  if (state_ == State::kClosed) return ClientState::kDisconnected;
  if (!net::PeerHasClosed(socket_)) {
    return MayHideDisconnect() ? ClientState::kUnknown : ClientState::kConnected;
  }
  try {
    asio::post(listener_.io_, [self = shared_from_this()] { self->Close(); });
  } catch (const std::exception&) {
    // The pending wait for input detects the disconnect as well.
  }
  return ClientState::kDisconnected;
}

void Session::OnTimer() {
  switch (state_) {
    case State::kAwaitingFirst:
    case State::kIdle:
    case State::kReceiving:
      return OnReceiveTimeout();
    case State::kAnswering:
      return Close();  // a client that doesn't read must not hold the connection forever
    case State::kLingering:
      return OnLingerTimeout();
    case State::kServing:
    case State::kClosed:
      return;
  }
}

// The rest of the request, or the next one, may have arrived in the same event loop iteration.
void Session::OnReceiveTimeout() {
  ReadAllUnread();
  if (!IsBeforeServing() || timer_.armed()) return;
  if (state_ == State::kReceiving) return Reject(RequestError::kIncompleteAtTimeout);
  BeginLinger(InputMode::kLeaveUnread);
}

// Closing with unread bytes resets the connection, which would lose data that the client has not received
// yet.
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
                                  ? std::min(listener_.limits_.linger, schedule.UntilAnswerDeadline(now))
                                  : schedule.UntilServingEnds(now);
    wait = std::min(wait, rest);
  }
  ArmTimer(wait);
}

}  // namespace badgerbridge::proxy
