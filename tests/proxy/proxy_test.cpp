// SPDX-License-Identifier: Apache-2.0
//
// A node between scripted clients and backends: one final answer each, and what is forwarded.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {
namespace {

int Count(const std::string& text, const std::string& what) {
  int n = 0;
  for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; at += what.size()) ++n;
  return n;
}
bool Failed(const std::string& answer) {
  return answer.rfind("HTTP/1.1 500 ", 0) == 0 || answer.rfind("HTTP/1.1 502 ", 0) == 0 ||
         answer.rfind("HTTP/1.1 504 ", 0) == 0;
}
bool Refused(const std::string& answer) { return answer.rfind("HTTP/1.1 503 ", 0) == 0; }
bool Served(const std::string& answer) { return answer.rfind("HTTP/1.1 200 ", 0) == 0; }

class NodeTest : public ::testing::Test {
 protected:
  void Start(std::vector<std::string> known, int sockets = 1024, const std::string& tenants = "[]") {
    node = std::make_unique<Node>(io, TestConfig(known, sockets, tenants));
  }
  asio::io_context io;
  std::unique_ptr<Node> node;
};

TEST_F(NodeTest, ForwardsByteForByteAndAnswersUnchanged) {
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
  EXPECT_TRUE(Served(answer)) << answer;
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

TEST_F(NodeTest, ReusesConnectionsOnBothSides) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200, "ok")); });
  Start({EndpointJson("a", backend.address())});
  const auto client = node->Connect();
  for (int i = 1; i <= 5; ++i) {
    client->Send(Get("c" + std::to_string(i)));
    ASSERT_TRUE(RunUntil(io, [&] { return Count(client->in, "HTTP/1.1 200 ") == i; }));
  }
  EXPECT_EQ(backend.wires.size(), 1u);
  EXPECT_FALSE(client->closed);
}

TEST_F(NodeTest, RequestsThatComeTogetherAreAnsweredInOrder) {
  Peer backend(
      io, [&backend](Wire& wire) { wire.Send(Reply(200, "n" + std::to_string(backend.requests.size()))); });
  Start({EndpointJson("a", backend.address())});
  const auto client = node->Connect();
  client->Send(Get("c1") + Get("c2"));
  ASSERT_TRUE(RunUntil(io, [&] { return Count(client->in, "HTTP/1.1 200 ") == 2; }));
  EXPECT_LT(client->in.find("n1"), client->in.find("n2"));
}

TEST_F(NodeTest, WhatNeverRanIsTriedElsewhere) {
  int asked = 0;
  const auto script = [&](Wire& wire) {
    wire.Send(++asked == 1 ? Reply(503, "", "X-Unprocessed: 1\r\n") : Reply(200, "ok"));
  };
  Peer one(io, script), other(io, script);
  Start({EndpointJson("a", one.address()), EndpointJson("b", other.address())});
  EXPECT_TRUE(Served(node->Ask(Post("c1", "certify", "END"), "ok")));
  EXPECT_EQ(one.requests.size(), 1u);
  EXPECT_EQ(other.requests.size(), 1u);
}

// Nothing takes effect twice, and a refusal would tell the client to send it again.
TEST_F(NodeTest, AnUnsafeRequestThatMayHaveRunFailsAndIsNotSentAgain) {
  Peer broken(io, [](Wire& wire) { wire.Reset(); });
  Start({EndpointJson("a", broken.address()), EndpointJson("b", broken.address())});
  const std::string answer = node->Ask(Post("c1", "certify", "END"));
  EXPECT_TRUE(Failed(answer)) << answer;
  EXPECT_EQ(broken.requests.size(), 1u);
}

