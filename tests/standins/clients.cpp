// SPDX-License-Identifier: Apache-2.0
#include "standins/clients.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace badgerbridge::standins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kFrontEvery{200};
constexpr milliseconds kConnect{500};

}  // namespace

struct Clients::Connection {
  explicit Connection(asio::io_context& io) : stream(io) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer{128 << 10};
};

Clients::Clients(asio::io_context& io, std::vector<asio::ip::tcp::endpoint> proxies, Load load)
    : io_(io),
      addresses_(std::move(proxies)),
      load_(load),
      random_(load.seed),
      ready_(addresses_.size()),
      avoided_(addresses_.size()),
      idle_(addresses_.size()),
      each_(addresses_.size()) {
  for (std::size_t i = 0; i < addresses_.size(); ++i) asio::co_spawn(io_, Front(i, turn_), asio::detached);
}

Clients::~Clients() {
  *alive_ = false;
  Close();
}

void Clients::Close() {
  for (auto& connections : idle_) {
    for (const auto& connection : connections) connection->stream.close();
    connections.clear();
  }
}

std::size_t Clients::ready() const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < ready_.size(); ++i) count += ready_[i] && !avoided_[i];
  return count;
}

void Clients::Start() {
  if (running_) return;
  running_ = true;
  asio::co_spawn(io_, Pace(++turn_), asio::detached);
}

void Clients::Stop() {
  running_ = false;
  ++turn_;
}

// Asks one proxy, for as long as this lives, whether it is ready.
asio::awaitable<void> Clients::Front(std::size_t proxy, std::uint64_t) {
  const auto alive = alive_;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  while (*alive) {
    beast::tcp_stream stream(io_);
    stream.expires_after(kConnect);
    bool ready = false;
    co_await stream.async_connect(addresses_[proxy], token);
    if (!error) {
      http::request<http::empty_body> request(http::verb::get, "/ready", 11);
      request.set(http::field::host, "proxy");
      request.keep_alive(false);
      co_await http::async_write(stream, request, token);
      beast::flat_buffer buffer;
      http::response<http::string_body> response;
      if (!error) co_await http::async_read(stream, buffer, response, token);
      ready = !error && response.result() == http::status::ok;
    }
    if (!*alive) co_return;
    ready_[proxy] = ready;
    asio::steady_timer timer(io_, kFrontEvery);
    co_await timer.async_wait(token);
  }
}

asio::awaitable<void> Clients::Pace(std::uint64_t turn) {
  const auto alive = alive_;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  const auto began = Clock::now();
  for (std::uint64_t sent = 0; *alive && turn == turn_; ++sent) {
    asio::steady_timer timer(io_);
    timer.expires_at(began + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(
                                 static_cast<double>(sent) / load_.per_second)));
    co_await timer.async_wait(token);
    if (!*alive || turn != turn_) co_return;
    ++out_;
    asio::co_spawn(io_, Ask(++number_), asio::detached);
  }
}

// A third each: safe, keyed, neither.
asio::awaitable<void> Clients::Ask(std::uint64_t number) {
  const auto alive = alive_;
  const auto due = Clock::now() + load_.deadline;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  struct Leave {
    Clients& self;
    std::shared_ptr<bool> alive;
    ~Leave() {
      if (*alive) --self.out_;
    }
  } leave{*this, alive};
  std::size_t proxy = addresses_.size();
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    const std::size_t at = next_++ % addresses_.size();
    if (!ready_[at] || avoided_[at]) continue;
    proxy = at;
    break;
  }
  if (proxy == addresses_.size()) {
    ++account_.unsent;
    co_return;
  }
  const std::string id = "r" + std::to_string(load_.seed) + "-" + std::to_string(number);
  constexpr const char* kClasses[] = {"preview", "convert", "certify"};
  const std::string cls = kClasses[number % 3];
  http::request<http::string_body> request;
  request.version(11);
  request.method(cls == "preview" ? http::verb::get : http::verb::post);
  request.target("/" + cls + "?obj=" + std::to_string(random_() % 1000));
  request.set(http::field::host, "proxy");
  request.set("X-Correlation-Id", id);
  request.set("X-Service-Class", cls);
  if (cls == "convert") request.set("Idempotency-Key", "k" + id);
  if (cls != "preview") request.body() = "document " + id;
  std::shared_ptr<Connection> connection;
  bool reused = false;
  if (!idle_[proxy].empty()) {
    connection = idle_[proxy].back();
    idle_[proxy].pop_back();
    reused = true;
  }
  for (int turn = 0; turn < 2; ++turn) {
    if (!connection) {
      connection = std::make_shared<Connection>(io_);
      connection->stream.expires_after(kConnect);
      co_await connection->stream.async_connect(addresses_[proxy], token);
      if (!*alive) co_return;
      if (error) {
        ++account_.unsent;
        co_return;
      }
      connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    }
    const auto left = std::chrono::duration_cast<milliseconds>(due - Clock::now());
    request.set("X-Time-Left-Ms", std::to_string(std::max<std::int64_t>(1, left.count())));
    request.prepare_payload();
    connection->stream.expires_at(due + milliseconds(100));
    co_await http::async_write(connection->stream, request, token);
    http::response_parser<http::string_body> parser;
    if (!error) co_await http::async_read(connection->stream, connection->buffer, parser, token);
    if (!*alive) co_return;
    if (error && reused && turn == 0 && !parser.got_some()) {
      // A close that crossed the request: once more, on a new connection.
      ++account_.resent, ++each_[proxy].resent;
      connection.reset();
      reused = false;
      continue;
    }
    ++account_.sent, ++each_[proxy].sent;
    if (error) {
      ++account_.lost, ++each_[proxy].lost;
      co_return;
    }
    if (on_answer_)
      on_answer_(std::chrono::duration<double, std::milli>(Clock::now() - (due - load_.deadline)).count());
    const unsigned status = parser.get().result_int();
    const auto count = [&](std::uint64_t Account::*which) { ++(account_.*which), ++(each_[proxy].*which); };
    if (status == 200) {
      count(&Account::served);
      served_ids_.insert(id);
      if (parser.get().body().find("converted " + id + " ") != 0) count(&Account::doubled);
    } else {
      count(status == 429 || status == 503 ? &Account::refused : &Account::failed);
    }
    if (connection->buffer.size() > 0) count(&Account::doubled);
    if (parser.get().keep_alive() && running_) idle_[proxy].push_back(std::move(connection));
    co_return;
  }
}

}  // namespace badgerbridge::standins
