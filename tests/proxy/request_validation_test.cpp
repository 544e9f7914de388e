// SPDX-License-Identifier: Apache-2.0
//
// Requests that a proxy rejects because they are invalid.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "proxy/proxy_fixture.h"

namespace badgerbridge::proxy::testing {
namespace {

using RequestValidationTest = ProxyFixture;

const std::string kAcme = "X-Account: acme\r\n";  // a configured tenant

// A request and the expected status.
struct InvalidRequest {
  std::string text;
  const char* status;
};

std::vector<InvalidRequest> InvalidRequests() {
  return {{"nonsense\r\n\r\n", "400"},
          {"GET http://elsewhere/ HTTP/1.1\r\n\r\n", "400"},
          {Post("c", "other", "END", kAcme), "400"},    // unknown class
          {Get("c"), "400"},                            // no tenant
          {Get("c", "X-Account: nobody\r\n"), "400"},   // unknown tenant
          {Get("", kAcme), "400"},                      // no id
          {Post("c", "convert", "END", kAcme), "400"},  // no idempotency key
          {Post("c", "preview", "END", kAcme), "405"},  // idempotent class, but not GET
          {Post("c", "certify", "END", kAcme + "X-Time-Left-Ms: soon\r\n"), "400"},
          {Post("c", "certify", "END", kAcme + "X-Time-Left-Ms: 99999999999999999999999\r\n"), "400"},
          {Post("c", "certify", "END", kAcme + "X-Weight-Hint: much\r\n"), "400"},
          {Post("c", "certify", "END", kAcme + "Idempotency-Key: 1\r\n"), "400"},
          {Post("c", "certify", "END", kAcme + "Transfer-Encoding: chunked\r\n"), "400"},
          {Post("c", "certify", "END", kAcme + "Transfer-Encoding: gzip\r\n"), "400"},
          {Post("c", "certify", "END", kAcme + "Content-Length: 3\r\n"), "400"},
          {Post("c", "certify", "END", kAcme + "Content-Length: 4\r\n"), "400"},
          {Post("c", "certify", "END", kAcme + "X-Correlation-Id: d\r\n"), "400"},
          {Post("c d", "certify", "END", kAcme), "400"},
          {Post("c", "certify", "END", kAcme + "X-Bare: line\n"), "400"},
          {Get("c", kAcme + "Content-Length: 3\r\n") + "END", "400"},
          {Get("c", kAcme + "Transfer-Encoding: xchunked\r\n"), "400"},
          {Get("c", kAcme + "Content-Length: -3\r\n"), "400"},
          {Get("c", kAcme + "Content-Length: 99999999999999999999999\r\n"), "400"},
          {"GET /ready HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nEND", "400"},
          {"POST /convert HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: c\r\nX-Service-Class: certify\r\n" +
               kAcme + "Content-Length: 0\r\n\r\n",
           "400"},
          {Post("c", "certify", std::string(70000, 'x'), kAcme), "413"},
          {Get("c", kAcme + "X-Long: " + std::string(40000, 'x') + "\r\n"), "431"}};
}

TEST_F(RequestValidationTest, AnInvalidRequestGetsOneErrorAndReachesNoBackend) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Start({EndpointJson("a", backend.address())}, 1024, R"([{"name":"acme","quotaPerS":100.0}])");
  for (auto [request, status] : InvalidRequests()) {
    if (CountOf(request, "X-Time-Left-Ms") == 2) request.erase(request.find("X-Time-Left-Ms: 900\r\n"), 21);
    const auto client = node->Connect();
    client->Send(request + Get("hidden", kAcme));  // later input is ignored
    ASSERT_TRUE(RunUntil(io, [&] { return client->closed; })) << request.substr(0, 200);
    const std::string& answer = client->in;
    EXPECT_EQ(answer.rfind(std::string("HTTP/1.1 ") + status + " ", 0), 0u) << request.substr(0, 200) << "\n"
                                                                            << answer;
    EXPECT_EQ(CountOf(answer, "HTTP/1.1"), 1);
  }
  EXPECT_EQ(node->proxy.open_requests(), 0u);
  EXPECT_TRUE(backend.wires.empty());
  EXPECT_TRUE(IsServed(node->Ask(Get("c", kAcme))));
}

// A backend could not distinguish two requests with the same id, and would treat the second as a retry.
TEST_F(RequestValidationTest, AnIdInUseOrRecentlyUsedIsAConflict) {
  Wire* waiting = nullptr;
  Peer backend(io, [&](Wire& wire) { waiting = &wire; });
  Start({EndpointJson("a", backend.address())});
  const auto client = node->Connect();
  client->Send(Get("c1"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting != nullptr; }));
  EXPECT_EQ(node->Ask(Get("c1")).rfind("HTTP/1.1 409 ", 0), 0u);
  EXPECT_EQ(node->Ask(Post("c1", "certify", "END")).rfind("HTTP/1.1 409 ", 0), 0u);
  waiting->Send(Reply(200, "mine"));
  ASSERT_TRUE(RunUntil(io, [&] { return client->in.ends_with("mine"); }));
  EXPECT_EQ(node->Ask(Get("c1")).rfind("HTTP/1.1 409 ", 0), 0u);
  EXPECT_EQ(backend.requests.size(), 1u);
}

