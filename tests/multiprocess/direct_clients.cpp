// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/direct_clients.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "multiprocess/async_socket.h"
#include "multiprocess/clock.h"
#include "multiprocess/random_draw.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

constexpr double kConnectTimeoutMs = 1000;
constexpr double kMinReconnectDelayMs = 5;
constexpr double kMaxReconnectDelayMs = 50;
constexpr double kMaxStartDelayMs = 500;
constexpr double kMaxLatenessMs = 500;  // for which an answer is awaited beyond the deadline
// How long a connection whose close crossed a request is watched for the proxy's reading it after all: longer
// than a proxy is stopped.
constexpr double kWatchDurationMs = 600;
constexpr double kWatchIntervalMs = 20;
// How long before an answer a request may have been sent to cross the close that the answer announces.
constexpr double kMaxSentBeforeAnswerMs = 30;
constexpr double kMinWriteGapMs = 2;  // between two requests that are not written at once
constexpr double kMaxWriteGapMs = 40;
constexpr double kMinDeadlineShare = 0.25;  // of the class's longest
constexpr std::uint64_t kObjects = 1000;
constexpr std::uint64_t kFirstStream = 100;  // of the first client
constexpr const char* kPartRequest = "GET /half?obj=1 HTTP/1.1\r\nX-Corr";

}  // namespace

// One client.
struct DirectClients::Client {
  Client(std::uint64_t seed, std::size_t number) : random(seed, kFirstStream + number) {}

  simulator::Random random;
  std::deque<DirectRequest> resends;  // to be sent on a new connection
};

// Requests that are sent a second time, and the connection whose close they crossed.
struct DirectClients::CloseRace {
  std::shared_ptr<DirectConnection> connection;
  std::vector<CloseRaceRecord> requests;
  std::vector<std::size_t> bytes_from;  // of each request and those behind it
  bool is_reset = false;
};

DirectClients::DirectClients(asio::io_context& io, DirectClientSettings settings,
                             std::function<void(const RequestRecord&)> on_request,
                             std::function<void(const CloseRaceRecord&)> on_close_race)
    : io_(io),
      settings_(std::move(settings)),
      on_request_(std::move(on_request)),
      on_close_race_(std::move(on_close_race)) {
  for (const DirectClientClass& request_class : settings_.classes) share_sum_ += request_class.share;
  for (std::size_t i = 0; i < settings_.clients; ++i)
    clients_.push_back(std::make_shared<Client>(settings_.seed, i));
}

DirectClients::~DirectClients() { *alive_ = false; }

void DirectClients::Start() {
  if (is_running_) return;
  is_running_ = true;
  for (const auto& client : clients_) {
    ++active_coroutines_;
    asio::co_spawn(io_, Run(client), asio::detached);
  }
}

void DirectClients::Stop() { is_running_ = false; }

asio::awaitable<void> DirectClients::Run(std::shared_ptr<Client> client) {
  co_await Pause(io_, DrawBetween(client->random, 0, kMaxStartDelayMs));
  while (is_running_ || !client->resends.empty()) co_await UseConnection(*client);
  --active_coroutines_;
}

void DirectClients::ExpireResends(Client& client) {
  while (!client.resends.empty() && client.resends.front().record.deadline_ms < NowMs()) {
    Finish(client.resends.front(), RequestOutcome::kUnsent);
    client.resends.pop_front();
  }
}

// One connection, from its opening to its end.
asio::awaitable<void> DirectClients::UseConnection(Client& client) {
  ExpireResends(client);
  const std::size_t proxy_index = client.random.DrawBelow(settings_.proxies.size());
  const auto connection = std::make_shared<DirectConnection>(
      io_, proxy_index, [this](DirectRequest& request, RequestOutcome outcome) { Finish(request, outcome); });
  const tcp::endpoint& address = settings_.proxies[proxy_index].address;
  const bool is_connected = co_await ConnectWithin(connection->socket(), address, kConnectTimeoutMs);
  if (!is_connected) {
    co_await Pause(io_, DrawBetween(client.random, kMinReconnectDelayMs, kMaxReconnectDelayMs));
    co_return;
  }
  connection->Connected();
  for (bool is_usable = true; is_usable;) is_usable = co_await Exchange(client, *connection);
  // The connection is kept for what its close crossed.
  if (!connection->in_flight().empty()) HandleClosedByProxy(client, connection);
}

// Requests and their answers, and idle time. False: the connection is not to be used any more.
asio::awaitable<bool> DirectClients::Exchange(Client& client, DirectConnection& connection) {
  if (!is_running_ && client.resends.empty()) co_return false;
  const PlannedExchange exchange = DrawExchange(client.random, client.resends.empty());
  const bool is_sent = co_await Send(client, connection, exchange);
  if (!is_sent) co_return false;
  co_await ReadAnswers(connection, exchange);
  if (exchange.disconnect && connection.in_flight().empty()) Disconnect(connection, *exchange.disconnect);
  if (!connection.socket().is_open() || connection.has_ended() || !connection.in_flight().empty() ||
      !connection.is_persistent())
    co_return false;
  // What was not written goes on a new connection.
  if (!client.resends.empty()) co_return false;
  const bool is_usable = co_await StayIdle(client, connection);
  co_return is_usable;
}

