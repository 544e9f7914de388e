// SPDX-License-Identifier: Apache-2.0
//
// Each memory allocation in the proxy's handlers fails in turn. Every request must be answered once and in
// time, nothing may take effect twice, and no resource may leak.
#include <gtest/gtest.h>

#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/one_shot_timer.h"
#include "proxy/discovery.h"
#include "proxy/fault_plays.h"

namespace badgerbridge::proxy::testing {
namespace {

TEST(AllocationTest, EachAllocationFailsInTurn) {
  const long runs = FailEachCall(Call::kAllocation, 1, 0);
  std::cout << "allocations: plays=" << runs << '\n';
}

// A discovery server that reports a draining backend after 50 ms, and a proxy's watch on it.
class DiscoveryDrainRun {
 public:
  DiscoveryDrainRun()
      : server_(peer_io_, [this](Wire& wire) { Serve(wire); }),
        watch_(
            node_io_, server_.endpoint(), EndpointListReader(TestConfig({})), false, 7,
            [this](const EndpointList& list) { OnList(list); }, [] {}, Discovery::Timing()) {
    begin_ = ProxyClock::Steady::now();
  }

  std::vector<std::string> Run() {
    asio::post(node_io_, [this] { watch_.Watch(); });
    for (bool drained = false; !drained;) {
      if (Elapsed() > kMaxTime) return {"the drain was not received within 7 s"};
      if (!RunReady() && !RunReady()) clock_.AdvanceToNextTimer(milliseconds(10));
      const auto found = states_.find("s-0");
      drained = found != states_.end() && found->second == BackendState::kDraining;
    }
    return {};
  }

 private:
  static constexpr milliseconds kDrainTime{50};  // when the backend starts to drain
  static constexpr milliseconds kHeartbeat{500};
  static constexpr milliseconds kMaxTime{7000};

  milliseconds Elapsed() const {
    return std::chrono::duration_cast<milliseconds>(ProxyClock::Steady::now() - begin_);
  }
  std::string List(bool snapshot, bool drained) const {
    std::vector<std::string> endpoints{
        EndpointJson("s-0", server_.address(), drained ? "Terminating" : "Ready")};
    if (snapshot) endpoints.push_back(EndpointJson("s-1", server_.address()));
    return ListJson(drained ? 9 : 8, snapshot, endpoints);
  }

  // Sends the changes after the requested version, or a snapshot, and then heartbeats.
  void Serve(Wire& wire) {
    const std::string& request = server_.requests.back();
    const int index = std::stoi(request.substr(request.find("index=") + 6));
    const bool drained = Elapsed() >= kDrainTime;
    wire.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (index < 8) wire.Send(Chunk(List(true, drained) + "\n"));
    if (index == 8 && drained) wire.Send(Chunk(List(false, true) + "\n"));
    if (!drained)
      scheduled_.emplace(kDrainTime,
                         [this, at = wire.shared_from_this()] { at->Send(Chunk(List(false, true) + "\n")); });
    SendHeartbeats(wire.shared_from_this());
  }
  void SendHeartbeats(const std::shared_ptr<Wire>& wire) {
    scheduled_.emplace(Elapsed() + kHeartbeat, [this, wire] {
      if (wire->closed) return;
      wire->Send(Chunk("\n"));
      SendHeartbeats(wire);
    });
  }

  void OnList(const EndpointList& list) {
    const std::vector<Endpoint> copy =
        list.endpoints;  // an allocation that may fail, as in a proxy's handler
    if (list.snapshot) states_.clear();
    const bool was_counting = badgerbridge::testing::Counting(false);
    for (const Endpoint& endpoint : copy) states_[endpoint.name] = endpoint.entry.state;
    badgerbridge::testing::Counting(was_counting);
  }

  bool RunReady() {
    bool ran = false;
    while (!scheduled_.empty() && scheduled_.begin()->first <= Elapsed()) {
      const auto action = std::move(scheduled_.begin()->second);
      scheduled_.erase(scheduled_.begin());
      action();
      ran = true;
    }
    peer_io_.restart();
    ran = peer_io_.poll() > 0 || ran;
    node_io_.restart();
    try {
      const CountedScope counted;
      return node_io_.poll_one() > 0 || ran;
    } catch (const std::exception&) {
      return true;
    }
  }

  VirtualClock clock_;
  asio::io_context node_io_;
  asio::io_context peer_io_;
  Peer server_;
  std::multimap<milliseconds, std::function<void()>> scheduled_;
  std::map<std::string, BackendState> states_;
  ProxyClock::Steady::time_point begin_{};
  Discovery watch_;
};

// No message from discovery may be lost, and the watch must continue.
TEST(AllocationTest, ADrainIsNotifiedWhicheverAllocationFails) {
  bool reached = true;
  long number = 0;
  for (; reached; ++number) {
    const PlannedFault fault(Call::kAllocation, number);
    const std::string violations = RunInChild([] { return DiscoveryDrainRun().Run(); });
    reached = fault.happened();
    EXPECT_EQ(violations, "") << "drain: " << Describe(fault, Call::kAllocation, number, violations);
  }
  std::cout << "allocations of a watch: plays=" << number << '\n';
}

// A timer must expire even if memory for its wait is unavailable many times in a row.
TEST(AllocationTest, ATimerWithoutMemoryStillExpires) {
  constexpr int kFailures = 20;
  asio::io_context io;
  int expired = 0;
  net::OneShotTimer timer(io);
  net::OneShotTimer disarmed(io);
  const PlannedFault fault(Call::kAllocation, 0, kFailures);
  for (int i = 0; i < kFailures && expired == 0; ++i) {
    const CountedScope counted;
    if (i == 0) {
      timer.ArmAfter(milliseconds(1), [&expired] { ++expired; });
      disarmed.ArmAfter(milliseconds(1), [&expired] { expired += 100; });
      disarmed.Disarm();
    }
    io.restart();
    io.poll_one();
  }
  EXPECT_TRUE(fault.happened());
  EXPECT_EQ(expired, 0);
  EXPECT_TRUE(RunUntil(io, [&] { return expired > 0; }));
  RunReady(io);
  EXPECT_EQ(expired, 1);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
