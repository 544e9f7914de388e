// SPDX-License-Identifier: Apache-2.0
//
// One attempt on a connection to a backend: sends the request and reads the response.
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

// Event loop iterations that are enough to handle an endpoint list after it has been read.
constexpr int kIterationsToHandleList = 4;
// Each iteration of the event loop handles up to 128 descriptors.
constexpr int kMaxPostponedIterations = 20;
constexpr Duration kClientCheckInterval{1};

}  // namespace

// Called when a write ends. If memory runs out between two steps of the write, Asio destroys the handler
// without calling it; then it is unknown whether the last byte was written.
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
  was_postponed_ = false;
  awaits_client_ = false;
  postponed_iterations_ = 0;
  iterations_to_postpone_ = 0;
  attempt_started_at_ = pool_->clock_.Now();
}

void BackendPool::Connection::Begin() {
  if (MayReceiveEndpointList()) return PostponeBegin();
  if (MayHaveLostClient()) return AwaitClient();
  // While the attempt was postponed, the backend may have closed the connection or sent unsolicited bytes.
  if (was_postponed_ && CheckStale()) return End(Outcome::kConnectFailed);
  Write();
}

// Whether an endpoint list from discovery is unread, which may drain this backend. A list that has just been
// read is handled within a few more iterations of the event loop.
bool BackendPool::Connection::MayReceiveEndpointList() {
  const bool has_unread_list = pool_->has_unread_list_ && pool_->has_unread_list_();
  if (has_unread_list) iterations_to_postpone_ = kIterationsToHandleList;
  if (iterations_to_postpone_ == 0 || postponed_iterations_ >= kMaxPostponedIterations) return false;
  if (!has_unread_list) --iterations_to_postpone_;
  ++postponed_iterations_;
  return true;
}

// Whether the client may have left behind input that its session has yet to read. The session ends the
// attempt if there is too much of it.
bool BackendPool::Connection::MayHaveLostClient() const {
  return attempt_.requester && attempt_.requester->CheckClient() == ClientState::kUnknown;
}

void BackendPool::Connection::PostponeBegin() {
  was_postponed_ = true;
  SetTimer(LatestBegin());
  asio::post(pool_->io_, [self = shared_from_this(), number = attempt_number_] {
    if (self->state_ != State::kStarting || self->attempt_number_ != number) return;
    self->RunStep([&connection = *self] { connection.Begin(); });
  });
}

// Checks the client again after a short time.
void BackendPool::Connection::AwaitClient() {
  was_postponed_ = true;
  SetTimer(std::min(LatestBegin(), pool_->clock_.Now() + kClientCheckInterval));
  awaits_client_ = true;
}

// Decides, just before the first byte is written, whether the attempt may still be sent: connecting may have
// been slow, this process may have been descheduled, and the client may have disconnected without the event
// having been handled yet. Returns nullopt if the attempt may be sent, otherwise its outcome.
std::optional<Outcome> BackendPool::Connection::OutcomeIfNotSendable(TimePoint now) const {
  if (!pool_->AcceptsRequests(backend_, instance_)) return Outcome::kConnectFailed;
  if (now >= LatestBegin()) return Outcome::kConnectFailed;
  if (attempt_.requester && attempt_.requester->CheckClient() == ClientState::kDisconnected)
    return Outcome::kNotSent;
  return std::nullopt;
}

// Composes the message before the check, to keep the time between the check and the first byte short.
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
  // The backend runs the request once it has received the last byte, so the timer bounds the whole write.
  SetTimer(LatestBegin());
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
    // The attempt was aborted while the write was pending; the end of the write decides the outcome.
    End(error ? outcome_if_unwritten_ : outcome_if_written_);
  } else if (state_ == State::kWriting) {
    if (error) return End(Outcome::kConnectFailed);
    state_ = State::kAwaitingResponse;
    ReleaseRequest();
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

// Backends send a response in one piece. A partial response on an open connection is unlikely to be
// completed, so the wait for the rest is short and leaves time for another attempt.
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
  const bool has_explicit_end = HasExplicitEnd(response);
  // A response received before the request was completely written cannot be a response to it.
  if (state_ == State::kWriting || status < 200 || (status == 200 && !has_explicit_end))
    return Abort(Outcome::kReset);
  AttemptResult result = DecodeBackendResponse(response, pool_->records_load_reports_);
  // Bytes after a valid response are unsolicited; the response itself is still used.
  const bool has_trailing_bytes = reader_.HasUnparsedBytes();
  if (has_trailing_bytes) pool_->last_unsolicited_at_ = pool_->clock_.Now();
  const bool is_reusable = has_explicit_end && response.keep_alive() && !has_trailing_bytes && !CheckStale();
  Complete(std::move(result), is_reusable);
}

void BackendPool::Connection::Complete(AttemptResult result, bool is_reusable) {
  const AttemptCallback on_end = std::exchange(attempt_.on_end, nullptr);
  ReleaseAttempt();
  on_end(std::move(result));  // before the steps below, which may fail
  if (is_reusable) {
    pool_->AddIdle(shared_from_this());
  } else {
    Close();
  }
}

// Frees the memory of the last request and response, so that an idle connection holds none.
void BackendPool::Connection::ReleaseAttempt() {
  reader_.Release();
  ReleaseRequest();
  attempt_.requester.reset();
}

// An attempt goes on when its client disconnects, and then only its connection would still hold the request.
void BackendPool::Connection::ReleaseRequest() {
  message_.clear();
  message_.body() = {};
  attempt_.request.reset();
}

void BackendPool::Connection::OnAttemptTimeout() {
  // The response or the rest of it may have arrived in time and still be unread in the socket.
  if (read_grace_.ShouldPostpone(socket_))
    return SetTimer(pool_->clock_.Now() + net::ReadTimeoutGrace::kRecheckInterval);
  if (response_stalled_) return Abort(Outcome::kReset);
  // If the host of the backend has disappeared, its idle connections are dead as well.
  pool_->CloseIdleSince(backend_, attempt_started_at_);
  Abort(Outcome::kTimeout);
}

// Ends an attempt that has failed. While the write is pending, the outcome is decided by the write handler,
// which learns whether the complete request was written: reporting such an attempt as not sent could run a
// request that is not idempotent twice.
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
