// SPDX-License-Identifier: Apache-2.0
//
// One exchange between clients, a node and backends, in which a planned fault happens inside the node's
// handlers, and what must hold afterwards. Used by the tests of failing allocations and system calls.
#ifndef BADGERBRIDGE_TESTS_PROXY_FAULT_EXCHANGE_H_
#define BADGERBRIDGE_TESTS_PROXY_FAULT_EXCHANGE_H_

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "proxy/proxy_harness.h"
#include "support/fault_injection.h"
#include "support/virtual_clock.h"

namespace badgerbridge::proxy::testing {

using badgerbridge::testing::Call;
using badgerbridge::testing::CountedScope;
using badgerbridge::testing::PlannedFault;
using badgerbridge::testing::VirtualClock;
using std::chrono::milliseconds;

/// What a backend does with a request, and how long after it has come.
struct BackendStep {
  enum class Does { kAnswer, kReset, kTurnAway } does = Does::kAnswer;
  milliseconds after{0};
};

/// A request, as far as the judgement needs it.
struct ScriptedRequest {
  enum class Kind {
    kIdempotent,
    kIdempotencyKey,
    kNotIdempotent,
    kProbe,
    kMalformed
  } kind = Kind::kIdempotent;
  std::string id;
  std::string text;
};

/// Requests that a client writes at once.
struct ClientWrite {
  milliseconds at{0};
  std::vector<ScriptedRequest> requests;
};

struct ScriptedClient {
  std::vector<ClientWrite> writes;             // the connection is opened with the first
  std::optional<milliseconds> leaves_at = {};  // it closes without waiting for its answers
};

struct FaultScenario {
  const char* name;
  std::vector<ScriptedClient> clients;
  std::vector<BackendStep> backend_steps;     // one for each request that comes, the last for all that follow
  std::optional<milliseconds> stops_at = {};  // the listener
};

inline ScriptedRequest SafeRequest(const std::string& id, const std::string& more = "") {
  return {ScriptedRequest::Kind::kIdempotent, id, Get(id, more)};
}
inline ScriptedRequest KeyedRequest(const std::string& id) {
  return {ScriptedRequest::Kind::kIdempotencyKey, id,
          Post(id, "convert", "END", "Idempotency-Key: k" + id + "\r\n")};
}
inline ScriptedRequest UnsafeRequest(const std::string& id) {
  return {ScriptedRequest::Kind::kNotIdempotent, id, Post(id, "certify", "END")};
}
inline ScriptedRequest ProbeRequest() {
  return {ScriptedRequest::Kind::kProbe, "ready", "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"};
}
inline ScriptedRequest MalformedRequest() {
  return {ScriptedRequest::Kind::kMalformed, "malformed", "\x16\x03\x01 no request\r\n\r\n"};
}

/// The exchanges that every fault is tried in.
inline std::vector<FaultScenario> FaultScenarios() {
  using Does = BackendStep::Does;
  const milliseconds begin{0};
  const auto one = [&](ScriptedRequest request) {
    return std::vector<ScriptedClient>{{{{begin, {std::move(request)}}}}};
  };
  return {
      {"safe", one(SafeRequest("a")), {{Does::kAnswer, milliseconds(5)}}},
      {"keyed, sent again after a reset", one(KeyedRequest("a")), {{Does::kReset}, {Does::kAnswer}}},
      {"unsafe, turned away once", one(UnsafeRequest("a")), {{Does::kTurnAway}, {Does::kAnswer}}},
      {"unsafe, reset", one(UnsafeRequest("a")), {{Does::kReset}}},
      {"two pipelined",
       {{{{begin, {SafeRequest("a"), SafeRequest("b")}}}}},
       {{Does::kAnswer, milliseconds(5)}}},
      {"two after one another on one connection",
       {{{{begin, {SafeRequest("a")}}, {milliseconds(100), {UnsafeRequest("b")}}}}},
       {{Does::kAnswer}}},
      {"the last of its connection", one(SafeRequest("a", "Connection: close\r\n")), {{Does::kAnswer}}},
      {"the listener stops",
       {{{{begin, {SafeRequest("a")}}}},
        {{{milliseconds(40), {SafeRequest("b")}}}},
        {{{milliseconds(60), {UnsafeRequest("c")}}, {milliseconds(300), {SafeRequest("d")}}}}},
       {{Does::kAnswer, milliseconds(50)}},
       milliseconds(30)},
      {"a client leaves",
       {{{{begin, {SafeRequest("a")}}}, milliseconds(20)}, {{{milliseconds(10), {UnsafeRequest("b")}}}}},
       {{Does::kAnswer, milliseconds(50)}}},
      {"a probe", one(ProbeRequest()), {{Does::kAnswer}}},
      {"a malformed request", one(MalformedRequest()), {{Does::kAnswer}}},
  };
}

/// Plays a scenario once, in virtual time. The node has an io_context of its own, and only what its handlers
/// do counts for the planned fault; clients and backends run on another.
class FaultExchange {
 public:
  /// `number`: of this play among all of the program, for an address of its own.
  FaultExchange(const FaultScenario& scenario, unsigned number)
      : scenario_(scenario), address_(AddressOf(number)) {
    for (int i = 0; i < kBackends; ++i) {
      backends_.push_back(std::make_unique<Peer>(
          peer_io_, [this](Wire& wire) { Serve(wire); }, address_));
    }
    static const Config kConfig = TestConfig({});
    Config config = kConfig;
    config.listen = address_;
    config.backend_idle_timeout = kIdleLimit;
    node_.emplace(node_io_, config);
    node_->proxy.UpdateList(EndpointListKind::kFull,
                            node_->reader.Read(boost::json::parse(ListText())).value());
    baseline_descriptors_ = Descriptors();
  }

