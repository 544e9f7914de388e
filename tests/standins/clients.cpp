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

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr milliseconds kReadinessInterval{200};
constexpr milliseconds kConnectTimeout{500};
constexpr milliseconds kAnswerSlack{100};  // an answer that comes this late still counts
constexpr unsigned kHttpVersion = 11;      // HTTP/1.1 in Beast's notation
constexpr unsigned kObjects = 1000;        // that requests ask for
constexpr double kMicrosecondsPerMillisecond = 1000;

// The request of one try, without the time that its client has left.
Request MakeRequest(const LoadClass& request_class, const Record& record, unsigned object, double work) {
  Request request;
  request.version(kHttpVersion);
  request.method(request_class.kind == Kind::kIdempotent ? http::verb::get : http::verb::post);
  std::string target = "/" + request_class.name + "?obj=" + std::to_string(object);
  if (work > 0) {
    const std::string hint = std::to_string(
        std::max<std::int64_t>(1, static_cast<std::int64_t>(work * kMicrosecondsPerMillisecond)));
    target += "&work=" + hint;
    request.set("X-Weight-Hint", hint);
  }
  request.target(target);
  request.set(http::field::host, "proxy");
  request.set("X-Correlation-Id", record.id);
  request.set("X-Service-Class", request_class.name);
  if (record.attempt > 0) request.set("X-Repeat", "1");
  if (request_class.kind == Kind::kIdempotencyKey) request.set("Idempotency-Key", "k" + record.id);
  if (request_class.kind != Kind::kIdempotent) request.body() = "document " + record.id;
  return request;
}

// Sets the time that the client has left; the last step before the request is written.
void SetTimeLeft(Clock::time_point due, Request* request) {
  const auto left = std::chrono::duration_cast<milliseconds>(due - Clock::now());
  request->set("X-Time-Left-Ms", std::to_string(std::max<std::int64_t>(1, left.count())));
  request->prepare_payload();
}

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
      account_by_proxy_(addresses_.size()) {
  cycles_classes_ = load_.classes.empty();
  if (cycles_classes_)
    load_.classes = {{"preview", Kind::kIdempotent, 1, load_.deadline},
                     {"convert", Kind::kIdempotencyKey, 1, load_.deadline},
                     {"certify", Kind::kNotIdempotent, 1, load_.deadline}};
  for (const LoadClass& cls : load_.classes) share_sum_ += cls.share;
  for (std::size_t i = 0; i < addresses_.size(); ++i) asio::co_spawn(io_, PollReadiness(i), asio::detached);
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
  asio::co_spawn(io_, GenerateLoad(++generation_), asio::detached);
}

void Clients::Stop() {
  running_ = false;
  ++generation_;
}

