// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/raw_clients.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <deque>
#include <optional>
#include <utility>

#include "multiprocess/roles.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Error = boost::system::error_code;
using boost::asio::experimental::awaitable_operators::operator||;

namespace {

constexpr double kConnectWithin = 1000;  // ms
constexpr double kLateFor = 500;         // ms for which an answer is awaited beyond the client's time
// How long a connection whose end crossed a request is watched for its being read after all: longer than a
// proxy is stopped.
constexpr double kWatched = 600;    // ms
constexpr double kWatchEvery = 20;  // ms
// How long before an answer a request may have been sent to cross the close that the answer announces, in ms.
constexpr double kMostBehind = 30;
// Rests round the 2.2 s after which a proxy ends a connection, in ms.
constexpr double kKeepAliveLow = 2100, kKeepAliveHigh = 2300;
constexpr std::size_t kPiece = 16384;

// Shares of what clients do.
constexpr double kPipelines = 0.3, kPipelinesThree = 0.1, kTogether = 0.6;
constexpr double kLeaves = 0.12, kLeavesAtOnce = 0.5, kLeavesByReset = 0.5, kLeavesMidRequest = 0.4;
constexpr double kRestsLong = 0.45, kRestsAnyTime = 0.1, kEndsAtRest = 0.1;

asio::awaitable<void> Pause(asio::io_context& io, double ms) {
  asio::steady_timer timer(io, std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
  Error ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::chrono::microseconds Wait(double ms) {
  return std::chrono::microseconds(static_cast<std::int64_t>(std::max(0.0, ms) * 1000));
}

// False: it was refused, or did not come up within so many ms. What is awaited are named objects here and
// below: GCC 12 destroys some temporaries of a co_await twice.
asio::awaitable<bool> Connect(tcp::socket& socket, tcp::endpoint address, double within) {
  Error error = asio::error::timed_out, over;
  asio::steady_timer timer(socket.get_executor(), Wait(within));
  auto up = socket.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
  auto time_out = timer.async_wait(asio::redirect_error(asio::use_awaitable, over));
  auto either = std::move(up) || std::move(time_out);
  const auto first = co_await std::move(either);
  co_return first.index() == 0 && !error;
}

// Until the socket has something to read or its other side has ended, or until that moment.
asio::awaitable<void> Readable(tcp::socket& socket, double until) {
  Error error, over;
  asio::steady_timer timer(socket.get_executor(), Wait(until - NowMs()));
  auto ready = socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
  auto time_out = timer.async_wait(asio::redirect_error(asio::use_awaitable, over));
  auto either = std::move(ready) || std::move(time_out);
  co_await std::move(either);
}

double Between(simulator::Random& random, double low, double high) {
  return low + random.DrawUnit() * (high - low);
}

// What stands at the front of what a connected socket has received, taking nothing.
enum class Front { kNothing, kBytes, kEnd };
Front LookAt(tcp::socket& socket) {
  char byte = 0;
  const ssize_t n = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) return Front::kBytes;
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? Front::kNothing : Front::kEnd;
}

// Whether the other side has reset the connection since it was asked last.
bool WasReset(tcp::socket& socket) {
  int error = 0;
  socklen_t size = sizeof error;
  return getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
}

}  // namespace

struct RawClients::Request {
  Asked asked;
  std::string target;
  std::size_t bytes = 0;
  std::int64_t told_left = 0;  // ms, as its text says
  bool repeated = false;
};

struct RawClients::Connection {
  explicit Connection(asio::io_context& io) : socket(io) {}
  tcp::socket socket;
  tcp::endpoint local, remote;
  std::size_t proxy = 0;
  boost::beast::flat_buffer buffer{128 << 10};
  std::optional<http::response_parser<http::string_body>> parser;
  std::deque<Request> out;  // written whole, in their order
  std::size_t answered = 0;
  double last_answer = 0;
  double last_sent = 0;
  bool kept = true;                       // by what the last answer said
  bool ended = false, was_reset = false;  // by the proxy, as far as it has been read
};

// Requests that are sent once more, and the connection whose end they crossed.
struct RawClients::Crossing {
  std::shared_ptr<Connection> connection;
  std::vector<Crossed> requests;
  std::vector<std::size_t> from_here;  // bytes of each and of those behind it
  bool reset = false;
};

struct RawClients::Client {
  explicit Client(std::uint64_t seed, std::size_t number) : random(seed, 100 + number) {}
  simulator::Random random;
  std::deque<Request> again;  // to be sent once more
  // Of what it does next.
  std::size_t batch = 1;
  bool together = true;      // in one write
  double leaves_after = -1;  // ms from the last byte; -1: it stays
  bool by_reset = false, mid_request = false;
};

RawClients::RawClients(asio::io_context& io, Settings settings, std::function<void(const Asked&)> on_asked,
                       std::function<void(const Crossed&)> on_crossed)
    : io_(io),
      settings_(std::move(settings)),
      on_asked_(std::move(on_asked)),
      on_crossed_(std::move(on_crossed)) {
  for (const Class& c : settings_.classes) share_sum_ += c.share;
  for (std::size_t i = 0; i < settings_.clients; ++i)
    clients_.push_back(std::make_shared<Client>(settings_.seed, i));
}

RawClients::~RawClients() { *alive_ = false; }

void RawClients::Start() {
  if (running_) return;
  running_ = true;
  for (const auto& client : clients_) {
    ++working_;
    asio::co_spawn(io_, Work(client), asio::detached);
  }
}

void RawClients::Stop() { running_ = false; }

asio::awaitable<void> RawClients::Work(std::shared_ptr<Client> client) {
  co_await Pause(io_, Between(client->random, 0, 500));
  while (running_ || !client->again.empty()) co_await Visit(*client);
  --working_;
}

// One connection, from its opening to its end.
asio::awaitable<void> RawClients::Visit(Client& client) {
  while (!client.again.empty() && client.again.front().asked.due < NowMs()) {
    Tell(client.again.front(), Asked::End::kUnsent);
    client.again.pop_front();
  }
  const auto connection = std::make_shared<Connection>(io_);
  connection->proxy = client.random.DrawBelow(settings_.proxies.size());
  const tcp::endpoint& address = settings_.proxies[connection->proxy].address;
  const bool up = co_await Connect(connection->socket, address, kConnectWithin);
  if (!up) {
    co_await Pause(io_, Between(client.random, 5, 50));
    co_return;
  }
  Error error;
  connection->socket.set_option(tcp::no_delay(true), error);
  connection->socket.non_blocking(true, error);
  connection->local = connection->socket.local_endpoint(error);
  connection->remote = connection->socket.remote_endpoint(error);
  for (bool more = true; more;) more = co_await Exchange(client, *connection);
  // What its end crossed is watched by whoever holds it then.
  if (!connection->out.empty()) End(client, connection);
}

// Requests and their answers, and a rest. False: the connection is to be used no more.
asio::awaitable<bool> RawClients::Exchange(Client& client, Connection& connection) {
  if (!running_ && client.again.empty()) co_return false;
  Draw(client);
  const bool sent = co_await Send(client, connection);
  if (!sent) co_return false;
  co_await ReadAnswers(client, connection);
  if (client.leaves_after >= 0 && connection.out.empty()) Leave(client, connection);
  if (!connection.socket.is_open() || connection.ended || !connection.out.empty() || !connection.kept)
    co_return false;
  // What its end crossed goes on a new connection.
  if (!client.again.empty()) co_return false;
  const bool rested = co_await Rest(client, connection);
  co_return rested;
}

// What the client does next.
void RawClients::Draw(Client& client) {
  simulator::Random& random = client.random;
  const double pipelines = random.DrawUnit();
  client.batch = pipelines < kPipelinesThree ? 3 : pipelines < kPipelines ? 2 : 1;
  client.together = random.DrawUnit() < kTogether;
  client.leaves_after = -1;
  client.mid_request = false;
  if (random.DrawUnit() >= kLeaves || !client.again.empty()) return;
  client.leaves_after = random.DrawUnit() < kLeavesAtOnce ? 0 : Between(random, 0, 300);
  client.by_reset = random.DrawUnit() < kLeavesByReset;
  client.mid_request = random.DrawUnit() < kLeavesMidRequest;
}

RawClients::Request RawClients::NewRequest(Client& client) {
  Request request;
  Asked& asked = request.asked;
  asked.id = settings_.name + std::to_string(settings_.seed) + "-" + std::to_string(++begun_);
  double at = client.random.DrawUnit() * share_sum_;
  while (asked.request_class + 1 < settings_.classes.size() &&
         at >= settings_.classes[asked.request_class].share)
    at -= settings_.classes[asked.request_class++].share;
  const Class& c = settings_.classes[asked.request_class];
  const auto work_us = static_cast<std::int64_t>(c.work.Draw(client.random) * 1000);
  request.target = "/" + c.name + "?obj=" + std::to_string(client.random.DrawBelow(1000)) +
                   "&work=" + std::to_string(std::max<std::int64_t>(1, work_us));
  asked.direct = true;
  asked.began = NowMs();
  asked.due = asked.began + Between(client.random, 0.25, 1) * c.deadline;
  return request;
}

std::string RawClients::Write(Request* request) const {
  request->told_left = static_cast<std::int64_t>(std::max(1.0, request->asked.due - NowMs()));
  const std::string text = TextOf(*request);
  request->bytes = text.size();
  return text;
}

std::string RawClients::TextOf(const Request& request) const {
  const Class& c = settings_.classes[request.asked.request_class];
  const bool safe = c.effect == Idempotency::kIdempotent;
  const std::string body = safe ? std::string() : "document " + request.asked.id;
  std::string text = (safe ? "GET " : "POST ") + request.target + " HTTP/1.1\r\nHost: proxy\r\n";
  text += "X-Correlation-Id: " + request.asked.id + "\r\nX-Service-Class: " + c.name + "\r\n";
  text += "X-Time-Left-Ms: " + std::to_string(request.told_left) + "\r\n";
  if (c.effect == Idempotency::kIdempotencyKey) text += "Idempotency-Key: k" + request.asked.id + "\r\n";
  if (!safe) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// False: nothing could be written, and nothing is out.
asio::awaitable<bool> RawClients::Send(Client& client, Connection& connection) {
  std::deque<Request> batch = std::exchange(client.again, {});
  if (batch.empty()) {
    for (std::size_t i = 0; i < client.batch; ++i) batch.push_back(NewRequest(client));
  }
  const bool in_one = client.together || batch.front().repeated;
  while (!batch.empty()) {
    if (LookAt(connection.socket) == Front::kEnd) break;
    const std::size_t now = in_one ? batch.size() : 1;
    std::string text;
    for (std::size_t i = 0; i < now; ++i) text += Write(&batch[i]);
    if (client.mid_request && now == batch.size()) text += "GET /half?obj=1 HTTP/1.1\r\nX-Corr";
    Error error;
    const std::size_t written = connection.socket.write_some(asio::buffer(text), error);
    if (error || written < text.size()) break;
    const double sent = NowMs();
    for (std::size_t i = 0; i < now; ++i) {
      batch.front().asked.sent = sent;
      // What it was told counts from here, however long this process was not run before.
      batch.front().asked.due = sent + static_cast<double>(batch.front().told_left);
      batch.front().asked.proxy = settings_.proxies[connection.proxy].name;
      connection.out.push_back(std::move(batch.front()));
      batch.pop_front();
    }
    connection.last_sent = sent;
    if (batch.empty()) break;
    // Answers are read meanwhile, so that it is known when they came.
    for (const double until = sent + Between(client.random, 2, 40); NowMs() < until && !connection.ended;) {
      co_await Readable(connection.socket, until);
      ReadWhatHasCome(connection);
    }
    if (connection.ended || !connection.kept) break;
  }
  client.again = std::move(batch);  // not written: they may go on another connection
  co_return connection.last_sent > 0;
}

// Until all are answered, or the connection has ended, or the client leaves.
asio::awaitable<void> RawClients::ReadAnswers(Client& client, Connection& connection) {
  const double leaves = client.leaves_after < 0 ? -1 : connection.last_sent + client.leaves_after;
  while (true) {
    ReadWhatHasCome(connection);
    if (connection.out.empty() || connection.ended) co_return;
    const double given_up = connection.out.front().asked.due + kLateFor;
    if (leaves >= 0 && NowMs() >= leaves) co_return Leave(client, connection);
    if (NowMs() >= given_up) co_return GiveUp(connection);
    co_await Readable(connection.socket, leaves < 0 ? given_up : std::min(leaves, given_up));
  }
}

void RawClients::ReadWhatHasCome(Connection& connection) {
  std::array<char, kPiece> piece;
  while (!connection.ended) {
    Error error;
    const std::size_t n = connection.socket.read_some(asio::buffer(piece), error);
    if (error == asio::error::would_block) return;
    connection.ended = error.failed();
    connection.was_reset = error && error != asio::error::eof;
    connection.buffer.commit(asio::buffer_copy(connection.buffer.prepare(n), asio::buffer(piece.data(), n)));
    while (!connection.out.empty() && connection.buffer.size() > 0 && TakeAnswer(connection)) {
    }
  }
}

// False: there is not all of it yet.
bool RawClients::TakeAnswer(Connection& connection) {
  if (!connection.parser) connection.parser.emplace().eager(true);
  Error error;
  connection.buffer.consume(connection.parser->put(connection.buffer.data(), error));
  if (error == http::error::need_more) error = {};
  if (!error && !connection.parser->is_done()) return false;
  Request request = std::move(connection.out.front());
  connection.out.pop_front();
  ++connection.answered;
  connection.last_answer = NowMs();
  const auto& answer = connection.parser->get();
  const unsigned status = answer.result_int();
  const bool served = !error && status == 200, refused = !error && (status == 429 || status == 503);
  request.asked.doubled = error ||
                          (served && answer.body().find("converted " + request.asked.id + " ") != 0) ||
                          (connection.out.empty() && connection.buffer.size() > 0);
  connection.kept = !error && answer.keep_alive();
  connection.parser.reset();
  Tell(request, served ? Asked::End::kServed : refused ? Asked::End::kRefused : Asked::End::kFailed);
  return true;
}

// Between requests. False: the connection has ended, or is to end.
asio::awaitable<bool> RawClients::Rest(Client& client, Connection& connection) {
  simulator::Random& random = client.random;
  if (random.DrawUnit() < kEndsAtRest) co_return false;
  const double kind = random.DrawUnit();
  const double rest = kind < kRestsLong                   ? Between(random, kKeepAliveLow, kKeepAliveHigh)
                      : kind < kRestsLong + kRestsAnyTime ? Between(random, 0, kKeepAliveLow)
                                                          : Between(random, 0, 120);
  const double until = connection.last_answer + rest;
  co_await Readable(connection.socket, until);
  const bool ended = LookAt(connection.socket) == Front::kEnd;
  co_return !ended && running_;
}

// The proxy has ended the connection, with requests out.
void RawClients::End(Client& client, const std::shared_ptr<Connection>& connection) {
  const double now = NowMs();
  const bool begun = connection->parser && connection->parser->got_some();
  Crossing crossing;
  crossing.connection = connection;
  crossing.reset = WasReset(connection->socket) || connection->was_reset;
  for (Request& request : connection->out) {
    request.asked.ended = now;
    request.asked.last_answer = connection->last_answer;
    const bool may_repeat = connection->answered > 0 && !begun && !request.repeated &&
                            request.asked.sent >= connection->last_answer - kMostBehind;
    if (!may_repeat) {
      request.asked.ended_by_peer = true;
      Tell(request, Asked::End::kLost);
      continue;
    }
    for (std::size_t& behind : crossing.from_here) behind += request.bytes;
    crossing.from_here.push_back(request.bytes);
    crossing.requests.push_back(
        {request.asked.id, request.asked.proxy, request.asked.sent, now, connection->last_answer, true});
    request.repeated = true;
    request.asked.ended = 0;
    client.again.push_back(std::move(request));
  }
  connection->out.clear();
  if (!crossing.requests.empty()) asio::co_spawn(io_, Watch(std::move(crossing)), asio::detached);
}

// Whether the proxy reads them after all. A reset is over unread bytes: the last request's at least.
asio::awaitable<void> RawClients::Watch(Crossing crossing) {
  const auto alive = alive_;
  ++working_;
  Connection& connection = *crossing.connection;
  std::size_t unread = crossing.from_here.front();  // the fewest bytes that were
  int gone = 0;
  for (const double until = NowMs() + kWatched; unread > 0 && NowMs() < until;) {
    const auto there = peers_.Unread(connection.remote, connection.local);
    crossing.reset |= WasReset(connection.socket);
    if (crossing.reset) break;
    if (there) unread = std::min(unread, *there);
    // The reset of one that has just gone may be on its way.
    if (!there && ++gone == 2) unread = 0;
    co_await Pause(io_, kWatchEvery);
    if (!*alive) co_return;
  }
  for (std::size_t i = 0; i < crossing.requests.size(); ++i) {
    crossing.requests[i].unread = unread >= crossing.from_here[i];
    on_crossed_(crossing.requests[i]);
  }
  --working_;
}

// The client closes, whatever is out.
void RawClients::Leave(Client& client, Connection& connection) {
  Error ignored;
  if (client.by_reset) connection.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  connection.socket.close(ignored);
  const double closed = NowMs();
  for (Request& request : connection.out) {
    request.asked.closed = closed;
    Tell(request, Asked::End::kLeft);
  }
  connection.out.clear();
}

// No answer in all the time that the client had.
void RawClients::GiveUp(Connection& connection) {
  const auto unread = peers_.Unread(connection.remote, connection.local);
  Error ignored;
  connection.socket.close(ignored);
  const double closed = NowMs();
  for (Request& request : connection.out) {
    request.asked.closed = closed;
    if (unread) request.asked.unread = static_cast<double>(*unread);
    request.asked.last_answer = connection.last_answer;
    Tell(request, closed >= request.asked.due + kLateFor ? Asked::End::kLost : Asked::End::kLeft);
  }
  connection.out.clear();
}

void RawClients::Tell(Request& request, Asked::End end) {
  request.asked.end = end;
  if (request.asked.ended == 0) request.asked.ended = NowMs();
  on_asked_(request.asked);
}

}  // namespace badgerbridge::multiprocess
