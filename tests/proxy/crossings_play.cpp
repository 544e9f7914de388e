// SPDX-License-Identifier: Apache-2.0
#include "proxy/crossings_play.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace badgerbridge::proxy::testing {
namespace {

constexpr std::chrono::microseconds kHandlerTime{100};  // virtual duration of each handler
constexpr std::chrono::milliseconds kMaxWait{50};       // virtual wait if no timer is set
constexpr std::chrono::milliseconds kPauseTime{30};
constexpr std::chrono::seconds kMaxRunTime{5};         // real time
constexpr std::chrono::seconds kMaxConditionTime{20};  // real time to wait for a condition
constexpr std::size_t kMaxRuns = 4;                    // runs allowed for any request
constexpr std::size_t kBackendInOtherCell = 2;         // index of the only backend of the second cell

std::string ClassIn(const std::string& request) {
  const std::size_t at = request.find("X-Service-Class: ") + 17;
  return request.substr(at, request.find("\r\n", at) - at);
}

}  // namespace

const char* NameOf(InjectedEvent event) {
  constexpr const char* kNames[] = {
      "none",   "client FIN", "client RST", "next request",     "partial request",
      "answer", "FIN",        "RST",        "unsolicited byte", "connected",
      "drain",  "gone",       "list reset", "silent list",      "SIGTERM",
      "SIGHUP", "pause"};
  return kNames[static_cast<int>(event)];
}

// ---- setup

InterleavingRun::InterleavingRun(const Exchange& exchange, std::vector<ScheduledEvent> events,
                                 SeededFault fault)
    : exchange_(exchange), events_(std::move(events)), fault_(fault) {
  StartPeers();
  const Config config = MakeConfig();
  StartPool(config);
  proxy_.emplace(io_, clock_, *pool_, config);
  proxy_->SetTrafficObserver(this);
  StartWatch(config);
  ListenerLimits limits;
  limits.accept_grace = std::chrono::milliseconds(10);
  listener_.emplace(io_, clock_, *proxy_, config, limits);
}

Config InterleavingRun::MakeConfig() const {
  static const Config kConfig = TestConfig({});
  Config config = kConfig;
  config.listen = address_;
  config.settings.classes[1].deduplication_window = Duration(exchange_.window_ms);
  return config;
}

void InterleavingRun::StartPeers() {
  for (std::size_t i = 0; i < kBackends; ++i) {
    backends_.push_back(std::make_unique<Peer>(
        io_, [this, i](Wire& wire) { Serve(i, wire); }, address_));
    names_[i] = "s-" + std::to_string(i);
  }
  for (auto* discovery : {&discovery_, &other_discovery_}) {
    *discovery = std::make_unique<Peer>(
        io_,
        [this](Wire& wire) {
          wire.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(ListOf(true) + "\n"));
        },
        address_);
  }
}

void InterleavingRun::StartPool(const Config& config) {
  pool_.emplace(io_, clock_, BackendPool::Limits::From(config));
  pool_->SetAttemptObserver(
      [this](BackendId backend, const ForwardedRequest& request) { OnAttemptBegin(backend, request); });
  if (!exchange_.has_slow_connects) return;
  pool_->SetConnector([this](tcp::socket& socket, const tcp::endpoint& address, auto on_connected) {
    pending_connects_.push_back(
        [&socket, address, on_connected] { socket.async_connect(address, on_connected); });
  });
}

void InterleavingRun::StartWatch(const Config& config) {
  Discovery::Timing timing;
  timing.message_timeout = std::chrono::milliseconds(20);
  watch_.emplace(
      io_, discovery_->endpoint(), EndpointListReader(config), false, 7,
      [this](const EndpointList& list) { OnList(list); }, [] {}, timing);
  watch_->Watch();
}

void InterleavingRun::OnList(const EndpointList& list) {
  std::set<std::string> ready;
  for (const Endpoint& endpoint : list.endpoints) {
    ids_[endpoint.name] = endpoint.entry.server;
    if (endpoint.entry.state == BackendState::kReady) {
      ready.insert(endpoint.name);
    } else {
      notified_unready_.insert(endpoint.entry.server);
    }
  }
  for (const auto& [name, id] : ids_) {
    if (list.snapshot && !ready.contains(name)) notified_unready_.insert(id);
  }
  if (fault_ == SeededFault::kDrainWithheld && !notified_unready_.empty()) return;
  proxy_->UpdateList(list.snapshot ? EndpointListKind::kFull : EndpointListKind::kDelta, list);
}

void InterleavingRun::WarmUp() {
  std::vector<std::shared_ptr<Wire>> clients;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(Connect());
    clients.back()->Send(Get("w" + std::to_string(i)));
  }
  EXPECT_TRUE(RunUntil([&] {
    FinishConnect();
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& client) { return AnswersIn(client->in).size() == 1; });
  }));
  for (const auto& client : clients) client->Close();
  EXPECT_TRUE(RunUntil([&] { return listener_->connections() == 0; }));
  seen_.clear();
}