TEST_F(NodeTest, ASilentBackendIsAnsweredForBeforeTheClientsTimeRunsOut) {
  Peer silent(io, [](Wire&) {});
  Start({EndpointJson("a", silent.address())});
  const TimePoint began = node->clock.Now();
  const auto client = node->Connect();
  std::string request = Post("c1", "certify", "END");
  client->Send(request.replace(request.find(": 900"), 5, ": 150"));
  ASSERT_TRUE(RunUntil(io, [&] { return !client->in.empty(); }));
  const double took = (node->clock.Now() - began).count();
  EXPECT_TRUE(Failed(client->in)) << client->in;
  EXPECT_GE(took, 140);
  EXPECT_EQ(node->proxy.open_requests(), 0u);
  EXPECT_EQ(node->backends.open_connections(), 0u) << "giving up closes the connection";
  client->Send(Get("c2"));  // and the connection still serves
  ASSERT_TRUE(RunUntil(io, [&] { return silent.requests.size() == 2; }));
}

// No time is left for the module to act in. A refusal: it was never sent, so trying again is harmless.
TEST_F(NodeTest, ARequestWhoseTimeIsUpIsRefusedOnceAndIsNotSent) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Start({EndpointJson("a", backend.address())});
  const auto client = node->Connect();
  std::string request = Get("c1");
  client->Send(request.replace(request.find(": 900"), 5, ": 0") + Get("c2"));
  ASSERT_TRUE(RunUntil(io, [&] { return Count(client->in, "HTTP/1.1 ") == 2; }));
  EXPECT_TRUE(Refused(client->in)) << client->in;
  EXPECT_EQ(node->proxy.counters()[0].rejected, 1u);
  ASSERT_EQ(backend.requests.size(), 1u);
  EXPECT_NE(backend.requests[0].find("c2"), std::string::npos);
}

// With nothing to send to, the module gives up; its answer is not held back, and says when to return.
TEST_F(NodeTest, ARefusalIsAnsweredWhenTheModuleGivesUp) {
  Start({});
  std::string request = Get("c1");
  const TimePoint began = node->clock.Now();
  const std::string answer = node->Ask(request.replace(request.find(": 900"), 5, ": 100"));
  EXPECT_TRUE(Refused(answer)) << answer;
  EXPECT_NE(answer.find("Retry-After: 0.600\r\n"), std::string::npos) << answer;
  EXPECT_GT((node->clock.Now() - began).count(), 0);
}

TEST_F(NodeTest, WhatCannotBeServedGetsAClearAnswerAndReachesNobody) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Start({EndpointJson("a", backend.address())}, 1024, R"([{"name":"acme","quotaPerS":100.0}])");
  const std::string acme = "X-Account: acme\r\n";
  const std::pair<std::string, const char*> cases[] = {
      {"nonsense\r\n\r\n", "400"},
      {"GET http://elsewhere/ HTTP/1.1\r\n\r\n", "400"},
      {Post("c", "other", "END", acme), "400"},    // class
      {Get("c"), "400"},                           // tenant
      {Get("c", "X-Account: nobody\r\n"), "400"},  //
      {Get("", acme), "400"},                      // id
      {Post("c", "convert", "END", acme), "400"},  // keyed, with no key
      {Post("c", "preview", "END", acme), "405"},  // safe to repeat, and no GET
      {Post("c", "certify", "END", acme + "X-Time-Left-Ms: soon\r\n"), "400"},
      {Post("c", "certify", "END", acme + "X-Time-Left-Ms: 99999999999999999999999\r\n"), "400"},
      {Post("c", "certify", "END", acme + "X-Weight-Hint: much\r\n"), "400"},
      {Post("c", "certify", "END", acme + "Idempotency-Key: 1\r\n"), "400"},
      {Post("c", "certify", "END", acme + "Transfer-Encoding: chunked\r\n"), "400"},
      {Post("c", "certify", "END", acme + "Transfer-Encoding: gzip\r\n"), "400"},
      {Post("c", "certify", "END", acme + "Content-Length: 3\r\n"), "400"},
      {Post("c", "certify", "END", acme + "Content-Length: 4\r\n"), "400"},
      {Post("c", "certify", "END", acme + "X-Correlation-Id: d\r\n"), "400"},
      {Post("c d", "certify", "END", acme), "400"},
      {Post("c", "certify", "END", acme + "X-Bare: line\n"), "400"},
      {Get("c", acme + "Content-Length: 3\r\n") + "END", "400"},
      {Get("c", acme + "Transfer-Encoding: xchunked\r\n"), "400"},
      {Get("c", acme + "Content-Length: -3\r\n"), "400"},
      {Get("c", acme + "Content-Length: 99999999999999999999999\r\n"), "400"},
      {"GET /ready HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nEND", "400"},
      {"POST /convert HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: c\r\nX-Service-Class: certify\r\n" + acme +
           "Content-Length: 0\r\n\r\n",
       "400"},
      {Post("c", "certify", std::string(70000, 'x'), acme), "413"},
      {Get("c", acme + "X-Long: " + std::string(40000, 'x') + "\r\n"), "431"}};
  for (auto [request, status] : cases) {
    if (Count(request, "X-Time-Left-Ms") == 2) request.erase(request.find("X-Time-Left-Ms: 900\r\n"), 21);
    const auto client = node->Connect();
    client->Send(request + Get("hidden", acme));  // what comes behind is not looked at
    ASSERT_TRUE(RunUntil(io, [&] { return client->closed; })) << request.substr(0, 200);
    const std::string& answer = client->in;
    EXPECT_EQ(answer.rfind(std::string("HTTP/1.1 ") + status + " ", 0), 0u) << request.substr(0, 200) << "\n"
                                                                            << answer;
    EXPECT_EQ(Count(answer, "HTTP/1.1"), 1);
  }
  EXPECT_EQ(node->proxy.open_requests(), 0u);
  EXPECT_TRUE(backend.wires.empty());
  EXPECT_TRUE(Served(node->Ask(Get("c", acme))));
}