std::size_t DirectClients::DrawClass(simulator::Random& random) const {
  double drawn = random.DrawUnit() * share_sum_;
  std::size_t index = 0;
  for (; index + 1 < settings_.classes.size() && drawn >= settings_.classes[index].share; ++index)
    drawn -= settings_.classes[index].share;
  return index;
}

DirectRequest DirectClients::NewRequest(Client& client) {
  DirectRequest request;
  RequestRecord& record = request.record;
  record.id =
      settings_.id_prefix + std::to_string(settings_.seed) + "-" + std::to_string(++requests_started_);
  record.request_class = DrawClass(client.random);
  const DirectClientClass& request_class = settings_.classes[record.request_class];
  const auto work_us = static_cast<std::int64_t>(request_class.work.Draw(client.random) * 1000);
  request.target = "/" + request_class.name + "?obj=" + std::to_string(client.random.DrawBelow(kObjects)) +
                   "&work=" + std::to_string(std::max<std::int64_t>(1, work_us));
  record.is_direct = true;
  record.started_at_ms = NowMs();
  record.deadline_ms =
      record.started_at_ms + DrawBetween(client.random, kMinDeadlineShare, 1) * request_class.max_deadline_ms;
  return request;
}

// Writes the first `count` requests of the batch at once. False: not all of it could be written, and the
// batch is as it was.
bool DirectClients::WriteBatch(DirectConnection& connection, std::deque<DirectRequest>& batch,
                               std::size_t count, bool adds_part_request) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i)
    text += WriteRequest(batch[i], settings_.classes[batch[i].record.request_class]);
  if (adds_part_request) text += kPartRequest;
  Error error;
  const std::size_t written = connection.socket().write_some(asio::buffer(text), error);
  if (error || written < text.size()) return false;
  const double sent_ms = NowMs();
  for (std::size_t i = 0; i < count; ++i) {
    DirectRequest request = std::move(batch.front());
    batch.pop_front();
    request.record.sent_at_ms = sent_ms;
    // The time left counts from here, however long this process was not run before.
    request.record.deadline_ms = sent_ms + static_cast<double>(request.time_left_ms);
    request.record.proxy = settings_.proxies[connection.proxy_index()].name;
    connection.AddSent(std::move(request));
  }
  return true;
}

// False: nothing has been written to the connection.
asio::awaitable<bool> DirectClients::Send(Client& client, DirectConnection& connection,
                                          const PlannedExchange& exchange) {
  std::deque<DirectRequest> batch = std::exchange(client.resends, {});
  if (batch.empty()) {
    for (std::size_t i = 0; i < exchange.requests; ++i) batch.push_back(NewRequest(client));
  }
  const bool is_single_write = exchange.is_single_write || batch.front().is_resent;
  const bool adds_part_request = exchange.disconnect && exchange.disconnect->leaves_part_request;
  while (PeekSocket(connection.socket()) != ReadableState::kEnd) {
    const std::size_t count = is_single_write ? batch.size() : 1;
    if (!WriteBatch(connection, batch, count, adds_part_request && count == batch.size())) break;
    if (batch.empty()) break;
    // Answers are read meanwhile, so that it is known when they came.
    const double until_ms =
        connection.last_sent_ms() + DrawBetween(client.random, kMinWriteGapMs, kMaxWriteGapMs);
    while (NowMs() < until_ms && !connection.has_ended()) {
      co_await WaitReadable(connection.socket(), until_ms);
      connection.ReadArrived();
    }
    if (connection.has_ended() || !connection.is_persistent()) break;
  }
  client.resends = std::move(batch);  // not written: they may go on another connection
  co_return connection.last_sent_ms() > 0;
}

// Until all are answered, or the connection has ended, or the client disconnects.
asio::awaitable<void> DirectClients::ReadAnswers(DirectConnection& connection,
                                                 const PlannedExchange& exchange) {
  std::optional<double> disconnect_ms;
  if (exchange.disconnect) disconnect_ms = connection.last_sent_ms() + exchange.disconnect->after_ms;
  while (true) {
    connection.ReadArrived();
    if (connection.in_flight().empty() || connection.has_ended()) co_return;
    const double give_up_ms = *connection.in_flight().front().record.deadline_ms + kMaxLatenessMs;
    if (disconnect_ms && NowMs() >= *disconnect_ms) co_return Disconnect(connection, *exchange.disconnect);
    if (NowMs() >= give_up_ms) co_return GiveUp(connection);
    co_await WaitReadable(connection.socket(), std::min(give_up_ms, disconnect_ms.value_or(give_up_ms)));
  }
}

