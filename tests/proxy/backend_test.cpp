// SPDX-License-Identifier: Apache-2.0
//
// Attempts and the pool, against scripted backends: each outcome of the protocol's table, once each.
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {
namespace {

constexpr BackendId kServer = 5;

class BackendTest : public ::testing::Test {
 protected:
  EndpointList ListOf(tcp::endpoint address, BackendState state = BackendState::kReady) {
    EndpointList list;
    list.endpoints.push_back({});
    list.endpoints.back().entry.server = kServer;
    list.endpoints.back().entry.state = state;
    list.endpoints.back().address = std::move(address);
    return list;
  }
  // Connections need no rest, but where a test is about that.
  static BackendPool::Limits WithoutRest() {
    BackendPool::Limits limits;
    limits.min_idle_after_unsolicited = Duration(0);
    return limits;
  }
  void Use(Peer& peer, BackendPool::Limits limits = WithoutRest()) {
    backends = std::make_unique<BackendPool>(io, clock, limits);
    backends->Update(ListOf(peer.endpoint()));
  }
  void Send(Duration timeout = Duration(10000), const std::string& body = "") {
    auto request = std::make_shared<ForwardedRequest>();
    request->method = body.empty() ? boost::beast::http::verb::get : boost::beast::http::verb::post;
    request->target = "/preview?obj=1";
    request->correlation_id = "c" + std::to_string(sent++);
    request->body = body;
    backends->Send(kServer, request, timeout, TimePoint::max(),
                   [this](AttemptResult result) { results.push_back(result); });
  }
  // The one result of one more attempt.
  Outcome Outcome1(Duration timeout = Duration(10000)) {
    const std::size_t before = results.size();
    Send(timeout);
    EXPECT_EQ(results.size(), before) << "ended from within the call";
    EXPECT_TRUE(RunUntil(io, [&] { return results.size() > before; }));
    RunReady(io);
    EXPECT_EQ(results.size(), before + 1) << "ended more than once";
    return results.size() > before ? results.back().outcome : Outcome::kUnknown;
  }

  asio::io_context io;
  ProxyClock clock;
  std::unique_ptr<BackendPool> backends;
  std::vector<AttemptResult> results;
  int sent = 0;
};

TEST_F(BackendTest, AnswersMapToOutcomes) {
  std::string reply;
  Peer peer(io, [&](Wire& wire) { wire.Send(reply); });
  Use(peer);
  const std::pair<std::string, Outcome> cases[] = {
      {Reply(200, "hello"), Outcome::kOk},
      {Reply(500), Outcome::kError},
      {Reply(503, "", "X-Unprocessed: 1\r\n"), Outcome::kRejected},
      {Reply(504, "", "X-Unprocessed: 1\r\n"), Outcome::kRejected},
      {Reply(503), Outcome::kError},  // nothing proves that it never ran
      {Reply(504, "", "X-Unprocessed: 0\r\n"), Outcome::kError},
      {Reply(500, "", "X-Unprocessed: 1\r\n"), Outcome::kError},
      {Reply(404), Outcome::kError},
  };
  for (const auto& [text, outcome] : cases) {
    reply = text;
    EXPECT_EQ(Outcome1(), outcome) << text;
  }
  EXPECT_EQ(results[0].body, "hello");
  EXPECT_EQ(peer.wires.size(), 1u) << "a connection is kept whatever the answer says";
}

TEST_F(BackendTest, WhatAnAnswerSaysOfItsLoadIsBroughtWhereItIsWanted) {
  Peer peer(io, [&](Wire& wire) {
    wire.Send(Reply(200, "x", "X-Backend-Load: inflight=7,util=0.61" + std::string(400, '0') + "\r\n"));
  });
  Use(peer);
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  EXPECT_EQ(results.back().load_report, "");
  backends->RecordLoadReports();
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  EXPECT_EQ(results.back().load_report.rfind("inflight=7,util=0.61", 0), 0u);
  EXPECT_EQ(results.back().load_report.size(), 200u);  // and no more of what is not believed
}

TEST_F(BackendTest, RefusedIsCouldNotConnect) {
  Peer peer(io, [](Wire&) {});
  Use(peer);
  peer.Refuse();
  EXPECT_EQ(Outcome1(), Outcome::kConnectFailed);
  EXPECT_EQ(backends->open_connections(), 0u);
}

TEST_F(BackendTest, UnknownServerIsCouldNotConnect) {
  backends = std::make_unique<BackendPool>(io, clock, BackendPool::Limits{});
  EXPECT_EQ(Outcome1(), Outcome::kConnectFailed);
}

// A listener whose queue is full never answers: the settings' time is all that ends the wait.
TEST_F(BackendTest, ConnectTakesNoLongerThanTheSettingsSay) {
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
  backends = std::make_unique<BackendPool>(io, clock, limits);
  backends->Update(ListOf(full.local_endpoint()));
  RunReady(io);
  EXPECT_EQ(Outcome1(), Outcome::kConnectFailed);

  // Nor a quarter of the attempt's own time: the rest is for another backend.
  limits.connect_timeout = Duration(60000);
  backends = std::make_unique<BackendPool>(io, clock, limits);
  backends->Update(ListOf(full.local_endpoint()));
  const TimePoint began = clock.Now();
  EXPECT_EQ(Outcome1(Duration(2000)), Outcome::kConnectFailed);
  EXPECT_LT((clock.Now() - began).count(), 1500);
}

TEST_F(BackendTest, BrokenAfterTheRequestIsAReset) {
  std::function<void(Wire&)> script = [](Wire& wire) { wire.Reset(); };
  Peer peer(io, [&](Wire& wire) { script(wire); });
  Use(peer);
  EXPECT_EQ(Outcome1(), Outcome::kReset);
  script = [](Wire& wire) { wire.Close(); };
  EXPECT_EQ(Outcome1(), Outcome::kReset);
  EXPECT_EQ(peer.requests.size(), 2u) << "sent again by itself";
}

TEST_F(BackendTest, HalfReadAnswerIsAReset) {
  Peer peer(io, [](Wire& wire) {
    wire.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    wire.Close();
  });
  Use(peer);
  EXPECT_EQ(Outcome1(), Outcome::kReset);
  EXPECT_EQ(results.back().body, "");
}

TEST_F(BackendTest, AnswersWhoseEndIsNotCertainAreNone) {
  std::string reply;
  Peer peer(io, [&](Wire& wire) {
    wire.Send(reply);
    wire.Close();
  });
  Use(peer);
  for (const char* text :
       {"HTTP/1.1 200 OK\r\n\r\nto the end",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n", "ICY 200 OK\r\n\r\n", "\x81\x02noise\r\n\r\n"}) {
    reply = text;
    EXPECT_EQ(Outcome1(), Outcome::kReset) << text;
  }
  reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  EXPECT_EQ(results.back().body, "ok");
}

TEST_F(BackendTest, InterimAnswersAreSkippedWithinBounds) {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  std::string reply = interim + "HTTP/1.1 102 Processing\r\n\r\n" + Reply(200, "the one");
  Peer peer(io, [&](Wire& wire) { wire.Send(reply); });
  Use(peer);
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  EXPECT_EQ(results.back().body, "the one");
  reply.clear();
  for (int i = 0; i < 100; ++i) reply += interim;
  EXPECT_EQ(Outcome1(), Outcome::kReset);
  EXPECT_EQ(peer.wires.size(), 1u) << "the first answer left the connection in order";
}

// An answer that stops short on a connection that stays open: the rest of the client's time is for another
// try.
TEST_F(BackendTest, AnAnswerThatStopsShortIsGivenUpEarly) {
  Peer peer(io, [](Wire& wire) { wire.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"); });
  BackendPool::Limits limits;
  limits.connect_timeout = Duration(50);
  Use(peer, limits);
  EXPECT_EQ(Outcome1(Duration(60000)), Outcome::kReset) << "and no time-out, long before it";
}

// What comes before the request is whole was not said to this request.
TEST_F(BackendTest, AnAnswerAheadOfTheRequestIsNone) {
  tcp::acceptor hasty(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  hasty.set_option(asio::socket_base::receive_buffer_size(4096));
  tcp::socket accepted(io);
  hasty.async_accept(accepted, [&](ErrorCode) { asio::write(accepted, asio::buffer(Reply(200, "early"))); });
  backends = std::make_unique<BackendPool>(io, clock, BackendPool::Limits{});
  backends->Update(ListOf(hasty.local_endpoint()));
  Send(Duration(10000), std::string(32 << 20, 'x'));
  ASSERT_TRUE(RunUntil(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].outcome, Outcome::kConnectFailed);
  EXPECT_EQ(results[0].body, "");
}

// A second copy or noise behind a good answer would pass for the answer to the next request.
TEST_F(BackendTest, WhatComesBehindAGoodAnswerEndsTheConnection) {
  std::string behind;
  Peer peer(io, [&](Wire& wire) { wire.Send(Reply(200, "mine") + behind); });
  Use(peer);
  std::size_t connections = 0;
  for (const std::string& more : {Reply(200, "another's"), std::string("noise"), std::string("H")}) {
    behind = more;
    EXPECT_EQ(Outcome1(), Outcome::kOk);
    EXPECT_EQ(results.back().body, "mine");
    EXPECT_EQ(peer.wires.size(), ++connections);
    EXPECT_EQ(backends->open_connections(), 0u);
  }
}

// The beginning of a head, on an idle connection: a parser that had begun on it would wait for the rest, and
// take that for the next answer.
TEST_F(BackendTest, AConnectionThatSpeaksWhileIdleIsNotUsed) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200, "ok")); });
  Use(peer);
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  peer.wires[0]->Send("HTTP/1.1 2");
  EXPECT_TRUE(RunUntil(io, [&] { return backends->open_connections() == 0; }));
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  peer.wires[1]->Send("HTTP/1.1 2");  // and at once, before its wait has had its turn:
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  EXPECT_EQ(peer.wires.size(), 3u);
}

// All day long backends go and others come.
TEST_F(BackendTest, WhatIsGoneIsForgotten) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Use(peer);
  for (BackendId id = 100; id < 200; ++id) {
    EndpointList list = ListOf(peer.endpoint());
    list.snapshot = true;
    list.endpoints.push_back(list.endpoints[0]);
    list.endpoints[1].entry.server = id;
    backends->Update(list);
  }
  EXPECT_EQ(backends->backend_count(), 2u);
  backends->Update(ListOf(peer.endpoint(), BackendState::kGone));
  EXPECT_EQ(backends->backend_count(), 1u);
  backends->Update(ListOf(peer.endpoint()));
  EXPECT_EQ(Outcome1(), Outcome::kOk);
}

