// SPDX-License-Identifier: Apache-2.0
#include "backend.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <optional>
#include <unordered_set>
#include <utility>

namespace fordlb::node {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
namespace {

constexpr std::size_t kMostBody = 64 << 10;
constexpr std::size_t kMostHeader = 16 << 10;
constexpr double kIdleShare = 0.75;  // of the backend's idle limit: retired before the backend may close it
constexpr double kDrainShare = 0.5;  // of the grace: what is left of it is for bytes under way

}  // namespace

// One connection and the attempt on it. A read is always pending: while idle it sees the backend close,
// during an attempt it reads the answer.
class Backends::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Backends& pool, ServerId server, tcp::endpoint address)
      : pool_(&pool), server_(server), address_(std::move(address)), socket_(pool.io_), timer_(pool.io_) {
    ++pool.open_;
  }

  ServerId server() const { return server_; }
  TimePoint idle_since() const { return idle_since_; }

  void Connect(std::shared_ptr<const Forwarded> request, TimePoint deadline, Done done) {
    Take(std::move(request), deadline, std::move(done));
    state_ = State::kConnecting;
    SetTimer(std::min(deadline, pool_->clock_.Now() + pool_->limits_.connect_timeout));
    socket_.async_connect(address_, [self = shared_from_this()](beast::error_code error) {
      if (self->state_ != State::kConnecting) return;  // given up meanwhile
      if (error) return self->End(Outcome::kConnectFailed);
      self->socket_.set_option(tcp::no_delay(true), error);
      self->socket_.non_blocking(true, error);
      self->Read();
      self->Write();
    });
  }

  void Reuse(std::shared_ptr<const Forwarded> request, TimePoint deadline, Done done) {
    Take(std::move(request), deadline, std::move(done));
    Write();
  }

  // Whether the backend has closed it, or said something unasked, that the pending read has yet to report.
  bool Stale() {
    char byte;
    beast::error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
  }

  void Idle() {
    state_ = State::kIdle;
    idle_since_ = pool_->clock_.Now();
    SetTimer(idle_since_ + pool_->limits_.idle_limit * kIdleShare);
  }

  void Close() {
    if (state_ == State::kClosed) return;
    if (state_ == State::kIdle) pool_->Unpark(this);
    state_ = State::kClosed;
    --pool_->open_;
    timer_.cancel();
    beast::error_code ignored;
    socket_.close(ignored);
  }

 private:
  enum class State { kConnecting, kWriting, kWaiting, kIdle, kClosing, kClosed };

  void Take(std::shared_ptr<const Forwarded> request, TimePoint deadline, Done done) {
    request_ = std::move(request);
    deadline_ = deadline;
    done_ = std::move(done);
  }

  void Write() {
    // A connection may have taken its time to come up: what discovery has said since then counts.
    if (!pool_->MaySend(server_, address_)) return End(Outcome::kConnectFailed);
    const Duration left = deadline_ - pool_->clock_.Now();
    if (left <= Duration(0)) return End(Outcome::kConnectFailed);
    state_ = State::kWriting;
    SetTimer(deadline_);
    message_ = {};
    message_.method(request_->method);
    message_.target(request_->target);
    message_.version(11);
    message_.set(http::field::host, "backend.local");
    message_.set("X-Correlation-Id", request_->correlation_id);
    message_.set("X-Service-Class", request_->service_class);
    if (!request_->account.empty()) message_.set("X-Account", request_->account);
    message_.set("X-Time-Left-Ms", std::to_string(static_cast<long>(std::ceil(left.count()))));
    if (!request_->idempotency_key.empty()) message_.set("Idempotency-Key", request_->idempotency_key);
    message_.body() = request_->body;
    message_.prepare_payload();
    http::async_write(socket_, message_, [self = shared_from_this()](beast::error_code error, std::size_t) {
      self->OnWritten(error);
    });
  }

  void OnWritten(beast::error_code error) {
    if (state_ == State::kClosing) {
      // It was given up while this was under way. Only now is it known whether the last byte went out.
      End(error ? Outcome::kConnectFailed : failure_);
    } else if (state_ == State::kWriting) {
      if (error) return End(Outcome::kConnectFailed);
      state_ = State::kWaiting;
    }
  }

  void Read() {
    parser_.emplace();
    parser_->header_limit(kMostHeader);
    parser_->body_limit(kMostBody);
    http::async_read(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->OnRead(error); });
  }

  void OnRead(beast::error_code error) {
    if (state_ == State::kClosed || state_ == State::kClosing) return;
    if (state_ == State::kIdle) return Close();
    if (error) return GiveUp(Outcome::kReset);  // a half-read answer too: it is none
    http::response<http::string_body>& answer = parser_->get();
    AttemptResult result;
    const bool unprocessed = answer["X-Unprocessed"] == "1";
    switch (answer.result_int()) {
      case 200:
        result.outcome = Outcome::kOk;
        result.content_type = std::string(answer[http::field::content_type]);
        result.body = std::move(answer.body());
        break;
      case 503:
      case 504:
        result.outcome = unprocessed ? Outcome::kFull : Outcome::kError;
        break;
      default:
        result.outcome = Outcome::kError;
    }
    const bool reusable = state_ == State::kWaiting && answer.keep_alive() && buffer_.size() == 0;
    Done done = std::exchange(done_, nullptr);
    if (reusable) {
      Read();
      pool_->Park(shared_from_this());
    } else {
      Close();
    }
    done(std::move(result));
  }

  void SetTimer(TimePoint at) {
    timer_.expires_at(pool_->clock_.ToSteady(at));
    timer_.async_wait([self = shared_from_this()](beast::error_code error) {
      if (!error && self->timer_.expiry() <= NodeClock::Steady::now()) self->OnTimer();
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
        return GiveUp(Outcome::kTimeout);
      case State::kClosing:
      case State::kClosed:
        return;
    }
  }

  // The attempt has failed at the backend's side. While the write is under way, its handler alone knows
  // whether the whole request went out: to call that "never ran" would let an unsafe request run twice.
  void GiveUp(Outcome outcome) {
    if (state_ != State::kWriting) return End(outcome);
    failure_ = outcome;
    state_ = State::kClosing;
    timer_.cancel();
    beast::error_code ignored;
    socket_.close(ignored);
  }

  void End(Outcome outcome) {
    Done done = std::exchange(done_, nullptr);
    Close();
    if (done) done({outcome, {}, {}});
  }

  Backends* pool_;
  const ServerId server_;
  const tcp::endpoint address_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  State state_ = State::kConnecting;
  beast::flat_buffer buffer_{kMostHeader + kMostBody};
  std::optional<http::response_parser<http::string_body>> parser_;
  http::request<http::string_body> message_;
  std::shared_ptr<const Forwarded> request_;
  TimePoint deadline_{}, idle_since_{};
  Done done_;
  Outcome failure_ = Outcome::kUnknown;

  friend class Backends;
};