// Two requests of one id could not be told apart at a backend, and the second would count as a repeat.
TEST_F(NodeTest, AnIdThatIsInUseOrWasAMomentAgoIsTurnedAway) {
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

// Within 3 s of connecting: nothing is told from a connection that never says a thing, and half a request
// will not be whole.
TEST_F(NodeTest, TheIdsRememberedAreBounded) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200)); });
  ListenerLimits limits;
  limits.remembered = 8;
  node = std::make_unique<Node>(io, TestConfig({EndpointJson("a", backend.address())}), limits);
  const auto client = node->Connect();
  for (int i = 0; i < 30; ++i) {
    client->Send(Get("c" + std::to_string(i)));
    ASSERT_TRUE(RunUntil(io, [&] { return Count(client->in, "HTTP/1.1 200 ") == i + 1; }));
    EXPECT_LE(node->listener.remembered(), 8u);
  }
  EXPECT_EQ(node->listener.remembered(), 8u);
  client->Send(Get("c29"));
  ASSERT_TRUE(RunUntil(io, [&] { return Count(client->in, "HTTP/1.1 409 ") == 1; })) << "of the newest";
}

// Settings of other kinds of customers. With each, requests of all their classes go through servers that
// reset, turn away, answer and say nothing: each gets one answer in its time, and what may not run twice does
// not.
TEST_F(NodeTest, OtherCustomersSettingsKeepTheRulesToo) {
  const auto cls = [](const std::string& name, const std::string& effect, const std::string& group,
                      int window, int deadline) {
    return R"({"name":")" + name + R"(","effect":")" + effect + R"(","group":")" + group +
           R"(","windowMs":)" + std::to_string(window) + R"(,"goalTimeMs":)" + std::to_string(deadline / 2) +
           R"(,"deadlineMs":)" + std::to_string(deadline) + R"(,"worth":1.0})";
  };
  const std::string safe = cls("look", "read_like", "all", 0, 300);
  const std::string keyed = cls("stamp", "idempotency_key", "cell", 200, 300);
  const std::string unsafe = cls("pay", "non_idempotent", "all", 0, 300);
  std::string many_tenants;
  for (int i = 0; i < 200; ++i)
    many_tenants +=
        (i > 0 ? "," : "") + (R"({"name":"t)" + std::to_string(i) + R"(","quotaPerS":1,"fraction":0.005})");
  struct Customer {
    const char* what;
    std::string classes;
    int attempts = 4;
    const char* tenants = "";
    const char* zones = R"(["port louis","ebene"])";
    int memory_mb = 192;
  };
  const Customer customers[] = {
      {"one class, safe", safe},
      {"one class, unsafe", unsafe},
      {"one class, keyed, no window", cls("stamp", "idempotency_key", "cell", 0, 300)},
      {"keyed, a window under the connect time", cls("stamp", "idempotency_key", "zone", 50, 300)},
      {"all keyed", keyed + "," + cls("seal", "idempotency_key", "all", 1000, 400)},
      {"a deadline of 100 ms",
       cls("look", "read_like", "all", 0, 100) + "," + cls("pay", "non_idempotent", "all", 0, 100)},
      {"retries forbidden", safe + "," + keyed + "," + unsafe, 1},
      {"nine attempts", safe + "," + keyed + "," + unsafe, 9},
      {"many tenants", safe + "," + unsafe, 4, many_tenants.c_str()},
      {"one zone, which servers are not in", safe + "," + keyed, 4, "", R"(["moka"])"},
      {"no zones", safe, 4, "", "[]"},
      {"32 MB", safe + "," + keyed + "," + unsafe, 4, "", R"(["ebene"])", 32},
  };
  for (const Customer& customer : customers) {
    SCOPED_TRACE(customer.what);
    asio::io_context io;                       // what is left of one customer's does not run on in the next's
    std::map<std::string, std::set<int>> ran;  // by id: the groups in which it did
    std::map<std::string, int> times;
    int served = 0;
    std::vector<std::unique_ptr<Peer>> backends;
    std::vector<std::string> known;
    for (int i = 0; i < 4; ++i) {
      backends.push_back(std::make_unique<Peer>(io, [&, i](Wire& wire) {
        const std::string& request = backends[static_cast<std::size_t>(i)]->requests.back();
        const std::size_t at = request.find("X-Correlation-Id: ") + 18;
        const std::string id = request.substr(at, request.find("\r\n", at) - at);
        const int does = served++ % 5;
        if (does == 1) return wire.Send(Reply(503, "", "X-Unprocessed: 1\r\n"));
        ran[id].insert(i / 2), ++times[id];
        if (does == 2) return wire.Reset();
        if (does == 4) return;  // and says nothing
        wire.Send(Reply(200, id));
      }));
      known.push_back(EndpointJson("s-" + std::to_string(i), backends.back()->address(), "Ready", 1 + i / 2));
    }
    std::string text = ConfigJson(known, 1024, "[" + std::string(customer.tenants) + "]");
    const auto set = [&](const std::string& from, const std::string& until, const std::string& to) {
      const std::size_t begin = text.find(from) + from.size();
      text.replace(begin, text.find(until, begin) - begin, to);
    };
    set("\"classes\":[", "],\n\"permissions\"", customer.classes);
    set("\"maxAttempts\":", ",", std::to_string(customer.attempts));
    set("\"zones\":", ",\"kinds\"", customer.zones);
    set("\"memory_mb\":", ",", std::to_string(customer.memory_mb));
    const Config config = ParseConfig(text, [](const char*) { return nullptr; });
    const auto node = std::make_unique<Node>(io, config);
    std::vector<std::pair<std::string, std::shared_ptr<Wire>>> clients;
    for (int i = 0; i < 30; ++i) {
      const std::size_t which = static_cast<std::size_t>(i) % config.classes.size();
      const ClassSettings& settings = config.settings.classes[which];
      const std::string id = "r" + std::to_string(i);
      const bool get = settings.effect == Idempotency::kIdempotent;
      std::string request = std::string(get ? "GET /" : "POST /") + config.classes[which] +
                            "?obj=9 HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: " + id +
                            "\r\nX-Service-Class: " + config.classes[which] + "\r\nX-Time-Left-Ms: " +
                            std::to_string(static_cast<int>(settings.deadline.count())) + "\r\n";
      if (settings.effect == Idempotency::kIdempotencyKey) request += "Idempotency-Key: k" + id + "\r\n";
      if (*customer.tenants) request += "X-Account: t" + std::to_string(i) + "\r\n";
      request += get ? "\r\n" : "Content-Length: 3\r\n\r\nEND";
      clients.emplace_back(id, node->Connect());
      clients.back().second->Send(request);
      RunReady(io);
    }
    for (const auto& [id, client] : clients) {
      ASSERT_TRUE(RunUntil(io, [&] { return client->in.find("\r\n\r\n") != std::string::npos; })) << id;
      EXPECT_EQ(Count(client->in, "HTTP/1.1 "), 1) << client->in;
      EXPECT_TRUE(Served(client->in) || Failed(client->in) || Refused(client->in)) << client->in;
      const std::size_t which = std::stoul(id.substr(1)) % config.classes.size();
      const ClassSettings& settings = config.settings.classes[which];
      EXPECT_LE(times[id], std::min(4, customer.attempts));
      if (settings.effect == Idempotency::kNotIdempotent) {
        EXPECT_LE(times[id], 1);
      }
      if (settings.effect == Idempotency::kIdempotencyKey &&
          settings.group == balancer::DeduplicationScope::kCell) {
        EXPECT_LE(ran[id].size(), 1u);
      }
      if (settings.effect == Idempotency::kIdempotencyKey && settings.window == Duration(0)) {
        EXPECT_LE(times[id], 1) << "nothing remembers it";
      }
      if (Refused(client->in) && settings.effect == Idempotency::kNotIdempotent) {
        EXPECT_EQ(times[id], 0);
      }
    }
    EXPECT_EQ(node->proxy.open_requests(), 0u);
  }
}

