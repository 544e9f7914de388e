// SPDX-License-Identifier: Apache-2.0
//
// Tests the client of discovery against a scripted server.
#include "proxy/discovery.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {
namespace {

class DiscoveryTest : public ::testing::Test {
 protected:
  static std::string Head() { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; }

  std::unique_ptr<Discovery> Start(Peer& peer, bool polls = false, Discovery::Timing timing = {}) {
    return Start(io, peer, polls, timing);
  }
  std::unique_ptr<Discovery> Start(asio::io_context& context, Peer& peer, bool polls,
                                   Discovery::Timing timing) {
    EndpointListReader reader{TestConfig({})};
    reader.Read(boost::json::parse(ListJson(41, true, {}))).value();
    auto discovery = std::make_unique<Discovery>(
        context, peer.endpoint(), std::move(reader), polls, 1,
        [this](EndpointList list) { lists.push_back(list); }, [this] { ++failures; }, timing);
    discovery->Watch();
    return discovery;
  }

  asio::io_context io;
  std::vector<EndpointList> lists;
  int failures = 0;
};

TEST_F(DiscoveryTest, BeginsAtTheKnownVersionAndReadsListsInAnyChunks) {
  Peer peer(io, [](Wire& wire) { wire.Send(Head()); });
  const auto discovery = Start(peer);
  ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() == 1; }));
  EXPECT_EQ(peer.requests[0].find("GET /v1/endpoints?stream=1&index=41 HTTP/1.1\r\n"), 0u);
  const std::string lines = "\n" + ListJson(42, false, {EndpointJson("s-1", "127.0.0.1:81")}) + "\n\n" +
                            ListJson(43, true, {}) + "\n";
  for (const char c : lines) peer.wires[0]->Send(Chunk(std::string(1, c)));
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 2; }));
  EXPECT_EQ(lists[0].endpoints.size(), 1u);
  EXPECT_TRUE(lists[1].snapshot);
  // Several lists in one chunk, the last one incomplete.
  peer.wires[0]->Send(Chunk(ListJson(44, false, {}) + "\n" + ListJson(45, false, {}) + "\n{\"index\""));
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 4; }));
}

TEST_F(DiscoveryTest, ReconnectsFromTheLastVersion) {
  Peer peer(io, [](Wire& wire) {
    wire.Send(Head() + Chunk(ListJson(50, false, {}) + "\n"));
    wire.Close();
  });
  const auto discovery = Start(peer);
  ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() == 2; }));
  EXPECT_NE(peer.requests[1].find("index=50 "), std::string::npos);
}

TEST_F(DiscoveryTest, ListsMayComeIndented) {
  Peer peer(io, [](Wire& wire) { wire.Send(Head()); });
  const auto discovery = Start(peer);
  ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() == 1; }));
  std::string indented;
  for (const char c : ListJson(42, false, {EndpointJson("s-1", "127.0.0.1:81")})) {
    indented += c;
    if (c == '{' || c == ',' || c == '[') indented += "\r\n\t  ";
    if (c == '}' || c == ']') indented += "\n\n ";
  }
  const std::string text = "\n" + indented + "\n\n  \n" + indented + indented + "\n";
  for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, text.size()}) {
    lists.clear();
    for (std::size_t at = 0; at < text.size(); at += piece)
      peer.wires[0]->Send(Chunk(text.substr(at, piece)));
    ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 3; })) << piece;
    for (const EndpointList& list : lists) EXPECT_EQ(list.endpoints.size(), 1u);
  }
  EXPECT_EQ(peer.requests.size(), 1u);
}

// Sends a partial list, or spaces within a line, which must not extend the message timeout.
TEST_F(DiscoveryTest, BytesWithoutACompleteMessageDoNotExtendTheTimeout) {
  const std::string partial_lists[] = {
      ListJson(42, false, {EndpointJson("s-1", "127.0.0.1:81")}).substr(0, 60), ""};
  for (const std::string& partial_list : partial_lists) {
    asio::io_context io;  // separate, as the handlers of a watch last until its io_context is destroyed
    Peer peer(io, [&](Wire& wire) { wire.Send(Head() + (partial_list.empty() ? "" : Chunk(partial_list))); });
    Discovery::Timing timing;
    timing.message_timeout = std::chrono::milliseconds(100);
    const auto discovery = Start(io, peer, false, timing);
    ASSERT_TRUE(RunUntil(io, [&] {
      if (!peer.wires.empty() && !peer.wires.back()->closed && !peer.requests.empty())
        peer.wires.back()->Send(Chunk(" "));
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      return peer.requests.size() >= 3;
    })) << partial_list;
    EXPECT_TRUE(lists.empty());
  }
}

TEST_F(DiscoveryTest, HeartbeatsKeepTheWatchOpen) {
  Peer peer(io, [](Wire& wire) { wire.Send(Head()); });
  Discovery::Timing timing;
  timing.message_timeout = std::chrono::milliseconds(1000);
  const auto discovery = Start(peer, false, timing);
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(2500);
  ASSERT_TRUE(RunUntil(io, [&] {
    if (!peer.requests.empty()) peer.wires[0]->Send(Chunk("\n"));
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return std::chrono::steady_clock::now() > until;
  }));
  EXPECT_EQ(peer.requests.size(), 1u);
}