// Between requests. False: the connection has ended, or is to end.
asio::awaitable<bool> DirectClients::StayIdle(Client& client, DirectConnection& connection) {
  const std::optional<double> idle_ms = DrawIdleTime(client.random);
  if (!idle_ms) co_return false;
  const double until_ms = connection.last_answer_ms().value_or(0) + *idle_ms;
  co_await WaitReadable(connection.socket(), until_ms);
  co_return PeekSocket(connection.socket()) != ReadableState::kEnd&& is_running_;
}

// The proxy has closed the connection with requests in flight. Those that its close may have crossed are sent
// a second time; the others are lost.
void DirectClients::HandleClosedByProxy(Client& client, const ConnectionPtr& connection) {
  const double now_ms = NowMs();
  const std::optional<double> last_answer_ms = connection->last_answer_ms();
  const bool is_reset = TakeReset(connection->socket());
  CloseRace race;
  race.connection = connection;
  race.is_reset = is_reset || connection->has_failed();
  for (DirectRequest& request : connection->TakeInFlight()) {
    RequestRecord& record = request.record;
    record.ended_at_ms = now_ms;
    record.previous_response_at_ms = last_answer_ms;
    const bool may_resend = last_answer_ms && !connection->has_part_answer() && !request.is_resent &&
                            record.sent_at_ms >= *last_answer_ms - kMaxSentBeforeAnswerMs;
    if (!may_resend) {
      record.closed_by_peer = true;
      Finish(request, RequestOutcome::kLost);
      continue;
    }
    for (std::size_t& bytes : race.bytes_from) bytes += request.size_bytes;
    race.bytes_from.push_back(request.size_bytes);
    race.requests.push_back({record.id, record.proxy, record.sent_at_ms, now_ms, last_answer_ms, true});
    request.is_resent = true;
    record.ended_at_ms = 0;
    client.resends.push_back(std::move(request));
  }
  if (!race.requests.empty()) asio::co_spawn(io_, WatchUnread(std::move(race)), asio::detached);
}

// Finds out whether the proxy reads the requests after all. A reset is over unread bytes: the last request's
// at least.
asio::awaitable<void> DirectClients::WatchUnread(CloseRace race) {
  const auto alive = alive_;
  ++active_coroutines_;
  DirectConnection& connection = *race.connection;
  std::size_t min_unread = race.bytes_from.front();
  int not_found = 0;
  for (const double until_ms = NowMs() + kWatchDurationMs; min_unread > 0 && NowMs() < until_ms;) {
    const auto unread = peer_sockets_.UnreadBytes(connection.remote_address(), connection.local_address());
    race.is_reset |= TakeReset(connection.socket());
    if (race.is_reset) break;
    if (unread) min_unread = std::min(min_unread, *unread);
    // The reset of one that has just gone may be in flight.
    if (!unread && ++not_found == 2) min_unread = 0;
    co_await Pause(io_, kWatchIntervalMs);
    if (!*alive) co_return;
  }
  for (std::size_t i = 0; i < race.requests.size(); ++i) {
    race.requests[i].is_unread = min_unread >= race.bytes_from[i];
    on_close_race_(race.requests[i]);
  }
  --active_coroutines_;
}

// The client closes the connection, whatever is in flight.
void DirectClients::Disconnect(DirectConnection& connection, const PlannedDisconnect& disconnect) {
  connection.Close(disconnect.is_reset);
  const double closed_ms = NowMs();
  for (DirectRequest& request : connection.TakeInFlight()) {
    request.record.closed_at_ms = closed_ms;
    Finish(request, RequestOutcome::kCancelled);
  }
}

// No answer in all the time that the client had.
void DirectClients::GiveUp(DirectConnection& connection) {
  const auto unread = peer_sockets_.UnreadBytes(connection.remote_address(), connection.local_address());
  connection.Close();
  const double closed_ms = NowMs();
  for (DirectRequest& request : connection.TakeInFlight()) {
    RequestRecord& record = request.record;
    record.closed_at_ms = closed_ms;
    if (unread) record.unread_bytes = static_cast<double>(*unread);
    record.previous_response_at_ms = connection.last_answer_ms();
    const bool is_overdue = closed_ms >= *record.deadline_ms + kMaxLatenessMs;
    Finish(request, is_overdue ? RequestOutcome::kLost : RequestOutcome::kCancelled);
  }
}

void DirectClients::Finish(DirectRequest& request, RequestOutcome outcome) {
  request.record.outcome = outcome;
  if (request.record.ended_at_ms == 0) request.record.ended_at_ms = NowMs();
  on_request_(request.record);
}

}  // namespace badgerbridge::multiprocess
