// SPDX-License-Identifier: Apache-2.0
//
// Steps of a run: reaching the state, the two events, and the end.
#include "proxy/session_play.h"

#include <signal.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iostream>
#include <stdexcept>
#include <streambuf>
#include <thread>
#include <utility>

#include "proxy/session_play_times.h"

namespace badgerbridge::proxy::testing {

namespace {

// Discards the proxy's standard error during its lifetime, because failed requests are expected in these
// runs.
class SilencedErrors {
 public:
  SilencedErrors() : buffer_(std::cerr.rdbuf(nullptr)) {}
  ~SilencedErrors() { std::cerr.rdbuf(buffer_); }  // also clears the error flags
  SilencedErrors(const SilencedErrors&) = delete;
  SilencedErrors& operator=(const SilencedErrors&) = delete;

 private:
  std::streambuf* buffer_;
};

bool IsUnread(SessionState state) {
  return state == SessionState::kNewWholeUnread || state == SessionState::kIdleHalfUnread ||
         state == SessionState::kIdleWholeUnread;
}

}  // namespace

SessionScenarioRun::SessionScenarioRun(const SessionScenario& scenario) : scenario_(scenario) {
  // Aligned to whole milliseconds, so that timers expire at exactly the planned nanosecond.
  const auto now = steady_clock::now().time_since_epoch();
  clock_.Advance(std::chrono::ceil<milliseconds>(now) - now);

  const SessionState state = scenario.state;
  hold_connects_ = state == SessionState::kConnecting;
  hold_reads_ = state == SessionState::kWriting;
  hold_answers_ = state == SessionState::kWaiting;
  large_answers_ = state == SessionState::kAnswering;
  small_buffers_ = hold_reads_ || large_answers_;
  if (small_buffers_) watch_.SetSendBufferOfAccepted(kSmallBuffer);

  Listen();
  StartNode();
  signals_.add(SIGTERM);
  signals_.async_wait([this](ErrorCode error, int) {
    if (!error) node_->listener.Stop([this] { stopped_ = true; });
  });
}

void SessionScenarioRun::Listen() {
  backend_.emplace(io_);
  backend_->open(tcp::v4());
  if (hold_reads_) backend_->set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
  backend_->bind(address_);
  backend_->listen();
  AcceptAtBackend();
}

void SessionScenarioRun::StartNode() {
  const std::string backend =
      address_.address().to_string() + ":" + std::to_string(backend_->local_endpoint().port());

  static const Config kConfig = TestConfig({});
  Config config = kConfig;
  config.known = boost::json::parse(ListJson(7, true, {EndpointJson("s-1", backend)}));
  config.listen = address_;
  const bool alone = Includes(SessionEvent::kEvictionRetryTimer);
  at_client_limit_ = alone || Includes(SessionEvent::kNewClient);
  if (at_client_limit_) config.max_clients = alone ? 1 : 2;
  node_.emplace(io_, config);
  listener_address_ = node_->listener.address();
  node_->backends.SetAttemptObserver(
      [this](BackendId, const ForwardedRequest& forwarded) { OnAttemptBegun(forwarded); });
  node_->backends.SetConnector([this](tcp::socket& socket, const tcp::endpoint& address, auto ended) {
    Dial(socket, address, std::move(ended));
  });
}

ScenarioResult SessionScenarioRun::Run() {
  ReachState();
  RunTimeTo(state_reached_at_ + scenario_.first_at - kDescheduledBefore);
  AdvanceWithoutHandlers(state_reached_at_ + scenario_.first_at);
  if (IsUnread(scenario_.state)) SendUnread();
  Trigger(scenario_.first);
  while (scenario_.handlers_between && result_.handlers_run_between < *scenario_.handlers_between &&
         RunHandler())
    ++result_.handlers_run_between;
  AdvanceWithoutHandlers(state_reached_at_ + scenario_.second_at);
  Trigger(scenario_.second);
  clock_.Advance(scenario_.descheduled_for);
  RunToEnd();
  for (const Client& client : clients_) CheckClient(client);
  CleanUp();
  return result_;
}

bool SessionScenarioRun::Includes(SessionEvent event) const {
  return scenario_.first == event || scenario_.second == event;
}

// Sends the input that is still in the kernel's buffer when the first event occurs.
void SessionScenarioRun::SendUnread() {
  const std::string id = NextId("u");
  if (scenario_.state == SessionState::kIdleHalfUnread) return SendFirstHalf(clients_.front(), Get(id), id);
  SendRequest(clients_.front(), Get(id), id);
}

void SessionScenarioRun::ReachState() {
  if (scenario_.state != SessionState::kNone) ReachClientState();
  if (Includes(SessionEvent::kListenerClose)) Trigger(SessionEvent::kSigterm);
  if (Includes(SessionEvent::kDrainSweep)) Trigger(SessionEvent::kDrain);
  RunReady();
  watch_.SetSendBufferOfAccepted(std::nullopt);
  state_reached_at_ = steady_clock::now();
}

void SessionScenarioRun::ReachClientState() {
  Client& client = Connect();
  RunReady();
  SendFirstRequest(client);
  RunReady();
  if (scenario_.state == SessionState::kIdleHalfRead) {
    const std::string next = NextId("r");
    SendFirstHalf(client, Get(next), next);
    RunReady();
  }
  if (scenario_.state == SessionState::kLingering) {
    RunTimeTo(steady_clock::now() + kKeepAlive);
    if (!client.ended_at) throw std::logic_error("the state was not reached: lingering");
  }
}

void SessionScenarioRun::SendFirstRequest(Client& client) {
  const std::string id = NextId("r");
  switch (scenario_.state) {
    case SessionState::kNone:
    case SessionState::kNewSilent:
    case SessionState::kNewWholeUnread:
      return;
    case SessionState::kNewHalfRead:
      return SendFirstHalf(client, Get(id), id);
    case SessionState::kIdle:
    case SessionState::kIdleHalfRead:
    case SessionState::kIdleHalfUnread:
    case SessionState::kIdleWholeUnread:
    case SessionState::kLingering:
      SendRequest(client, Get(id), id);
      RunReady();
      ReadAll(client);
      if (AnswersIn(client.received).size() != 1) throw std::logic_error("the state was not reached: idle");
      return;
    case SessionState::kWriting:
      return SendRequest(
          client, Post(id, "convert", std::string(kLargeBody, 'x') + "END", "Idempotency-Key: k1\r\n"), id);
    case SessionState::kConnecting:
    case SessionState::kWaiting:
      SendRequest(client, Post(id, "certify", "END"), id);
      client.requests.back().not_idempotent = true;
      return;
    case SessionState::kAnswering:
      return SendRequest(client, Get(id), id);
    case SessionState::kAnsweredWithClose:
      SendRequest(client, Get(id, "Connection: close\r\n"), id);
      client.requested_close = true;
      return;
  }
}

void SessionScenarioRun::Trigger(SessionEvent event) {
  switch (event) {
    case SessionEvent::kSessionTimer:
    case SessionEvent::kListenerClose:
    case SessionEvent::kDrainSweep:
    case SessionEvent::kEvictionRetryTimer:
      return;  // expires without an action
    case SessionEvent::kRequest:
    case SessionEvent::kHalfRequest:
    case SessionEvent::kTwoRequests:
      return TriggerRequest(clients_.front(), event);
    case SessionEvent::kClientFin:
    case SessionEvent::kClientReset:
      return Disconnect(clients_.front(), event == SessionEvent::kClientReset);
    case SessionEvent::kSigterm:
      sigterm_at_ = steady_clock::now();
      ::raise(SIGTERM);
      return;
    case SessionEvent::kDrain:
      return asio::post(io_, [this] { node_->listener.Drain(); });
    case SessionEvent::kConnectDone:
      RunNextDeferred();
      return;
    case SessionEvent::kNewClient:
      return TriggerConnections(1, Nanoseconds(0));
    case SessionEvent::kSilentConnections:
      return TriggerConnections(kConnectionBurst, scenario_.request_delay);
    case SessionEvent::kConnectionsWithRequest:
      return TriggerConnections(kConnectionBurst, Nanoseconds(0));
  }
}

void SessionScenarioRun::TriggerRequest(Client& client, SessionEvent event) {
  if (!client.unwritten.empty()) return SendSecondHalf(client);
  if (event == SessionEvent::kHalfRequest) {
    const std::string id = NextId("h");
    SendFirstHalf(client, Get(id), id);
    client.second_half_at = steady_clock::now() + kSecondHalfDelay;
    return;
  }
  if (event == SessionEvent::kTwoRequests) {
    const std::string late = NextId("t");
    const std::string next = NextId("n");
    SendRequest(client, Timed(Get(late), 0), late);
    return SendRequest(client, Get(next), next);
  }
  const std::string id = NextId("n");
  SendRequest(client, Get(id), id);
}

void SessionScenarioRun::TriggerConnections(int count, Nanoseconds request_delay) {
  for (int i = 0; i < count; ++i) {
    Client& client = Connect();
    client.request_at = steady_clock::now() + request_delay;
  }
  SendDueRequests();
}

std::string SessionScenarioRun::NextId(const std::string& prefix) {
  return prefix + std::to_string(requests_++);
}

void SessionScenarioRun::RunToEnd() {
  const SteadyTime limit = steady_clock::now() + kMaxRunTime;
  while (!IsOver() && steady_clock::now() < limit) {
    if (RunHandler()) continue;
    if (RunNextDeferred()) continue;
    bool read = false;
    for (Client& client : clients_) read |= ReadAll(client);
    if (read) continue;
    clock_.AdvanceToNextTimer(UntilNextRequest());
    SendDueRequests();
  }
  RunReady();
  for (Client& client : clients_) ReadAll(client);
}

// Whether each client has disconnected, seen the close, or received all its answers with no request left to
// send.
bool SessionScenarioRun::IsOver() const {
  return std::all_of(clients_.begin(), clients_.end(), [](const Client& client) {
    if (client.disconnected_at || client.read_end || client.refused) return true;
    return !client.request_at && !client.requests.empty() && client.unwritten.empty() &&
           AnswersIn(client.received).size() >= client.requests.size();
  });
}

void SessionScenarioRun::CleanUp() {
  for (Client& client : clients_) {
    ErrorCode ignored;
    client.socket.close(ignored);
  }
  const SteadyTime limit = steady_clock::now() + kMaxRunTime;
  const auto is_idle = [this] {
    return node_->listener.connections() == 0 && node_->proxy.open_requests() == 0 &&
           (!sigterm_at_ || stopped_);
  };
  while (!is_idle() && steady_clock::now() < limit) {
    if (!RunHandler() && !RunNextDeferred()) clock_.AdvanceToNextTimer(kMaxWait);
  }
  if (!is_idle()) Report(&RuleViolations::leaked, "leaked connections or requests");
}

// Runs one handler if one is ready. The kernel may deliver data that was just sent on another thread, so this
// yields and polls again before it concludes that none is ready.
bool SessionScenarioRun::RunHandler() {
  constexpr int kPolls = 2;
  if (handlers_ == kMaxHandlers) return false;
  for (int poll = 0; poll < kPolls; ++poll) {
    io_.restart();
    if (io_.poll_one() > 0) {
      if (++handlers_ == kMaxHandlers) Report(&RuleViolations::leaked, "the event loop spins");
      DetectEnds();
      return true;
    }
    std::this_thread::yield();
  }
  return false;
}

void SessionScenarioRun::RunReady() {
  while (RunHandler()) continue;
}

// Advances the clock like an idle process: handlers run when they are due.
void SessionScenarioRun::RunTimeTo(SteadyTime until) {
  RunReady();
  while (steady_clock::now() < until) {
    clock_.AdvanceToNextTimer(until - steady_clock::now());
    RunReady();
  }
}

// Advances the clock like a descheduled process: no handler runs.
void SessionScenarioRun::AdvanceWithoutHandlers(SteadyTime until) {
  if (steady_clock::now() < until) clock_.Advance(until - steady_clock::now());
}

// Runs the next pending action of the backend or the network. False if there is none.
bool SessionScenarioRun::RunNextDeferred() {
  if (deferred_.empty()) return false;
  const auto next = std::move(deferred_.front());
  deferred_.pop_front();
  next();
  return true;
}

ScenarioResult RunScenario(const SessionScenario& scenario) {
  const std::size_t before = CountDescriptors();
  ScenarioResult result;
  {
    const SilencedErrors silenced;
    SessionScenarioRun run(scenario);
    result = run.Run();
  }
  if (CountDescriptors() != before) {
    ++result.violations.leaked;
    result.report += Describe(scenario) + ": leaked descriptors\n";
  }
  return result;
}

}  // namespace badgerbridge::proxy::testing