  /// Plays it, and gives what was found wrong; nothing: all is as it should be.
  std::vector<std::string> Run() {
    begin_ = Now();
    for (const ScriptedClient& script : scenario_.clients) Schedule(script);
    if (scenario_.stops_at) At(*scenario_.stops_at, [this] { Stop(); });
    RunUntil(kLongest, [this] { return due_.empty() && AllDone(); });
    Judge();
    if (!scenario_.stops_at) AskOnceMore();
    CheckNothingIsLeft();
    return complaints_;
  }

 private:
  static constexpr int kBackends = 3;
  static constexpr Duration kIdleLimit{1000};
  static constexpr milliseconds kDeadline{900};  // of each request
  static constexpr milliseconds kGrace{500};     // beyond it, for an answer
  static constexpr milliseconds kLongest{4000};  // of an exchange
  static constexpr milliseconds kCleanUp{10000};
  static constexpr milliseconds kMostWait{10};  // without a timer: something is still on its way

  struct Client {
    std::shared_ptr<Wire> wire;
    std::vector<ScriptedRequest> sent;
    std::vector<milliseconds> sent_at;
    std::vector<milliseconds> answered_at;  // when the answer of that number was whole
    bool left = false;
  };
  struct ReadAnswer {
    int status = 0;
    bool closes = false;
    std::string body;
  };

  static std::size_t Descriptors() {
    std::size_t count = 0;
    for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) ++count;
    return count;
  }

  // An address for each play: thousands of them leave more closed connections behind than one address has
  // ports.
  static tcp::endpoint AddressOf(unsigned number) {
    constexpr unsigned kLoopback = 127u << 24, kPerNetwork = 200, kNetworks = 250;
    const unsigned by_program = 1 + static_cast<unsigned>(getpgrp()) % 120;
    return {asio::ip::make_address_v4(kLoopback | by_program << 16 | (number / kPerNetwork % kNetworks) << 8 |
                                      (1 + number % kPerNetwork)),
            0};
  }

  std::string ListText() const {
    std::vector<std::string> endpoints;
    for (std::size_t i = 0; i < backends_.size(); ++i)
      endpoints.push_back(EndpointJson("s-" + std::to_string(i), backends_[i]->address()));
    return ListJson(8, true, endpoints);
  }

  static ProxyClock::Steady::time_point Now() { return ProxyClock::Steady::now(); }
  milliseconds Elapsed() const { return std::chrono::duration_cast<milliseconds>(Now() - begin_); }

  void At(milliseconds when, std::function<void()> action) { due_.emplace(when, std::move(action)); }

  void Schedule(const ScriptedClient& script) {
    clients_.push_back(std::make_unique<Client>());
    Client* const client = clients_.back().get();
    for (const ClientWrite& write : script.writes)
      At(write.at, [this, client, write] { Send(*client, write); });
    if (!script.leaves_at) return;
    At(*script.leaves_at, [client] {
      client->left = true;
      client->wire->Close();
    });
  }