TEST_F(NodeTest, SilentAndHalfSentConnectionsAreEnded) {
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
  // Clients count on their connections for 2 s after an answer, and have only so many: those that have asked
  // once and stay must not hold them for good.
  ASSERT_TRUE(RunUntil(io, [&] { return kept->closed; }));
  EXPECT_GE((node->clock.Now() - began).count(), 2000);
}

// Hundreds that connect and say nothing, or half of it, must not keep the others out until their time is up.
TEST_F(NodeTest, AtTheLimitStrangersMakeRoom) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Start({EndpointJson("a", backend.address())}, 64);  // room for 8 clients
  std::vector<std::shared_ptr<Wire>> strangers;
  for (int i = 0; i < 8; ++i) {
    strangers.push_back(node->Connect());
    if (i % 2 == 0) strangers.back()->Send("GET /preview HTTP/1.1\r\n");
  }
  const auto client = node->Connect();
  client->Send(Get("c1"));
  ASSERT_TRUE(RunUntil(io, [&] { return Served(client->in); }));
  EXPECT_LT(std::count_if(strangers.begin(), strangers.end(), [](const auto& wire) { return wire->closed; }),
            8)
      << "not by their time-out";
}

// The rest of 60 MB is not worth its reading.
TEST_F(NodeTest, OfABodyThatWasTurnedAwayOnlyALittleIsRead) {
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

TEST_F(NodeTest, ABodyOfExactlyTheLimitIsServed) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200, std::string(65533, 'y') + "END")); });
  Start({EndpointJson("a", backend.address())});
  const std::string answer = node->Ask(Post("c", "certify", std::string(65533, 'x') + "END"), "END");
  EXPECT_TRUE(Served(answer)) << answer.substr(0, 200);
  EXPECT_EQ(Count(answer, "y"), 65533);
}

