// SPDX-License-Identifier: Apache-2.0
//
// Tests one attempt on a connection to a scripted backend: its outcome, and when it may begin.
#include <gtest/gtest.h>

#include "proxy/backend_pool_harness.h"

namespace badgerbridge::proxy::testing {
namespace {

using BackendAttemptTest = BackendPoolFixture;

TEST_F(BackendAttemptTest, ResponsesMapToOutcomes) {
  std::string reply;
  Peer peer(io, [&](Wire& wire) { wire.Send(reply); });
  StartPool(peer);
  const std::pair<std::string, Outcome> cases[] = {
      {Reply(200, "hello"), Outcome::kOk},
      {Reply(500), Outcome::kError},
      {Reply(503, "", "X-Unprocessed: 1\r\n"), Outcome::kRejected},
      {Reply(504, "", "X-Unprocessed: 1\r\n"), Outcome::kRejected},
      {Reply(503), Outcome::kError},  // it may have run
      {Reply(504, "", "X-Unprocessed: 0\r\n"), Outcome::kError},
      {Reply(500, "", "X-Unprocessed: 1\r\n"), Outcome::kError},
      {Reply(404), Outcome::kError},
  };
  for (const auto& [text, outcome] : cases) {
    reply = text;
    EXPECT_EQ(OutcomeOfOneAttempt(), outcome) << text;
  }
  EXPECT_EQ(results[0].body, "hello");
  EXPECT_EQ(peer.wires.size(), 1u) << "a connection is kept whatever the response says";
}

TEST_F(BackendAttemptTest, LoadReportsAreInResultsOnlyIfRecorded) {
  Peer peer(io, [&](Wire& wire) {
    wire.Send(Reply(200, "x", "X-Backend-Load: inflight=7,util=0.61" + std::string(400, '0') + "\r\n"));
  });
  StartPool(peer);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  EXPECT_EQ(results.back().load_report, "");
  pool->RecordLoadReports();
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  EXPECT_EQ(results.back().load_report.rfind("inflight=7,util=0.61", 0), 0u);
  EXPECT_EQ(results.back().load_report.size(), 200u);  // an untrusted value is bounded
}

TEST_F(BackendAttemptTest, AConnectionBrokenAfterTheRequestIsAReset) {
  std::function<void(Wire&)> script = [](Wire& wire) { wire.Reset(); };
  Peer peer(io, [&](Wire& wire) { script(wire); });
  StartPool(peer);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kReset);
  script = [](Wire& wire) { wire.Close(); };
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kReset);
  EXPECT_EQ(peer.requests.size(), 2u) << "the pool must not resend by itself";
}

TEST_F(BackendAttemptTest, ATruncatedResponseIsAReset) {
  Peer peer(io, [](Wire& wire) {
    wire.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    wire.Close();
  });
  StartPool(peer);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kReset);
  EXPECT_EQ(results.back().body, "");
}

TEST_F(BackendAttemptTest, ResponsesWithoutAnExplicitEndAreResets) {
  std::string reply;
  Peer peer(io, [&](Wire& wire) {
    wire.Send(reply);
    wire.Close();
  });
  StartPool(peer);
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
    EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kReset) << text;
  }
  reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  EXPECT_EQ(results.back().body, "ok");
}

TEST_F(BackendAttemptTest, InterimResponsesAreSkippedUpToABound) {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  std::string reply = interim + "HTTP/1.1 102 Processing\r\n\r\n" + Reply(200, "the one");
  Peer peer(io, [&](Wire& wire) { wire.Send(reply); });
  StartPool(peer);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  EXPECT_EQ(results.back().body, "the one");
  reply.clear();
  for (int i = 0; i < 100; ++i) reply += interim;
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kReset);
  EXPECT_EQ(peer.wires.size(), 1u) << "the connection is reused after interim responses";
}