Backends::Limits Backends::Limits::From(const Config& config) {
  Limits limits;
  limits.connections = config.max_backend_connections;
  limits.connect_timeout = config.connect_timeout;
  limits.idle_limit = config.idle_limit;
  limits.drain_grace = config.drain_grace;
  return limits;
}

Backends::Backends(asio::io_context& io, const NodeClock& clock, Limits limits)
    : io_(io), clock_(clock), limits_(limits) {}

Backends::~Backends() {
  for (auto& [id, backend] : backends_) CloseIdle(backend);
}

void Backends::Update(const EndpointList& list) {
  if (list.snapshot) {
    std::unordered_set<ServerId> listed;
    for (const Endpoint& endpoint : list.endpoints) listed.insert(endpoint.entry.server);
    for (auto& [id, backend] : backends_) {
      if (!listed.count(id)) SetState(backend, ServerState::kGone);
    }
  }
  for (const Endpoint& endpoint : list.endpoints) {
    Backend& backend = backends_[endpoint.entry.server];
    if (endpoint.entry.state != ServerState::kGone && endpoint.address != backend.address) {
      CloseIdle(backend);
      backend.address = endpoint.address;
    }
    SetState(backend, endpoint.entry.state);
  }
}

// One that was never ready here was told of before this node's time.
void Backends::SetState(Backend& backend, ServerState state) {
  if (state != ServerState::kReady) {
    if (backend.state == ServerState::kReady) backend.told_at = clock_.Now();
    CloseIdle(backend);
  }
  backend.state = state;
}

