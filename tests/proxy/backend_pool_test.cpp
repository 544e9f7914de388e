// SPDX-License-Identifier: Apache-2.0
//
// Tests the pool: updates of the list, the choice of a connection, and the limits.
#include <gtest/gtest.h>

#include "proxy/backend_pool_harness.h"

namespace badgerbridge::proxy::testing {
namespace {

using BackendPoolTest = BackendPoolFixture;

TEST_F(BackendPoolTest, AnUnknownBackendCouldNotConnect) {
  pool = std::make_unique<BackendPool>(io, clock, BackendPool::Limits{});
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kConnectFailed);
}

TEST_F(BackendPoolTest, GoneBackendsAreRemoved) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  StartPool(peer);
  for (BackendId id = 100; id < 200; ++id) {
    EndpointList list = ListWith(peer.endpoint());
    list.snapshot = true;
    list.endpoints.push_back(list.endpoints[0]);
    list.endpoints[1].entry.server = id;
    pool->Update(list);
  }
  EXPECT_EQ(pool->backend_count(), 2u);
  pool->Update(ListWith(peer.endpoint(), BackendState::kGone));
  EXPECT_EQ(pool->backend_count(), 1u);
  pool->Update(ListWith(peer.endpoint()));
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
}

// A new backend at the same address must not get the connections of one that is gone.
TEST_F(BackendPoolTest, ANewBackendAtAnOldAddressGetsItsOwnConnections) {
  std::vector<Wire*> waiting;
  Peer peer(io, [&](Wire& wire) { waiting.push_back(&wire); });
  StartPool(peer);
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 1; }));
  EndpointList list = ListWith(peer.endpoint());
  list.snapshot = true;
  list.endpoints[0].entry.server = kBackend + 1;
  pool->Update(list);
  waiting[0]->Send(Reply(200, "old"));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 1; }));
  EXPECT_EQ(results[0].outcome, Outcome::kOk);
  EXPECT_EQ(pool->open_connections(), 0u) << "not kept for the new one";
}

// Guards against work at the wrong process: one that has started anew, or in another deduplication group, at
// the address of one that has gone got its connections, and an attempt that was meant for that one.
TEST_F(BackendPoolTest, AnAttemptOrConnectionOfAProcessIsNotPassedOnToTheNextAtItsAddress) {
  std::vector<Wire*> waiting;
  Peer peer(io, [&](Wire& wire) { waiting.push_back(&wire); });
  for (const bool is_restarted : {true, false}) {
    StartPool(peer);
    results.clear();
    EndpointList next = ListWith(peer.endpoint());
    if (is_restarted) next.endpoints[0].entry.up_since = TimePoint(Duration(100));
    if (!is_restarted) next.endpoints[0].entry.cell = 7;
    const std::size_t before = peer.requests.size();
    Send();  // answered after the change: its connection is not kept
    ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() == before + 1; }));
    Send();  // still connecting when the list changes
    pool->Update(next);
    waiting.back()->Send(Reply(200));
    ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
    EXPECT_TRUE(results[0].outcome == Outcome::kConnectFailed ||
                results[1].outcome == Outcome::kConnectFailed);
    EXPECT_EQ(peer.requests.size(), before + 1) << "the second attempt was not sent";
    EXPECT_EQ(pool->open_connections(), 0u);
    Send();
    ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() == before + 2; })) << "the new one is served";
  }
}

// A host that disappears leaves its connections open; a timeout must close the idle ones too.
TEST_F(BackendPoolTest, ATimeoutClosesConnectionsIdleSinceBeforeTheAttempt) {
  std::vector<Wire*> waiting;
  Peer peer(io, [&](Wire& wire) { waiting.push_back(&wire); });
  StartPool(peer);
  Send();
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 2; }));
  for (Wire* wire : waiting) wire->Send(Reply(200));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  EXPECT_EQ(pool->open_connections(), 2u);
  EXPECT_EQ(OutcomeOfOneAttempt(Duration(30)), Outcome::kTimeout);
  EXPECT_EQ(pool->open_connections(), 0u);
}

TEST_F(BackendPoolTest, TheNewestIdleConnectionIsUsedFirst) {
  std::vector<Wire*> waiting;
  Peer peer(io, [&](Wire& wire) { waiting.push_back(&wire); });
  StartPool(peer);
  Send();
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 2; }));
  Wire* const first = waiting[0];
  Wire* const second = waiting[1];
  second->Send(Reply(200));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 1; }));
  first->Send(Reply(200));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 3; }));
  EXPECT_EQ(waiting[2], first);
  EXPECT_EQ(peer.wires.size(), 2u);
}

TEST_F(BackendPoolTest, IdleConnectionsAreBoundedForEachBackend) {
  std::vector<Wire*> waiting;
  Peer peer(io, [&](Wire& wire) { waiting.push_back(&wire); });
  BackendPool::Limits limits;
  limits.max_idle_per_backend = 2;
  StartPool(peer, limits);
  for (int i = 0; i < 5; ++i) Send();
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 5; }));
  for (Wire* wire : waiting) wire->Send(Reply(200));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 5; }));
  EXPECT_EQ(pool->open_connections(), 2u);
}

TEST_F(BackendPoolTest, AtTheLimitTheOldestIdleConnectionIsEvictedOrItCouldNotConnect) {
  Peer first(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Peer second(io, [](Wire&) {});
  BackendPool::Limits limits;
  limits.max_connections = 1;
  StartPool(first, limits);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  EndpointList other = ListWith(second.endpoint());
  other.endpoints[0].entry.server = kBackend + 1;
  pool->Update(other);
  auto request = std::make_shared<ForwardedRequest>();
  request->target = "/";
  pool->Send(kBackend + 1, request, Duration(10000), TimePoint::max(), [&](AttemptResult) {});
  ASSERT_TRUE(RunUntil(io, [&] { return second.requests.size() == 1; }));
  EXPECT_EQ(pool->open_connections(), 1u);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kConnectFailed);
}

// A host that returns at another address is the same backend but needs new connections.
TEST_F(BackendPoolTest, ANewAddressGetsNewConnections) {
  Peer old_peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Peer new_peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  StartPool(old_peer);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  pool->Update(ListWith(new_peer.endpoint()));
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  EXPECT_EQ(new_peer.requests.size(), 1u);
  EXPECT_EQ(old_peer.requests.size(), 1u);
}

TEST_F(BackendPoolTest, ASnapshotRemovesBackendsItDoesNotName) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  StartPool(peer);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  EXPECT_TRUE(pool->HasReadyBackend());
  EndpointList nothing;
  nothing.snapshot = true;
  pool->Update(nothing);
  EXPECT_FALSE(pool->HasReadyBackend());
  EXPECT_EQ(pool->open_connections(), 0u);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