TEST_F(RequestValidationTest, TheIdsRememberedAreBounded) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200)); });
  ListenerLimits limits;
  limits.max_recent_ids = 8;
  node = std::make_unique<Node>(io, TestConfig({EndpointJson("a", backend.address())}), limits);
  const auto client = node->Connect();
  for (int i = 0; i < 30; ++i) {
    client->Send(Get("c" + std::to_string(i)));
    ASSERT_TRUE(RunUntil(io, [&] { return CountOf(client->in, "HTTP/1.1 200 ") == i + 1; }));
    EXPECT_LE(node->listener.recent_ids(), 8u);
  }
  EXPECT_EQ(node->listener.recent_ids(), 8u);
  client->Send(Get("c29"));
  ASSERT_TRUE(RunUntil(io, [&] { return CountOf(client->in, "HTTP/1.1 409 ") == 1; }))
      << "the newest id is kept";
}

// A request that has no time left when it comes, and so is rejected without an attempt.
std::string Expired(std::string request) {
  const std::string time_left = "X-Time-Left-Ms: 900";
  return request.replace(request.find(time_left), time_left.size(), "X-Time-Left-Ms: 0");
}

// Guards against a request that ran twice: while it was executing, its client left, others sent so many
// requests that its id was forgotten, and the client sent it again.
TEST_F(RequestValidationTest, AnIdOfAClientThatLeftIsKeptWhateverOthersSend) {
  Peer busy(io, [](Wire&) {});
  ListenerLimits limits;
  limits.max_recent_ids = 8;
  node = std::make_unique<Node>(io, TestConfig({EndpointJson("a", busy.address())}), limits);
  const auto client = node->Connect();
  client->Send(Post("left", "certify", "END"));
  ASSERT_TRUE(RunUntil(io, [&] { return busy.requests.size() == 1; }));
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return node->listener.connections() == 0; }));
  const auto other = node->Connect();
  for (int i = 0; i < 30; ++i) {
    other->Send(Expired(Get("get-" + std::to_string(i))) +
                Expired(Post("post-" + std::to_string(i), "certify", "END")));
    ASSERT_TRUE(RunUntil(io, [&] { return CountOf(other->in, "HTTP/1.1 503 ") == 2 * (i + 1); }))
        << other->in;
  }
  EXPECT_EQ(node->listener.recent_ids(), 1u) << "rejected requests take no room";
  EXPECT_EQ(node->Ask(Post("left", "certify", "END")).rfind("HTTP/1.1 409 ", 0), 0u);
  EXPECT_EQ(busy.requests.size(), 1u);
}

// A client whose request was never sent to a backend may send it again.
TEST_F(RequestValidationTest, AnIdWithoutAnAttemptMayComeAgain) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Start({EndpointJson("a", backend.address())});
  EXPECT_EQ(node->Ask(Expired(Post("c", "certify", "END"))).rfind("HTTP/1.1 503 ", 0), 0u);
  EXPECT_TRUE(IsServed(node->Ask(Post("c", "certify", "END"))));
  EXPECT_EQ(backend.requests.size(), 1u);
}

// Of a rejected 60 MB body, only the beginning is read.
TEST_F(RequestValidationTest, OnlyALittleIsReadOfABodyThatIsTooLarge) {
  Start({});
  const auto client = node->Connect();
  client->Send("POST /certify HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n");
  const std::string body(60000000, 'x');
  ErrorCode failed;
  std::size_t sent = 0;
  asio::async_write(client->socket, asio::buffer(body), [&](ErrorCode error, std::size_t n) {
    failed = error;
    sent = n;
  });
  ASSERT_TRUE(RunUntil(io, [&] { return failed || sent > 0; }));
  EXPECT_TRUE(failed);
  EXPECT_LT(sent, 30000000u);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
