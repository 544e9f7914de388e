// SPDX-License-Identifier: Apache-2.0

/// \file
/// A proxy, its clients and its backend in one event loop, on a virtual clock: a test forces which events
/// become ready in the same iteration.
#ifndef BADGERBRIDGE_TESTS_PROXY_SESSION_RACE_FIXTURE_H_
#define BADGERBRIDGE_TESTS_PROXY_SESSION_RACE_FIXTURE_H_

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/proxy_harness.h"
#include "support/virtual_clock.h"

namespace badgerbridge::proxy::testing {

inline constexpr std::chrono::milliseconds kAcceptGrace{500};  ///< As in ListenerLimits.
inline constexpr int kManyDescriptors = 1024;
inline constexpr int kScarceDescriptors = 64;
inline constexpr std::size_t kMaxClientsOfScarceDescriptors = 8;  ///< max_clients with kScarceDescriptors.

/// A proxy with one backend that answers at once unless `hold_answers_`.
class SessionRaceTest : public ::testing::Test {
 protected:
  SessionRaceTest() {
    backend_.emplace(io_, [this](Wire& wire) {
      if (hold_answers_) return;
      wire.Send(Reply(200, "served"));
    });
    StartNode(kManyDescriptors);
  }

  /// Starts the proxy anew.
  void StartNode(int descriptors, ListenerLimits limits = {}) {
    node_.reset();
    node_.emplace(io_, TestConfig({EndpointJson("s-1", backend_->address())}, descriptors), limits);
  }

  /// Whether the head of an answer has come.
  static bool IsAnswered(const Wire& client) { return client.in.find("\r\n\r\n") != std::string::npos; }
  /// Whether the first answer is a 200.
  static bool IsServed(const Wire& client) { return client.in.rfind("HTTP/1.1 200 ", 0) == 0; }

  /// Runs the handlers that are ready, and those that these make ready.
  void RunAllReady() {
    io_.restart();
    io_.poll();
  }

  /// Runs handlers until the condition holds, and advances the clock by a millisecond if none is ready. False
  /// if the condition does not hold within 20 virtual seconds.
  template <typename Condition>
  bool RunUntilVirtual(Condition holds) {
    constexpr int kMaxSteps = 20000;
    for (int step = 0; step < kMaxSteps; ++step) {
      if (holds()) return true;
      io_.restart();
      if (io_.poll() == 0) clock_.Advance(std::chrono::milliseconds(1));
    }
    return holds();
  }

  /// A client whose first request has been served.
  std::shared_ptr<Wire> ConnectIdle() {
    auto client = node_->Connect();
    client->Send(Get("first"));
    EXPECT_TRUE(RunUntilVirtual([&] { return client->in.find("served") != std::string::npos; }));
    client->in.clear();
    RunAllReady();
    return client;
  }

  /// Starts the proxy anew with enough backends, which hold all answers, for ConnectBusy().
  void StartNodeWithScarceDescriptors() {
    hold_answers_ = true;
    node_.reset();
    std::vector<std::string> backends;
    for (const char* name : {"s-1", "s-2", "s-3", "s-4"})
      backends.push_back(EndpointJson(name, backend_->address()));
    node_.emplace(io_, TestConfig(backends, kScarceDescriptors), ListenerLimits{});
  }

  /// Clients, by default as many as the limit allows, each with a request that is not answered while
  /// `hold_answers_`.
  std::vector<std::shared_ptr<Wire>> ConnectBusy(std::size_t count = kMaxClientsOfScarceDescriptors) {
    std::vector<std::shared_ptr<Wire>> busy;
    for (std::size_t i = 0; i < count; ++i) {
      busy.push_back(node_->Connect());
      busy.back()->Send(Post("busy-" + std::to_string(i), "certify", "document"));
    }
    EXPECT_TRUE(RunUntilVirtual([&] { return node_->proxy.open_requests() == busy.size(); }));
    return busy;
  }

  badgerbridge::testing::VirtualClock clock_;
  asio::io_context io_;
  std::optional<Peer> backend_;
  std::optional<Node> node_;
  bool hold_answers_ = false;
};

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_SESSION_RACE_FIXTURE_H_
