// SPDX-License-Identifier: Apache-2.0
//
// Client connections: limits on their number and duration, disconnects, and pipelined requests.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "proxy/proxy_fixture.h"

namespace badgerbridge::proxy::testing {
namespace {

using ClientConnectionTest = ProxyFixture;

// Connections that send nothing, or an incomplete request, are closed within 3 s. Only the latter get an
// answer.
TEST_F(ClientConnectionTest, ConnectionsWithoutACompleteRequestAreClosed) {
  Start({});
  const TimePoint began = node->clock.Now();
  const auto silent = node->Connect();
  const auto half = node->Connect();
  half->Send("GET /preview HTTP/1.1\r\nHost: h\r\n");
  const auto body = node->Connect();
  body->Send("POST /certify HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n1234");
  const auto kept = node->Connect();
  kept->Send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil(io, [&] { return silent->closed && half->closed && body->closed; }));
  EXPECT_LT((node->clock.Now() - began).count(), 3000);
  EXPECT_EQ(silent->in, "");
  EXPECT_EQ(half->in.rfind("HTTP/1.1 408 ", 0), 0u) << half->in;
  EXPECT_EQ(body->in.rfind("HTTP/1.1 408 ", 0), 0u) << body->in;
  // Clients rely on a connection for 2 s after an answer. Connections are limited, so an idle client must not
  // keep one forever.
  ASSERT_TRUE(RunUntil(io, [&] { return kept->closed; }));
  EXPECT_GE((node->clock.Now() - began).count(), 2000);
}

// At max_clients, connections without a request, or with an incomplete one, must not block other clients
// until they time out.
TEST_F(ClientConnectionTest, AtTheLimitConnectionsWithoutARequestAreEvicted) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Start({EndpointJson("a", backend.address())}, 64);  // room for 8 clients
  std::vector<std::shared_ptr<Wire>> silent_clients;
  for (int i = 0; i < 8; ++i) {
    silent_clients.push_back(node->Connect());
    if (i % 2 == 0) silent_clients.back()->Send("GET /preview HTTP/1.1\r\n");
  }
  const auto client = node->Connect();
  client->Send(Get("c1"));
  ASSERT_TRUE(RunUntil(io, [&] { return IsServed(client->in); }));
  EXPECT_LT(std::count_if(silent_clients.begin(), silent_clients.end(),
                          [](const auto& wire) { return wire->closed; }),
            8)
      << "evicted, not timed out";
}

TEST_F(ClientConnectionTest, AtTheLimitTheOldestIdleConnectionIsEvicted) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Start({EndpointJson("a", backend.address())}, 64);  // room for 8 clients
  std::vector<std::shared_ptr<Wire>> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(node->Connect());
    clients.back()->Send(Get("c" + std::to_string(i)));
    ASSERT_TRUE(RunUntil(io, [&] { return IsServed(clients.back()->in); })) << i;
  }
  ASSERT_TRUE(RunUntil(io, [&] { return clients[0]->closed; }));
  EXPECT_FALSE(clients[11]->closed);
}

// Lingering connections, which wait for their clients to close, don't count against max_clients but have a
// limit of their own.
TEST_F(ClientConnectionTest, LingeringConnectionsDoNotBlockOtherClients) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Start({EndpointJson("a", backend.address())}, 64);  // room for 8 clients
  std::vector<std::shared_ptr<Wire>> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(node->Connect());
    clients.back()->Send(Get("c" + std::to_string(i)));
    ASSERT_TRUE(RunUntil(io, [&] { return IsServed(clients.back()->in); })) << i;
    EXPECT_LE(node->listener.connections(), 8u + 16u);
  }
}

// The attempt's outcome is reported to the decision module, and the backend connection is kept.
TEST_F(ClientConnectionTest, TheAttemptOfADisconnectedClientRunsToItsEnd) {
  Wire* waiting = nullptr;
  Peer backend(io, [&](Wire& wire) { waiting = &wire; });
  Start({EndpointJson("a", backend.address())});
  const auto client = node->Connect();
  client->Send(Get("c1"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting != nullptr; }));
  EXPECT_EQ(node->proxy.open_requests(), 1u);
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return node->proxy.open_requests() == 0; }));
  EXPECT_FALSE(backend.wires[0]->closed);
  waiting->Send(Reply(200, "late"));
  waiting = nullptr;
  RunReady(io);
  const auto next = node->Connect();
  next->Send(Get("c2"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting != nullptr; }));
  waiting->Send(Reply(200, "mine"));
  ASSERT_TRUE(RunUntil(io, [&] { return next->in.ends_with("mine"); }));
  EXPECT_EQ(backend.wires.size(), 1u);
}

