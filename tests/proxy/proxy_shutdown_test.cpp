// SPDX-License-Identifier: Apache-2.0
//
// Tests the shutdown of a proxy and the closing of client connections.
#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "proxy/proxy_fixture.h"

namespace badgerbridge::proxy::testing {
namespace {

using ProxyShutdownTest = ProxyFixture;

// A client that sends while the proxy closes the connection must see an orderly close and no reset. What it
// sent is dropped and never forwarded.
TEST_F(ProxyShutdownTest, RequestsSentDuringTheCloseAreDroppedWithoutAReset) {
  for (const bool stop : {true, false}) {
    SCOPED_TRACE(stop ? "stop" : "drain");
    asio::io_context io;
    Peer backend(io, [](Wire& wire) { wire.Send(Reply(200, "ok")); });
    const auto node = std::make_unique<Node>(io, TestConfig({EndpointJson("a", backend.address())}));
    const auto client = node->Connect();
    client->Send(Get("c1"));
    ASSERT_TRUE(RunUntil(io, [&] { return IsServed(client->in); }));
    bool stopped = false;
    if (stop) {
      node->listener.Stop([&] { stopped = true; });
    } else {
      node->listener.Drain();
    }
    ASSERT_TRUE(RunUntil(io, [&] { return client->closed; }));
    EXPECT_EQ(client->end, asio::error::eof);
    client->Send(Get("c2"));  // the client has not noticed the close
    EXPECT_EQ(node->listener.connections(), 1u) << "until the client has closed it, for a bounded time";
    RunReady(io);
    ErrorCode error;
    char byte;
    client->socket.non_blocking(true);
    client->socket.read_some(asio::buffer(&byte, 1), error);
    EXPECT_EQ(error, asio::error::eof) << "no reset";
    client->Close();
    ASSERT_TRUE(RunUntil(io, [&] { return node->listener.connections() == 0; }));
    EXPECT_EQ(backend.requests.size(), 1u);
    if (stop) {
      EXPECT_TRUE(RunUntil(io, [&] { return stopped; }));
    }
  }
}

// An idle client that never closes its side delays the shutdown only for a bounded time.
TEST_F(ProxyShutdownTest, AClientThatNeverClosesDelaysTheStopForABoundedTime) {
  Start({});
  const auto idle_client = node->Connect();
  RunReady(io);
  bool stopped = false;
  const TimePoint began = node->clock.Now();
  node->listener.Stop([&] { stopped = true; });
  ASSERT_TRUE(RunUntil(io, [&] { return stopped; }));
  EXPECT_GE((node->clock.Now() - began).count(), 1450)
      << "the time until the listener closes, and a second for the client";
  EXPECT_EQ(node->listener.connections(), 0u);
}

// A request accepted before the listener closes is answered, even if pipelined after another request.
TEST_F(ProxyShutdownTest, APipelinedRequestIsAnsweredAtTheStop) {
  std::vector<Wire*> waiting;
  Peer backend(io, [&](Wire& wire) { waiting.push_back(&wire); });
  Start({EndpointJson("a", backend.address())});
  const auto client = node->Connect();
  client->Send(Get("c1") + Get("c2"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 1; }));
  bool stopped = false;
  node->listener.Stop([&] { stopped = true; });
  waiting[0]->Send(Reply(200, "one"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 2; }));
  waiting[1]->Send(Reply(200, "two"));
  ASSERT_TRUE(RunUntil(io, [&] { return client->closed; }));
  EXPECT_EQ(CountOf(client->in, "HTTP/1.1 200 "), 2);
  EXPECT_EQ(CountOf(client->in, "Connection: close"), 1);
  client->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return stopped; }));
}

TEST_F(ProxyShutdownTest, AllAcceptedRequestsAreAnsweredAtTheStop) {
  std::vector<Wire*> waiting;
  Peer backend(io, [&](Wire& wire) { waiting.push_back(&wire); });
  Start({EndpointJson("a", backend.address())});
  const auto busy = node->Connect();
  busy->Send(Get("c1"));
  const auto idle = node->Connect();
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 1; }));
  bool stopped = false;
  const TimePoint began = node->clock.Now();
  node->listener.Stop([&] { stopped = true; });
  EXPECT_TRUE(IsRejected(node->Ask("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")));
  // Until clients notice the shutdown, new connections and requests on existing ones are served.
  const auto late = node->Connect();
  late->Send(Get("c2"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 2; }));
  idle->Send(Get("c3"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 3; }));
  EXPECT_FALSE(stopped);
  EXPECT_LT((node->clock.Now() - began).count(), 400) << "this machine is too slow for this test";
  for (Wire* wire : waiting) wire->Send(Reply(200, "ok"));
  for (const auto& client : {busy, late, idle}) {
    ASSERT_TRUE(RunUntil(io, [&] { return client->closed; }));
    EXPECT_TRUE(IsServed(client->in));
    EXPECT_NE(client->in.find("Connection: close\r\n"), std::string::npos);
    client->Close();
  }
  ASSERT_TRUE(RunUntil(io, [&] { return stopped; }));
  EXPECT_GT((node->clock.Now() - began).count(), 400);
}

TEST_F(ProxyShutdownTest, IdleConnectionsAreClosedAtTheStop) {
  Start({});
  const auto idle = node->Connect();
  RunReady(io);
  bool stopped = false;
  node->listener.Stop([&] { stopped = true; });
  ASSERT_TRUE(RunUntil(io, [&] { return stopped; }));
  EXPECT_TRUE(RunUntil(io, [&] { return idle->closed; }));
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
