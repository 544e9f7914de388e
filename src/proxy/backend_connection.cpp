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

// Closes an idle connection before the backend closes it.
constexpr double kMaxFractionOfIdleTimeout = 0.75;
constexpr double kMaxConnectFractionOfAttempt = 0.25;

}  // namespace

BackendPool::Connection::Connection(BackendPool& pool, BackendId backend, Instance instance)
    : pool_(&pool), backend_(backend), instance_(std::move(instance)), socket_(pool.io_), timer_(pool.io_) {
  ++pool.open_connections_;
}

void BackendPool::Connection::Connect(Attempt attempt) {
  SetAttempt(std::move(attempt));
  RunStep([this] { StartConnecting(); });
}

void BackendPool::Connection::StartConnecting() {
  // Leaves most of the time for an attempt on another backend, or for the client to use another proxy.
  const Duration time_left = attempt_.deadline - attempt_started_at_;
  SetTimer(attempt_started_at_ +
           std::min(pool_->limits_.connect_timeout, time_left * kMaxConnectFractionOfAttempt));
  pool_->connector_(socket_, instance_.address, [self = shared_from_this()](beast::error_code error) {
    self->RunStep([&] { self->OnConnected(error); });
  });
}

void BackendPool::Connection::OnConnected(beast::error_code error) {
  if (state_ != State::kStarting) return;  // the attempt has ended
  // The proxy has run out of file descriptors: nothing was sent, and the backend is not at fault.
  if (error == asio::error::no_descriptors) return End(Outcome::kNotSent);
  if (error) return End(Outcome::kConnectFailed);
  socket_.set_option(tcp::no_delay(true), error);
  socket_.non_blocking(true, error);
  // The backend has closed the connection before the first byte, so it has not received the request.
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
    SetTimer(idle_since_ + pool_->limits_.idle_timeout * kMaxFractionOfIdleTimeout);
    AwaitInput();
  });
}

void BackendPool::Connection::AwaitInput() {
  if (has_input_wait_) return;  // a wait from an earlier idle period is still pending
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](beast::error_code error) { self->OnInput(error); });
  has_input_wait_ = true;
}

void BackendPool::Connection::OnInput(beast::error_code error) {
  has_input_wait_ = false;
  if (state_ == State::kIdle && (error || CheckStale())) Close();
  // Still idle: a spurious wake-up.
  if (state_ == State::kIdle) RunStep([this] { AwaitInput(); });
}

void BackendPool::Connection::Cancel(std::uint64_t attempt_number) {
  if (attempt_number != attempt_number_) return;  // it has ended; the connection runs a later attempt
  if (state_ == State::kStarting) return End(Outcome::kConnectFailed);
  if (state_ == State::kWriting || state_ == State::kAwaitingResponse) Abort(Outcome::kCancelled);
}

// A backend starts a request only after the last byte. While the write is pending, its handler decides
// whether the last byte was written.
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
  std::cerr << "cannot continue on a connection to a backend, ending the attempt or closing the connection: "
            << error.what() << '\n';
  switch (state_) {
    case State::kStarting:
      return End(Outcome::kNotSent);
    case State::kWriting:
    case State::kAwaitingResponse:
      // Without a started write, nothing has been sent.
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
      if (std::exchange(awaits_client_, false) && pool_->clock_.Now() < LatestBegin()) return Begin();
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
