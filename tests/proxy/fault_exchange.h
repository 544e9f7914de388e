// SPDX-License-Identifier: Apache-2.0
//
// One exchange between clients, a proxy and backends with a planned fault inside the proxy's handlers, and
// the checks of its result. Used by the tests of failing allocations and system calls.
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

/// Runs a scenario once, in virtual time. The proxy has its own io_context, and only calls in its handlers
/// count for the planned fault; clients and backends run on another io_context.
class FaultExchange {
 public:
  /// `number` of this run within the program determines its address.
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

  /// Runs the scenario and returns the violations.
  std::vector<std::string> Run() {
    begin_ = Now();
    for (const ScriptedClient& script : scenario_.clients) Schedule(script);
    if (scenario_.stops_at) At(*scenario_.stops_at, [this] { Stop(); });
    RunUntil(kMaxTime, [this] { return scheduled_.empty() && IsFinished(); });
    CheckResult();
    if (!scenario_.stops_at) CheckNextRequestIsServed();
    CheckNothingIsLeft();
    return violations_;
  }

 private:
  static constexpr int kBackends = 3;
  static constexpr Duration kBackendIdleTimeout{1000};
  static constexpr milliseconds kDeadline{900};     // deadline of each request
  static constexpr milliseconds kAnswerGrace{500};  // time after the deadline to receive an answer
  static constexpr milliseconds kMaxTime{4000};     // limit for one exchange
  static constexpr milliseconds kMaxCleanUpTime{10000};
  static constexpr milliseconds kMaxWait{10};  // longest wait without a timer, because data may be in transit

  struct Client {
    std::shared_ptr<Wire> wire;
    std::vector<ScriptedRequest> sent;
    std::vector<milliseconds> sent_at;
    std::vector<milliseconds> answered_at;  // when the answer with this index was complete
    bool disconnected = false;
  };
  struct ParsedAnswer {
    int status = 0;
    bool closes = false;  // the connection
    std::string body;
  };
  struct ParsedAnswers {
    std::vector<ParsedAnswer> answers;  // complete answers
    bool has_trailing_bytes = false;    // bytes after the last complete answer
  };

