// SPDX-License-Identifier: Apache-2.0
#include "proxy/crossings_play.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace badgerbridge::proxy::testing {
namespace {

constexpr std::chrono::microseconds kHandlerTime{100};  // what each handler is taken to need
constexpr std::chrono::milliseconds kMaxWait{50};       // for a handler, where no timer is set
constexpr std::chrono::milliseconds kPauseTime{30};
constexpr std::chrono::seconds kMaxPlayTime{5};  // of real time
constexpr std::chrono::seconds kMaxRunTime{20};  // of real time, for a condition
constexpr std::size_t kMaxRuns = 4;              // of any request
constexpr std::size_t kOtherCell = 2;            // the backend that is alone in its cell

std::string ClassIn(const std::string& request) {
  const std::size_t at = request.find("X-Service-Class: ") + 17;
  return request.substr(at, request.find("\r\n", at) - at);
}

}  // namespace

const char* NameOf(CrossingEvent event) {
  constexpr const char* kNames[] = {"none",   "client FIN", "client RST", "next request", "half a request",
                                    "answer", "FIN",        "RST",        "stray byte",   "connected",
                                    "drain",  "departure",  "list reset", "silent list",  "SIGTERM",
                                    "SIGHUP", "pause"};
  return kNames[static_cast<int>(event)];
}

// ---- set-up

CrossingsPlay::CrossingsPlay(const Exchange& exchange, std::vector<CrossingStep> events, CrossingFault fault)
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

Config CrossingsPlay::MakeConfig() const {
  static const Config kConfig = TestConfig({});
  Config config = kConfig;
  config.listen = address_;
  config.settings.classes[1].deduplication_window = Duration(exchange_.window_ms);
  return config;
}