// A new backend at the address of one that has gone is another one: the old one's connection stays the old
// one's.
TEST_F(BackendTest, ANewBackendAtAnOldAddressGetsItsOwnConnections) {
  std::vector<Wire*> waiting;
  Peer peer(io, [&](Wire& wire) { waiting.push_back(&wire); });
  Use(peer);
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 1; }));
  EndpointList list = ListOf(peer.endpoint());
  list.snapshot = true;
  list.endpoints[0].entry.server = kServer + 1;
  backends->Update(list);
  waiting[0]->Send(Reply(200, "old"));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 1; }));
  EXPECT_EQ(results[0].outcome, Outcome::kOk);
  EXPECT_EQ(backends->open_connections(), 0u) << "not kept for the new one";
}

TEST_F(BackendTest, AnAnswerBeyondTheBodyLimitIsNone) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200, std::string(70000, 'x'))); });
  Use(peer);
  EXPECT_EQ(Outcome1(), Outcome::kReset);
}

// What the backend can't have read whole never ran: nobody reads here, and the request is larger than what
// the kernel holds for it.
TEST_F(BackendTest, AnUnfinishedRequestNeverRan) {
  tcp::acceptor silent(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  silent.set_option(asio::socket_base::receive_buffer_size(4096));
  tcp::socket accepted(io);
  silent.async_accept(accepted, [](ErrorCode) {});
  backends = std::make_unique<BackendPool>(io, clock, BackendPool::Limits{});
  backends->Update(ListOf(silent.local_endpoint()));
  Send(Duration(200), std::string(32 << 20, 'x'));
  ASSERT_TRUE(RunUntil(io, [&] { return !results.empty(); }));
  RunReady(io);
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].outcome, Outcome::kConnectFailed);
}

