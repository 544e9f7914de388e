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

constexpr std::size_t kMostBody = 64 << 10;

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

struct Backend::Connection {
  explicit Connection(tcp::socket s) : socket(std::move(s)) {}
  void Reset() {
    beast::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
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
  ++turn_;
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
  asio::co_spawn(io_, Accept(++turn_), asio::detached);
}

milliseconds Backend::Draw() {
  const double part = 0.5 + static_cast<double>(random_() >> 11) * 0x1.0p-53;
  double factor = slow_;
  const auto age = Clock::now() - started_;
  if (age < settings_.slow_start_window)
    factor *= 3 - 2 * (age / std::chrono::duration<double>(settings_.slow_start_window));
  return std::chrono::duration_cast<milliseconds>(settings_.service * part * factor);
}

asio::awaitable<void> Backend::Accept(std::uint64_t turn) {
  const auto alive = alive_;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  while (*alive && turn == turn_) {
    tcp::socket socket = co_await acceptor_.async_accept(token);
    if (!*alive || error) co_return;
    socket.set_option(tcp::no_delay(true), error);
    const auto connection = std::make_shared<Connection>(std::move(socket));
    connections_.insert(connection);
    asio::co_spawn(io_, Serve(connection), asio::detached);
  }
}

asio::awaitable<void> Backend::Serve(std::shared_ptr<Connection> connection) {
  const auto alive = alive_;
  const std::uint64_t turn = turn_;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  beast::flat_buffer buffer(kMostBody + 16384);
  struct Leave {
    Backend& self;
    std::shared_ptr<bool> alive;
    std::shared_ptr<Connection> connection;
    ~Leave() {
      if (*alive) self.connections_.erase(connection);
    }
  } leave{*this, alive, connection};
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMostBody);
    co_await http::async_read(connection->socket, buffer, parser, token);
    if (error || !*alive || turn != turn_) co_return;
    const auto& request = parser.get();
    const bool keep = request.keep_alive();
    ++taken_;
    last_taken_ = Clock::now();
    http::response<http::string_body> response{http::status::ok, 11};
    response.keep_alive(keep);
    const std::string id(request["X-Correlation-Id"]), key(request["Idempotency-Key"]);
    Fault fault = Fault::kNone;
    if (fault_count_ != 0) {
      fault = fault_;
      if (fault_count_ > 0) --fault_count_;
    }
    if (id.empty()) {
      ++ledger_.malformed;
      response.result(http::status::not_found);
    } else if (fault == Fault::kSilent) {
      co_await connection->socket.async_wait(tcp::socket::wait_error, token);
      co_return;
    } else if (fault == Fault::kResetBefore) {
      connection->Reset();
      co_return;
    } else if (fault == Fault::kTurnAway ||
               (busy_ >= settings_.slots && static_cast<int>(waiting_.size()) >= settings_.queue)) {
      response.result(http::status::service_unavailable);
      response.set("X-Unprocessed", "1");
    } else if (fault == Fault::kError) {
      response.result(http::status::internal_server_error);
    } else {
      if (busy_ >= settings_.slots) {
        const auto slot = std::make_shared<asio::steady_timer>(io_, asio::steady_timer::time_point::max());
        waiting_.push_back(slot);
        co_await slot->async_wait(token);
        if (!*alive || turn != turn_) co_return;
      }
      ++busy_;
      ledger_.Begin({id, key, settings_.name, settings_.zone + "/" + settings_.group, Clock::now(),
                     request.method() == http::verb::get, false});
      asio::steady_timer work(io_, Draw());
      co_await work.async_wait(token);
      if (!*alive) co_return;
      --busy_;
      if (!waiting_.empty()) {
        waiting_.front()->cancel();
        waiting_.pop_front();
      }
      ledger_.Finish(id, settings_.name);
      if (turn != turn_) co_return;
      response.body() = "converted " + id + " by " + settings_.name + "\n";
      if (fault == Fault::kResetAfter) {
        connection->Reset();
        co_return;
      }
    }
    response.prepare_payload();
    if (fault == Fault::kCutAnswer) {
      const std::string half = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nconverted ";
      co_await asio::async_write(connection->socket, asio::buffer(half), token);
      connection->Reset();
      co_return;
    }
    co_await http::async_write(connection->socket, response, token);
    if (error || !*alive || !keep) co_return;
  }
}

}  // namespace badgerbridge::standins
