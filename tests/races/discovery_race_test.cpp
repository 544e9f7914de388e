// SPDX-License-Identifier: Apache-2.0
//
// Tests a client of discovery whose timeout expires in the event loop iteration in which a message arrives.
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/discovery.h"
#include "proxy/proxy_harness.h"
#include "races/turn.h"

namespace badgerbridge::proxy::testing {
namespace {

using std::chrono::milliseconds;

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

class DiscoveryRaceTest : public badgerbridge::testing::EventLoopRaceTest {
 protected:
  DiscoveryRaceTest() : config_(TestConfig({})) {
    timing_.message_timeout = milliseconds(2800);
    peer_.emplace(io_, [this](Wire& wire) {
      if (holds_responses_) return;
      wire.Send(kHead + Chunk(List(8, true, "Ready") + "\n"));
    });
  }
  static std::string List(int index, bool snapshot, const std::string& status) {
    return ListJson(index, snapshot, {EndpointJson("s-1", "127.0.0.1:9", status)});
  }
  void Watch(bool polls) {
    discovery_.emplace(
        io_, peer_->endpoint(), EndpointListReader(config_), polls, 7,
        [this](const EndpointList& list) { states_.push_back(list.endpoints.at(0).entry.state); },
        [this] { ++failures_; }, timing_);
    discovery_->Watch();
  }
  Wire& wire() { return *peer_->wires.back(); }

  Config config_;
  Discovery::Timing timing_;
  std::optional<Peer> peer_;
  std::optional<Discovery> discovery_;
  std::vector<BackendState> states_;  // state of the backend in each list
  bool holds_responses_ = false;
  int failures_ = 0;
};

TEST_F(DiscoveryRaceTest, AListUnreadAtTheMessageTimeoutCounts) {
  Watch(false);
  ASSERT_TRUE(Until([&] { return states_.size() == 1; }));
  RunReady();
  RunTimersBefore([&] { wire().Send(Chunk(List(9, false, "Terminating") + "\n")); }, timing_.message_timeout);
  AdvanceAndRun(milliseconds(1));
  ASSERT_EQ(states_.size(), 2u) << "the message had arrived before the timeout";
  EXPECT_EQ(states_[1], BackendState::kDraining);
  EXPECT_EQ(peer_->wires.size(), 1u) << "the watch stays open";
  EXPECT_FALSE(wire().closed);
}

TEST_F(DiscoveryRaceTest, AListThatComesAsTheMessageTimeoutExpiresCounts) {
  Watch(false);
  ASSERT_TRUE(Until([&] { return states_.size() == 1; }));
  RunReady();
  clock_.Advance(timing_.message_timeout);
  wire().Send(Chunk(List(9, false, "Terminating") + "\n"));
  RunReady();
  ASSERT_EQ(states_.size(), 2u);
  EXPECT_EQ(peer_->wires.size(), 1u);
}

// The process is descheduled while reading a list, so the rest of the list is unread at the timeout.
TEST_F(DiscoveryRaceTest, TheRestOfAListCountsAfterAPause) {
  Watch(false);
  ASSERT_TRUE(Until([&] { return states_.size() == 1; }));
  RunReady();
  std::vector<std::string> endpoints;
  for (int i = 0; i < 500; ++i)
    endpoints.push_back(EndpointJson("t-" + std::to_string(i), "127.0.0.1:9", "Terminating"));
  const std::string text = Chunk(ListJson(9, false, endpoints) + "\n");
  ASSERT_GT(text.size(), 3u * 16384) << "more than is read at once";
  wire().Send(text);
  clock_.Advance(timing_.message_timeout + milliseconds(1));
  RunReady();
  AdvanceAndRun(milliseconds(1));
  EXPECT_EQ(states_.size(), 2u);
  EXPECT_EQ(peer_->wires.size(), 1u);
}

TEST_F(DiscoveryRaceTest, AWatchWithoutMessagesIsOpenedAgain) {
  Watch(false);
  ASSERT_TRUE(Until([&] { return states_.size() == 1; }));
  EXPECT_TRUE(Until([&] { return peer_->wires.size() == 2; }));
  EXPECT_TRUE(Until([&] { return states_.size() == 2; }));
}

// A polling call that has waited in the queue must not be discarded because its response is read late.
TEST_F(DiscoveryRaceTest, AResponseUnreadAtItsTimeoutCounts) {
  holds_responses_ = true;
  timing_ = Discovery::Timing::For(true);
  Watch(true);
  ASSERT_TRUE(Until([&] { return peer_->requests.size() == 1; }));
  RunReady();
  RunTimersBefore([&] { wire().Send(kHead + Chunk(List(9, true, "Ready") + "\n")); },
                  timing_.response_timeout);
  AdvanceAndRun(milliseconds(1));
  EXPECT_EQ(states_.size(), 1u);
  EXPECT_EQ(failures_, 0);
}

TEST_F(DiscoveryRaceTest, ACallWithoutAResponseEndsAtItsTimeout) {
  holds_responses_ = true;
  timing_ = Discovery::Timing::For(true);
  Watch(true);
  ASSERT_TRUE(Until([&] { return peer_->requests.size() == 1; }));
  const auto began = ProxyClock::Steady::now();
  EXPECT_TRUE(Until([&] { return failures_ == 1; }));
  EXPECT_LE(ProxyClock::Steady::now() - began, timing_.response_timeout + milliseconds(2));
}

// SIGHUP switches to another discovery in the event loop iteration in which the old one has sent a drain.
TEST_F(DiscoveryRaceTest, ListsOfTheOldDiscoveryAreReadBeforeTheSwitch) {
  Watch(false);
  ASSERT_TRUE(Until([&] { return states_.size() == 1; }));
  RunReady();
  Peer silent(io_, [](Wire&) {});
  wire().Send(Chunk(List(9, false, "Terminating") + "\n"));
  discovery_->ChangeAddress(silent.endpoint());
  ASSERT_TRUE(Until([&] { return silent.requests.size() == 1; }));
  ASSERT_EQ(states_.size(), 2u);
  EXPECT_EQ(states_[1], BackendState::kDraining);
  EXPECT_NE(silent.requests[0].find("index=0 "), std::string::npos)
      << "versions are specific to one discovery";
  EXPECT_EQ(discovery_->address(), silent.endpoint());
}

TEST_F(DiscoveryRaceTest, TheAddressChangesAtOnceIfNothingIsUnread) {
  Watch(false);
  ASSERT_TRUE(Until([&] { return states_.size() == 1; }));
  RunReady();
  Peer silent(io_, [](Wire&) {});
  discovery_->ChangeAddress(silent.endpoint());
  EXPECT_EQ(discovery_->address(), silent.endpoint());
}

// The decision module polls in the event loop iteration in which the open watch has sent a drain. A new call
// would have to queue at the central service.
TEST_F(DiscoveryRaceTest, AWatchWithAnUnreadMessageIsNotReplaced) {
  Watch(true);
  ASSERT_TRUE(Until([&] { return states_.size() == 1; }));
  RunReady();
  holds_responses_ = true;
  wire().Send(Chunk(List(9, false, "Terminating") + "\n"));
  discovery_->Watch();
  RunReady();
  ASSERT_EQ(states_.size(), 2u);
  EXPECT_EQ(states_[1], BackendState::kDraining);
  EXPECT_EQ(peer_->wires.size(), 1u);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