  // Each run has its own address, because thousands of runs leave more closed connections than one address
  // has ports.
  static tcp::endpoint AddressOf(unsigned number) {
    constexpr unsigned kLoopback = 127u << 24;
    constexpr unsigned kHostsPerNetwork = 200;
    constexpr unsigned kNetworks = 250;
    const unsigned by_program = 1 + static_cast<unsigned>(getpgrp()) % 120;
    return {asio::ip::make_address_v4(kLoopback | by_program << 16 |
                                      (number / kHostsPerNetwork % kNetworks) << 8 |
                                      (1 + number % kHostsPerNetwork)),
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

  void At(milliseconds when, std::function<void()> action) { scheduled_.emplace(when, std::move(action)); }

  void Schedule(const ScriptedClient& script) {
    clients_.push_back(std::make_unique<Client>());
    Client* const client = clients_.back().get();
    for (const ClientWrite& write : script.writes)
      At(write.at, [this, client, write] { Send(*client, write); });
    if (!script.disconnects_at) return;
    At(*script.disconnects_at, [client] {
      client->disconnected = true;
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
    // A client sends nothing on a connection after an answer with `Connection: close`.
    if (client.wire->closed) return;
    const std::vector<ParsedAnswer> answers = ReadAnswers(client.wire->in).answers;
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

  // Runs one handler of the proxy if one is ready. Its exceptions leave the io_context, as in the program.
  bool RunNodeHandler() {
    node_io_.restart();
    try {
      std::optional<CountedScope> counted;
      if (count_calls_) counted.emplace();
      return node_io_.poll_one() > 0;
    } catch (const std::exception&) {
      return true;
    }
  }

  bool RunPeers() {
    bool ran = false;
    while (!scheduled_.empty() && scheduled_.begin()->first <= Elapsed()) {
      const auto action = std::move(scheduled_.begin()->second);
      scheduled_.erase(scheduled_.begin());
      action();
      ran = true;
    }
    peer_io_.restart();
    return peer_io_.poll() > 0 || ran;
  }

  // False if no handler was ready. The kernel may deliver data that was just sent on another thread, so this
  // polls twice.
  bool RunReady() {
    for (int poll = 0; poll < 2; ++poll) {
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
      const milliseconds to_next = scheduled_.empty() ? kMaxWait : scheduled_.begin()->first - Elapsed();
      clock_.AdvanceToNextTimer(std::clamp(to_next, milliseconds(1), kMaxWait));
    }
    return true;
  }

  // Parses the answers in the data that a client has read.
  static ParsedAnswers ReadAnswers(const std::string& text) {
    std::vector<ParsedAnswer> answers;
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

  bool IsFinished() const {
    for (const auto& client : clients_) {
      if (!client->wire) return false;
      if (!client->disconnected && !client->wire->closed && client->answered_at.size() < client->sent.size())
        return false;
    }
    return !scenario_.stops_at || stopped_;
  }

  void AddViolation(const std::string& text) { violations_.push_back(text); }

  void CheckResult() {
    for (const auto& client : clients_) {
      if (!client->disconnected) CheckClient(*client);
    }
    for (const auto& [id, count] : attempts_) {
      if (count > 4) AddViolation(id + ": more than four attempts");
    }
    if (scenario_.stops_at && !stopped_) AddViolation("the listener has not stopped");
  }

  void CheckClient(const Client& client) {
    const auto [answers, has_trailing_bytes] = ReadAnswers(client.wire->in);
    if (has_trailing_bytes) AddViolation("bytes after the last complete answer: " + client.wire->in);
    if (answers.size() > client.sent.size()) AddViolation("more answers than requests: " + client.wire->in);
    for (std::size_t i = 0; i < client.sent.size(); ++i) {
      const ScriptedRequest& request = client.sent[i];
      if (i >= answers.size()) {
        CheckUnanswered(client, request, i > 0 && i == answers.size() ? &answers[i - 1] : nullptr);
        if (i >= answers.size()) break;
      }
      CheckAnswered(request, answers[i], client.answered_at[i] - client.sent_at[i]);
    }
  }

  void CheckUnanswered(const Client& client, const ScriptedRequest& request, const ParsedAnswer* before) {
    const bool closed_in_order = client.wire->closed && client.wire->end == asio::error::eof;
    // A client can retry a request that follows an answer with `Connection: close`.
    const bool excused = closed_in_order && before != nullptr && before->closes && attempts_[request.id] == 0;
    const bool never_accepted = closed_in_order && request.kind == ScriptedRequest::Kind::kMalformed;
    if (excused || never_accepted) return;
    std::string how = closed_in_order ? "closed in order" : "reset";
    if (!client.wire->closed) how = "still open";
    AddViolation(request.id + ": no answer; its connection: " + how);
  }

  void CheckAnswered(const ScriptedRequest& request, const ParsedAnswer& answer, milliseconds took) {
    using Kind = ScriptedRequest::Kind;
    if (took > kDeadline + kAnswerGrace)
      AddViolation(request.id + ": answered after " + std::to_string(took.count()) + " ms");
    if (request.kind == Kind::kHealthCheck || request.kind == Kind::kMalformed) return;
    if (answer.status == 200 && answer.body != request.id)
      AddViolation(request.id + ": served with another answer: " + answer.body);
    if (request.kind != Kind::kNotIdempotent) return;
    if (runs_[request.id] > 1) AddViolation(request.id + ": not idempotent, has run twice");
    if ((answer.status == 429 || answer.status == 503) && runs_[request.id] > 0)
      AddViolation(request.id + ": not idempotent, rejected though it has run");
  }

  void CheckNextRequestIsServed() {
    scenario_.backend_steps = {{}};
    count_calls_ = false;
    const auto wire = Connect();
    wire->Send(Get("next"));
    RunUntil(kDeadline, [&] { return wire->closed || wire->in.ends_with("\r\n\r\nnext"); });
    if (wire->in.rfind("HTTP/1.1 200 ", 0) != 0)
      AddViolation("the next request is not served: " + (wire->in.empty() ? "no answer" : wire->in));
    wire->Close();
    count_calls_ = true;
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
    const bool is_idle = RunUntil(kMaxCleanUpTime, [this] { return scheduled_.empty() && IsProxyIdle(); });
    for (const auto& backend : backends_) {
      for (const auto& wire : backend->wires) wire->Close();
      backend->wires.clear();
    }
    RunUntil(milliseconds(1), [this] { return !RunReady(); });
    if (!is_idle) {
      int in_flight = 0;
      for (const BackendView& view : node_->proxy.Inspect()) in_flight += view.in_flight;
      AddViolation("leaked: " + std::to_string(node_->listener.connections()) + " connections, " +
                   std::to_string(node_->proxy.open_requests()) + " requests, " +
                   std::to_string(node_->backends.open_connections()) + " connections to backends, " +
                   std::to_string(in_flight) + " attempts in flight");
    }
    // A stopped listener has closed its listening socket.
    const std::size_t expected = baseline_descriptors_ - (stopped_ ? 1 : 0);
    const std::size_t found = badgerbridge::testing::CountDescriptors();
    if (found != expected)
      AddViolation("descriptors: " + std::to_string(found) + ", expected " + std::to_string(expected));
  }

  FaultScenario scenario_;
  VirtualClock clock_;
  asio::io_context node_io_;  // runs the proxy; the only one with timers
  asio::io_context peer_io_;
  const tcp::endpoint address_;
  std::vector<std::unique_ptr<Peer>> backends_;
  std::vector<std::unique_ptr<Client>> clients_;
  std::optional<Node> node_;
  ProxyClock::Steady::time_point begin_{};
  std::multimap<milliseconds, std::function<void()>> scheduled_;  // actions of clients and backends, by time
  std::size_t served_ = 0;
  std::map<std::string, int> attempts_;  // by request id
  std::map<std::string, int> runs_;      // by request id
  bool stopped_ = false;
  bool count_calls_ = true;
  std::size_t baseline_descriptors_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_FAULT_EXCHANGE_H_
