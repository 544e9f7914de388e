// SPDX-License-Identifier: Apache-2.0
//
// Environment and JSON into settings, and lists in discovery's form.
#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <thread>

#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {
namespace {

const Environment kNothing = [](const char*) { return nullptr; };

std::string Complaint(const std::string& text) {
  try {
    ParseConfig(text, kNothing);
  } catch (const BadConfig& error) {
    return error.what();
  }
  return "";
}
std::string Replaced(std::string text, const std::string& what, const std::string& with) {
  const std::size_t at = text.find(what);
  EXPECT_NE(at, std::string::npos) << what;
  return text.replace(at, what.size(), with);
}

TEST(NodeConfig, NestedJsonBecomesPathsAndValues) {
  const auto value = boost::json::parse(
      R"({"a":{"b":2.5,"none":null},"list":["x y","z"],"empty":[],"items":[{"n":1},{"n":true}]})");
  EXPECT_EQ(Flatten(value), "a.b=2.5E0\nlist=x_y,z\nempty=\nitems.count=2\nitems.0.n=1\nitems.1.n=true\n");
}

TEST(NodeConfig, ReadsWhatTheNodeAndTheModuleNeed) {
  const Config config = TestConfig({EndpointJson("s-1", "127.0.0.1:8080")});
  EXPECT_EQ(config.name, "n1");
  EXPECT_EQ(config.seed, 0xa5u);
  EXPECT_EQ(config.classes, (std::vector<std::string>{"preview", "convert", "certify"}));
  EXPECT_EQ(config.zones, (std::vector<std::string>{"port louis", "ebene"}));
  EXPECT_EQ(config.settings.classes[1].effect, Idempotency::kIdempotencyKey);
  EXPECT_EQ(config.settings.classes[2].effect, Idempotency::kNotIdempotent);
  EXPECT_EQ(config.settings.max_retry_after.count(), 600);
  EXPECT_EQ(config.connect_timeout.count(), 250);
  EXPECT_EQ(config.backend_idle_timeout.count(), 60000);
}

// The platform's file says how long after a drain new requests may still go to a backend. Nothing of that
// time is used (BackendPool::Takes), so the proxy starts whatever it is.
TEST(NodeConfig, TheGraceAfterADrainIsAcceptedAndNotUsed) {
  const std::string with_grace = ConfigJson({});
  EXPECT_EQ(Complaint(with_grace), "");
  EXPECT_EQ(Complaint(Replaced(with_grace, R"(,"drainGraceMs":500.0)", "")), "");
  EXPECT_EQ(Complaint(Replaced(with_grace, R"("drainGraceMs":500.0)", R"("drainGraceMs":null)")), "");
  EXPECT_EQ(Complaint(Replaced(with_grace, R"("drainGraceMs":500.0)", R"("drainGraceMs":1)")), "");
}

TEST(NodeConfig, TheEnvironmentOverridesTheFile) {
  const Config config = ParseConfig(ConfigJson({}), [](const char* name) -> const char* {
    return std::string_view(name) == "ROUTER_LISTEN" ? "127.0.0.9:81" : nullptr;
  });
  EXPECT_EQ(config.listen, *ParseAddress("127.0.0.9:81"));
  EXPECT_EQ(config.discovery, *ParseAddress("127.0.0.1:1"));
}

TEST(NodeConfig, ConnectionsStayWithinTheDescriptors) {
  const Config config = TestConfig({}, 1024);
  EXPECT_LT(config.max_clients + config.max_backend_connections, 1024u - 32u);
  EXPECT_LT(TestConfig({}, 100).max_clients + TestConfig({}, 100).max_backend_connections, 100u - 32u);
}

TEST(NodeConfig, FaultsAreNamedInOneLine) {
  const std::string good = ConfigJson({});
  EXPECT_EQ(Complaint(good), "");
  const std::pair<std::string, std::string> bad[] = {
      {"{", "JSON"},
      {"{}", "settings"},
      {Replaced(good, "127.0.0.1:0", "localhost"), "ROUTER_LISTEN"},
      {Replaced(good, "00000000000000a5", "xyz"), "seed"},
      {Replaced(good, "read_like", "odd"), "classes.0.effect"},
      {Replaced(good, R"("sockets":1024)", R"("sockets":10)"), "sockets"},
      {Replaced(good, R"("connIdleMs":60000.0)", R"("connIdleMs":"long")"), "connIdleMs"}};
  for (const auto& [text, word] : bad) {
    EXPECT_NE(Complaint(text).find(word), std::string::npos) << word << " in: " << Complaint(text);
    EXPECT_EQ(Complaint(text).find('\n'), std::string::npos);
  }
}

TEST(NodeConfig, AddressesWithoutNames) {
  EXPECT_EQ(ParseAddress("10.1.0.18:8080")->port(), 8080);
  EXPECT_TRUE(ParseAddress("[::1]:80")->address().is_v6());
  for (const char* bad :
       {"", "8080", "10.1.0.18", "10.1.0.18:", "10.1.0.18:99999", "10.1.0.18:80x", "host:80"})
    EXPECT_FALSE(ParseAddress(bad)) << bad;
}

class ListTest : public ::testing::Test {
 protected:
  EndpointList Read(const std::string& text) { return reader.Read(boost::json::parse(text)).value(); }
  EndpointListReader reader{TestConfig({})};
};

TEST_F(ListTest, EntriesBecomeTheModules) {
  const EndpointList list =
      Read(ListJson(43, false, {EndpointJson("s-1", "127.0.0.1:81", "Terminating", 3, 1.7e12)}));
  EXPECT_FALSE(list.snapshot);
  EXPECT_EQ(reader.version(), 43u);
  ASSERT_EQ(list.endpoints.size(), 1u);
  const BackendEntry& entry = list.endpoints[0].entry;
  EXPECT_EQ(entry.state, BackendState::kDraining);
  EXPECT_EQ(entry.zone, 1);
  EXPECT_EQ(entry.kind, 0);
  EXPECT_EQ(entry.cell, 3);
  EXPECT_EQ(entry.up_since.time_since_epoch().count(), 1.7e12);
  EXPECT_EQ(list.endpoints[0].address, *ParseAddress("127.0.0.1:81"));
}

// A start some seconds before this node's own must be as old by the node's clock, or a cold backend passes
// for a warm one.
TEST(NodeClockTest, ReadsAsUnixTime) {
  const ProxyClock clock;
  const Duration unix_now(std::chrono::system_clock::now().time_since_epoch());
  EXPECT_NEAR((clock.Now().time_since_epoch() - unix_now).count(), 0, 2000);
  const TimePoint soon = clock.Now() + Duration(7.25);
  EXPECT_GE(clock.ToSteady(soon) - ProxyClock::Steady::now(), std::chrono::milliseconds(-2000));
}

TEST_F(ListTest, IdsAreStablePerNameAndTheSameAtEveryProxy) {
  const auto a =
      Read(ListJson(1, true, {EndpointJson("s-1", "127.0.0.1:81"), EndpointJson("s-2", "127.0.0.1:82")}));
  const auto b = Read(ListJson(2, false, {EndpointJson("s-2", "127.0.0.1:99")}));
  EXPECT_EQ(a.endpoints[1].entry.server, b.endpoints[0].entry.server);
  EXPECT_NE(a.endpoints[0].entry.server, a.endpoints[1].entry.server);
  EndpointListReader other{TestConfig({})};
  const auto c =
      other.Read(boost::json::parse(ListJson(1, true, {EndpointJson("s-2", "127.0.0.3:1")}))).value();
  EXPECT_EQ(c.endpoints[0].entry.server, a.endpoints[1].entry.server);
}

TEST_F(ListTest, NamesThatAreGoneAreForgotten) {
  for (int i = 0; i < 50; ++i) {
    const std::string name = "s-" + std::to_string(i);
    Read(ListJson(2 * i + 1, false, {EndpointJson(name, "127.0.0.1:81")}));
    if (i % 2 == 0) Read(ListJson(2 * i + 2, false, {R"({"name":")" + name + R"(","status":"Gone"})"}));
  }
  EXPECT_EQ(reader.name_count(), 25u);
  const auto again = Read(ListJson(200, true, {EndpointJson("s-0", "127.0.0.1:81")}));
  EXPECT_EQ(reader.name_count(), 1u);
  EndpointListReader other{TestConfig({})};
  EXPECT_EQ(other.Read(boost::json::parse(ListJson(1, true, {EndpointJson("s-0", "127.0.0.1:81")})))
                .value()
                .endpoints[0]
                .entry.server,
            again.endpoints[0].entry.server);
}

TEST_F(ListTest, AGoneEntryNeedsNoAddressAndAnUnknownStatusIsNoLeaveToSend) {
  const auto list = Read(
      R"({"index":2,"snapshot":false,"endpoints":[{"name":"a","status":"Gone"},{"name":"b","status":"New","address":"127.0.0.1:1"}]})");
  EXPECT_EQ(list.endpoints[0].entry.state, BackendState::kGone);
  EXPECT_EQ(list.endpoints[1].entry.state, BackendState::kDraining);
}

TEST_F(ListTest, WhatIsNoListChangesNothing) {
  Read(ListJson(5, true, {}));
  for (const char* bad :
       {"[]", "{}", R"({"index":6,"snapshot":true})", R"({"index":6,"snapshot":1,"endpoints":[]})",
        R"({"index":6,"snapshot":true,"endpoints":[{"name":"x","status":"Ready","address":"nowhere"}]})"})
    EXPECT_ANY_THROW(Read(bad)) << bad;
  EXPECT_EQ(reader.version(), 5u);
}

// ---- the watch ----------------------------------------------------------------------------------------
class WatchTest : public ::testing::Test {
 protected:
  // A chunk of the watch's answer.
  static std::string Chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  static std::string Head() { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; }

