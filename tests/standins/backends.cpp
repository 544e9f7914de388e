// SPDX-License-Identifier: Apache-2.0
#include "standins/backends.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace badgerbridge::standins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t kMaxBodyBytes = 64 << 10;
constexpr std::size_t kMaxHeadBytes = 16 << 10;

}  // namespace

bool Ledger::Begin(const Run& run) {
  // An id without a key may run once anywhere, unless it is safe; a key once in each group, and only in one
  // of them.
  std::set<std::string>& groups = effects_[run.key.empty() ? run.id : "key " + run.key];
  if (!run.key.empty() && groups.count(run.group)) {
    ++dropped_;
    return false;
  }
  if (!groups.empty()) ++(run.safe ? safe_repeats_ : doubled_);
  groups.insert(run.key.empty() ? run.backend + std::to_string(groups.size()) : run.group);
  if (!run.key.empty()) effects_[run.id].insert(run.group);
  runs_.push_back(run);
  return true;
}

void Ledger::Finish(const std::string& id, const std::string& backend) {
  for (auto run = runs_.rbegin(); run != runs_.rend(); ++run) {
    if (run->id != id || run->backend != backend) continue;
    run->finished = true;
    return;
  }
}

/// A proxy's connection. It outlives its coroutines.
struct Backend::Connection {
  explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}

  void Reset() {
    beast::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
  asio::awaitable<void> AwaitEnd() {
    beast::error_code ignored;
    co_await socket.async_wait(tcp::socket::wait_error, asio::redirect_error(asio::use_awaitable, ignored));
  }
  asio::awaitable<void> WritePartOfResponse() {
    const std::string part = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nconverted ";
    beast::error_code ignored;
    co_await asio::async_write(socket, asio::buffer(part),
                               asio::redirect_error(asio::use_awaitable, ignored));
  }
  // False if it could not be written whole.
  asio::awaitable<bool> Write(Response& response) {
    response.prepare_payload();
    beast::error_code error;
    co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
  }

  tcp::socket socket;
};

Backend::Backend(asio::io_context& io, BackendSettings settings, Ledger& ledger)
    : io_(io),
      settings_(std::move(settings)),
      ledger_(ledger),
      acceptor_(io),
      port_(io),
      random_(settings_.seed) {
  Return();
}

Backend::~Backend() {
  *alive_ = false;
  Vanish();
}

std::string Backend::address() const { return "127.0.0.1:" + std::to_string(port_.address().port()); }

void Backend::Inject(Fault fault, int count) {
  fault_ = fault;
  fault_count_ = count;
}

void Backend::Vanish() {
  ++generation_;
  beast::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& connection : connections_) connection->Reset();
  for (const auto& timer : waiting_) timer->cancel();
  waiting_.clear();
}

void Backend::Return() {
  acceptor_.open(tcp::v4());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(port_.address());
  acceptor_.listen(1024);
  started_ = Clock::now();
  asio::co_spawn(io_, Accept(++generation_), asio::detached);
}

milliseconds Backend::DrawServiceTime() {
  const double part = 0.5 + static_cast<double>(random_() >> 11) * 0x1.0p-53;
  double factor = slow_;
  const auto age = Clock::now() - started_;
  if (age < settings_.slow_start_window)
    factor *= 3 - 2 * (age / std::chrono::duration<double>(settings_.slow_start_window));
  return std::chrono::duration_cast<milliseconds>(settings_.service * part * factor);
}

asio::awaitable<void> Backend::Accept(std::uint64_t generation) {
  const auto alive = alive_;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  while (*alive && generation == generation_) {
    tcp::socket socket = co_await acceptor_.async_accept(token);
    if (!*alive || error) co_return;
    socket.set_option(tcp::no_delay(true), error);
    const auto connection = std::make_shared<Connection>(std::move(socket));
    connections_.insert(connection);
    asio::co_spawn(io_, Serve(connection), asio::detached);
  }
}

