// SPDX-License-Identifier: Apache-2.0
//
// Tests a proxy between scripted clients and backends: one final answer per request, and what is forwarded.
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "proxy/proxy_fixture.h"

namespace badgerbridge::proxy::testing {
namespace {

using ProxyTest = ProxyFixture;

TEST_F(ProxyTest, ForwardsByteForByteAndAnswersUnchanged) {
  Peer backend(
      io, [](Wire& wire) { wire.Send(Reply(200, "the answer\r\n\0x", "X-Backend-Load: inflight=7\r\n")); });
  Start({EndpointJson("a", backend.address())});
  const std::string body = "a\r\n\r\nb%20END";
  const std::string answer = node->Ask(
      "POST /convert/x%2Fy?obj=7f&z=%41 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 9b1F\r\n"
      "X-Service-Class: convert\r\nX-Account: acme\r\nX-Time-Left-Ms: 900\r\nIdempotency-Key: 5C0f\r\n"
      "Content-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body,
      "the answer");
  EXPECT_TRUE(IsServed(answer)) << answer;
  ASSERT_EQ(backend.requests.size(), 1u);
  const std::string& request = backend.requests[0];
  EXPECT_EQ(request.find("POST /convert/x%2Fy?obj=7f&z=%41 HTTP/1.1\r\n"), 0u) << request;
  EXPECT_NE(request.find("X-Correlation-Id: 9b1F\r\n"), std::string::npos);
  EXPECT_NE(request.find("Idempotency-Key: 5C0f\r\n"), std::string::npos);
  EXPECT_TRUE(request.ends_with("\r\n\r\n" + body)) << request;
  const std::size_t left = request.find("X-Time-Left-Ms: ");
  ASSERT_NE(left, std::string::npos);
  const int ms = std::stoi(request.substr(left + 16));
  EXPECT_LE(ms, 900);
  EXPECT_GT(ms, 0);
}

TEST_F(ProxyTest, ReusesConnectionsOnBothSides) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200, "ok")); });
  Start({EndpointJson("a", backend.address())});
  const auto client = node->Connect();
  for (int i = 1; i <= 5; ++i) {
    client->Send(Get("c" + std::to_string(i)));
    ASSERT_TRUE(RunUntil(io, [&] { return CountOf(client->in, "HTTP/1.1 200 ") == i; }));
  }
  EXPECT_EQ(backend.wires.size(), 1u);
  EXPECT_FALSE(client->closed);
}

TEST_F(ProxyTest, RequestsThatComeTogetherAreAnsweredInOrder) {
  Peer backend(
      io, [&backend](Wire& wire) { wire.Send(Reply(200, "n" + std::to_string(backend.requests.size()))); });
  Start({EndpointJson("a", backend.address())});
  const auto client = node->Connect();
  client->Send(Get("c1") + Get("c2"));
  ASSERT_TRUE(RunUntil(io, [&] { return CountOf(client->in, "HTTP/1.1 200 ") == 2; }));
  EXPECT_LT(client->in.find("n1"), client->in.find("n2"));
}

TEST_F(ProxyTest, ARequestThatNeverRanIsRetriedElsewhere) {
  int asked = 0;
  const auto script = [&](Wire& wire) {
    wire.Send(++asked == 1 ? Reply(503, "", "X-Unprocessed: 1\r\n") : Reply(200, "ok"));
  };
  Peer one(io, script), other(io, script);
  Start({EndpointJson("a", one.address()), EndpointJson("b", other.address())});
  EXPECT_TRUE(IsServed(node->Ask(Post("c1", "certify", "END"), "ok")));
  EXPECT_EQ(one.requests.size(), 1u);
  EXPECT_EQ(other.requests.size(), 1u);
}

// The request must not run twice, and a rejection would let the client send it again.
TEST_F(ProxyTest, ANonIdempotentRequestThatMayHaveRunFailsWithoutARetry) {
  Peer broken(io, [](Wire& wire) { wire.Reset(); });
  Start({EndpointJson("a", broken.address()), EndpointJson("b", broken.address())});
  const std::string answer = node->Ask(Post("c1", "certify", "END"));
  EXPECT_TRUE(IsFailed(answer)) << answer;
  EXPECT_EQ(broken.requests.size(), 1u);
}

TEST_F(ProxyTest, ARequestToAnUnresponsiveBackendFailsAheadOfItsDeadline) {
  Peer silent(io, [](Wire&) {});
  Start({EndpointJson("a", silent.address())});
  const TimePoint began = node->clock.Now();
  const auto client = node->Connect();
  std::string request = Post("c1", "certify", "END");
  client->Send(request.replace(request.find(": 900"), 5, ": 150"));
  ASSERT_TRUE(RunUntil(io, [&] { return !client->in.empty(); }));
  const double took = (node->clock.Now() - began).count();
  EXPECT_TRUE(IsFailed(client->in)) << client->in;
  EXPECT_GE(took, 140);
  EXPECT_EQ(node->proxy.open_requests(), 0u);
  EXPECT_EQ(node->backends.open_connections(), 0u) << "a timeout closes the connection";
  client->Send(Get("c2"));  // the client connection can still be used
  ASSERT_TRUE(RunUntil(io, [&] { return silent.requests.size() == 2; }));
}