TEST_F(BackendTest, TimedOutClosesTheConnectionAndIsNotReused) {
  Peer peer(io, [](Wire&) {});
  Use(peer);
  EXPECT_EQ(Outcome1(Duration(30)), Outcome::kTimeout);
  EXPECT_EQ(backends->open_connections(), 0u);
  EXPECT_TRUE(RunUntil(io, [&] { return peer.wires[0]->closed; }));
}

// A machine that vanishes leaves its connections open: after a time-out, those that were idle all along go.
TEST_F(BackendTest, AfterATimeOutTheIdleConnectionsAreNotTrusted) {
  std::vector<Wire*> waiting;
  Peer peer(io, [&](Wire& wire) { waiting.push_back(&wire); });
  Use(peer);
  Send();
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 2; }));
  for (Wire* wire : waiting) wire->Send(Reply(200));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  EXPECT_EQ(backends->open_connections(), 2u);
  EXPECT_EQ(Outcome1(Duration(30)), Outcome::kTimeout);
  EXPECT_EQ(backends->open_connections(), 0u);
}

TEST_F(BackendTest, ACancelledAttemptEndsOnceAndNoOtherDoes) {
  std::vector<Wire*> waiting;
  Peer peer(io, [&](Wire& wire) { waiting.push_back(&wire); });
  Use(peer);
  auto request = std::make_shared<ForwardedRequest>();
  request->target = "/preview";
  const auto send = [&] {
    return backends->Send(kServer, request, Duration(10000), TimePoint::max(),
                          [this](AttemptResult result) { results.push_back(result); });
  };
  const BackendPool::AttemptHandle first = send();
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 1; }));
  waiting[0]->Send(Reply(200));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 1; }));
  const BackendPool::AttemptHandle second = send();  // on the same connection
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 2; }));
  backends->Cancel(first);
  RunReady(io);
  EXPECT_EQ(results.size(), 1u);
  backends->Cancel(second);
  backends->Cancel(second);
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  RunReady(io);
  EXPECT_EQ(results[1].outcome, Outcome::kCancelled);
  EXPECT_EQ(results.size(), 2u);
  EXPECT_EQ(backends->open_connections(), 0u) << "giving up closes the connection";
}

