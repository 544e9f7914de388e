// SPDX-License-Identifier: Apache-2.0
#include "proxy/backend_connection.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace badgerbridge::proxy {
namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
namespace {

constexpr double kMaxIdleFraction =
    0.75;  // of the backend's idle timeout: closed before the backend may close it
constexpr double kMaxConnectFraction = 0.25;  // of an attempt's time

}  // namespace

BackendPool::Connection::Connection(BackendPool& pool, BackendId backend, tcp::endpoint address)
    : pool_(&pool), backend_(backend), address_(std::move(address)), socket_(pool.io_), timer_(pool.io_) {
  ++pool.open_connections_;
}

void BackendPool::Connection::Connect(Attempt attempt) {
  SetAttempt(std::move(attempt));
  RunStep([this] { StartConnecting(); });
}

void BackendPool::Connection::StartConnecting() {
  // Most of the client's time must be left for another backend, or for the client to send it elsewhere.
  const Duration time_left = attempt_.deadline - attempt_started_at_;
  SetTimer(attempt_started_at_ + std::min(pool_->limits_.connect_timeout, time_left * kMaxConnectFraction));
  pool_->connector_(socket_, address_, [self = shared_from_this()](beast::error_code error) {
    self->RunStep([&] { self->OnConnected(error); });
  });
}

void BackendPool::Connection::OnConnected(beast::error_code error) {
  if (state_ != State::kStarting) return;  // ended meanwhile
  // Without a descriptor of its own the attempt was never sent, through no fault of the backend.
  if (error == asio::error::no_descriptors) return End(Outcome::kNotSent);
  if (error) return End(Outcome::kConnectFailed);
  socket_.set_option(tcp::no_delay(true), error);
  socket_.non_blocking(true, error);
  // Closed before the first byte, the backend never had the request.
  if (CheckStale()) return End(Outcome::kConnectFailed);
  Begin();
}

void BackendPool::Connection::Reuse(Attempt attempt) {
  SetAttempt(std::move(attempt));
  RunStep([this] { Begin(); });
}

bool BackendPool::Connection::CheckStale() {
  char byte = 0;
  beast::error_code error;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (!error) pool_->last_unsolicited_at_ = pool_->clock_.Now();
  return error != asio::error::would_block;
}

void BackendPool::Connection::BecomeIdle() {
  state_ = State::kIdle;
  idle_since_ = pool_->clock_.Now();
  RunStep([this] {
    SetTimer(idle_since_ + pool_->limits_.idle_timeout * kMaxIdleFraction);
    AwaitInput();
  });
}

void BackendPool::Connection::AwaitInput() {
  if (has_input_wait_) return;  // of an earlier idle time; the response should have ended it
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](beast::error_code error) { self->OnInput(error); });
  has_input_wait_ = true;
}

void BackendPool::Connection::OnInput(beast::error_code error) {
  has_input_wait_ = false;
  if (state_ == State::kIdle && (error || CheckStale())) Close();
  // A spurious wake-up.
  if (state_ == State::kIdle) RunStep([this] { AwaitInput(); });
}

void BackendPool::Connection::Cancel(std::uint64_t attempt_number) {
  if (attempt_number != attempt_number_) return;  // it has ended, and the connection has another
  if (state_ == State::kStarting) return End(Outcome::kConnectFailed);
  if (state_ == State::kWriting || state_ == State::kAwaitingResponse) Abort(Outcome::kCancelled);
}

// While the write is pending, its handler alone knows whether the last byte was written; until it has been,
// the backend does not begin.
void BackendPool::Connection::Withdraw(std::uint64_t attempt_number) {
  if (attempt_number != attempt_number_) return;
  if (state_ == State::kStarting) return End(Outcome::kNotSent);
  if (state_ != State::kWriting) return;
  outcome_if_unwritten_ = Outcome::kNotSent;
  Abort(Outcome::kCancelled);
}

void BackendPool::Connection::Close() {
  if (state_ == State::kClosed) return;
  if (state_ == State::kIdle) pool_->RemoveIdle(*this);
  state_ = State::kClosed;
  --pool_->open_connections_;
  CloseSocket();
}

void BackendPool::Connection::CloseSocket() {
  timer_.Disarm();
  beast::error_code ignored;
  socket_.close(ignored);
}

void BackendPool::Connection::OnStepFailed(const std::exception& error) noexcept {
  std::cerr << "a connection to a backend failed: " << error.what() << '\n';
  switch (state_) {
    case State::kStarting:
      return End(Outcome::kNotSent);
    case State::kWriting:
    case State::kAwaitingResponse:
      // Where no write was begun, nothing has been sent.
      return Abort(write_started_ ? Outcome::kReset : Outcome::kNotSent);
    case State::kIdle:
      return Close();
    case State::kAborting:
    case State::kClosed:
      return;
  }
}

void BackendPool::Connection::SetTimer(TimePoint at) {
  timer_.ArmAt(pool_->clock_.ToSteady(at), [self = shared_from_this()] {
    self->RunStep([&connection = *self] { connection.OnTimer(); });
  });
}

void BackendPool::Connection::OnTimer() {
  switch (state_) {
    case State::kIdle:
      return Close();
    case State::kStarting:
      return End(Outcome::kConnectFailed);
    case State::kWriting:
    case State::kAwaitingResponse:
      return OnAttemptTimeout();
    case State::kAborting:
    case State::kClosed:
      return;
  }
}

}  // namespace badgerbridge::proxy