// Uses the production timeouts. The watch becomes silent and the next call gets no response; the call after
// it must deliver a list less than 6 s after the last message.
TEST_F(DiscoveryTest, AReachableDiscoveryIsReadWithin6SecondsOfItsLastMessage) {
  for (const bool polls : {false, true}) {
    asio::io_context io;  // separate, as the handlers of a watch last until its io_context is destroyed
    lists.clear();
    std::optional<std::chrono::steady_clock::time_point> last_message;
    Peer peer(io, [&](Wire& wire) {
      if (peer.requests.size() == 2) return;
      wire.Send(Head() + Chunk(ListJson(42, false, {}) + "\n"));
      if (!last_message) last_message = std::chrono::steady_clock::now();
    });
    EndpointListReader reader{TestConfig({})};
    std::optional<Discovery> discovery;
    asio::steady_timer again(io);
    discovery.emplace(
        io, peer.endpoint(), std::move(reader), polls, 1,
        [this](EndpointList list) { lists.push_back(list); },
        [&] {  // the longest delays of the decision module after a first and a second failure
          again.expires_after(std::chrono::milliseconds(++failures == 1 ? 500 : 800));
          again.async_wait([&](ErrorCode error) {
            if (!error) discovery->Watch();
          });
        },
        Discovery::Timing::For(polls));
    failures = 0;
    discovery->Watch();
    ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 2; }));
    EXPECT_EQ(peer.requests.size(), 3u);
    EXPECT_LT(std::chrono::steady_clock::now() - *last_message,
              std::chrono::milliseconds(polls ? 6000 : 4500));
  }
}

// Polling calls queue at discovery, so Watch() must not replace a call that is waiting for its response, nor
// a watch that is open.
TEST_F(DiscoveryTest, AWaitingCallAndAnOpenWatchAreNotReplaced) {
  Wire* waiting = nullptr;
  Peer peer(io, [&](Wire& wire) { waiting = &wire; });
  const auto discovery = Start(peer, true);
  ASSERT_TRUE(RunUntil(io, [&] { return waiting != nullptr; }));
  for (int i = 0; i < 3; ++i) {
    discovery->Watch();
    RunReady(io);
  }
  waiting->Send(Head() + Chunk(ListJson(42, false, {}) + "\n"));
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 1; }));
  EXPECT_EQ(peer.wires.size(), 1u);
  EXPECT_EQ(failures, 0);
  discovery->Watch();
  RunReady(io);
  waiting->Send(Chunk(ListJson(43, false, {}) + "\n"));
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 2; })) << "the watch stays open";
  EXPECT_EQ(peer.wires.size(), 1u);
  waiting->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return failures == 1; }));
  discovery->Watch();  // the watch has ended, so it is opened again
  ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() == 2; }));
}

// While discovery is down, connection attempts must time out quickly, so that the first list after its return
// arrives well within the time allowed for a drain.
TEST_F(DiscoveryTest, AWatchIsReopenedSoonAfterAnOutage) {
  bool down = true;
  std::optional<std::chrono::steady_clock::time_point> back;
  Peer peer(io, [&](Wire& wire) {
    if (!down) wire.Send(Head() + Chunk(ListJson(42, false, {}) + "\n"));
  });
  const auto discovery = Start(peer, false, Discovery::Timing::For(false));
  ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() == 3; }));
  down = false;
  back = std::chrono::steady_clock::now();
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 1; }));
  EXPECT_LT(std::chrono::steady_clock::now() - *back, std::chrono::milliseconds(900));
}

// An unreachable discovery sends nothing while its connection stays open.
TEST_F(DiscoveryTest, ASilentWatchIsOpenedAgain) {
  Peer peer(io, [](Wire& wire) { wire.Send(Head()); });
  Discovery::Timing timing;
  timing.message_timeout = std::chrono::milliseconds(50);
  const auto discovery = Start(peer, false, timing);
  ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() >= 3; }));
}

// The changes in an invalid list are lost, so the next request must ask for a snapshot.
TEST_F(DiscoveryTest, AfterAnInvalidListASnapshotIsRequested) {
  Peer peer(io, [](Wire& wire) { wire.Send(Head() + Chunk("{\"index\":44}\n")); });
  const auto discovery = Start(peer);
  ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() == 2; }));
  EXPECT_NE(peer.requests[1].find("index=0 "), std::string::npos);
  EXPECT_TRUE(lists.empty());
}

TEST_F(DiscoveryTest, WhenPollingAFailureIsReportedAndNotRetried) {
  Peer peer(io, [](Wire& wire) {
    wire.Send(Reply(503));
    wire.Close();
  });
  const auto discovery = Start(peer, true);
  ASSERT_TRUE(RunUntil(io, [&] { return failures == 1; }));
  discovery->Watch();
  ASSERT_TRUE(RunUntil(io, [&] { return failures == 2; }));
  EXPECT_EQ(peer.requests.size(), 2u);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