TEST_F(BackendTest, NewestIdleConnectionComesFirst) {
  std::vector<Wire*> waiting;
  Peer peer(io, [&](Wire& wire) { waiting.push_back(&wire); });
  Use(peer);
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

// A request on a connection that the backend has closed would end as a reset that may have run.
TEST_F(BackendTest, AClosedIdleConnectionIsNotUsed) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Use(peer);
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  peer.wires[0]->Close();  // and at once, before the pending read has had its turn:
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  EXPECT_EQ(peer.wires.size(), 2u);
  peer.wires[1]->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return backends->open_connections() == 0; }))
      << "the pending read sees the close";
}

TEST_F(BackendTest, IdleConnectionsAreRetiredBeforeTheBackendsLimit) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  BackendPool::Limits limits;
  limits.idle_timeout = Duration(200);
  Use(peer, limits);
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  const TimePoint idle_since = clock.Now();
  ASSERT_TRUE(RunUntil(io, [&] { return backends->open_connections() == 0; }));
  EXPECT_GE((clock.Now() - idle_since).count(), 140);
}

// A backend that answers twice does so some milliseconds apart: the second answer must not become that of the
// next request, whose connection was taken up in between.
TEST_F(BackendTest, ASecondAnswerIsNotTheNextRequests) {
  std::string reply = Reply(200, "first");
  Peer peer(io, [&](Wire& wire) { wire.Send(reply); });
  BackendPool::Limits limits;
  Use(peer, limits);
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  EXPECT_EQ(peer.wires.size(), 1u) << "nothing has been seen of that: no connection needs rest";
  peer.wires[0]->Send(reply);  // while it is idle
  ASSERT_TRUE(RunUntil(io, [&] { return backends->open_connections() == 0; }))
      << "what has spoken unasked is closed";

  EXPECT_EQ(Outcome1(), Outcome::kOk);
  reply = Reply(200, "second");
  Send();  // at once
  peer.wires[1]->Send(Reply(200, "first"));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 4; }));
  EXPECT_EQ(results[3].outcome, Outcome::kOk);
  EXPECT_EQ(results[3].body, "second");
  EXPECT_EQ(peer.wires.size(), 3u);
  ASSERT_TRUE(RunUntil(io, [&] { return backends->open_connections() == 1; }));
  const TimePoint rested = clock.Now() + limits.min_idle_after_unsolicited;
  ASSERT_TRUE(RunUntil(io, [&] { return clock.Now() > rested; }));
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  EXPECT_EQ(peer.wires.size(), 3u) << "what has rested is used again";
}