  std::shared_ptr<Wire> Connect() {
    tcp::socket socket(peer_io_);
    socket.connect(node_->listener.address());
    auto wire = std::make_shared<Wire>(std::move(socket));
    wire->Start();
    return wire;
  }

  void Send(Client& client, const ClientWrite& write) {
    if (!client.wire) {
      client.wire = Connect();
      client.wire->on_data = [this, &client](Wire& wire) {
        const std::size_t answers = AnswersIn(wire.in).first.size();
        while (client.answered_at.size() < answers) client.answered_at.push_back(Elapsed());
      };
    }
    // One that has been told that its connection ends sends nothing more on it.
    if (client.wire->closed) return;
    const auto answers = AnswersIn(client.wire->in).first;
    if (!answers.empty() && answers.back().closes) return;
    std::string text;
    for (const ScriptedRequest& request : write.requests) {
      text += request.text;
      client.sent.push_back(request);
      client.sent_at.push_back(Elapsed());
    }
    client.wire->Send(text);
  }

  void Stop() {
    asio::post(node_io_, [this] { node_->listener.Stop([this] { stopped_ = true; }); });
  }

  static std::string Header(const std::string& text, const std::string& name) {
    const std::size_t at = text.find(name + ": ");
    if (at == std::string::npos) return "";
    const std::size_t begin = at + name.size() + 2;
    return text.substr(begin, text.find("\r\n", begin) - begin);
  }

  void Serve(Wire& wire) {
    const auto& steps = scenario_.backend_steps;
    const BackendStep step = steps[std::min(served_++, steps.size() - 1)];
    std::string id;
    for (const auto& backend : backends_) {
      for (const auto& each : backend->wires) {
        if (each.get() == &wire) id = Header(backend->requests.back(), "X-Correlation-Id");
      }
    }
    ++attempts_[id];
    if (step.does != BackendStep::Does::kTurnAway) ++runs_[id];
    At(Elapsed() + step.after, [step, id, at = wire.shared_from_this()] {
      switch (step.does) {
        case BackendStep::Does::kAnswer:
          return at->Send(Reply(200, id));
        case BackendStep::Does::kReset:
          return at->Reset();
        case BackendStep::Does::kTurnAway:
          return at->Send(Reply(503, "", "X-Unprocessed: 1\r\n"));
      }
    });
  }

  // One handler of the node, if one is ready. What it throws leaves io.run, as in the program.
  bool RunNodeHandler() {
    node_io_.restart();
    try {
      std::optional<CountedScope> counted;
      if (count_) counted.emplace();
      return node_io_.poll_one() > 0;
    } catch (const std::exception&) {
      return true;
    }
  }

  bool RunPeers() {
    bool ran = false;
    while (!due_.empty() && due_.begin()->first <= Elapsed()) {
      const auto action = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      action();
      ran = true;
    }
    peer_io_.restart();
    return peer_io_.poll() > 0 || ran;
  }

  // False: none was ready. What was sent a moment ago may be handed over on another thread of the system, so
  // it is looked for twice.
  bool RunReady() {
    for (int look = 0; look < 2; ++look) {
      const bool peers = RunPeers();
      if (RunNodeHandler() || peers) return true;
      std::this_thread::yield();
    }
    return false;
  }

  template <typename Condition>
  bool RunUntil(milliseconds most, Condition holds) {
    const auto limit = Now() + most;
    while (!holds()) {
      if (Now() > limit) return false;
      if (RunReady()) continue;
      const milliseconds to_next = due_.empty() ? kMostWait : due_.begin()->first - Elapsed();
      clock_.AdvanceToNextTimer(std::clamp(to_next, milliseconds(1), kMostWait));
    }
    return true;
  }

  // Whole answers in what a client has read, and whether something stands behind them.
  static std::pair<std::vector<ReadAnswer>, bool> AnswersIn(const std::string& text) {
    std::vector<ReadAnswer> answers;
    std::size_t at = 0;
    while (at < text.size()) {
      const std::size_t end = text.find("\r\n\r\n", at);
      if (end == std::string::npos) break;
      const std::string head = text.substr(at, end + 2 - at);
      const std::string length_text = Header(head, "Content-Length");
      const std::size_t length = length_text.empty() ? 0 : std::stoul(length_text);
      if (text.size() < end + 4 + length) break;
      answers.push_back({std::stoi(head.substr(9, 3)), Header(head, "Connection") == "close",
                         text.substr(end + 4, length)});
      at = end + 4 + length;
    }
    return {std::move(answers), at < text.size()};
  }

