// SPDX-License-Identifier: Apache-2.0
//
// One exchange between clients, a proxy and backends, in which a planned fault happens inside the proxy's
// handlers, and what must hold afterwards. Used by the tests of failing allocations and system calls.
#ifndef BADGERBRIDGE_TESTS_PROXY_FAULT_EXCHANGE_H_
#define BADGERBRIDGE_TESTS_PROXY_FAULT_EXCHANGE_H_

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "proxy/fault_scenarios.h"
#include "proxy/proxy_harness.h"
#include "support/descriptors.h"
#include "support/fault_injection.h"
#include "support/virtual_clock.h"

namespace badgerbridge::proxy::testing {

using badgerbridge::testing::CountedScope;
using badgerbridge::testing::VirtualClock;

/// Plays a scenario once, in virtual time. The proxy has an io_context of its own, and only what its handlers
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
    config.backend_idle_timeout = kBackendIdleTimeout;
    node_.emplace(node_io_, config);
    node_->proxy.UpdateList(EndpointListKind::kFull,
                            node_->reader.Read(boost::json::parse(ListText())).value());
    baseline_descriptors_ = badgerbridge::testing::CountDescriptors();
  }

  /// Plays it, and returns what is wrong; empty: nothing.
  std::vector<std::string> Run() {
    begin_ = Now();
    for (const ScriptedClient& script : scenario_.clients) Schedule(script);
    if (scenario_.stops_at) At(*scenario_.stops_at, [this] { Stop(); });
    RunUntil(kMaxTime, [this] { return due_.empty() && AllDone(); });
    Judge();
    if (!scenario_.stops_at) AskOnceMore();
    CheckNothingIsLeft();
    return complaints_;
  }

 private:
  static constexpr int kBackends = 3;
  static constexpr Duration kBackendIdleTimeout{1000};
  static constexpr milliseconds kDeadline{900};  // of each request
  static constexpr milliseconds kGrace{500};     // beyond it, for an answer
  static constexpr milliseconds kMaxTime{4000};  // of an exchange
  static constexpr milliseconds kCleanUp{10000};
  static constexpr milliseconds kMaxWait{10};  // without a timer: something is still on its way

  struct Client {
    std::shared_ptr<Wire> wire;
    std::vector<ScriptedRequest> sent;
    std::vector<milliseconds> sent_at;
    std::vector<milliseconds> answered_at;  // when the answer of that number was complete
    bool left = false;
  };
  struct Answered {
    int status = 0;
    bool closes = false;  // the connection
    std::string body;
  };
  struct AnswersRead {
    std::vector<Answered> answers;  // the complete ones
    bool has_rest = false;          // bytes behind them
  };

  // An address for each play: thousands of them leave more closed connections behind than one address has
  // ports.
  static tcp::endpoint AddressOf(unsigned number) {
    constexpr unsigned kLoopback = 127u << 24;
    constexpr unsigned kPerNetwork = 200;
    constexpr unsigned kNetworks = 250;
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
        const std::size_t answers = ReadAnswers(wire.in).answers.size();
        while (client.answered_at.size() < answers) client.answered_at.push_back(Elapsed());
      };
    }
    // A client sends nothing on a connection that the proxy has announced to close.
    if (client.wire->closed) return;
    const std::vector<Answered> answers = ReadAnswers(client.wire->in).answers;
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
    if (step.action != BackendStep::Action::kReject) ++runs_[id];
    At(Elapsed() + step.delay, [step, id, at = wire.shared_from_this()] {
      switch (step.action) {
        case BackendStep::Action::kAnswer:
          return at->Send(Reply(200, id));
        case BackendStep::Action::kReset:
          return at->Reset();
        case BackendStep::Action::kReject:
          return at->Send(Reply(503, "", "X-Unprocessed: 1\r\n"));
      }
    });
  }

  // One handler of the proxy, if one is ready. What it throws leaves io.run, as in the program.
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
  bool RunUntil(milliseconds max_time, Condition holds) {
    const auto limit = Now() + max_time;
    while (!holds()) {
      if (Now() > limit) return false;
      if (RunReady()) continue;
      const milliseconds to_next = due_.empty() ? kMaxWait : due_.begin()->first - Elapsed();
      clock_.AdvanceToNextTimer(std::clamp(to_next, milliseconds(1), kMaxWait));
    }
    return true;
  }

  // The answers in what a client has read.
  static AnswersRead ReadAnswers(const std::string& text) {
    std::vector<Answered> answers;
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
    const auto [answers, has_rest] = ReadAnswers(client.wire->in);
    if (has_rest) Complain("a part of an answer, or something else: " + client.wire->in);
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

  void JudgeUnanswered(const Client& client, const ScriptedRequest& request, const Answered* before) {
    const bool closed_in_order = client.wire->closed && client.wire->end == asio::error::eof;
    // One behind an answer that closes its connection can be sent once more.
    const bool excused = closed_in_order && before != nullptr && before->closes && attempts_[request.id] == 0;
    const bool never_accepted = closed_in_order && request.kind == ScriptedRequest::Kind::kMalformed;
    if (excused || never_accepted) return;
    std::string how = closed_in_order ? "closed in order" : "reset";
    if (!client.wire->closed) how = "still open";
    Complain(request.id + ": no answer; its connection: " + how);
  }

  void JudgeAnswered(const ScriptedRequest& request, const Answered& answer, milliseconds took) {
    using Kind = ScriptedRequest::Kind;
    if (took > kDeadline + kGrace)
      Complain(request.id + ": answered after " + std::to_string(took.count()) + " ms");
    if (request.kind == Kind::kHealthCheck || request.kind == Kind::kMalformed) return;
    if (answer.status == 200 && answer.body != request.id)
      Complain(request.id + ": served with another answer: " + answer.body);
    if (request.kind != Kind::kNotIdempotent) return;
    if (runs_[request.id] > 1) Complain(request.id + ": not idempotent, has run twice");
    if ((answer.status == 429 || answer.status == 503) && runs_[request.id] > 0)
      Complain(request.id + ": not idempotent, rejected though it has run");
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

  bool IsProxyIdle() const {
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
    const bool is_idle = RunUntil(kCleanUp, [this] { return due_.empty() && IsProxyIdle(); });
    for (const auto& backend : backends_) {
      for (const auto& wire : backend->wires) wire->Close();
      backend->wires.clear();
    }
    RunUntil(milliseconds(1), [this] { return !RunReady(); });
    if (!is_idle) {
      int in_flight = 0;
      for (const BackendView& view : node_->proxy.Inspect()) in_flight += view.in_flight;
      Complain("left behind: " + std::to_string(node_->listener.connections()) + " connections, " +
               std::to_string(node_->proxy.open_requests()) + " requests, " +
               std::to_string(node_->backends.open_connections()) + " connections to backends, " +
               std::to_string(in_flight) + " attempts in flight");
    }
    // The listener's own is closed once it has stopped.
    const std::size_t expected = baseline_descriptors_ - (stopped_ ? 1 : 0);
    const std::size_t found = badgerbridge::testing::CountDescriptors();
    if (found != expected)
      Complain("descriptors: " + std::to_string(found) + " for " + std::to_string(expected));
  }

  FaultScenario scenario_;
  VirtualClock clock_;
  asio::io_context node_io_;  // of the proxy, the only one with timers
  asio::io_context peer_io_;
  const tcp::endpoint address_;
  std::vector<std::unique_ptr<Peer>> backends_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::optional<Node> node_;
  ProxyClock::Steady::time_point begin_{};
  std::multimap<milliseconds, std::function<void()>> due_;  // what clients and backends do, by time
  std::size_t served_ = 0;
  std::map<std::string, int> attempts_;  // by id
  std::map<std::string, int> runs_;      // by id
  bool stopped_ = false;
  bool count_ = true;
  std::size_t baseline_descriptors_ = 0;
  std::vector<std::string> complaints_;
};

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_FAULT_EXCHANGE_H_