// The attempt runs on to its end: it tells the module how the backend does, and keeps the connection.
TEST_F(NodeTest, AClientThatLeavesIsNotedAndItsAttemptEndsProperly) {
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

// Whatever else its connection holds: the next request whole or half, more than can be held, what is no
// request, or what comes behind its last request.
TEST_F(NodeTest, AClientThatLeavesIsSeenBehindWhateverItSentAhead) {
  std::string many;
  for (int i = 0; i < 1000; ++i) many += Get("m" + std::to_string(i));
  const std::pair<const char*, std::string> cases[] = {
      {"nothing", ""},
      {"the next request", Get("n1")},
      {"two more", Get("n1") + Get("n2")},
      {"half a request", "GET /pre"},
      {"more than can be held", many},
      {"far more", many + many + many + many},
      {"what is no request", std::string("\x16\x03\x01 no request\r\n\r\n", 18)},
      {"a body that is too large", "POST /certify HTTP/1.1\r\nContent-Length: 99999999\r\n\r\nxx"},
  };
  for (const bool last : {false, true}) {
    for (const auto& [what, ahead] : cases) {
      SCOPED_TRACE(std::string(what) + (last ? ", behind the last" : ""));
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
      EXPECT_EQ(node->proxy.counters()[0].client_disconnected, 1u) << "not by its time running out";
      EXPECT_EQ(node->listener.connections(), 0u);
      EXPECT_LT((node->clock.Now() - left).count(), 500);
      RunReady(io);
      EXPECT_EQ(backend.requests.size(), 1u) << "what it sent ahead is not sent on";
    }
  }
}

// All that was taken is answered in its order; then the client is told.
TEST_F(NodeTest, WhoSendsFarAheadIsAnsweredAndTold) {
  std::vector<Wire*> waiting;
  Peer backend(io, [&](Wire& wire) {
    if (backend.requests.size() == 1) return waiting.push_back(&wire);
    wire.Send(Reply(200, "ok"));
  });
  Start({EndpointJson("a", backend.address())});
  const auto client = node->Connect();
  // Large requests, so that the exchanges that fit the buffer end well within the time that each request has.
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
  EXPECT_EQ(Count(client->in, "HTTP/1.1 400 "), 1);
  EXPECT_EQ(client->in.find("HTTP/1.1 ", client->in.find("HTTP/1.1 400 ") + 1), std::string::npos);
  EXPECT_EQ(static_cast<std::size_t>(Count(client->in, "HTTP/1.1 200 ")), backend.requests.size());
  EXPECT_GT(backend.requests.size(), 75u);
}

// The connection to a backend takes a second to come up. Its client leaves meanwhile: nothing is written, and
// the backend is not held to have failed.
TEST_F(NodeTest, NothingIsSentForAClientThatLeftWhileItsConnectionCameUp) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200, "ok")); });
  Start({EndpointJson("a", backend.address(), "Ready", 1, 0)});
  std::vector<std::function<void()>> dials;
  node->backends.SetConnector([&](tcp::socket& socket, const tcp::endpoint& address, auto ended) {
    dials.push_back([&socket, address, ended] { socket.async_connect(address, ended); });
  });
  const auto client = node->Connect();
  client->Send(Post("c1", "certify", "END"));
  ASSERT_TRUE(RunUntil(io, [&] { return dials.size() == 1; }));
  client->Close();
  ASSERT_TRUE(RunUntil(io, [&] { return node->proxy.open_requests() == 0; }));
  RunReady(io);
  EXPECT_EQ(node->backends.open_connections(), 0u) << "the dial is given up";
  for (const BackendView& view : node->proxy.Inspect()) {
    EXPECT_EQ(view.in_flight, 0);
    EXPECT_EQ(view.work_in_flight, 0);
    EXPECT_FALSE(view.ejected);
  }
  EXPECT_TRUE(backend.requests.empty());
}