  std::unique_ptr<Discovery> Start(Peer& peer, bool ask = false, Discovery::Timing timing = {}) {
    return Start(io, peer, ask, timing);
  }
  std::unique_ptr<Discovery> Start(asio::io_context& on, Peer& peer, bool ask, Discovery::Timing timing) {
    EndpointListReader reader{TestConfig({})};
    reader.Read(boost::json::parse(ListJson(41, true, {}))).value();
    auto discovery = std::make_unique<Discovery>(
        on, peer.endpoint(), std::move(reader), ask, 1, [this](EndpointList list) { lists.push_back(list); },
        [this] { ++failures; }, timing);
    discovery->Watch();
    return discovery;
  }

  asio::io_context io;
  std::vector<EndpointList> lists;
  int failures = 0;
};

TEST_F(WatchTest, BeginsAtTheKnownIndexAndReadsLinesOverAnyChunks) {
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
  // Several in one chunk, the last of them not whole yet.
  peer.wires[0]->Send(Chunk(ListJson(44, false, {}) + "\n" + ListJson(45, false, {}) + "\n{\"index\""));
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 4; }));
}

TEST_F(WatchTest, ComesBackFromWhereItWas) {
  Peer peer(io, [](Wire& wire) {
    wire.Send(Head() + Chunk(ListJson(50, false, {}) + "\n"));
    wire.Close();
  });
  const auto discovery = Start(peer);
  ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() == 2; }));
  EXPECT_NE(peer.requests[1].find("index=50 "), std::string::npos);
}