// Asks one proxy whether it is ready, until this object is destroyed.
asio::awaitable<void> Clients::PollReadiness(std::size_t proxy) {
  const auto alive = alive_;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  while (*alive) {
    beast::tcp_stream stream(io_);
    stream.expires_after(kConnectTimeout);
    bool ready = false;
    co_await stream.async_connect(addresses_[proxy], token);
    if (!error) {
      http::request<http::empty_body> request(http::verb::get, "/ready", kHttpVersion);
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
    asio::steady_timer timer(io_, kReadinessInterval);
    co_await timer.async_wait(token);
  }
}

asio::awaitable<void> Clients::GenerateLoad(std::uint64_t generation) {
  const auto alive = alive_;
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  double due = 0;  // s since it began
  for (const auto began = Clock::now(); *alive && generation == generation_;) {
    asio::steady_timer timer(io_);
    timer.expires_at(began + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(due)));
    co_await timer.async_wait(token);
    if (!*alive || generation != generation_) co_return;
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

// One request of a client, over all its tries.
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
  if (!cycles_classes_) {
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
    const bool is_alive = co_await Try(&record, work);
    if (!*alive) co_return;
    record.ended = Clock::now();
    if (on_record_) on_record_(record);
    const bool unsafe = load_.classes[record.request_class].kind == Kind::kNotIdempotent;
    const bool again = record.end == Record::End::kRefused || (record.end == Record::End::kFailed && !unsafe);
    if (!is_alive || !again || record.attempt + 1 >= load_.tries || !running_) co_return;
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
  Request request = MakeRequest(cls, *record, static_cast<unsigned>(random_() % kObjects), work);
  std::shared_ptr<Connection> connection = TakeIdle(proxy);
  bool reused = connection != nullptr;
  for (bool is_first = true;; is_first = false) {
    if (!connection) {
      connection = co_await Connect(addresses_[proxy]);
      if (!*alive) co_return false;
      if (!connection) {
        ++account_.unsent;
        co_return true;
      }
    }
    SetTimeLeft(due, &request);
    connection->stream.expires_at(due + kAnswerSlack);
    record->sent = Clock::now();
    if (is_first) record->first_sent = record->sent;
    co_await http::async_write(connection->stream, request, token);
    http::response_parser<http::string_body> parser;
    if (!error) co_await http::async_read(connection->stream, connection->buffer, parser, token);
    if (!*alive) co_return false;
    if (error && error != beast::error::timeout && reused && !parser.got_some()) {
      // A close that crossed the request: once more, on a new connection. A time-out is none.
      Count(proxy, &Account::resent);
      connection.reset();
      reused = false;
      continue;
    }
    Count(proxy, &Account::sent);
    if (error) {
      RecordLoss(error != beast::error::timeout, record);
      co_return true;
    }
    if (on_answer_)
      on_answer_(std::chrono::duration<double, std::milli>(Clock::now() - (due - cls.deadline)).count());
    const Response& response = parser.get();
    RecordAnswer(response.result_int(), response.body(), record);
    record->doubled |= connection->buffer.size() > 0;
    if (record->doubled) Count(proxy, &Account::doubled);
    if (response.keep_alive() && running_) idle_[proxy].push_back(std::move(connection));
    co_return true;
  }
}

std::shared_ptr<Clients::Connection> Clients::TakeIdle(std::size_t proxy) {
  if (idle_[proxy].empty()) return nullptr;
  std::shared_ptr<Connection> connection = std::move(idle_[proxy].back());
  idle_[proxy].pop_back();
  return connection;
}

// Returns null if the proxy does not accept. This object may be gone by then.
asio::awaitable<std::shared_ptr<Clients::Connection>> Clients::Connect(asio::ip::tcp::endpoint address) {
  beast::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  const auto connection = std::make_shared<Connection>(io_);
  connection->stream.expires_after(kConnectTimeout);
  co_await connection->stream.async_connect(address, token);
  if (error) co_return nullptr;
  connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return connection;
}

void Clients::RecordLoss(bool ended_by_peer, Record* record) {
  Count(record->proxy, &Account::lost);
  record->end = Record::End::kLost;
  record->ended_by_peer = ended_by_peer;
  if (!ended_by_peer) record->closed = Clock::now();
}

void Clients::RecordAnswer(unsigned status, const std::string& body, Record* record) {
  if (status == static_cast<unsigned>(http::status::ok)) {
    Count(record->proxy, &Account::served);
    record->end = Record::End::kServed;
    served_ids_.insert(record->id);
    if (body.find("converted " + record->id + " ") != 0) record->doubled = true;
    return;
  }
  const bool is_refusal = status == static_cast<unsigned>(http::status::too_many_requests) ||
                          status == static_cast<unsigned>(http::status::service_unavailable);
  Count(record->proxy, is_refusal ? &Account::refused : &Account::failed);
  record->end = is_refusal ? Record::End::kRefused : Record::End::kFailed;
}

void Clients::Count(std::size_t proxy, std::uint64_t Account::*counter) {
  ++(account_.*counter);
  ++(account_by_proxy_[proxy].*counter);
}

}  // namespace badgerbridge::standins