// A coroutine may outlive the backend, so each one looks at `alive` after each wait, before it uses members.
asio::awaitable<void> Backend::Serve(std::shared_ptr<Connection> connection) {
  const auto alive = alive_;
  const std::uint64_t generation = generation_;
  beast::flat_buffer buffer(kMaxBodyBytes + kMaxHeadBytes);
  struct Leave {
    Backend& self;
    std::shared_ptr<bool> alive;
    std::shared_ptr<Connection> connection;
    ~Leave() {
      if (*alive) self.connections_.erase(connection);
    }
  } leave{*this, alive, connection};
  bool is_kept = true;
  while (is_kept) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    beast::error_code error;
    co_await http::async_read(connection->socket, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error || !*alive || generation != generation_) co_return;
    is_kept = co_await ServeRequest(*connection, parser.get(), generation);
    if (!*alive) co_return;
  }
}

// Whether the connection is kept.
asio::awaitable<bool> Backend::ServeRequest(Connection& connection, const Request& request,
                                            std::uint64_t generation) {
  ++taken_;
  last_taken_ = Clock::now();
  Response response{http::status::ok, 11};
  response.keep_alive(request.keep_alive());
  const Fault fault = TakeFault();
  if (request["X-Correlation-Id"].empty()) {
    ++ledger_.malformed;
    response.result(http::status::not_found);
  } else if (fault == Fault::kSilent) {
    co_await connection.AwaitEnd();
    co_return false;
  } else if (fault == Fault::kResetBefore) {
    connection.Reset();
    co_return false;
  } else if (fault == Fault::kReject || IsFull()) {
    response.result(http::status::service_unavailable);
    response.set("X-Unprocessed", "1");
  } else if (fault == Fault::kError) {
    response.result(http::status::internal_server_error);
  } else {
    if (!co_await Process(request, response, generation)) co_return false;
    if (fault == Fault::kResetAfter) {
      connection.Reset();
      co_return false;
    }
  }
  if (fault == Fault::kCutAnswer) {
    co_await connection.WritePartOfResponse();
    connection.Reset();
    co_return false;
  }
  const bool is_written = co_await connection.Write(response);
  co_return is_written&& request.keep_alive();
}

Fault Backend::TakeFault() {
  if (fault_count_ == 0) return Fault::kNone;
  if (fault_count_ > 0) --fault_count_;
  return fault_;
}

bool Backend::IsFull() const {
  return busy_ >= settings_.slots && static_cast<int>(waiting_.size()) >= settings_.queue;
}

// Waits for a slot, and takes it. False if the backend has vanished meanwhile.
asio::awaitable<bool> Backend::AcquireSlot(std::uint64_t generation) {
  if (busy_ >= settings_.slots) {
    const auto alive = alive_;
    const auto slot = std::make_shared<asio::steady_timer>(io_, asio::steady_timer::time_point::max());
    waiting_.push_back(slot);
    beast::error_code ignored;
    co_await slot->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (!*alive || generation != generation_) co_return false;
  }
  ++busy_;
  co_return true;
}

void Backend::ReleaseSlot() {
  --busy_;
  if (waiting_.empty()) return;
  waiting_.front()->cancel();
  waiting_.pop_front();
}

// Does the work of a request, and fills its response. False if the backend has vanished meanwhile.
asio::awaitable<bool> Backend::Process(const Request& request, Response& response, std::uint64_t generation) {
  const auto alive = alive_;
  if (!co_await AcquireSlot(generation)) co_return false;
  const std::string id(request["X-Correlation-Id"]);
  const std::string key(request["Idempotency-Key"]);
  const std::string group = settings_.zone + "/" + settings_.group;
  ledger_.Begin({id, key, settings_.name, group, Clock::now(), request.method() == http::verb::get, false});
  asio::steady_timer work(io_, DrawServiceTime());
  beast::error_code ignored;
  co_await work.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  if (!*alive) co_return false;
  ReleaseSlot();
  ledger_.Finish(id, settings_.name);
  if (generation != generation_) co_return false;
  response.body() = "converted " + id + " by " + settings_.name + "\n";
  co_return true;
}

}  // namespace badgerbridge::standins