TEST(JsonStreamTest, WhatIsNoObjectOrTooLongIsTurnedAway) {
  for (const std::string& bad : {std::string("[]"), std::string("7"), std::string("{\"a\":}"),
                                 std::string("{} x"), "{\"a\":\"" + std::string(200, 'x') + "\"}"}) {
    JsonStream values(100);
    std::string_view bytes = bad;
    EXPECT_THROW(
        {
          while (values.Next(bytes).value() == JsonStream::Item::kObject) values.Take();
        },
        std::runtime_error)
        << bad;
  }
  JsonStream values(100);
  const std::string good = "\n{\"a\":1}\n";
  std::string_view bytes = good;
  EXPECT_EQ(values.Next(bytes).value(), JsonStream::Item::kEmptyLine);
  EXPECT_EQ(values.Next(bytes).value(), JsonStream::Item::kObject);
  EXPECT_EQ(values.Take().at("a").as_int64(), 1);
  EXPECT_EQ(values.Next(bytes).value(), JsonStream::Item::kNone);
}

TEST_F(WatchTest, ListsMayComeIndented) {
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

// Half a list, blanks within a line: none of it is a word.
TEST_F(WatchTest, WhatTricklesWithoutAWordIsSilent) {
  const std::string halves[] = {ListJson(42, false, {EndpointJson("s-1", "127.0.0.1:81")}).substr(0, 60), ""};
  for (const std::string& half : halves) {
    asio::io_context io;  // a watch lasts as long as what it runs on
    Peer peer(io, [&](Wire& wire) { wire.Send(Head() + (half.empty() ? "" : Chunk(half))); });
    Discovery::Timing timing;
    timing.message_timeout = std::chrono::milliseconds(100);
    const auto discovery = Start(io, peer, false, timing);
    ASSERT_TRUE(RunUntil(io, [&] {
      if (!peer.wires.empty() && !peer.wires.back()->closed && !peer.requests.empty())
        peer.wires.back()->Send(Chunk(" "));
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      return peer.requests.size() >= 3;
    })) << half;
    EXPECT_TRUE(lists.empty());
  }
}

TEST_F(WatchTest, HeartbeatsKeepIt) {
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

// With the times of a real one: the watch falls silent, the call after that gets no answer, nor does the
// connection after that; the next that is answered comes less than 6 s after the last word.
TEST_F(WatchTest, ADiscoveryThatCanBeReachedIsHeardWithin6SecondsOfItsLastWord) {
  for (const bool ask : {false, true}) {
    asio::io_context io;  // a watch lasts as long as what it runs on
    lists.clear();
    std::optional<std::chrono::steady_clock::time_point> last_word;
    Peer peer(io, [&](Wire& wire) {
      if (peer.requests.size() == 2) return;
      wire.Send(Head() + Chunk(ListJson(42, false, {}) + "\n"));
      if (!last_word) last_word = std::chrono::steady_clock::now();
    });
    EndpointListReader reader{TestConfig({})};
    std::optional<Discovery> discovery;
    asio::steady_timer again(io);
    discovery.emplace(
        io, peer.endpoint(), std::move(reader), ask, 1, [this](EndpointList list) { lists.push_back(list); },
        [&] {  // as the module does at the latest, after a first failure and a second
          again.expires_after(std::chrono::milliseconds(++failures == 1 ? 500 : 800));
          again.async_wait([&](ErrorCode error) {
            if (!error) discovery->Watch();
          });
        },
        Discovery::Timing::For(ask));
    failures = 0;
    discovery->Watch();
    ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 2; }));
    EXPECT_EQ(peer.requests.size(), 3u);
    EXPECT_LT(std::chrono::steady_clock::now() - *last_word, std::chrono::milliseconds(ask ? 6000 : 4500));
  }
}