void CrossingsPlay::StartPeers() {
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

void CrossingsPlay::StartPool(const Config& config) {
  pool_.emplace(io_, clock_, BackendPool::Limits::From(config));
  pool_->SetAttemptObserver(
      [this](BackendId backend, const ForwardedRequest& request) { OnAttemptBegin(backend, request); });
  if (!exchange_.has_slow_connects) return;
  pool_->SetConnector([this](tcp::socket& socket, const tcp::endpoint& address, auto on_connected) {
    pending_connects_.push_back(
        [&socket, address, on_connected] { socket.async_connect(address, on_connected); });
  });
}

void CrossingsPlay::StartWatch(const Config& config) {
  Discovery::Timing timing;
  timing.message_timeout = std::chrono::milliseconds(20);
  watch_.emplace(
      io_, discovery_->endpoint(), EndpointListReader(config), false, 7,
      [this](const EndpointList& list) { OnList(list); }, [] {}, timing);
  watch_->Watch();
}

void CrossingsPlay::OnList(const EndpointList& list) {
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
  if (fault_ == CrossingFault::kDrainHeldBack && !notified_unready_.empty()) return;
  proxy_->UpdateList(list.snapshot ? EndpointListKind::kFull : EndpointListKind::kDelta, list);
}

void CrossingsPlay::WarmUp() {
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

// One handler, if one is ready. The kernel may hand over on another thread what has just been sent: that gets
// the processor before none counts as ready.
bool CrossingsPlay::RunHandler() {
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

void CrossingsPlay::RunHandlerOrWait() {
  if (RunHandler()) return;
  virtual_clock_.AdvanceToNextTimer(kMaxWait);
  RunHandler();
}

// False if the condition does not hold within a time far beyond any need.
bool CrossingsPlay::RunUntil(const std::function<bool()>& holds) {
  const auto limit = std::chrono::steady_clock::now() + kMaxRunTime;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > limit) return false;
    RunHandlerOrWait();
  }
  return true;
}

std::size_t CrossingsPlay::Run(RuleViolations& violations) {
  EXPECT_TRUE(RunUntil([&] { return ids_.size() == kBackends && pool_->HasReadyBackend(); }));
  if (exchange_.has_idle_connections) WarmUp();
  playing_ = true;
  client_ = Connect();
  client_->Send(exchange_.text);
  sent_ = exchange_.ids;
  const std::size_t steps = RunSteps(violations);
  JudgeAnswers(violations);
  JudgeWhatIsLeft(violations);
  return steps;
}

std::size_t CrossingsPlay::RunSteps(RuleViolations& violations) {
  const auto limit = std::chrono::steady_clock::now() + kMaxPlayTime;
  for (std::size_t step = 0;; ++step) {
    for (const CrossingStep& planned : events_) {
      if (planned.step == step) Apply(planned.event);
    }
    if (IsOver()) return step;
    if (std::chrono::steady_clock::now() > limit) {
      ++violations.lost;
      return step;
    }
    if (!RunHandler()) {
      FinishConnect();  // nothing else is left to do
      RunHandlerOrWait();
    }
    if (client_->closed && !client_is_closed_) {
      client_->Close();
      client_is_closed_ = true;
    }
  }
}

// ---- the peers

std::shared_ptr<Wire> CrossingsPlay::Connect() {
  tcp::socket socket(io_);
  socket.connect(listener_->address());
  auto wire = std::make_shared<Wire>(std::move(socket));
  wire->Start();
  return wire;
}

std::string CrossingsPlay::ListOf(bool snapshot) const {
  std::vector<std::string> endpoints;
  for (std::size_t i = 0; i < kBackends; ++i) {
    const int cell = i == kOtherCell ? 2 : 1;
    const auto found = ids_.find(names_[i]);
    const bool is_drained = drained_ && found != ids_.end() && found->second == *drained_;
    if (!is_drained) {
      endpoints.push_back(EndpointJson(names_[i], backends_[i]->address(), "Ready", cell));
    } else if (!departed_) {
      endpoints.push_back(EndpointJson(names_[i], backends_[i]->address(), "Terminating", cell));
    } else if (!snapshot) {
      endpoints.push_back(EndpointJson(names_[i], backends_[i]->address(), "Gone", cell));
    }
  }
  return ListJson(drained_ ? 9 : 8, snapshot, endpoints);
}

void CrossingsPlay::Serve(std::size_t backend, Wire& wire) {
  const std::string& request = backends_[backend]->requests.back();
  const std::string id = IdIn(request);
  newest_wire_ = &wire;
  if (!playing_) return wire.Send(Reply(200, id));
  const BackendBehavior behavior = exchange_.behaviors[std::min(served_, exchange_.behaviors.size() - 1)];
  ++served_;
  if (behavior != BackendBehavior::kUnprocessed || fault_ == CrossingFault::kDeniesThatItRan)
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
    case BackendBehavior::kHalfAnswer:
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

// The proxy is about to write the first byte of an attempt.
void CrossingsPlay::OnAttemptBegin(BackendId backend, const ForwardedRequest& request) {
  if (!playing_) return;
  begun_.insert(request.correlation_id);
  // The cell remembers a key from when it first came.
  if (!request.idempotency_key.empty()) {
    const TimePoint now = clock_.Now();
    const TimePoint first = first_begun_.try_emplace(request.correlation_id, now).first->second;
    if (now - first > Duration(exchange_.window_ms)) ++forgotten_keys_;
  }
  if (proxy_->open_requests() == 0)
    ++late_attempts_;  // its request is over: the client left, or has its answer
  if (leave_is_unseen_) ++late_attempts_;
  if (notified_unready_.contains(backend)) ++late_attempts_;  // a drain
}

void CrossingsPlay::FinishConnect() {
  if (pending_connects_.empty()) return;
  const auto connect = std::move(pending_connects_.front());
  pending_connects_.pop_front();
  connect();
}

// The connection on which the newest request came, if it is open.
Wire* CrossingsPlay::LiveBackendWire() const {
  for (const auto& backend : backends_) {
    for (const auto& wire : backend->wires) {
      if (wire.get() == newest_wire_ && wire->socket.is_open()) return wire.get();
    }
  }
  return nullptr;
}

// The id of the request that has come on a connection, also where that has not been read yet.
std::string CrossingsPlay::IdOwedOn(Wire& wire) {
  std::string text(65536, '\0');
  ErrorCode error;
  wire.socket.non_blocking(true, error);
  text.resize(wire.socket.receive(asio::buffer(text), tcp::socket::message_peek, error));
  text = wire.in + (error ? "" : text);
  if (text.find("X-Correlation-Id: ") != std::string::npos) return IdIn(text);
  return wire.owed.empty() ? "nobody's" : std::exchange(wire.owed, {});
}

// ---- events

void CrossingsPlay::Apply(CrossingEvent event) {
  switch (event) {
    case CrossingEvent::kNone:
      return;
    case CrossingEvent::kClientFin:
    case CrossingEvent::kClientReset:
    case CrossingEvent::kNextRequest:
    case CrossingEvent::kHalfRequest:
      return ApplyToClient(event);
    case CrossingEvent::kBackendAnswers:
    case CrossingEvent::kBackendFin:
    case CrossingEvent::kBackendReset:
    case CrossingEvent::kStrayByte:
      return ApplyToBackend(event);
    case CrossingEvent::kDrain:
    case CrossingEvent::kDeparture:
    case CrossingEvent::kListReset:
    case CrossingEvent::kListSilent:
      return ApplyToDiscovery(event);
    case CrossingEvent::kConnected:
    case CrossingEvent::kTerm:
    case CrossingEvent::kHup:
    case CrossingEvent::kPause:
      return ApplyToProxy(event);
  }
}

void CrossingsPlay::ApplyToClient(CrossingEvent event) {
  if (event == CrossingEvent::kClientFin || event == CrossingEvent::kClientReset) return ClientLeaves(event);
  if (event == CrossingEvent::kHalfRequest) {
    if (!client_is_closed_) client_->Send("GET /preview?obj=1 HTTP/1.1\r\nHost: ba");
    has_sent_half_ = true;
    return;
  }
  if (client_is_closed_) return;
  const std::string id = "n" + std::to_string(sent_.size());
  client_->Send(Timed(Get(id, "X-Repeat: 1\r\n"), 40));
  sent_.push_back(id);
}

void CrossingsPlay::ClientLeaves(CrossingEvent event) {
  if (client_is_closed_) return;
  has_left_ = true;
  if (fault_ == CrossingFault::kLeaveNotSeen) {
    leave_is_unseen_ = true;
    return;
  }
  client_is_closed_ = true;
  if (event == CrossingEvent::kClientFin) {
    client_->Close();
  } else {
    client_->Reset();
  }
}

void CrossingsPlay::ApplyToBackend(CrossingEvent event) {
  Wire* const backend = LiveBackendWire();
  if (!backend) return;
  if (event == CrossingEvent::kBackendAnswers) backend->Send(Reply(200, IdOwedOn(*backend)));
  if (event == CrossingEvent::kBackendFin) backend->Close();
  if (event == CrossingEvent::kBackendReset) backend->Reset();
  if (event == CrossingEvent::kStrayByte) backend->Send("H");
}

void CrossingsPlay::ApplyToDiscovery(CrossingEvent event) {
  if (event == CrossingEvent::kDrain || event == CrossingEvent::kDeparture) return SendDrain(event);
  if (event == CrossingEvent::kListReset) {
    for (const auto& wire : discovery_->wires) wire->Reset();
    return;
  }
  if (!discovery_->wires.empty()) mute_ = discovery_->wires.back().get();
}

void CrossingsPlay::SendDrain(CrossingEvent event) {
  if (drained_) return;
  drained_ = newest_backend_ ? *newest_backend_ : ids_.begin()->second;
  departed_ = event == CrossingEvent::kDeparture;
  for (const auto& wire : discovery_->wires) {
    if (wire.get() != mute_) wire->Send(Chunk(ListOf(false) + "\n"));
  }
  for (const auto& wire : other_discovery_->wires) wire->Send(Chunk(ListOf(false) + "\n"));
}

void CrossingsPlay::ApplyToProxy(CrossingEvent event) {
  if (event == CrossingEvent::kConnected) FinishConnect();
  if (event == CrossingEvent::kHup) watch_->MoveTo(other_discovery_->endpoint());
  if (event == CrossingEvent::kPause) virtual_clock_.Advance(kPauseTime);
  if (event != CrossingEvent::kTerm) return;
  terminated_ = true;
  listener_->Stop([this] { stopped_ = true; });
}

// ---- the end and the rules

bool CrossingsPlay::IsOver() const {
  if (has_left_ && fault_ != CrossingFault::kLeaveNotSeen) return IsProxyIdle();
  const bool is_answered = AnswersIn(client_->in).size() >= sent_.size();
  return (client_is_closed_ || is_answered) && IsProxyIdle();
}

// Nothing is in flight in the table and in the decision module.
bool CrossingsPlay::IsProxyIdle() const {
  if (proxy_->open_requests() != 0) return false;
  for (const BackendView& view : proxy_->Inspect()) {
    if (view.in_flight != 0 || view.work_in_flight != 0) return false;
  }
  return true;
}

void CrossingsPlay::JudgeAnswers(RuleViolations& violations) {
  std::vector<ClientAnswer> answers = AnswersIn(client_->in);
  if (fault_ == CrossingFault::kAnswerSwallowed) answers.clear();
  if (answers.size() > sent_.size() + (has_sent_half_ ? 1 : 0)) ++violations.lost;  // more than one each
  for (std::size_t i = 0; i < sent_.size(); ++i) {
    const std::string& id = sent_[i];
    const bool is_answered = i < answers.size();
    if (is_answered) {
      if (answers[i].status == 200 && answers[i].body != id)
        ++violations.lost;  // no backend sent it for this one
    } else if (!has_left_ && (i < exchange_.ids.size() || begun_.contains(id))) {
      // One that crossed the end of its connection unread is sent once more by its client; half a request
      // before it makes it no request.
      if (!has_sent_half_ || begun_.contains(id)) ++violations.lost;
    }
    const bool is_rejected = is_answered && (answers[i].status == 503 || answers[i].status == 429);
    JudgeRuns(id, is_rejected, violations);
  }
  if (fault_ == CrossingFault::kDescriptorKept) kept_descriptor_ = ::dup(0);
}

void CrossingsPlay::JudgeRuns(const std::string& id, bool is_rejected, RuleViolations& violations) const {
  std::set<bool> cells;  // in which it ran
  std::size_t runs = 0;
  std::string service_class;
  for (const SeenRequest& seen : seen_) {
    if (seen.id != id) continue;
    cells.insert(seen.backend == kOtherCell);
    ++runs;
    service_class = seen.service_class;
  }
  if (service_class == "certify" && (runs > 1 || (runs == 1 && is_rejected))) ++violations.twice;
  if (service_class == "convert" && (cells.size() > 1 || (runs > 0 && is_rejected))) ++violations.twice;
  if (runs > kMaxRuns) ++violations.twice;
}

void CrossingsPlay::JudgeWhatIsLeft(RuleViolations& violations) {
  client_->Close();
  if (fault_ == CrossingFault::kDrainHeldBack) fault_ = CrossingFault::kNone;
  const bool is_idle = RunUntil([&] {
    FinishConnect();
    return listener_->connections() == 0 && IsProxyIdle() && (!terminated_ || stopped_);
  });
  if (!is_idle) ++violations.leaked;
  // What a drain or a silent watch held back is notified in the end.
  if (drained_ && !RunUntil([&] { return notified_unready_.contains(*drained_); })) ++violations.late;
  if (proxy_->open_requests() != 0 || pool_->open_connections() > 16 * kBackends) ++violations.leaked;
  violations.late += late_attempts_;
  violations.twice += forgotten_keys_;
}

}  // namespace badgerbridge::proxy::testing
