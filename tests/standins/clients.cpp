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
  in_turn_ = load_.classes.empty();
  if (in_turn_)
    load_.classes = {{"preview", Kind::kIdempotent, 1, load_.deadline},
                     {"convert", Kind::kIdempotencyKey, 1, load_.deadline},
                     {"certify", Kind::kNotIdempotent, 1, load_.deadline}};
  for (const LoadClass& cls : load_.classes) share_sum_ += cls.share;
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
  double due = 0;  // s since it began
  for (const auto began = Clock::now(); *alive && turn == turn_;) {
    asio::steady_timer timer(io_);
    timer.expires_at(began + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(due)));
    co_await timer.async_wait(token);
    if (!*alive || turn != turn_) co_return;
    due += 1 / (load_.per_second * std::max(scale_, 1e-3));
    ++out_;
    asio::co_spawn(io_, Ask(++number_), asio::detached);
  }
}

std::size_t Clients::PickProxy() {
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    const std::size_t at = next_++ % addresses_.size();
    if (ready_[at] && !avoided_[at]) return at;
  }
  return addresses_.size();
}

// One that a client wants, over all its tries.
asio::awaitable<void> Clients::Ask(std::uint64_t number) {
  const auto alive = alive_;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  struct Leave {
    Clients& self;
    std::shared_ptr<bool> alive;
    ~Leave() {
      if (*alive) --self.out_;
    }
  } leave{*this, alive};
  Record record;
  record.request_class = number % load_.classes.size();
  if (!in_turn_) {
    double at = static_cast<double>(random_() >> 11) * 0x1.0p-53 * share_sum_;
    record.request_class = 0;
    while (record.request_class + 1 < load_.classes.size() && at >= load_.classes[record.request_class].share)
      at -= load_.classes[record.request_class++].share;
  }
  const double work = load_.work ? load_.work(record.request_class) : 0;
  record.began = Clock::now();
  for (;; ++record.attempt) {
    record.id = load_.name + std::to_string(load_.seed) + "-" + std::to_string(number);
    if (record.attempt > 0) record.id += "." + std::to_string(record.attempt);
    record.doubled = record.ended_by_peer = false;
    record.closed.reset();
    const bool whole = co_await Try(&record, work);
    if (!*alive) co_return;
    record.ended = Clock::now();
    if (on_record_) on_record_(record);
    const bool unsafe = load_.classes[record.request_class].kind == Kind::kNotIdempotent;
    const bool again = record.end == Record::End::kRefused || (record.end == Record::End::kFailed && !unsafe);
    if (!whole || !again || record.attempt + 1 >= load_.tries || !running_) co_return;
    const auto most = static_cast<std::uint64_t>(2 * load_.pause.count() + 1);
    asio::steady_timer pause(io_, milliseconds(static_cast<std::int64_t>(random_() % most)));
    co_await pause.async_wait(token);
    if (!*alive) co_return;
  }
}

// One try; false if this object is gone.
asio::awaitable<bool> Clients::Try(Record* record, double work) {
  const auto alive = alive_;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  const LoadClass& cls = load_.classes[record->request_class];
  const auto due = record->due = Clock::now() + cls.deadline;
  const std::size_t proxy = record->proxy = PickProxy();
  record->first_sent = record->sent = Clock::now();
  record->end = Record::End::kUnsent;
  if (proxy == addresses_.size()) {
    ++account_.unsent;
    co_return true;
  }
  http::request<http::string_body> request;
  request.version(11);
  request.method(cls.kind == Kind::kIdempotent ? http::verb::get : http::verb::post);
  std::string target = "/" + cls.name + "?obj=" + std::to_string(random_() % 1000);
  if (work > 0) {
    const std::string hint =
        std::to_string(std::max<std::int64_t>(1, static_cast<std::int64_t>(work * 1000)));
    target += "&work=" + hint;
    request.set("X-Weight-Hint", hint);
  }
  request.target(target);
  request.set(http::field::host, "proxy");
  request.set("X-Correlation-Id", record->id);
  request.set("X-Service-Class", cls.name);
  if (record->attempt > 0) request.set("X-Repeat", "1");
  if (cls.kind == Kind::kIdempotencyKey) request.set("Idempotency-Key", "k" + record->id);
  if (cls.kind != Kind::kIdempotent) request.body() = "document " + record->id;
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
      if (!*alive) co_return false;
      if (error) {
        ++account_.unsent;
        co_return true;
      }
      connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    }
    const auto left = std::chrono::duration_cast<milliseconds>(due - Clock::now());
    request.set("X-Time-Left-Ms", std::to_string(std::max<std::int64_t>(1, left.count())));
    request.prepare_payload();
    connection->stream.expires_at(due + milliseconds(100));
    record->sent = Clock::now();
    if (turn == 0) record->first_sent = record->sent;
    co_await http::async_write(connection->stream, request, token);
    http::response_parser<http::string_body> parser;
    if (!error) co_await http::async_read(connection->stream, connection->buffer, parser, token);
    if (!*alive) co_return false;
    if (error && error != beast::error::timeout && reused && turn == 0 && !parser.got_some()) {
      // A close that crossed the request: once more, on a new connection. A time-out is none.
      ++account_.resent, ++each_[proxy].resent;
      connection.reset();
      reused = false;
      continue;
    }
    ++account_.sent, ++each_[proxy].sent;
    if (error) {
      ++account_.lost, ++each_[proxy].lost;
      record->end = Record::End::kLost;
      record->ended_by_peer = error != beast::error::timeout;
      if (!record->ended_by_peer) record->closed = Clock::now();
      co_return true;
    }
    if (on_answer_)
      on_answer_(std::chrono::duration<double, std::milli>(Clock::now() - (due - cls.deadline)).count());
    const unsigned status = parser.get().result_int();
    const auto count = [&](std::uint64_t Account::*which) { ++(account_.*which), ++(each_[proxy].*which); };
    if (status == 200) {
      count(&Account::served);
      record->end = Record::End::kServed;
      served_ids_.insert(record->id);
      if (parser.get().body().find("converted " + record->id + " ") != 0) record->doubled = true;
    } else {
      const bool refused = status == 429 || status == 503;
      count(refused ? &Account::refused : &Account::failed);
      record->end = refused ? Record::End::kRefused : Record::End::kFailed;
    }
    record->doubled |= connection->buffer.size() > 0;
    if (record->doubled) count(&Account::doubled);
    if (parser.get().keep_alive() && running_) idle_[proxy].push_back(std::move(connection));
    co_return true;
  }
  co_return true;
}

}  // namespace badgerbridge::standins