// A client that uses a connection in the very moment of its end sees the end and no reset; what it sent is
// dropped, never sent on.
TEST_F(NodeTest, WhatCrossesTheEndOfAConnectionIsDroppedAndNotReset) {
  for (const bool stop : {true, false}) {
    SCOPED_TRACE(stop ? "stop" : "drain");
    asio::io_context io;
    Peer backend(io, [](Wire& wire) { wire.Send(Reply(200, "ok")); });
    const auto node = std::make_unique<Node>(io, TestConfig({EndpointJson("a", backend.address())}));
    const auto client = node->Connect();
    client->Send(Get("c1"));
    ASSERT_TRUE(RunUntil(io, [&] { return Served(client->in); }));
    bool stopped = false;
    if (stop) {
      node->listener.Stop([&] { stopped = true; });
    } else {
      node->listener.Drain();
    }
    ASSERT_TRUE(RunUntil(io, [&] { return client->closed; }));
    EXPECT_EQ(client->end, asio::error::eof);
    client->Send(Get("c2"));  // it has not seen the end yet, say
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

// One that rests and never closes its side holds a connection that has ended for a bounded time, and the stop
// for no longer.
TEST_F(NodeTest, AClientThatNeverClosesDoesNotHoldUpTheStop) {
  Start({});
  const auto resting = node->Connect();
  RunReady(io);
  bool stopped = false;
  const TimePoint began = node->clock.Now();
  node->listener.Stop([&] { stopped = true; });
  ASSERT_TRUE(RunUntil(io, [&] { return stopped; }));
  EXPECT_GE((node->clock.Now() - began).count(), 1450) << "the door, and a second for the client";
  EXPECT_EQ(node->listener.connections(), 0u);
}

// What was taken while the door is open is answered, also behind another request.
TEST_F(NodeTest, AtTheStopARequestBehindAnotherIsAnsweredToo) {
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
  EXPECT_EQ(Count(client->in, "HTTP/1.1 200 "), 2);
  EXPECT_EQ(Count(client->in, "Connection: close"), 1);
  client->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return stopped; }));
}