// Which connection it goes out on is no matter; what counts is the moment of its first byte.
TEST_F(BackendTest, WhatIsTooLateIsNotBegun) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Use(peer);
  auto request = std::make_shared<ForwardedRequest>();
  request->target = "/preview";
  const auto send = [&](TimePoint begin_before) {
    backends->Send(kServer, request, Duration(10000), begin_before,
                   [this](AttemptResult result) { results.push_back(result); });
  };
  // It passes while the connection comes up, as on a busy machine.
  const TimePoint passed = clock.Now() + Duration(5);
  send(passed);
  while (clock.Now() < passed) {
  }
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 1; }));
  EXPECT_EQ(results[0].outcome, Outcome::kConnectFailed);
  RunReady(io);
  EXPECT_TRUE(peer.requests.empty());
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  send(clock.Now());  // on the idle connection
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 3; }));
  EXPECT_EQ(results[2].outcome, Outcome::kConnectFailed);
  RunReady(io);
  EXPECT_EQ(peer.requests.size(), 1u);
}

// It counts at the backend when its last byte has come: a repeat that is half written when its window is over
// must not be whole later.
TEST_F(BackendTest, WhatIsHalfWrittenWhenItsTimeIsOverNeverRuns) {
  tcp::acceptor slow(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  slow.set_option(asio::socket_base::receive_buffer_size(4096));
  tcp::socket accepted(io);
  slow.async_accept(accepted, [](ErrorCode) {});
  backends = std::make_unique<BackendPool>(io, clock, BackendPool::Limits{});
  backends->Update(ListOf(slow.local_endpoint()));
  auto request = std::make_shared<ForwardedRequest>();
  request->method = boost::beast::http::verb::post;
  request->target = "/convert";
  request->body = std::string(32 << 20, 'x');
  const TimePoint began = clock.Now();
  backends->Send(kServer, request, Duration(60000), clock.Now() + Duration(100),
                 [this](AttemptResult result) { results.push_back(result); });
  ASSERT_TRUE(RunUntil(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].outcome, Outcome::kConnectFailed);
  EXPECT_GE((clock.Now() - began).count(), 100);
}

// Its request is over: what has not begun never runs, and is no failure of the backend; what is half written
// is cut off; what has been written whole goes on.
TEST_F(BackendTest, AWithdrawnAttemptIsNotBegun) {
  std::vector<Wire*> waiting;
  Peer peer(io, [&](Wire& wire) { waiting.push_back(&wire); });
  Use(peer);
  auto request = std::make_shared<ForwardedRequest>();
  request->target = "/preview";
  const auto send = [&] {
    return backends->Send(kServer, request, Duration(10000), TimePoint::max(),
                          [this](AttemptResult result) { results.push_back(result); });
  };
  const BackendPool::AttemptHandle connecting = send();
  backends->Withdraw(connecting);
  backends->Withdraw(connecting);
  EXPECT_TRUE(results.empty()) << "ended from within the call";
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 1; }));
  EXPECT_EQ(results[0].outcome, Outcome::kNotSent);
  RunReady(io);
  EXPECT_TRUE(peer.requests.empty());
  EXPECT_EQ(backends->open_connections(), 0u);

  const BackendPool::AttemptHandle whole = send();
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 1; }));
  backends->Withdraw(whole);
  RunReady(io);
  EXPECT_EQ(results.size(), 1u);
  waiting[0]->Send(Reply(200));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  EXPECT_EQ(results[1].outcome, Outcome::kOk);

  backends->Withdraw(whole);  // it has ended, and its connection has another
  const BackendPool::AttemptHandle other = send();
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 2; }));
  backends->Withdraw(whole);
  waiting[1]->Send(Reply(200));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 3; }));
  EXPECT_EQ(results[2].outcome, Outcome::kOk);

  request->method = boost::beast::http::verb::post;
  request->body = std::string(32 << 20, 'x');
  peer.wires.back()->on_data = [](Wire&) {};
  const BackendPool::AttemptHandle half = send();
  backends->Withdraw(half);
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 4; }));
  EXPECT_EQ(results[3].outcome, Outcome::kNotSent);
  EXPECT_EQ(backends->open_connections(), 0u);
}