// A partial response on an open connection ends the attempt early, which leaves time for a retry.
TEST_F(BackendAttemptTest, AStalledResponseEndsAheadOfTheDeadline) {
  Peer peer(io, [](Wire& wire) { wire.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"); });
  BackendPool::Limits limits;
  limits.connect_timeout = Duration(50);
  StartPool(peer, limits);
  EXPECT_EQ(OutcomeOfOneAttempt(Duration(60000)), Outcome::kReset) << "a reset long before the timeout";
}

// A response received before the request is complete is not a response to it.
TEST_F(BackendAttemptTest, AResponseBeforeTheCompleteRequestIsIgnored) {
  tcp::acceptor hasty(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  hasty.set_option(asio::socket_base::receive_buffer_size(4096));
  tcp::socket accepted(io);
  hasty.async_accept(accepted, [&](ErrorCode) { asio::write(accepted, asio::buffer(Reply(200, "early"))); });
  pool = std::make_unique<BackendPool>(io, clock, BackendPool::Limits{});
  pool->Update(ListWith(hasty.local_endpoint()));
  Send(Duration(10000), std::string(32 << 20, 'x'));
  ASSERT_TRUE(RunUntil(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].outcome, Outcome::kConnectFailed);
  EXPECT_EQ(results[0].body, "");
}

TEST_F(BackendAttemptTest, AResponseBeyondTheBodyLimitIsAReset) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200, std::string(70000, 'x'))); });
  StartPool(peer);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kReset);
}

// The backend reads nothing and the request is larger than the kernel buffers, so it cannot have received the
// whole request, which therefore has not run.
TEST_F(BackendAttemptTest, ARequestThatIsNotWrittenInTimeCouldNotConnect) {
  tcp::acceptor silent(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  silent.set_option(asio::socket_base::receive_buffer_size(4096));
  tcp::socket accepted(io);
  silent.async_accept(accepted, [](ErrorCode) {});
  pool = std::make_unique<BackendPool>(io, clock, BackendPool::Limits{});
  pool->Update(ListWith(silent.local_endpoint()));
  Send(Duration(200), std::string(32 << 20, 'x'));
  ASSERT_TRUE(RunUntil(io, [&] { return !results.empty(); }));
  RunReady(io);
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].outcome, Outcome::kConnectFailed);
}

TEST_F(BackendAttemptTest, ATimeoutClosesTheConnection) {
  Peer peer(io, [](Wire&) {});
  StartPool(peer);
  EXPECT_EQ(OutcomeOfOneAttempt(Duration(30)), Outcome::kTimeout);
  EXPECT_EQ(pool->open_connections(), 0u);
  EXPECT_TRUE(RunUntil(io, [&] { return peer.wires[0]->closed; }));
}

TEST_F(BackendAttemptTest, CancelEndsItsAttemptOnceAndNoOther) {
  std::vector<Wire*> waiting;
  Peer peer(io, [&](Wire& wire) { waiting.push_back(&wire); });
  StartPool(peer);
  const BackendPool::AttemptHandle first = SendRequest(RequestOf(""));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 1; }));
  waiting[0]->Send(Reply(200));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 1; }));
  const BackendPool::AttemptHandle second = SendRequest(RequestOf(""));  // on the same connection
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 2; }));
  pool->Cancel(first);
  RunReady(io);
  EXPECT_EQ(results.size(), 1u);
  pool->Cancel(second);
  pool->Cancel(second);
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  RunReady(io);
  EXPECT_EQ(results[1].outcome, Outcome::kCancelled);
  EXPECT_EQ(results.size(), 2u);
  EXPECT_EQ(pool->open_connections(), 0u) << "cancelling closes the connection";
}

// The latest time to begin applies to the first byte, on a new connection and on an idle one.
TEST_F(BackendAttemptTest, AnAttemptIsNotBegunAfterItsLatestBegin) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  StartPool(peer);
  // The time passes while the connection is opened, as on a busy machine.
  const TimePoint passed = clock.Now() + Duration(5);
  SendRequest(RequestOf(""), Duration(10000), passed);
  while (clock.Now() < passed) {
  }
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 1; }));
  EXPECT_EQ(results[0].outcome, Outcome::kConnectFailed);
  RunReady(io);
  EXPECT_TRUE(peer.requests.empty());
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kOk);
  SendRequest(RequestOf(""), Duration(10000), clock.Now());  // on the idle connection
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 3; }));
  EXPECT_EQ(results[2].outcome, Outcome::kConnectFailed);
  RunReady(io);
  EXPECT_EQ(peer.requests.size(), 1u);
}