  bool AllDone() const {
    for (const auto& client : clients_) {
      if (!client->wire) return false;
      if (!client->left && !client->wire->closed && client->answered_at.size() < client->sent.size())
        return false;
    }
    return !scenario_.stops_at || stopped_;
  }

  void Complain(const std::string& text) { complaints_.push_back(text); }

  void Judge() {
    for (const auto& client : clients_) {
      if (!client->left) JudgeClient(*client);
    }
    for (const auto& [id, count] : attempts_) {
      if (count > 4) Complain(id + ": more than four attempts");
    }
    if (scenario_.stops_at && !stopped_) Complain("the listener has not stopped");
  }

  void JudgeClient(const Client& client) {
    const auto [answers, rest] = AnswersIn(client.wire->in);
    if (rest) Complain("a part of an answer, or something else: " + client.wire->in);
    if (answers.size() > client.sent.size()) Complain("more answers than requests: " + client.wire->in);
    for (std::size_t i = 0; i < client.sent.size(); ++i) {
      const ScriptedRequest& request = client.sent[i];
      if (i >= answers.size()) {
        JudgeUnanswered(client, request, i > 0 && i == answers.size() ? &answers[i - 1] : nullptr);
        if (i >= answers.size()) break;
      }
      JudgeAnswered(request, answers[i], client.answered_at[i] - client.sent_at[i]);
    }
  }

  void JudgeUnanswered(const Client& client, const ScriptedRequest& request, const ReadAnswer* before) {
    const std::string how = !client.wire->closed                   ? "still open"
                            : client.wire->end == asio::error::eof ? "closed in order"
                                                                   : "reset";
    const bool closed_in_order = client.wire->closed && client.wire->end == asio::error::eof;
    // One behind an answer that ends its connection has been told so, and can be sent once more.
    const bool excused = closed_in_order && before != nullptr && before->closes && attempts_[request.id] == 0;
    const bool never_taken = closed_in_order && request.kind == ScriptedRequest::Kind::kMalformed;
    if (!excused && !never_taken) Complain(request.id + ": no answer; its connection: " + how);
  }

  void JudgeAnswered(const ScriptedRequest& request, const ReadAnswer& answer, milliseconds took) {
    using Kind = ScriptedRequest::Kind;
    if (took > kDeadline + kGrace)
      Complain(request.id + ": answered after " + std::to_string(took.count()) + " ms");
    if (request.kind == Kind::kProbe || request.kind == Kind::kMalformed) return;
    if (answer.status == 200 && answer.body != request.id)
      Complain(request.id + ": served with another answer: " + answer.body);
    if (request.kind != Kind::kNotIdempotent) return;
    if (runs_[request.id] > 1) Complain(request.id + ": unsafe, has run twice");
    if ((answer.status == 429 || answer.status == 503) && runs_[request.id] > 0)
      Complain(request.id + ": unsafe, refused though it has run");
  }

  void AskOnceMore() {
    scenario_.backend_steps = {{}};
    count_ = false;
    const auto wire = Connect();
    wire->Send(Get("next"));
    RunUntil(kDeadline, [&] { return wire->closed || wire->in.ends_with("\r\n\r\nnext"); });
    if (wire->in.rfind("HTTP/1.1 200 ", 0) != 0)
      Complain("a next request is not served: " + (wire->in.empty() ? "no answer" : wire->in));
    wire->Close();
    count_ = true;
  }

  bool NodeIsAtRest() const {
    if (node_->listener.connections() != 0 || node_->proxy.open_requests() != 0 ||
        node_->backends.open_connections() != 0)
      return false;
    for (const BackendView& view : node_->proxy.Inspect()) {
      if (view.in_flight != 0 || view.work_in_flight != 0) return false;
    }
    return true;
  }