// A proxy that has no descriptor left can't connect to any backend; none of them is to blame.
TEST_F(BackendTest, WithoutADescriptorOfItsOwnNoBackendIsToBlame) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Use(peer);
  std::vector<int> taken;
  rlimit before;
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  rlimit few = before;
  few.rlim_cur = 64;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &few), 0);
  for (int fd; (fd = dup(0)) >= 0;) taken.push_back(fd);
  const Outcome outcome = Outcome1();
  for (const int fd : taken) close(fd);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
  EXPECT_EQ(outcome, Outcome::kNotSent);
  EXPECT_EQ(backends->open_connections(), 0u);
  EXPECT_EQ(Outcome1(), Outcome::kOk);
}

TEST_F(BackendTest, FewSparesAreKept) {
  std::vector<Wire*> waiting;
  Peer peer(io, [&](Wire& wire) { waiting.push_back(&wire); });
  BackendPool::Limits limits;
  limits.max_idle_per_backend = 2;
  Use(peer, limits);
  for (int i = 0; i < 5; ++i) Send();
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 5; }));
  for (Wire* wire : waiting) wire->Send(Reply(200));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 5; }));
  EXPECT_EQ(backends->open_connections(), 2u);
}

TEST_F(BackendTest, AtTheLimitTheOldestIdleMakesRoomAndElseItCannotConnect) {
  Peer first(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Peer second(io, [](Wire&) {});
  BackendPool::Limits limits;
  limits.max_connections = 1;
  Use(first, limits);
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  EndpointList other = ListOf(second.endpoint());
  other.endpoints[0].entry.server = kServer + 1;
  backends->Update(other);
  auto request = std::make_shared<ForwardedRequest>();
  request->target = "/";
  backends->Send(kServer + 1, request, Duration(10000), TimePoint::max(), [&](AttemptResult) {});
  ASSERT_TRUE(RunUntil(io, [&] { return second.requests.size() == 1; }));
  EXPECT_EQ(backends->open_connections(), 1u);
  EXPECT_EQ(Outcome1(), Outcome::kConnectFailed);
}

// A machine that comes back under another address is the same backend; its old connections are not.
TEST_F(BackendTest, ANewAddressTakesOver) {
  Peer old_place(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Peer new_place(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Use(old_place);
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  backends->Update(ListOf(new_place.endpoint()));
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  EXPECT_EQ(new_place.requests.size(), 1u);
  EXPECT_EQ(old_place.requests.size(), 1u);
}

// A drain counts from the first byte, and from when discovery's agent had it, which may be long before it is
// read here: nothing is begun from then on, whatever the grace allows.
TEST_F(BackendTest, NothingIsBegunOnADrainedBackend) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  BackendPool::Limits limits;
  Use(peer, limits);
  Send();
  backends->Update(ListOf(peer.endpoint(), BackendState::kDraining));  // told while the connection comes up
  ASSERT_TRUE(RunUntil(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].outcome, Outcome::kConnectFailed);
  EXPECT_EQ(Outcome1(), Outcome::kConnectFailed);
  RunReady(io);
  EXPECT_TRUE(peer.requests.empty());
}

TEST_F(BackendTest, AFullListEndsWhatItDoesNotName) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  Use(peer);
  EXPECT_EQ(Outcome1(), Outcome::kOk);
  EXPECT_TRUE(backends->HasReadyBackend());
  EndpointList nothing;
  nothing.snapshot = true;
  backends->Update(nothing);
  EXPECT_FALSE(backends->HasReadyBackend());
  EXPECT_EQ(backends->open_connections(), 0u);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
