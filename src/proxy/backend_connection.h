// SPDX-License-Identifier: Apache-2.0
//
// A connection to a backend and the attempt on it. Only proxy/backend_pool.cpp, the pool, uses it.
#ifndef BADGERBRIDGE_PROXY_BACKEND_CONNECTION_H_
#define BADGERBRIDGE_PROXY_BACKEND_CONNECTION_H_

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <cstdint>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "net/one_shot_timer.h"
#include "net/read_grace.h"
#include "proxy/backend_pool.h"

namespace badgerbridge::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

using BackendAnswer = http::response<http::string_body>;

// Whether the end of the answer is certain. Beast takes a transfer coding that it does not know as none, and
// an answer without a length as lasting to the end of the connection, where a break looks the same.
inline bool EndIsCertain(const BackendAnswer& answer) {
  const auto lengths = answer.count(http::field::content_length);
  const auto codings = answer.count(http::field::transfer_encoding);
  if (lengths + codings != 1) return false;
  return lengths == 1 ? answer[http::field::content_length].find(',') == beast::string_view::npos
                      : beast::iequals(answer[http::field::transfer_encoding], "chunked");
}

// One connection and the attempt on it. While it stands idle, whatever can be read ends it: the backend has
// closed it, or has said something that nobody asked for and that must not become the next answer.
class BackendPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  struct Attempt {
    std::shared_ptr<const Forwarded> request;
    std::shared_ptr<Requester> requester;  // may be none
    TimePoint deadline{}, begin_before{};
    Done done;
  };

  Connection(BackendPool& pool, BackendId server, tcp::endpoint address)
      : pool_(&pool), server_(server), address_(std::move(address)), socket_(pool.io_), timer_(pool.io_) {
    ++pool.open_;
  }

  BackendId server() const { return server_; }
  TimePoint idle_since() const { return idle_since_; }

  void Connect(Attempt attempt) {
    Take(std::move(attempt));
    Guarded([this] { Dial(); });
  }

  void Dial() {
    // Half of the client's time must be left for another backend, or for the client to ask elsewhere.
    const Duration left = deadline_ - taken_at_;
    SetTimer(taken_at_ + std::min(pool_->limits_.connect_timeout, left * kConnectShare));
    pool_->dial_(socket_, address_, [self = shared_from_this()](beast::error_code error) {
      self->Guarded([&] { self->OnConnected(error); });
    });
  }

  void OnConnected(beast::error_code error) {
    if (state_ != State::kConnecting) return;  // given up meanwhile
    // Without a descriptor of its own it was never sent, through no fault of the backend.
    if (error == asio::error::no_descriptors) return End(Outcome::kNotSent);
    if (error) return End(Outcome::kConnectFailed);
    socket_.set_option(tcp::no_delay(true), error);
    socket_.non_blocking(true, error);
    // Closed before the first byte, it never had the request.
    if (Stale()) return End(Outcome::kConnectFailed);
    Begin();
  }

  void Reuse(Attempt attempt) {
    Take(std::move(attempt));
    Guarded([this] { Begin(); });
  }

  // Whether the backend has closed it, or said something unasked, that the pending wait has yet to report.
  bool Stale() {
    char byte;
    beast::error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (!error) pool_->unasked_at_ = pool_->clock_.Now();
    return error != asio::error::would_block;
  }

  void Idle() {
    state_ = State::kIdle;
    idle_since_ = pool_->clock_.Now();
    Guarded([this] {
      SetTimer(idle_since_ + pool_->limits_.idle_limit * kIdleShare);
      Await();
    });
  }

  void Await() {
    if (waiting_) return;  // the last wait, which the answer should have ended
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
      self->waiting_ = false;
      if (self->state_ == State::kIdle && (error || self->Stale())) self->Close();
      // Not seen: it was woken for nothing.
      if (self->state_ == State::kIdle) self->Guarded([&] { self->Await(); });
    });
    waiting_ = true;
  }

  void Cancel(std::uint64_t number) {
    if (number != number_) return;  // it has ended, and the connection has another
    if (state_ == State::kConnecting) return End(Outcome::kConnectFailed);
    if (state_ == State::kWriting || state_ == State::kWaiting) GiveUp(Outcome::kCancelled);
  }

  // While the write is under way, its handler alone knows whether the last byte went out; until it has, the
  // backend does not begin.
  void Withdraw(std::uint64_t number) {
    if (number != number_) return;
    if (state_ == State::kConnecting) return End(Outcome::kNotSent);
    if (state_ != State::kWriting) return;
    unwritten_ = Outcome::kNotSent;
    GiveUp(Outcome::kCancelled);
  }

  void Close() {
    if (state_ == State::kClosed) return;
    if (state_ == State::kIdle) pool_->Unpark(this);
    state_ = State::kClosed;
    --pool_->open_;
    timer_.Disarm();
    beast::error_code ignored;
    socket_.close(ignored);
  }

 private:
  enum class State {
    kConnecting,  // or about to begin on a connection that was idle
    kWriting,
    kWaiting,
    kIdle,
    kClosing,
    kClosed,
  };

  // The end of a write. Without memory for one of its later steps the operation is destroyed, and nothing
  // else says so: whether the last byte has been written is not known then.
  class WriteEnd {
   public:
    explicit WriteEnd(std::shared_ptr<Connection> connection) : connection_(std::move(connection)) {}
    WriteEnd(WriteEnd&&) = default;
    ~WriteEnd() {
      if (connection_) connection_->write_out_ = false;
    }
    void operator()(beast::error_code error, std::size_t) {
      const std::shared_ptr<Connection> connection = std::move(connection_);
      connection->write_out_ = false;
      connection->Guarded([&] { connection->OnWritten(error); });
    }

   private:
    std::shared_ptr<Connection> connection_;
  };

  // Runs one step of a handler. Without memory, say, the attempt ends here, as what is known of it.
  template <typename Step>
  void Guarded(Step step) noexcept {
    try {
      step();
    } catch (const std::exception& error) {
      std::cerr << "a connection to a backend failed: " << error.what() << '\n';
      Fail();
    }
  }

  void Fail() noexcept {
    switch (state_) {
      case State::kConnecting:
        return End(Outcome::kNotSent);
      case State::kWriting:
      case State::kWaiting:
        // Where no write was begun, nothing has been sent.
        return GiveUp(write_begun_ ? Outcome::kReset : Outcome::kNotSent);
      case State::kIdle:
        return Close();
      case State::kClosing:
      case State::kClosed:
        return;
    }
  }

  void Take(Attempt attempt) {
    state_ = State::kConnecting;
    request_ = std::move(attempt.request);
    requester_ = std::move(attempt.requester);
    begin_before_ = attempt.begin_before;
    unwritten_ = Outcome::kConnectFailed;
    number_ = ++pool_->attempts_;
    postponed_ = turns_for_news_ = 0;
    taken_at_ = pool_->clock_.Now();
    deadline_ = attempt.deadline;
    done_ = std::move(attempt.done);
  }

  // A drain that has been told and not read yet comes first. What has just been read is handled within some
  // further turns of the event loop.
  void Begin() {
    const bool unread = pool_->list_is_unread_ && pool_->list_is_unread_();
    if (unread) turns_for_news_ = kTurnsForNews;
    if (turns_for_news_ == 0 || postponed_ == kMostPostponed) {
      // Meanwhile it may have been closed, or its backend have said something unasked.
      return postponed_ > 0 && Stale() ? End(Outcome::kConnectFailed) : Write();
    }
    if (!unread) --turns_for_news_;
    ++postponed_;
    SetTimer(std::min(deadline_, begin_before_));
    asio::post(pool_->io_, [self = shared_from_this(), number = number_] {
      if (self->state_ != State::kConnecting || self->number_ != number) return;
      self->Guarded([&connection = *self] { connection.Begin(); });
    });
  }

  // The one place that decides whether the attempt may still be sent, when its first byte is about to be
  // written: a connection may have taken its time to come up, this process may have been descheduled, and
  // what the client did meanwhile may stand unhandled at its socket. Nothing: it may; else how it ends.
  std::optional<Outcome> WhyNotBegin(TimePoint now) const {
    if (!pool_->Takes(server_, address_) || now >= deadline_ || now >= begin_before_)
      return Outcome::kConnectFailed;
    if (requester_ && requester_->HasLeft()) return Outcome::kNotSent;
    return std::nullopt;
  }

  // All that needs no look comes first, so that little stands between the look and the first byte.
  void Write() {
    Compose();
    const TimePoint now = pool_->clock_.Now();
    if (const auto outcome = WhyNotBegin(now)) return End(*outcome);
    if (pool_->on_begin_) pool_->on_begin_(server_, *request_);
    const Duration left = deadline_ - now;
    message_.set("X-Time-Left-Ms", std::to_string(static_cast<long>(std::ceil(left.count()))));
    state_ = State::kWriting;
    write_out_ = true;
    http::async_write(socket_, message_, WriteEnd(shared_from_this()));
    write_begun_ = true;
    SetTimer(std::min(deadline_, begin_before_));  // it counts at the backend when its last byte has come
    ReadSome();
  }

  void Compose() {
    message_.clear();
    message_.method(request_->method);
    message_.target(request_->target);
    message_.version(11);
    message_.set(http::field::host, "backend.local");
    message_.set("X-Correlation-Id", request_->correlation_id);
    message_.set("X-Service-Class", request_->service_class);
    if (!request_->account.empty()) message_.set("X-Account", request_->account);
    if (!request_->idempotency_key.empty()) message_.set("Idempotency-Key", request_->idempotency_key);
    message_.body() = {request_->body.data(), request_->body.size()};
    message_.prepare_payload();
    write_begun_ = write_out_ = false;
    interim_ = 0;
    stalls_ = false;
    ResetParser();
    buffer_.prepare(kPiece);  // once the request is written, its answer must be read
  }

  void OnWritten(beast::error_code error) {
    if (state_ == State::kClosing) {
      // It was given up while this was under way. Only now is it known whether the last byte went out.
      End(error ? unwritten_ : failure_);
    } else if (state_ == State::kWriting) {
      if (error) return End(Outcome::kConnectFailed);
      state_ = State::kWaiting;
      if (begin_before_ < deadline_) SetTimer(deadline_);
    }
  }

  void ResetParser() {
    parser_.emplace();
    parser_->header_limit(kMostHeader);
    parser_->body_limit(kMostBody);
    parser_->eager(true);
  }

  // Not by Beast's own read, which keeps to itself that a head has begun until all of it is there.
  void ReadSome() {
    if (buffer_.size() > 0) return TakeIn({});
    ReadMore();
  }

  void ReadMore() {
    socket_.async_read_some(buffer_.prepare(std::min(kPiece, buffer_.max_size() - buffer_.size())),
                            [self = shared_from_this()](beast::error_code error, std::size_t n) {
                              self->buffer_.commit(n);
                              self->Guarded([&] { self->TakeIn(error); });
                            });
  }

  void TakeIn(beast::error_code error) {
    if (state_ == State::kClosed || state_ == State::kClosing) return;
    if (error == asio::error::eof && parser_->got_some()) {
      parser_->put_eof(error);
    } else if (!error) {
      buffer_.consume(parser_->put(buffer_.data(), error));
      if (error == http::error::need_more) error = {};
    }
    // A half-read answer too: it is none. Nor is a chunk with a head that does not end.
    if (error || buffer_.size() == buffer_.max_size()) return GiveUp(Outcome::kReset);
    if (!parser_->is_done()) {
      // A backend sends an answer in one go: one that stops short, on a connection that stays open, will not
      // be whole, and the client's time is better spent on another attempt.
      stalls_ = state_ == State::kWaiting;
      if (stalls_) SetTimer(std::min(deadline_, pool_->clock_.Now() + pool_->limits_.connect_timeout));
      return ReadMore();
    }
    OnAnswer();
  }

  void OnAnswer() {
    BackendAnswer& answer = parser_->get();
    const unsigned status = answer.result_int();
    if (status >= 100 && status < 200 && status != 101 && ++interim_ <= kMostInterim) {
      if (std::exchange(stalls_, false)) SetTimer(deadline_);
      ResetParser();
      return ReadSome();
    }
    // Bytes that came before the request was whole are no answer to it.
    const bool certain = EndIsCertain(answer);
    if (state_ == State::kWriting || status < 200 || (status == 200 && !certain))
      return GiveUp(Outcome::kReset);
    AttemptResult result;
    const bool unprocessed = answer["X-Unprocessed"] == "1";
    switch (status) {
      case 200:
        result.outcome = Outcome::kOk;
        result.content_type = std::string(answer[http::field::content_type]);
        result.body = std::move(answer.body());
        break;
      case 503:
      case 504:
        result.outcome = unprocessed ? Outcome::kRejected : Outcome::kError;
        break;
      default:
        result.outcome = Outcome::kError;
    }
    if (pool_->keep_loads_) result.load = std::string(answer["X-Backend-Load"].substr(0, kMostLoad));
    // What has come behind a good answer is nobody's; the answer stands.
    if (buffer_.size() > 0) pool_->unasked_at_ = pool_->clock_.Now();
    const bool reusable = certain && answer.keep_alive() && buffer_.size() == 0 && !Stale();
    const Done done = std::exchange(done_, nullptr);
    Release();
    done(std::move(result));  // first: what follows may fail
    if (reusable) {
      pool_->Park(shared_from_this());
    } else {
      Close();
    }
  }

  // A connection that stands idle holds nothing of the last request.
  void Release() {
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
    message_.clear();
    message_.body() = {};
    request_.reset();
    requester_.reset();
  }

  void SetTimer(TimePoint at) {
    timer_.ArmAt(pool_->clock_.ToSteady(at), [self = shared_from_this()] {
      self->Guarded([&connection = *self] { connection.OnTimer(); });
    });
  }

  void OnTimer() {
    switch (state_) {
      case State::kIdle:
        return Close();
      case State::kConnecting:
        return End(Outcome::kConnectFailed);
      case State::kWriting:
      case State::kWaiting:
        // The answer, or its rest, may have come in time and not been read yet.
        if (unread_.Postpones(socket_)) return SetTimer(pool_->clock_.Now() + net::ReadGrace::kPause);
        // What said nothing may be a machine that has vanished: then its idle connections are as dead.
        if (!stalls_) pool_->CloseUntested(server_, taken_at_);
        return GiveUp(stalls_ ? Outcome::kReset : Outcome::kTimeout);
      case State::kClosing:
      case State::kClosed:
        return;
    }
  }

  // The attempt has failed at the backend's side. While the write is under way, its handler alone knows
  // whether the whole request went out: to call that "never ran" would let an unsafe request run twice.
  void GiveUp(Outcome outcome) {
    if (state_ != State::kWriting || !write_out_) return End(outcome);
    failure_ = outcome;
    state_ = State::kClosing;
    timer_.Disarm();
    beast::error_code ignored;
    socket_.close(ignored);
  }

  void End(Outcome outcome) {
    Done done = std::exchange(done_, nullptr);
    Close();
    if (done) done({outcome, {}, {}});
  }

  static constexpr std::size_t kMostBody = 64 << 10;
  static constexpr std::size_t kMostHeader = 16 << 10;
  static constexpr std::size_t kPiece = 4096;  // read at once
  static constexpr std::size_t kMostLoad =
      200;  // of what an answer says of its backend's load; the rest is cut off
  static constexpr int kTurnsForNews = 4;  // from the read of a list to the end of its handling, and more
  static constexpr int kMostPostponed =
      20;  // turns of the event loop, each of which handles up to 128 descriptors
  static constexpr int kMostInterim = 16;  // 1xx answers ahead of the one
  static constexpr double kIdleShare =
      0.75;  // of the backend's idle limit: retired before the backend may close it
  static constexpr double kConnectShare = 0.25;  // of an attempt's time, for its connection to come up

  BackendPool* pool_;
  const BackendId server_;
  const tcp::endpoint address_;
  tcp::socket socket_;
  net::OneShotTimer timer_;
  State state_ = State::kConnecting;
  beast::flat_buffer buffer_{kMostHeader + kMostBody};
  std::optional<http::response_parser<http::string_body>> parser_;
  http::request<http::span_body<const char>> message_;  // its body is the request's
  int interim_ = 0;
  bool waiting_ = false, stalls_ = false;
  net::ReadGrace unread_;
  bool write_begun_ = false;  // of this attempt
  bool write_out_ = false;    // and not ended
  std::shared_ptr<const Forwarded> request_;
  std::shared_ptr<Requester> requester_;
  TimePoint taken_at_{}, deadline_{}, begin_before_{}, idle_since_{};
  std::uint64_t number_ = 0;  // of the attempt
  int postponed_ = 0;         // turns of the event loop, so far
  int turns_for_news_ = 0;    // still to be waited for
  Done done_;
  Outcome failure_ = Outcome::kUnknown;          // of an attempt given up, if it was written whole
  Outcome unwritten_ = Outcome::kConnectFailed;  // and if it was not

  friend class BackendPool;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_BACKEND_CONNECTION_H_