// The decision module has no time left for an attempt. The request was never sent, so it is rejected and the
// client may retry it.
TEST_F(ProxyTest, ARequestWithoutTimeLeftIsRejectedOnceAndNotSent) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Start({EndpointJson("a", backend.address())});
  const auto client = node->Connect();
  std::string request = Get("c1");
  client->Send(request.replace(request.find(": 900"), 5, ": 0") + Get("c2"));
  ASSERT_TRUE(RunUntil(io, [&] { return CountOf(client->in, "HTTP/1.1 ") == 2; }));
  EXPECT_TRUE(IsRejected(client->in)) << client->in;
  EXPECT_EQ(node->proxy.counters()[0].rejected, 1u);
  ASSERT_EQ(backend.requests.size(), 1u);
  EXPECT_NE(backend.requests[0].find("c2"), std::string::npos);
}

// Without backends, the decision module rejects the request without delay and with a Retry-After.
TEST_F(ProxyTest, ARejectionIsAnsweredAtOnceWithRetryAfter) {
  Start({});
  std::string request = Get("c1");
  const TimePoint began = node->clock.Now();
  const std::string answer = node->Ask(request.replace(request.find(": 900"), 5, ": 100"));
  EXPECT_TRUE(IsRejected(answer)) << answer;
  EXPECT_NE(answer.find("Retry-After: 0.600\r\n"), std::string::npos) << answer;
  EXPECT_GT((node->clock.Now() - began).count(), 0);
}

TEST_F(ProxyTest, ABodyOfExactlyTheLimitIsServed) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200, std::string(65533, 'y') + "END")); });
  Start({EndpointJson("a", backend.address())});
  const std::string answer = node->Ask(Post("c", "certify", std::string(65533, 'x') + "END"), "END");
  EXPECT_TRUE(IsServed(answer)) << answer.substr(0, 200);
  EXPECT_EQ(CountOf(answer, "y"), 65533);
}

// The client disconnects while the proxy is connecting to a backend. Nothing is sent, and the backend doesn't
// count as failed.
TEST_F(ProxyTest, NothingIsSentForAClientThatLeftDuringTheConnect) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200, "ok")); });
  Start({EndpointJson("a", backend.address(), "Ready", 1, 0)});
  std::vector<std::function<void()>> pending_connects;
  node->backends.SetConnector([&](tcp::socket& socket, const tcp::endpoint& address, auto ended) {
    pending_connects.push_back([&socket, address, ended] { socket.async_connect(address, ended); });
  });
  const auto client = node->Connect();
  client->Send(Post("c1", "certify", "END"));
  ASSERT_TRUE(RunUntil(io, [&] { return pending_connects.size() == 1; }));
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return node->proxy.open_requests() == 0; }));
  RunReady(io);
  EXPECT_EQ(node->backends.open_connections(), 0u) << "connecting is cancelled";
  for (const BackendView& view : node->proxy.Inspect()) {
    EXPECT_EQ(view.in_flight, 0);
    EXPECT_EQ(view.work_in_flight, 0);
    EXPECT_FALSE(view.ejected);
  }
  EXPECT_TRUE(backend.requests.empty());
}

TEST_F(ProxyTest, AResponseAfterTheDeadlineIsNotForwarded) {
  Wire* waiting = nullptr;
  Peer backend(io, [&](Wire& wire) { waiting = &wire; });
  Start({EndpointJson("a", backend.address())});
  const auto client = node->Connect();
  std::string request = Post("c1", "certify", "END");
  client->Send(request.replace(request.find(": 900"), 5, ": 60"));
  ASSERT_TRUE(RunUntil(io, [&] { return !client->in.empty(); }));
  waiting->Send(Reply(200, "late"));
  RunReady(io);
  EXPECT_EQ(CountOf(client->in, "HTTP/1.1"), 1);
  EXPECT_EQ(client->in.find("late"), std::string::npos);
}

TEST_F(ProxyTest, ReadyOnlyWhenItCanServe) {
  Start({});
  EXPECT_TRUE(IsRejected(node->Ask("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")));
  Peer backend(io, [](Wire&) {});
  node->ListKnown(TestConfig({EndpointJson("a", backend.address())}));
  EXPECT_TRUE(IsServed(node->Ask("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")));
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