// ---- the event loop

// Runs one handler if one is ready. The kernel may deliver loopback data on another thread, so this yields
// and polls again before it reports that none is ready.
bool InterleavingRun::RunHandler() {
  constexpr int kLooks = 2;
  for (int look = 0; look < kLooks; ++look) {
    io_.restart();
    if (io_.poll_one() > 0) {
      virtual_clock_.Advance(kHandlerTime);
      return true;
    }
    std::this_thread::yield();
  }
  return false;
}

void InterleavingRun::RunHandlerOrWait() {
  if (RunHandler()) return;
  virtual_clock_.AdvanceToNextTimer(kMaxWait);
  RunHandler();
}

// Runs until the condition holds; false if it does not within kMaxConditionTime.
bool InterleavingRun::RunUntil(const std::function<bool()>& holds) {
  const auto limit = std::chrono::steady_clock::now() + kMaxConditionTime;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > limit) return false;
    RunHandlerOrWait();
  }
  return true;
}

std::size_t InterleavingRun::Run(RuleViolations& violations) {
  EXPECT_TRUE(RunUntil([&] { return ids_.size() == kBackends && pool_->HasReadyBackend(); }));
  if (exchange_.has_idle_connections) WarmUp();
  exchange_started_ = true;
  client_ = Connect();
  client_->Send(exchange_.text);
  sent_ = exchange_.ids;
  const std::size_t steps = RunSteps(violations);
  CheckAnswers(violations);
  CheckNothingLeaked(violations);
  return steps;
}

std::size_t InterleavingRun::RunSteps(RuleViolations& violations) {
  const auto limit = std::chrono::steady_clock::now() + kMaxRunTime;
  for (std::size_t step = 0;; ++step) {
    for (const ScheduledEvent& planned : events_) {
      if (planned.step == step) Apply(planned.event);
    }
    if (IsOver()) return step;
    if (std::chrono::steady_clock::now() > limit) {
      ++violations.lost;
      return step;
    }
    if (!RunHandler()) {
      FinishConnect();  // no handler is ready
      RunHandlerOrWait();
    }
    if (client_->closed && !client_is_closed_) {
      client_->Close();
      client_is_closed_ = true;
    }
  }
}

// ---- peers

std::shared_ptr<Wire> InterleavingRun::Connect() {
  tcp::socket socket(io_);
  socket.connect(listener_->address());
  auto wire = std::make_shared<Wire>(std::move(socket));
  wire->Start();
  return wire;
}

std::string InterleavingRun::ListOf(bool snapshot) const {
  std::vector<std::string> endpoints;
  for (std::size_t i = 0; i < kBackends; ++i) {
    const int cell = i == kBackendInOtherCell ? 2 : 1;
    const auto found = ids_.find(names_[i]);
    const bool is_drained = drained_ && found != ids_.end() && found->second == *drained_;
    if (!is_drained) {
      endpoints.push_back(EndpointJson(names_[i], backends_[i]->address(), "Ready", cell));
    } else if (!is_gone_) {
      endpoints.push_back(EndpointJson(names_[i], backends_[i]->address(), "Terminating", cell));
    } else if (!snapshot) {
      endpoints.push_back(EndpointJson(names_[i], backends_[i]->address(), "Gone", cell));
    }
  }
  return ListJson(drained_ ? 9 : 8, snapshot, endpoints);
}

void InterleavingRun::Serve(std::size_t backend, Wire& wire) {
  const std::string& request = backends_[backend]->requests.back();
  const std::string id = IdIn(request);
  newest_wire_ = &wire;
  if (!exchange_started_) return wire.Send(Reply(200, id));
  const BackendBehavior behavior = exchange_.behaviors[std::min(served_, exchange_.behaviors.size() - 1)];
  ++served_;
  if (behavior != BackendBehavior::kUnprocessed || fault_ == SeededFault::kFalseUnprocessed)
    seen_.push_back({backend, id, ClassIn(request)});
  switch (behavior) {
    case BackendBehavior::kAnswer:
      return wire.Send(Reply(200, id));
    case BackendBehavior::kReset:
      return wire.Reset();
    case BackendBehavior::kUnprocessed:
      return wire.Send(Reply(503, "", "X-Unprocessed: 1\r\n"));
    case BackendBehavior::kNothing:
      wire.owed = id;
      return;
    case BackendBehavior::kPartialAnswer:
      wire.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
      return wire.Close();
    case BackendBehavior::kNoLength:
      wire.Send("HTTP/1.1 200 OK\r\n\r\nno length");
      return wire.Reset();
    case BackendBehavior::kAnswerTwice:
      wire.Send(Reply(200, id));
      return wire.Send(Reply(200, id));
    case BackendBehavior::kEndless:
      return wire.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  }
}