  void CheckNothingIsLeft() {
    for (const auto& client : clients_) client->wire->Close();
    const bool at_rest = RunUntil(kCleanUp, [this] { return due_.empty() && NodeIsAtRest(); });
    for (const auto& backend : backends_) {
      for (const auto& wire : backend->wires) wire->Close();
      backend->wires.clear();
    }
    RunUntil(milliseconds(1), [this] { return !RunReady(); });
    if (!at_rest) {
      int in_flight = 0;
      for (const BackendView& view : node_->proxy.Inspect()) in_flight += view.in_flight;
      Complain("left behind: " + std::to_string(node_->listener.connections()) + " connections, " +
               std::to_string(node_->proxy.open_requests()) + " requests, " +
               std::to_string(node_->backends.open_connections()) + " connections to backends, " +
               std::to_string(in_flight) + " attempts in flight");
    }
    // The listener's own is closed once it has stopped.
    const std::size_t expected = baseline_descriptors_ - (stopped_ ? 1 : 0);
    const std::size_t found = Descriptors();
    if (found != expected)
      Complain("descriptors: " + std::to_string(found) + " for " + std::to_string(expected));
  }

  FaultScenario scenario_;
  VirtualClock clock_;
  asio::io_context node_io_, peer_io_;  // only the node's has timers
  const tcp::endpoint address_;
  std::vector<std::unique_ptr<Peer>> backends_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::optional<Node> node_;
  ProxyClock::Steady::time_point begin_{};
  std::multimap<milliseconds, std::function<void()>> due_;  // what clients and backends do, by time
  std::size_t served_ = 0;
  std::map<std::string, int> attempts_, runs_;  // by id
  bool stopped_ = false, count_ = true;
  std::size_t baseline_descriptors_ = 0;
  std::vector<std::string> complaints_;
};

/// So that a fault which makes the node loop or grow without end is found, and harms nobody else.
inline void BoundThisProcess() {
  constexpr rlim_t kMostSeconds = 10;
  const rlimit processor{kMostSeconds, kMostSeconds};
  ::setrlimit(RLIMIT_CPU, &processor);
#ifndef __SANITIZE_ADDRESS__  // it reserves more than any limit
  constexpr rlim_t kMostMemory = rlim_t{1} << 30;
  const rlimit memory{kMostMemory, kMostMemory};
  ::setrlimit(RLIMIT_AS, &memory);
#endif
}

/// Plays in a process of its own, so that a fault which ends the process is a complaint as any other. Gives
/// the complaints, a line each.
inline std::string RunInChild(const std::function<std::vector<std::string>()>& play) {
  std::array<int, 2> ends{};
  if (::pipe(ends.data()) != 0) return "\n  no pipe";
  const pid_t child = ::fork();
  if (child == 0) {
    ::close(ends[0]);
    BoundThisProcess();
    std::string text;
    for (const std::string& complaint : play()) text += "\n  " + complaint;
    _exit(::write(ends[1], text.data(), text.size()) == static_cast<ssize_t>(text.size()) ? 0 : 1);
  }
  ::close(ends[1]);
  std::string text;
  std::array<char, 4096> piece{};
  for (ssize_t n = 0; (n = ::read(ends[0], piece.data(), piece.size())) > 0;)
    text.append(piece.data(), static_cast<std::size_t>(n));
  ::close(ends[0]);
  int status = 0;
  ::waitpid(child, &status, 0);
  if (WIFSIGNALED(status)) text += "\n  the process was ended by signal " + std::to_string(WTERMSIG(status));
  if (WIFEXITED(status) && WEXITSTATUS(status) != 0) text += "\n  the process failed";
  return text;
}

/// What failed, where, and what came of it.
inline std::string Describe(const PlannedFault& fault, Call call, long number,
                            const std::string& complaints) {
  return std::string(badgerbridge::testing::NameOf(call)) + " " + std::to_string(number) +
         (fault.happened() ? " fails, at (see addr2line)" + fault.Site() : ": no fault") + complaints;
}

/// Plays each scenario again and again with the calls from number 0, 1, 2, … failing, until it is over before
/// that call. Gives the number of plays.
inline long FailEachCall(Call call, int failures, int error) {
  constexpr long kMostCalls = 5000;
  long plays = 0;
  for (const FaultScenario& scenario : FaultScenarios()) {
    bool reached = true;
    for (long number = 0; reached; ++number, ++plays) {
      if (number == kMostCalls) {
        ADD_FAILURE() << scenario.name << ": never over";
        break;
      }
      const PlannedFault fault(call, number, failures, error);
      const auto play = [&] { return FaultExchange(scenario, static_cast<unsigned>(plays)).Run(); };
      const std::string complaints = RunInChild(play);
      reached = fault.happened();
      if (!complaints.empty())
        ADD_FAILURE() << scenario.name << ": " << Describe(fault, call, number, complaints);
    }
  }
  return plays;
}

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_FAULT_EXCHANGE_H_
