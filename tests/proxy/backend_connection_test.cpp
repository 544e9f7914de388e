// SPDX-License-Identifier: Apache-2.0
//
// Tests a connection to a scripted backend: connecting, idling and closing.
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include "proxy/backend_pool_harness.h"

namespace badgerbridge::proxy::testing {
namespace {

using BackendConnectionTest = BackendPoolFixture;

TEST_F(BackendConnectionTest, ARefusedConnectionCouldNotConnect) {
  Peer peer(io, [](Wire&) {});
  StartPool(peer);
  peer.Refuse();
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kConnectFailed);
  EXPECT_EQ(pool->open_connections(), 0u);
}

// A listener with a full queue never answers, so only the proxy's own timeout ends the wait.
TEST_F(BackendConnectionTest, ConnectingIsBoundedByTheSettingsAndTheAttempt) {
  tcp::acceptor full(io);
  full.open(tcp::v4());
  full.bind({asio::ip::address_v4::loopback(), 0});
  full.listen(0);
  std::vector<tcp::socket> fill;
  for (int i = 0; i < 4; ++i) {
    fill.emplace_back(io);
    fill.back().async_connect(full.local_endpoint(), [](ErrorCode) {});
  }
  BackendPool::Limits limits;
  limits.connect_timeout = Duration(30);
  pool = std::make_unique<BackendPool>(io, clock, limits);
  pool->Update(ListWith(full.local_endpoint()));
  RunReady(io);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kConnectFailed);

  // Connecting also takes at most a quarter of the attempt's time, to leave the rest for another backend.
  limits.connect_timeout = Duration(60000);
  pool = std::make_unique<BackendPool>(io, clock, limits);
  pool->Update(ListWith(full.local_endpoint()));
  const TimePoint began = clock.Now();
  EXPECT_EQ(OutcomeOfOneAttempt(Duration(2000)), Outcome::kConnectFailed);
  EXPECT_LT((clock.Now() - began).count(), 1500);
}

// A proxy without free descriptors can't connect to any backend, so the backend must not count as failed.
TEST_F(BackendConnectionTest, WithoutADescriptorTheAttemptIsNotSent) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  StartPool(peer);
  std::vector<int> taken;
  rlimit before;
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  rlimit few = before;
  few.rlim_cur = 64;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &few), 0);
  for (int fd; (fd = dup(0)) >= 0;) taken.push_back(fd);
  const Outcome outcome = OutcomeOfOneAttempt();
  for (const int fd : taken) close(fd);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
  EXPECT_EQ(outcome, Outcome::kNotSent);
  EXPECT_EQ(pool->open_connections(), 0u);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
}

// Bytes after a response would be taken for the response to the next request.
TEST_F(BackendConnectionTest, BytesAfterAResponseCloseTheConnection) {
  std::string behind;
  Peer peer(io, [&](Wire& wire) { wire.Send(Reply(200, "mine") + behind); });
  StartPool(peer);
  std::size_t connections = 0;
  for (const std::string& more : {Reply(200, "another's"), std::string("noise"), std::string("H")}) {
    behind = more;
    EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
    EXPECT_EQ(results.back().body, "mine");
    EXPECT_EQ(peer.wires.size(), ++connections);
    EXPECT_EQ(pool->open_connections(), 0u);
  }
}

// An idle connection receives the start of a response header. A parser that had read it would wait for the
// rest and use it as the next response.
TEST_F(BackendConnectionTest, AnIdleConnectionWithUnsolicitedBytesIsNotUsed) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200, "ok")); });
  StartPool(peer);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  peer.wires[0]->Send("HTTP/1.1 2");
  EXPECT_TRUE(RunUntil(io, [&] { return pool->open_connections() == 0; }));
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  peer.wires[1]->Send("HTTP/1.1 2");  // the next request comes before the handler of the wait runs
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  EXPECT_EQ(peer.wires.size(), 3u);
}

// A request on such a connection would end as a reset, after which it may have run.
TEST_F(BackendConnectionTest, AnIdleConnectionThatTheBackendClosedIsNotUsed) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  StartPool(peer);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  peer.wires[0]->Close();  // the next request comes before the handler of the wait runs
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  EXPECT_EQ(peer.wires.size(), 2u);
  peer.wires[1]->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return pool->open_connections() == 0; }))
      << "the pending wait detects the close";
}

TEST_F(BackendConnectionTest, IdleConnectionsAreClosedAheadOfTheBackendsTimeout) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  BackendPool::Limits limits;
  limits.idle_timeout = Duration(200);
  StartPool(peer, limits);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  const TimePoint idle_since = clock.Now();
  ASSERT_TRUE(RunUntil(io, [&] { return pool->open_connections() == 0; }));
  EXPECT_GE((clock.Now() - idle_since).count(), 140);
}

// A backend that responds twice does so a few milliseconds apart. The second response must not be used for
// the next request if the connection is reused in between.
TEST_F(BackendConnectionTest, ASecondResponseIsNotUsedForTheNextRequest) {
  std::string reply = Reply(200, "first");
  Peer peer(io, [&](Wire& wire) { wire.Send(reply); });
  BackendPool::Limits limits;
  StartPool(peer, limits);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  EXPECT_EQ(peer.wires.size(), 1u) << "without unsolicited bytes, a connection is reused at once";
  peer.wires[0]->Send(reply);  // while it is idle
  ASSERT_TRUE(RunUntil(io, [&] { return pool->open_connections() == 0; }))
      << "a connection with unsolicited bytes is closed";

  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  reply = Reply(200, "second");
  Send();  // at once
  peer.wires[1]->Send(Reply(200, "first"));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 4; }));
  EXPECT_EQ(results[3].outcome, Outcome::kOk);
  EXPECT_EQ(results[3].body, "second");
  EXPECT_EQ(peer.wires.size(), 3u);
  ASSERT_TRUE(RunUntil(io, [&] { return pool->open_connections() == 1; }));
  const TimePoint pause_over = clock.Now() + limits.min_idle_after_unsolicited;
  ASSERT_TRUE(RunUntil(io, [&] { return clock.Now() > pause_over; }));
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  EXPECT_EQ(peer.wires.size(), 3u) << "reused after the minimum idle time";
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