// A backend runs a request when it has received the last byte: a retry that is partly written when its
// deduplication window ends must not be completed later.
TEST_F(BackendAttemptTest, ARequestHalfWrittenAtItsLatestBeginIsCutOff) {
  tcp::acceptor slow(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  slow.set_option(asio::socket_base::receive_buffer_size(4096));
  tcp::socket accepted(io);
  slow.async_accept(accepted, [](ErrorCode) {});
  pool = std::make_unique<BackendPool>(io, clock, BackendPool::Limits{});
  pool->Update(ListWith(slow.local_endpoint()));
  const TimePoint began = clock.Now();
  SendRequest(RequestOf(std::string(32 << 20, 'x')), Duration(60000), clock.Now() + Duration(100));
  ASSERT_TRUE(RunUntil(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].outcome, Outcome::kConnectFailed);
  EXPECT_GE((clock.Now() - began).count(), 100);
}

// The request has ended, so an attempt that has not begun never runs and doesn't count as a backend failure.
TEST_F(BackendAttemptTest, AWithdrawnAttemptThatHasNotBegunIsNotSent) {
  Peer peer(io, [](Wire&) {});
  StartPool(peer);
  const BackendPool::AttemptHandle connecting = SendRequest(RequestOf(""));
  pool->Withdraw(connecting);
  pool->Withdraw(connecting);
  EXPECT_TRUE(results.empty()) << "ended from within the call";
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 1; }));
  EXPECT_EQ(results[0].outcome, Outcome::kNotSent);
  RunReady(io);
  EXPECT_TRUE(peer.requests.empty());
  EXPECT_EQ(pool->open_connections(), 0u);
}

TEST_F(BackendAttemptTest, AWithdrawnAttemptThatIsWrittenContinues) {
  std::vector<Wire*> waiting;
  Peer peer(io, [&](Wire& wire) { waiting.push_back(&wire); });
  StartPool(peer);
  const BackendPool::AttemptHandle written = SendRequest(RequestOf(""));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 1; }));
  pool->Withdraw(written);
  RunReady(io);
  EXPECT_EQ(results.size(), 0u);
  waiting[0]->Send(Reply(200));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 1; }));
  EXPECT_EQ(results[0].outcome, Outcome::kOk);

  pool->Withdraw(written);  // it has ended, and its connection runs a later attempt
  SendRequest(RequestOf(""));
  ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == 2; }));
  pool->Withdraw(written);
  waiting[1]->Send(Reply(200));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  EXPECT_EQ(results[1].outcome, Outcome::kOk);
}

TEST_F(BackendAttemptTest, AWithdrawnAttemptThatIsHalfWrittenIsCutOff) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  StartPool(peer);
  EXPECT_EQ(OutcomeOfOneAttempt(),
            Outcome::kOk);  // leaves an idle connection, on which the write begins at once
  peer.wires.back()->on_data = [](Wire&) {};
  const BackendPool::AttemptHandle half_written = SendRequest(RequestOf(std::string(32 << 20, 'x')));
  pool->Withdraw(half_written);
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  EXPECT_EQ(results[1].outcome, Outcome::kNotSent);
  EXPECT_EQ(pool->open_connections(), 0u);
}

// No attempt may begin on a draining backend, not even within the grace period: the drain may have reached
// the agent of discovery long before the proxy reads it.
TEST_F(BackendAttemptTest, NothingIsBegunOnADrainedBackend) {
  Peer peer(io, [](Wire& wire) { wire.Send(Reply(200)); });
  BackendPool::Limits limits;
  StartPool(peer, limits);
  Send();
  pool->Update(ListWith(peer.endpoint(), BackendState::kDraining));  // while connecting
  ASSERT_TRUE(RunUntil(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].outcome, Outcome::kConnectFailed);
  EXPECT_EQ(OutcomeOfOneAttempt(), Outcome::kConnectFailed);
  RunReady(io);
  EXPECT_TRUE(peer.requests.empty());
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