// Called just before the proxy writes the first byte of an attempt.
void InterleavingRun::OnAttemptBegin(BackendId backend, const ForwardedRequest& request) {
  if (!exchange_started_) return;
  begun_.insert(request.correlation_id);
  // A cell deduplicates a key for the window after its first arrival.
  if (!request.idempotency_key.empty()) {
    const TimePoint now = clock_.Now();
    const TimePoint first = first_begun_.try_emplace(request.correlation_id, now).first->second;
    if (now - first > Duration(exchange_.window_ms)) ++expired_keys_;
  }
  if (proxy_->open_requests() == 0) ++late_attempts_;  // the client has disconnected or has its answer
  if (disconnect_not_seen_) ++late_attempts_;
  if (notified_unready_.contains(backend)) ++late_attempts_;  // a drain
}

void InterleavingRun::FinishConnect() {
  if (pending_connects_.empty()) return;
  const auto connect = std::move(pending_connects_.front());
  pending_connects_.pop_front();
  connect();
}

// The backend connection that received the newest request; null if it is closed.
Wire* InterleavingRun::LiveBackendWire() const {
  for (const auto& backend : backends_) {
    for (const auto& wire : backend->wires) {
      if (wire.get() == newest_wire_ && wire->socket.is_open()) return wire.get();
    }
  }
  return nullptr;
}

// The id of the request received on a connection, even if it is still unread in the socket.
std::string InterleavingRun::IdReceivedOn(Wire& wire) {
  std::string text(65536, '\0');
  ErrorCode error;
  wire.socket.non_blocking(true, error);
  text.resize(wire.socket.receive(asio::buffer(text), tcp::socket::message_peek, error));
  text = wire.in + (error ? "" : text);
  if (text.find("X-Correlation-Id: ") != std::string::npos) return IdIn(text);
  return wire.owed.empty() ? "unknown" : std::exchange(wire.owed, {});
}

// ---- events

void InterleavingRun::Apply(InjectedEvent event) {
  switch (event) {
    case InjectedEvent::kNone:
      return;
    case InjectedEvent::kClientFin:
    case InjectedEvent::kClientReset:
    case InjectedEvent::kNextRequest:
    case InjectedEvent::kPartialRequest:
      return ApplyToClient(event);
    case InjectedEvent::kBackendAnswers:
    case InjectedEvent::kBackendFin:
    case InjectedEvent::kBackendReset:
    case InjectedEvent::kUnsolicitedByte:
      return ApplyToBackend(event);
    case InjectedEvent::kDrain:
    case InjectedEvent::kGone:
    case InjectedEvent::kListReset:
    case InjectedEvent::kListSilent:
      return ApplyToDiscovery(event);
    case InjectedEvent::kConnected:
    case InjectedEvent::kTerm:
    case InjectedEvent::kHup:
    case InjectedEvent::kPause:
      return ApplyToProxy(event);
  }
}

void InterleavingRun::ApplyToClient(InjectedEvent event) {
  if (event == InjectedEvent::kClientFin || event == InjectedEvent::kClientReset)
    return DisconnectClient(event);
  if (event == InjectedEvent::kPartialRequest) {
    if (!client_is_closed_) client_->Send("GET /preview?obj=1 HTTP/1.1\r\nHost: ba");
    has_sent_partial_request_ = true;
    return;
  }
  if (client_is_closed_) return;
  const std::string id = "n" + std::to_string(sent_.size());
  client_->Send(Timed(Get(id, "X-Repeat: 1\r\n"), 40));
  sent_.push_back(id);
}

void InterleavingRun::DisconnectClient(InjectedEvent event) {
  if (client_is_closed_) return;
  client_disconnected_ = true;
  if (fault_ == SeededFault::kDisconnectNotSeen) {
    disconnect_not_seen_ = true;
    return;
  }
  client_is_closed_ = true;
  if (event == InjectedEvent::kClientFin) {
    client_->Close();
  } else {
    client_->Reset();
  }
}

void InterleavingRun::ApplyToBackend(InjectedEvent event) {
  Wire* const backend = LiveBackendWire();
  if (!backend) return;
  if (event == InjectedEvent::kBackendAnswers) backend->Send(Reply(200, IdReceivedOn(*backend)));
  if (event == InjectedEvent::kBackendFin) backend->Close();
  if (event == InjectedEvent::kBackendReset) backend->Reset();
  if (event == InjectedEvent::kUnsolicitedByte) backend->Send("H");
}