// The disconnect must be detected whatever other input is pending: a complete or incomplete next request,
// more than the buffer holds, malformed input, or input after the last request.
TEST_F(ClientConnectionTest, ADisconnectIsDetectedWhateverWasPipelined) {
  std::string many;
  for (int i = 0; i < 1000; ++i) many += Get("m" + std::to_string(i));
  const std::pair<const char*, std::string> cases[] = {
      {"nothing", ""},
      {"the next request", Get("n1")},
      {"two more", Get("n1") + Get("n2")},
      {"an incomplete request", "GET /pre"},
      {"more than the buffer holds", many},
      {"far more", many + many + many + many},
      {"malformed input", std::string("\x16\x03\x01 no request\r\n\r\n", 18)},
      {"a body that is too large", "POST /certify HTTP/1.1\r\nContent-Length: 99999999\r\n\r\nxx"},
  };
  for (const bool last : {false, true}) {
    for (const auto& [what, ahead] : cases) {
      SCOPED_TRACE(std::string(what) + (last ? ", after the last request" : ""));
      asio::io_context io;
      std::vector<Wire*> waiting;
      Peer backend(io, [&](Wire& wire) { waiting.push_back(&wire); });
      const auto node = std::make_unique<Node>(io, TestConfig({EndpointJson("a", backend.address())}));
      const auto client = node->Connect();
      client->Send(Get("c1", last ? "Connection: close\r\n" : ""));
      ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 1; }));
      for (std::size_t at = 0; at < ahead.size(); at += 8192) {
        client->Send(ahead.substr(at, 8192));
        RunReady(io);
      }
      const TimePoint left = node->clock.Now();
      client->Close();
      ASSERT_TRUE(RunUntil(io, [&] { return node->proxy.open_requests() == 0; }));
      EXPECT_EQ(node->proxy.counters()[0].client_disconnected, 1u) << "detected, not timed out";
      EXPECT_EQ(node->listener.connections(), 0u);
      EXPECT_LT((node->clock.Now() - left).count(), 500);
      RunReady(io);
      EXPECT_EQ(backend.requests.size(), 1u) << "pipelined requests are not forwarded";
    }
  }
}

// All accepted requests are answered in order; then the client gets an error.
TEST_F(ClientConnectionTest, AClientThatPipelinesTooMuchIsAnsweredInOrderAndThenGetsAnError) {
  std::vector<Wire*> waiting;
  Peer backend(io, [&](Wire& wire) {
    if (backend.requests.size() == 1) return waiting.push_back(&wire);
    wire.Send(Reply(200, "ok"));
  });
  Start({EndpointJson("a", backend.address())});
  const auto client = node->Connect();
  // Large requests, so that those that fit the buffer are answered well before their deadlines.
  const std::string padding = "X-Padding: " + std::string(400, 'x') + "\r\n";
  std::string many;
  for (int i = 0; i < 250; ++i) many += Get("m" + std::to_string(i), padding);
  ASSERT_GT(many.size(), 120000u);
  for (std::size_t at = 0; at < many.size(); at += 8192) {
    client->Send(many.substr(at, 8192));
    RunReady(io);
  }
  waiting[0]->Send(Reply(200, "ok"));
  ASSERT_TRUE(RunUntil(io, [&] { return client->closed; }));
  EXPECT_EQ(client->end, asio::error::eof);
  EXPECT_EQ(CountOf(client->in, "HTTP/1.1 400 "), 1);
  EXPECT_EQ(client->in.find("HTTP/1.1 ", client->in.find("HTTP/1.1 400 ") + 1), std::string::npos);
  EXPECT_EQ(static_cast<std::size_t>(CountOf(client->in, "HTTP/1.1 200 ")), backend.requests.size());
  EXPECT_GT(backend.requests.size(), 75u);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
