// SPDX-License-Identifier: Apache-2.0
//
// Tests that a watch in good order stays open: pushed or polled, and however its line ends arrive.
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "proxy/discovery.h"
#include "proxy/proxy_harness.h"
#include "races/turn.h"

namespace badgerbridge::proxy::testing {
namespace {

using std::chrono::milliseconds;

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr milliseconds kHeartbeat{2000};
constexpr int kHeartbeatsPerList = 5;

// How discovery writes a list and a heartbeat: the chunks of each.
struct Framing {
  std::string name;
  std::vector<std::string> (*list_chunks)(const std::string& list);
  std::string heartbeat;
};

const Framing kFramings[] = {
    {"LineEndWithTheList", [](const std::string& list) { return std::vector{list + "\n"}; }, "\n"},
    {"LineEndInItsOwnChunk",
     [](const std::string& list) {
       return std::vector{list, std::string("\n")};
     },
     "\n"},
    {"LineEndBeforeTheList", [](const std::string& list) { return std::vector{"\n" + list}; }, "\n"},
    {"CarriageReturns", [](const std::string& list) { return std::vector{list + "\r\n"}; }, "\r\n"},
    {"SpacesBehindTheList", [](const std::string& list) { return std::vector{list + " \t\n "}; }, "\n "},
};

struct Mode {
  bool polls;
  Framing framing;
};

std::string NameOf(const Mode& mode) { return (mode.polls ? "Polled" : "Pushed") + mode.framing.name; }
void PrintTo(const Mode& mode, std::ostream* out) { *out << NameOf(mode); }

class DiscoveryHeartbeatTest : public badgerbridge::testing::EventLoopRaceTest,
                               public ::testing::WithParamInterface<Mode> {
 protected:
  DiscoveryHeartbeatTest() {
    peer_.emplace(io_, [](Wire& wire) { wire.Send(kHead); });
    discovery_.emplace(
        io_, peer_->endpoint(), EndpointListReader(TestConfig({})), GetParam().polls, 7,
        [this](const EndpointList&) { ++lists_; }, [this] { ++failures_; },
        Discovery::Timing::For(GetParam().polls));
    discovery_->Watch();
  }
  void SendList(int index) {
    const std::string list = ListJson(index, index == 8, {EndpointJson("s-1", "127.0.0.1:9")});
    for (const std::string& chunk : GetParam().framing.list_chunks(list)) SendIfOpen(chunk);
  }
  void SendIfOpen(const std::string& chunk) {
    Wire& wire = *peer_->wires.back();
    if (!wire.closed) wire.Send(Chunk(chunk));
    RunReady();
  }
  void SendHeartbeats() {
    for (int i = 0; i < kHeartbeatsPerList; ++i) {
      AdvanceAndRun(kHeartbeat);
      SendIfOpen(GetParam().framing.heartbeat);
    }
  }

  std::optional<Peer> peer_;
  std::optional<Discovery> discovery_;
  int lists_ = 0;
  int failures_ = 0;
};

// Guards against a heartbeat behind a list that does not count, so that the watch is given up (review/8).
TEST_P(DiscoveryHeartbeatTest, HeartbeatsBehindAListKeepTheWatchOpen) {
  ASSERT_TRUE(Until([&] { return peer_->requests.size() == 1; }));
  for (const int index : {8, 9, 10}) {
    SendList(index);
    SendHeartbeats();
  }
  EXPECT_EQ(lists_, 3);
  EXPECT_EQ(failures_, 0);
  EXPECT_EQ(peer_->wires.size(), 1u) << "watches in good order that were given up";
}

// The bound on silence stays: a line end is a sign of life only once.
TEST_P(DiscoveryHeartbeatTest, AWatchThatFallsSilentBehindAListIsGivenUp) {
  ASSERT_TRUE(Until([&] { return peer_->requests.size() == 1; }));
  SendList(8);
  const auto last_message = ProxyClock::Steady::now();
  ASSERT_TRUE(Until([&] { return peer_->wires[0]->closed; }));
  EXPECT_LE(ProxyClock::Steady::now() - last_message,
            Discovery::Timing::For(GetParam().polls).message_timeout + milliseconds(2));
}

// A polled watch that has to begin with a snapshot must not stay open without one. An agent that pushes lists
// may have none yet.
TEST_P(DiscoveryHeartbeatTest, HeartbeatsInPlaceOfASnapshotKeepOnlyAPushedWatchOpen) {
  ASSERT_TRUE(Until([&] { return peer_->requests.size() == 1; }));
  SendHeartbeats();
  EXPECT_EQ(failures_, GetParam().polls ? 1 : 0);
  EXPECT_EQ(peer_->wires[0]->closed, GetParam().polls);
  EXPECT_EQ(peer_->wires.size(), 1u);
  EXPECT_EQ(lists_, 0);
}

std::vector<Mode> AllModes() {
  std::vector<Mode> modes;
  for (const bool polls : {false, true}) {
    for (const Framing& framing : kFramings) modes.push_back({polls, framing});
  }
  return modes;
}

INSTANTIATE_TEST_SUITE_P(AllModes, DiscoveryHeartbeatTest, ::testing::ValuesIn(AllModes()),
                         [](const ::testing::TestParamInfo<Mode>& mode) { return NameOf(mode.param); });

}  // namespace
}  // namespace badgerbridge::proxy::testing