bool Backends::AnyReady() const {
  return std::any_of(backends_.begin(), backends_.end(),
                     [](const auto& entry) { return entry.second.state == ServerState::kReady; });
}

void Backends::CloseIdle(Backend& backend) {
  for (const auto& connection : std::exchange(backend.idle, {})) connection->Close();
}

bool Backends::MaySend(ServerId server, const tcp::endpoint& address) const {
  const auto found = backends_.find(server);
  if (found == backends_.end() || found->second.address != address) return false;
  const Backend& backend = found->second;
  return backend.state == ServerState::kReady ||
         clock_.Now() - backend.told_at < limits_.drain_grace * kDrainShare;
}

std::shared_ptr<Backends::Connection> Backends::TakeIdle(Backend& backend) {
  while (!backend.idle.empty()) {
    std::shared_ptr<Connection> newest = std::move(backend.idle.back());
    backend.idle.pop_back();
    if (!newest->Stale()) return newest;
    newest->Close();
  }
  return nullptr;
}

// At the limit, the connection that has been idle the longest makes room.
bool Backends::MakeRoom() {
  if (open_ < limits_.connections) return true;
  std::shared_ptr<Connection> oldest;
  for (const auto& [id, backend] : backends_) {
    if (!backend.idle.empty() && (!oldest || backend.idle.front()->idle_since() < oldest->idle_since()))
      oldest = backend.idle.front();
  }
  if (!oldest) return false;
  oldest->Close();
  return true;
}

void Backends::Send(ServerId server, std::shared_ptr<const Forwarded> request, Duration timeout, Done done) {
  const TimePoint deadline = clock_.Now() + timeout;
  // Through the queue of the io_context also where it ends at once: the caller is in the midst of its
  // actions.
  Done later = [this, done = std::move(done)](AttemptResult result) mutable {
    asio::post(io_,
               [done = std::move(done), result = std::move(result)]() mutable { done(std::move(result)); });
  };
  const auto found = backends_.find(server);
  if (found == backends_.end() || !MaySend(server, found->second.address))
    return later({Outcome::kConnectFailed, {}, {}});
  if (const auto idle = TakeIdle(found->second)) {
    idle->Reuse(std::move(request), deadline, std::move(later));
  } else if (MakeRoom()) {
    const auto connection = std::make_shared<Connection>(*this, server, found->second.address);
    connection->Connect(std::move(request), deadline, std::move(later));
  } else {
    later({Outcome::kConnectFailed, {}, {}});
  }
}

void Backends::Park(std::shared_ptr<Connection> connection) {
  const auto found = backends_.find(connection->server_);
  const bool wanted = found != backends_.end() && found->second.state == ServerState::kReady &&
                      found->second.address == connection->address_;
  if (!wanted) return connection->Close();
  connection->Idle();
  std::vector<std::shared_ptr<Connection>>& idle = found->second.idle;
  idle.push_back(std::move(connection));
  if (idle.size() > limits_.idle_per_backend) std::shared_ptr(idle.front())->Close();
}

void Backends::Unpark(const Connection* connection) {
  const auto found = backends_.find(connection->server_);
  if (found == backends_.end()) return;
  std::erase_if(found->second.idle, [&](const auto& other) { return other.get() == connection; });
}

}  // namespace fordlb::node
