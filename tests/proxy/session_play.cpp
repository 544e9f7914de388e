// SPDX-License-Identifier: Apache-2.0
//
// The course of a play: into its state, through its two events, to its end.
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

// While one exists, what the proxy writes on standard error is dropped: that requests fail is part of plays.
class SilencedErrors {
 public:
  SilencedErrors() : buffer_(std::cerr.rdbuf(nullptr)) {}
  ~SilencedErrors() { std::cerr.rdbuf(buffer_); }  // which also clears the errors since
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

SessionPlay::SessionPlay(const PlayPlan& plan) : plan_(plan) {
  // Whole milliseconds, so that timers expire at the very nanosecond that is planned.
  const auto now = steady_clock::now().time_since_epoch();
  clock_.Advance(std::chrono::ceil<milliseconds>(now) - now);

  const SessionState state = plan.state;
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

void SessionPlay::Listen() {
  backend_.emplace(io_);
  backend_->open(tcp::v4());
  if (hold_reads_) backend_->set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
  backend_->bind(address_);
  backend_->listen();
  AcceptAtBackend();
}

void SessionPlay::StartNode() {
  const std::string backend =
      address_.address().to_string() + ":" + std::to_string(backend_->local_endpoint().port());

  static const Config kConfig = TestConfig({});
  Config config = kConfig;
  config.known = boost::json::parse(ListJson(7, true, {EndpointJson("s-1", backend)}));
  config.listen = address_;
  const bool alone = Includes(Stimulus::kEvictionRetryTimer);
  limited_ = alone || Includes(Stimulus::kNewcomer);
  if (limited_) config.max_clients = alone ? 1 : 2;
  node_.emplace(io_, config);
  listener_address_ = node_->listener.address();
  node_->backends.SetAttemptObserver(
      [this](BackendId, const ForwardedRequest& forwarded) { OnAttemptBegun(forwarded); });
  node_->backends.SetConnector([this](tcp::socket& socket, const tcp::endpoint& address, auto ended) {
    Dial(socket, address, std::move(ended));
  });
}

PlayResult SessionPlay::Run() {
  ReachState();
  RunTimeTo(reached_ + plan_.first_at - kAsleepBefore);
  SleepUntil(reached_ + plan_.first_at);
  if (IsUnread(plan_.state)) SendUnread();
  Trigger(plan_.first);
  while (plan_.handlers_between && result_.ran_between < *plan_.handlers_between && RunHandler())
    ++result_.ran_between;
  SleepUntil(reached_ + plan_.second_at);
  Trigger(plan_.second);
  clock_.Advance(plan_.asleep);
  RunToEnd();
  for (const Client& client : clients_) CheckClient(client);
  CleanUp();
  return result_;
}

bool SessionPlay::Includes(Stimulus stimulus) const {
  return plan_.first == stimulus || plan_.second == stimulus;
}

// What is in the kernel's buffer when the first event happens.
void SessionPlay::SendUnread() {
  const std::string id = NextId("u");
  if (plan_.state == SessionState::kIdleHalfUnread) return SendFirstHalf(clients_.front(), Get(id), id);
  SendRequest(clients_.front(), Get(id), id);
}

void SessionPlay::ReachState() {
  if (plan_.state != SessionState::kNone) ReachClientState();
  if (Includes(Stimulus::kListenerClose)) Trigger(Stimulus::kTerm);
  if (Includes(Stimulus::kDrainSweep)) Trigger(Stimulus::kDrain);
  RunReady();
  watch_.SetSendBufferOfAccepted(std::nullopt);
  reached_ = steady_clock::now();
}

void SessionPlay::ReachClientState() {
  Client& client = Connect();
  RunReady();
  SendFirstRequest(client);
  RunReady();
  if (plan_.state == SessionState::kIdleHalfRead) {
    const std::string next = NextId("r");
    SendFirstHalf(client, Get(next), next);
    RunReady();
  }
  if (plan_.state == SessionState::kLingering) {
    RunTimeTo(steady_clock::now() + kKeepAlive);
    if (!client.ended) throw std::logic_error("the state was not reached: lingering");
  }
}

void SessionPlay::SendFirstRequest(Client& client) {
  const std::string id = NextId("r");
  switch (plan_.state) {
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
      client.requests.back().unsafe = true;
      return;
    case SessionState::kAnswering:
      return SendRequest(client, Get(id), id);
    case SessionState::kAnsweredWithClose:
      SendRequest(client, Get(id, "Connection: close\r\n"), id);
      client.requested_close = true;
      return;
  }
}

void SessionPlay::Trigger(Stimulus stimulus) {
  switch (stimulus) {
    case Stimulus::kSessionTimer:
    case Stimulus::kListenerClose:
    case Stimulus::kDrainSweep:
    case Stimulus::kEvictionRetryTimer:
      return;  // its time has come by itself
    case Stimulus::kRequest:
    case Stimulus::kHalfRequest:
    case Stimulus::kTwoRequests:
      return TriggerRequest(clients_.front(), stimulus);
    case Stimulus::kClientFin:
    case Stimulus::kClientReset:
      return Disconnect(clients_.front(), stimulus == Stimulus::kClientReset);
    case Stimulus::kTerm:
      terminated_ = steady_clock::now();
      ::raise(SIGTERM);
      return;
    case Stimulus::kDrain:
      return asio::post(io_, [this] { node_->listener.Drain(); });
    case Stimulus::kConnectDone:
      ReleaseOne();
      return;
    case Stimulus::kNewcomer:
      return TriggerConnections(1, Nanoseconds(0));
    case Stimulus::kSilentConnections:
      return TriggerConnections(kConnections, plan_.request_delay);
    case Stimulus::kAskingConnections:
      return TriggerConnections(kConnections, Nanoseconds(0));
  }
}

void SessionPlay::TriggerRequest(Client& client, Stimulus stimulus) {
  if (!client.unwritten.empty()) return SendSecondHalf(client);
  if (stimulus == Stimulus::kHalfRequest) {
    const std::string id = NextId("h");
    SendFirstHalf(client, Get(id), id);
    client.second_half_at = steady_clock::now() + kSecondHalfDelay;
    return;
  }
  if (stimulus == Stimulus::kTwoRequests) {
    const std::string late = NextId("t");
    const std::string next = NextId("n");
    SendRequest(client, Timed(Get(late), 0), late);
    return SendRequest(client, Get(next), next);
  }
  const std::string id = NextId("n");
  SendRequest(client, Get(id), id);
}

void SessionPlay::TriggerConnections(int count, Nanoseconds request_delay) {
  for (int i = 0; i < count; ++i) {
    Client& client = Connect();
    client.request_at = steady_clock::now() + request_delay;
  }
  SendDueRequests();
}

std::string SessionPlay::NextId(const std::string& prefix) { return prefix + std::to_string(requests_++); }

void SessionPlay::RunToEnd() {
  const SteadyTime limit = steady_clock::now() + kMaxPlayTime;
  while (!IsOver() && steady_clock::now() < limit) {
    if (RunHandler()) continue;
    if (ReleaseOne()) continue;
    bool read = false;
    for (Client& client : clients_) read |= ReadAll(client);
    if (read) continue;
    clock_.AdvanceToNextTimer(UntilNextRequest());
    SendDueRequests();
  }
  RunReady();
  for (Client& client : clients_) ReadAll(client);
}

// Each client has left, seen the end, or had all its answers, and has nothing more to ask.
bool SessionPlay::IsOver() const {
  return std::all_of(clients_.begin(), clients_.end(), [](const Client& client) {
    if (client.left || client.read_end || client.refused) return true;
    return !client.request_at && !client.requests.empty() && client.unwritten.empty() &&
           AnswersIn(client.received).size() >= client.requests.size();
  });
}

void SessionPlay::CleanUp() {
  for (Client& client : clients_) {
    ErrorCode ignored;
    client.socket.close(ignored);
  }
  const SteadyTime limit = steady_clock::now() + kMaxPlayTime;
  const auto is_idle = [this] {
    return node_->listener.connections() == 0 && node_->proxy.open_requests() == 0 &&
           (!terminated_ || stopped_);
  };
  while (!is_idle() && steady_clock::now() < limit) {
    if (!RunHandler() && !ReleaseOne()) clock_.AdvanceToNextTimer(kMaxWait);
  }
  if (!is_idle()) Report(&RuleViolations::leaked, "connections or requests are left");
}

// One handler, if one is ready. The kernel may hand over on another thread what has just been sent: it gets
// the processor before "none is ready" is believed.
bool SessionPlay::RunHandler() {
  constexpr int kLooks = 2;
  if (handlers_ == kMaxHandlers) return false;
  for (int look = 0; look < kLooks; ++look) {
    io_.restart();
    if (io_.poll_one() > 0) {
      if (++handlers_ == kMaxHandlers) Report(&RuleViolations::leaked, "handlers run without end");
      DetectEnds();
      return true;
    }
    std::this_thread::yield();
  }
  return false;
}

void SessionPlay::RunReady() {
  while (RunHandler()) continue;
}

// As an idle process: handlers run when they are due.
void SessionPlay::RunTimeTo(SteadyTime until) {
  RunReady();
  while (steady_clock::now() < until) {
    clock_.AdvanceToNextTimer(until - steady_clock::now());
    RunReady();
  }
}

// As a process that is descheduled.
void SessionPlay::SleepUntil(SteadyTime until) {
  if (steady_clock::now() < until) clock_.Advance(until - steady_clock::now());
}

// The next thing that the backend or the network has not done yet.
bool SessionPlay::ReleaseOne() {
  if (held_.empty()) return false;
  const auto next = std::move(held_.front());
  held_.pop_front();
  next();
  return true;
}

PlayResult PlayOnce(const PlayPlan& plan) {
  const std::size_t before = CountDescriptors();
  PlayResult result;
  {
    const SilencedErrors silenced;
    SessionPlay play(plan);
    result = play.Run();
  }
  if (CountDescriptors() != before) {
    ++result.found.leaked;
    result.violations += Describe(plan) + ": descriptors are left\n";
  }
  return result;
}

}  // namespace badgerbridge::proxy::testing