void InterleavingRun::ApplyToDiscovery(InjectedEvent event) {
  if (event == InjectedEvent::kDrain || event == InjectedEvent::kGone) return SendDrain(event);
  if (event == InjectedEvent::kListReset) {
    for (const auto& wire : discovery_->wires) wire->Reset();
    return;
  }
  if (!discovery_->wires.empty()) silent_wire_ = discovery_->wires.back().get();
}

void InterleavingRun::SendDrain(InjectedEvent event) {
  if (drained_) return;
  drained_ = newest_backend_ ? *newest_backend_ : ids_.begin()->second;
  is_gone_ = event == InjectedEvent::kGone;
  for (const auto& wire : discovery_->wires) {
    if (wire.get() != silent_wire_) wire->Send(Chunk(ListOf(false) + "\n"));
  }
  for (const auto& wire : other_discovery_->wires) wire->Send(Chunk(ListOf(false) + "\n"));
}

void InterleavingRun::ApplyToProxy(InjectedEvent event) {
  if (event == InjectedEvent::kConnected) FinishConnect();
  if (event == InjectedEvent::kHup) watch_->ChangeAddress(other_discovery_->endpoint());
  if (event == InjectedEvent::kPause) virtual_clock_.Advance(kPauseTime);
  if (event != InjectedEvent::kTerm) return;
  terminated_ = true;
  listener_->Stop([this] { stopped_ = true; });
}

// ---- checks

bool InterleavingRun::IsOver() const {
  if (client_disconnected_ && fault_ != SeededFault::kDisconnectNotSeen) return IsProxyIdle();
  const bool is_answered = AnswersIn(client_->in).size() >= sent_.size();
  return (client_is_closed_ || is_answered) && IsProxyIdle();
}

// Whether no request is open and the decision module has nothing in flight.
bool InterleavingRun::IsProxyIdle() const {
  if (proxy_->open_requests() != 0) return false;
  for (const BackendView& view : proxy_->Inspect()) {
    if (view.in_flight != 0 || view.work_in_flight != 0) return false;
  }
  return true;
}

void InterleavingRun::CheckAnswers(RuleViolations& violations) {
  std::vector<ClientAnswer> answers = AnswersIn(client_->in);
  if (fault_ == SeededFault::kAnswerDropped) answers.clear();
  if (answers.size() > sent_.size() + (has_sent_partial_request_ ? 1 : 0))
    ++violations.lost;  // more answers than requests
  for (std::size_t i = 0; i < sent_.size(); ++i) {
    const std::string& id = sent_[i];
    const bool is_answered = i < answers.size();
    if (is_answered) {
      if (answers[i].status == 200 && answers[i].body != id)
        ++violations.lost;  // the body belongs to another request
    } else if (!client_disconnected_ && (i < exchange_.ids.size() || begun_.contains(id))) {
      // A request that was unread when its connection closed is resent by its client, and one that follows a
      // partial request is malformed; neither needs an answer.
      if (!has_sent_partial_request_ || begun_.contains(id)) ++violations.lost;
    }
    const bool is_rejected = is_answered && (answers[i].status == 503 || answers[i].status == 429);
    CheckRuns(id, is_rejected, violations);
  }
  if (fault_ == SeededFault::kDescriptorLeaked) leaked_descriptor_ = ::dup(0);
}

void InterleavingRun::CheckRuns(const std::string& id, bool is_rejected, RuleViolations& violations) const {
  std::set<bool> cells;  // whether it ran in the second cell
  std::size_t runs = 0;
  std::string service_class;
  for (const SeenRequest& seen : seen_) {
    if (seen.id != id) continue;
    cells.insert(seen.backend == kBackendInOtherCell);
    ++runs;
    service_class = seen.service_class;
  }
  if (service_class == "certify" && (runs > 1 || (runs == 1 && is_rejected))) ++violations.twice;
  if (service_class == "convert" && (cells.size() > 1 || (runs > 0 && is_rejected))) ++violations.twice;
  if (runs > kMaxRuns) ++violations.twice;
}

void InterleavingRun::CheckNothingLeaked(RuleViolations& violations) {
  client_->Close();
  if (fault_ == SeededFault::kDrainWithheld) fault_ = SeededFault::kNone;
  const bool is_idle = RunUntil([&] {
    FinishConnect();
    return listener_->connections() == 0 && IsProxyIdle() && (!terminated_ || stopped_);
  });
  if (!is_idle) ++violations.leaked;
  // A drain must reach the proxy in the end, even if the watch was silent.
  if (drained_ && !RunUntil([&] { return notified_unready_.contains(*drained_); })) ++violations.late;
  if (proxy_->open_requests() != 0 || pool_->open_connections() > 16 * kBackends) ++violations.leaked;
  violations.late += late_attempts_;
  violations.twice += expired_keys_;
}

}  // namespace badgerbridge::proxy::testing
