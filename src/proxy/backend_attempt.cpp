// SPDX-License-Identifier: Apache-2.0
//
// The exchange of one attempt on a connection to a backend: from its begin to its end.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "proxy/backend_connection.h"

namespace badgerbridge::proxy {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace {

constexpr int kTurnsToHandleList =
    4;  // from the read of an endpoint list to the end of its handling, and more
constexpr int kMaxPostponedTurns = 20;  // of the event loop, each of which handles up to 128 descriptors

}  // namespace

// Called at the end of a write. Without memory for one of its later steps the operation is destroyed without
// a call: whether the last byte has been written is not known then.
class BackendPool::Connection::WriteHandler {
 public:
  explicit WriteHandler(std::shared_ptr<Connection> connection) : connection_(std::move(connection)) {}
  WriteHandler(WriteHandler&&) = default;
  ~WriteHandler() {
    if (connection_) connection_->write_pending_ = false;
  }
  void operator()(beast::error_code error, std::size_t) {
    const std::shared_ptr<Connection> connection = std::move(connection_);
    connection->write_pending_ = false;
    connection->RunStep([&] { connection->OnWritten(error); });
  }

 private:
  std::shared_ptr<Connection> connection_;
};

void BackendPool::Connection::SetAttempt(Attempt attempt) {
  state_ = State::kStarting;
  attempt_ = std::move(attempt);
  outcome_if_unwritten_ = Outcome::kConnectFailed;
  attempt_number_ = ++pool_->attempt_count_;
  postponed_turns_ = 0;
  turns_to_postpone_ = 0;
  attempt_started_at_ = pool_->clock_.Now();
}

// A drain that discovery has sent and nobody has read yet comes first. What has just been read is handled
// within some further turns of the event loop.
void BackendPool::Connection::Begin() {
  const bool has_unread_list = pool_->has_unread_list_ && pool_->has_unread_list_();
  if (has_unread_list) turns_to_postpone_ = kTurnsToHandleList;
  const bool may_postpone = turns_to_postpone_ > 0 && postponed_turns_ < kMaxPostponedTurns;
  if (may_postpone) {
    if (!has_unread_list) --turns_to_postpone_;
    return PostponeBegin();
  }
  // Meanwhile the connection may have been closed, or the backend have sent unsolicited bytes.
  if (postponed_turns_ > 0 && CheckStale()) return End(Outcome::kConnectFailed);
  Write();
}

void BackendPool::Connection::PostponeBegin() {
  ++postponed_turns_;
  SetTimer(std::min(attempt_.deadline, attempt_.begin_before));
  asio::post(pool_->io_, [self = shared_from_this(), number = attempt_number_] {
    if (self->state_ != State::kStarting || self->attempt_number_ != number) return;
    self->RunStep([&connection = *self] { connection.Begin(); });
  });
}

// The one place that decides whether the attempt may still be sent, when its first byte is about to be
// written: the connection may have taken its time to come up, this process may have been descheduled, and
// what the client did meanwhile may be unhandled at its socket. Returns nothing if it may, else how the
// attempt ends.
std::optional<Outcome> BackendPool::Connection::OutcomeIfNotSendable(TimePoint now) const {
  if (!pool_->AcceptsRequests(backend_, address_)) return Outcome::kConnectFailed;
  if (now >= attempt_.deadline || now >= attempt_.begin_before) return Outcome::kConnectFailed;
  if (attempt_.requester && attempt_.requester->HasDisconnected()) return Outcome::kNotSent;
  return std::nullopt;
}

// All that needs no check comes first, so that little stands between the check and the first byte.
void BackendPool::Connection::Write() {
  Compose();
  const TimePoint now = pool_->clock_.Now();
  if (const auto outcome = OutcomeIfNotSendable(now)) return End(*outcome);
  if (pool_->on_attempt_begin_) pool_->on_attempt_begin_(backend_, *attempt_.request);
  SetTimeLeft(attempt_.deadline - now, message_);
  state_ = State::kWriting;
  write_pending_ = true;
  http::async_write(socket_, message_, WriteHandler(shared_from_this()));
  write_started_ = true;
  // The request counts at the backend when its last byte has come.
  SetTimer(std::min(attempt_.deadline, attempt_.begin_before));
  ParseOrRead();
}

void BackendPool::Connection::Compose() {
  ComposeBackendRequest(*attempt_.request, message_);
  write_started_ = false;
  write_pending_ = false;
  response_stalled_ = false;
  reader_.Begin();
}

void BackendPool::Connection::OnWritten(beast::error_code error) {
  if (state_ == State::kAborting) {
    // Aborted while the write was pending. Only now is it known whether the last byte was written.
    End(error ? outcome_if_unwritten_ : outcome_if_written_);
  } else if (state_ == State::kWriting) {
    if (error) return End(Outcome::kConnectFailed);
    state_ = State::kAwaitingResponse;
    if (attempt_.begin_before < attempt_.deadline) SetTimer(attempt_.deadline);
  }
}

void BackendPool::Connection::ParseOrRead() {
  if (reader_.HasUnparsedBytes()) return OnRead({});
  Read();
}

void BackendPool::Connection::Read() {
  socket_.async_read_some(reader_.PrepareRead(),
                          [self = shared_from_this()](beast::error_code error, std::size_t byte_count) {
                            self->reader_.CommitRead(byte_count);
                            self->RunStep([&] { self->OnRead(error); });
                          });
}

void BackendPool::Connection::OnRead(beast::error_code error) {
  if (state_ == State::kClosed || state_ == State::kAborting) return;
  switch (reader_.Parse(error)) {
    case BackendResponseReader::Status::kInvalid:
      return Abort(Outcome::kReset);
    case BackendResponseReader::Status::kIncomplete:
      return OnIncompleteResponse();
    case BackendResponseReader::Status::kInterim:
      return OnInterimResponse();
    case BackendResponseReader::Status::kComplete:
      return OnResponse();
  }
}

// A backend sends a response in one go: one that stops short, on a connection that stays open, will not
// become complete, and the client's time is better spent on another attempt.
void BackendPool::Connection::OnIncompleteResponse() {
  response_stalled_ = state_ == State::kAwaitingResponse;
  if (response_stalled_)
    SetTimer(std::min(attempt_.deadline, pool_->clock_.Now() + pool_->limits_.connect_timeout));
  Read();
}

void BackendPool::Connection::OnInterimResponse() {
  if (std::exchange(response_stalled_, false)) SetTimer(attempt_.deadline);
  reader_.BeginNextResponse();
  ParseOrRead();
}

void BackendPool::Connection::OnResponse() {
  BackendResponse& response = reader_.response();
  const unsigned status = response.result_int();
  const bool has_certain_end = HasCertainEnd(response);
  // Bytes that came before the request was complete are no response to it.
  if (state_ == State::kWriting || status < 200 || (status == 200 && !has_certain_end))
    return Abort(Outcome::kReset);
  AttemptResult result = DecodeBackendResponse(response, pool_->records_load_reports_);
  // Bytes behind a good response belong to no request; the response stands.
  const bool has_bytes_behind = reader_.HasUnparsedBytes();
  if (has_bytes_behind) pool_->last_unsolicited_at_ = pool_->clock_.Now();
  const bool is_reusable = has_certain_end && response.keep_alive() && !has_bytes_behind && !CheckStale();
  Complete(std::move(result), is_reusable);
}

void BackendPool::Connection::Complete(AttemptResult result, bool is_reusable) {
  const AttemptCallback on_end = std::exchange(attempt_.on_end, nullptr);
  ReleaseAttempt();
  on_end(std::move(result));  // first: what follows may fail
  if (is_reusable) {
    pool_->AddIdle(shared_from_this());
  } else {
    Close();
  }
}

// An idle connection holds nothing of the last request.
void BackendPool::Connection::ReleaseAttempt() {
  reader_.Release();
  message_.clear();
  message_.body() = {};
  attempt_.request.reset();
  attempt_.requester.reset();
}

void BackendPool::Connection::OnAttemptTimeout() {
  // The response, or its rest, may have come in time and not been read yet.
  if (read_grace_.ShouldPostpone(socket_))
    return SetTimer(pool_->clock_.Now() + net::ReadTimeoutGrace::kRecheckInterval);
  if (response_stalled_) return Abort(Outcome::kReset);
  // A backend that sends nothing may be a machine that has vanished: then its idle connections are as dead.
  pool_->CloseIdleSince(backend_, attempt_started_at_);
  Abort(Outcome::kTimeout);
}

// The attempt has failed at the backend's side. While the write is pending, its handler alone knows whether
// the complete request was written: to call that "not sent" would let a request that is not idempotent run
// twice.
void BackendPool::Connection::Abort(Outcome outcome) {
  if (state_ != State::kWriting || !write_pending_) return End(outcome);
  outcome_if_written_ = outcome;
  state_ = State::kAborting;
  CloseSocket();
}

void BackendPool::Connection::End(Outcome outcome) {
  const AttemptCallback on_end = std::exchange(attempt_.on_end, nullptr);
  Close();
  if (on_end) on_end({outcome, {}, {}});
}

}  // namespace badgerbridge::proxy