// At the limit, connections that have ended and wait for their clients have places of their own, a bounded
// number of them.
TEST_F(NodeTest, ThoseWhoNeverCloseDoNotKeepOthersOut) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Start({EndpointJson("a", backend.address())}, 64);  // room for 8 clients
  std::vector<std::shared_ptr<Wire>> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(node->Connect());
    clients.back()->Send(Get("c" + std::to_string(i)));
    ASSERT_TRUE(RunUntil(io, [&] { return Served(clients.back()->in); })) << i;
    EXPECT_LE(node->listener.connections(), 8u + 16u);
  }
}

TEST_F(NodeTest, AnAnswerAfterTheEndIsNotPassedOn) {
  Wire* waiting = nullptr;
  Peer backend(io, [&](Wire& wire) { waiting = &wire; });
  Start({EndpointJson("a", backend.address())});
  const auto client = node->Connect();
  std::string request = Post("c1", "certify", "END");
  client->Send(request.replace(request.find(": 900"), 5, ": 60"));
  ASSERT_TRUE(RunUntil(io, [&] { return !client->in.empty(); }));
  waiting->Send(Reply(200, "late"));
  RunReady(io);
  EXPECT_EQ(Count(client->in, "HTTP/1.1"), 1);
  EXPECT_EQ(client->in.find("late"), std::string::npos);
}

TEST_F(NodeTest, ReadyOnlyWhenItCanServe) {
  Start({});
  EXPECT_TRUE(Refused(node->Ask("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")));
  Peer backend(io, [](Wire&) {});
  node->Tell(TestConfig({EndpointJson("a", backend.address())}));
  EXPECT_TRUE(Served(node->Ask("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")));
}

TEST_F(NodeTest, AtTheLimitTheOldestIdleClientMakesRoom) {
  Peer backend(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Start({EndpointJson("a", backend.address())}, 64);  // room for 8 clients
  std::vector<std::shared_ptr<Wire>> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(node->Connect());
    clients.back()->Send(Get("c" + std::to_string(i)));
    ASSERT_TRUE(RunUntil(io, [&] { return Served(clients.back()->in); })) << i;
  }
  ASSERT_TRUE(RunUntil(io, [&] { return clients[0]->closed; }));
  EXPECT_FALSE(clients[11]->closed);
}

TEST_F(NodeTest, AtTheStopAllThatWasTakenIsAnswered) {
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
  EXPECT_TRUE(Refused(node->Ask("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")));
  // The front has not noticed yet: new connections, and requests on old ones, are served.
  const auto late = node->Connect();
  late->Send(Get("c2"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 2; }));
  idle->Send(Get("c3"));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 3; }));
  EXPECT_FALSE(stopped);
  EXPECT_LT((node->clock.Now() - began).count(), 400) << "this machine was too slow for the case";
  for (Wire* wire : waiting) wire->Send(Reply(200, "ok"));
  for (const auto& client : {busy, late, idle}) {
    ASSERT_TRUE(RunUntil(io, [&] { return client->closed; }));
    EXPECT_TRUE(Served(client->in));
    EXPECT_NE(client->in.find("Connection: close\r\n"), std::string::npos);
    client->Close();
  }
  ASSERT_TRUE(RunUntil(io, [&] { return stopped; }));
  EXPECT_GT((node->clock.Now() - began).count(), 400);
}

TEST_F(NodeTest, AtTheStopIdleConnectionsAreClosed) {
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