// Where lists are asked for, calls wait for their turn: one that waits is not thrown away for the next.
TEST_F(WatchTest, ACallThatWaitsIsNotReplaced) {
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
  discovery->Watch();  // it is open now, and may be opened anew
  ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() == 2; }));
}

// While discovery is down, each try ends soon, and it is heard again well within the time that a drain is
// given after its return.
TEST_F(WatchTest, ADiscoveryThatReturnsIsHeardAtOnce) {
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

// A discovery that is cut off says nothing, and its connection stays open.
TEST_F(WatchTest, ASilentWatchIsOpenedAgain) {
  Peer peer(io, [](Wire& wire) { wire.Send(Head()); });
  Discovery::Timing timing;
  timing.message_timeout = std::chrono::milliseconds(50);
  const auto discovery = Start(peer, false, timing);
  ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() >= 3; }));
}

// What a spoilt line held is missing from then on, unless the whole list is asked for.
TEST_F(WatchTest, AfterALineThatIsNoListTheWholeListIsAskedFor) {
  Peer peer(io, [](Wire& wire) { wire.Send(Head() + Chunk("{\"index\":44}\n")); });
  const auto discovery = Start(peer);
  ASSERT_TRUE(RunUntil(io, [&] { return peer.requests.size() == 2; }));
  EXPECT_NE(peer.requests[1].find("index=0 "), std::string::npos);
  EXPECT_TRUE(lists.empty());
}

TEST_F(WatchTest, WhereTheModuleAsksItIsToldOfAFailureAndDecides) {
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
