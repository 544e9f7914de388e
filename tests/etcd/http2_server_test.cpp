// SPDX-License-Identifier: Apache-2.0
//
// The two sides of a connection with no socket between them: what one gives is fed to the other.
#include "etcd/http2_server.h"

#include <gtest/gtest.h>

#include "etcd/http2.h"

namespace badgerbridge::etcd {
namespace {

const std::string kPath = "/test.Service/Method";

class Http2ServerTest : public ::testing::Test {
 protected:
  void Start(Http2ServerLimits limits = {}, Http2Limits client_limits = {}) {
    Http2ServerHandler handler;
    handler.on_call = [this](StreamId stream, const CallHead& head) {
      calls.push_back(stream);
      paths.push_back(head.path);
      all_grpc = all_grpc && head.IsGrpc();
      if (on_call) on_call(stream);
    };
    handler.on_message = [this](StreamId stream, std::string_view message) {
      received.emplace_back(message);
      if (on_message) on_message(stream);
    };
    handler.on_half_closed = [this](StreamId) { ++half_closed; };
    handler.on_closed = [this](StreamId) { ++closed; };
    handler.on_violation = [this](const std::string& why) { violations.push_back(why); };
    server = std::make_unique<Http2Server>(limits, handler);
    client = std::make_unique<Http2Client>("test", client_limits);
  }
  CallId Begin(std::string_view message, bool last, const std::string& padding = "") {
    CallHandler handler;
    handler.on_message = [this](std::string_view text) { answers.emplace_back(text); };
    handler.on_end = [this](const Status& status) { ends.push_back(status); };
    std::vector<std::pair<std::string, std::string>> metadata;
    if (!padding.empty()) metadata.emplace_back("x-padding", padding);
    return client->Begin(kPath, metadata, message, last, std::move(handler));
  }
  // Until neither has anything to say; the client's reading can be left out.
  void Exchange(bool client_reads = true) {
    for (bool moved = true; moved;) {
      const std::string up = client->TakeOutput();
      if (!up.empty()) server->Feed(up);
      const std::string down = client_reads ? server->TakeOutput() : "";
      if (!down.empty()) client->Feed(down);
      moved = !up.empty() || !down.empty();
    }
  }

  std::function<void(StreamId)> on_call, on_message;
  std::vector<StreamId> calls;
  std::vector<std::string> paths, received, answers, violations;
  std::vector<Status> ends;
  int half_closed = 0, closed = 0;
  bool all_grpc = true;
  std::unique_ptr<Http2Server> server;
  std::unique_ptr<Http2Client> client;  // tells the above of open calls at its end
};

TEST_F(Http2ServerTest, AnswersWithMessagesAndAStatus) {
  Start();
  Begin("question", true);
  Exchange();
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(paths[0], kPath);
  EXPECT_TRUE(all_grpc);
  EXPECT_EQ(received, std::vector<std::string>{"question"});
  EXPECT_EQ(half_closed, 1);
  EXPECT_TRUE(server->Send(calls[0], "one"));
  server->Finish(calls[0], {});
  Exchange();
  EXPECT_EQ(answers, std::vector<std::string>{"one"});
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_TRUE(ends[0].ok()) << ends[0].Text();
  EXPECT_EQ(closed, 1);
  EXPECT_EQ(server->open(), 0u);
  EXPECT_FALSE(server->Send(calls[0], "late"));
}

TEST_F(Http2ServerTest, ARefusalGoesWithTheHeaders) {
  Start();
  Begin("question", true);
  Exchange();
  server->Finish(calls[0], {Code::kPermissionDenied, Ending::kStatus, "not \n here"});
  Exchange();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].code, Code::kPermissionDenied);
  EXPECT_EQ(ends[0].message, "not \n here");
}

TEST_F(Http2ServerTest, AnAnswerBeforeTheRequestsEndResetsTheRest) {
  Start();
  Begin("begun", false);
  Exchange();
  server->Send(calls[0], "enough");
  server->Finish(calls[0], {});
  Exchange();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_TRUE(ends[0].ok()) << ends[0].Text();
  EXPECT_EQ(closed, 1);
  EXPECT_EQ(server->open(), 0u);
}

TEST_F(Http2ServerTest, WhatASlowReaderLeavesIsCountedAndBounded) {
  Http2ServerLimits limits;
  limits.unsent = 3 << 20;
  Start(limits);
  Begin("a", false);
  Begin("b", false);
  Exchange();
  ASSERT_EQ(calls.size(), 2u);
  const std::string large(1 << 20, 'x');
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(server->Send(calls[0], large));
  EXPECT_FALSE(server->Send(calls[0], "beyond the bound"));
  EXPECT_FALSE(server->Send(calls[1], "the bound is the connection's"));
  EXPECT_EQ(server->unsent(), 3 * (large.size() + 5));
  EXPECT_EQ(server->unsent(calls[0]), server->unsent());
  EXPECT_EQ(server->unsent(calls[1]), 0u);
  // One pull gives what one write shall hold, not all that the windows would let through.
  EXPECT_LE(server->TakeOutput().size(), Http2Server::kOutputBytes + (16 << 10) + 64);
  EXPECT_GT(server->unsent(), 2 * large.size());
  client->Cancel(1);
  Exchange(false);
  EXPECT_EQ(server->unsent(), 0u);
  EXPECT_EQ(closed, 1);
}

TEST_F(Http2ServerTest, AllOfALargeAnswerArrivesByPulls) {
  Start();
  Begin("a", true);
  Exchange();
  std::string large;
  for (int i = 0; large.size() < (3 << 20); ++i) large += std::to_string(i);
  EXPECT_TRUE(server->Send(calls[0], large));
  server->Finish(calls[0], {});
  Exchange();
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_TRUE(answers[0] == large);
  EXPECT_EQ(server->unsent(), 0u);
}

TEST_F(Http2ServerTest, HeadersBeyondTheBoundEndTheirCallAlone) {
  Http2ServerLimits limits;
  limits.header_bytes = 2000;
  Start(limits);
  Begin("kept", false);
  Begin("refused", true, std::string(3000, 'x'));
  Exchange();
  EXPECT_EQ(calls.size(), 1u);
  EXPECT_EQ(violations.size(), 1u);
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].ending, Ending::kReset);
  EXPECT_EQ(server->open(), 1u);
  EXPECT_EQ(received, std::vector<std::string>{"kept"});
}

TEST_F(Http2ServerTest, AMessageBeyondTheBoundEndsItsCallAlone) {
  Http2ServerLimits limits;
  limits.message = 100;
  Start(limits);
  Begin(std::string(101, 'x'), true);
  Begin(std::string(100, 'y'), true);
  Exchange();
  EXPECT_EQ(violations.size(), 1u);
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(received, std::vector<std::string>{std::string(100, 'y')});
  EXPECT_EQ(closed, 1);
}

TEST_F(Http2ServerTest, AfterGoAwayCallsUnderWayGoOnAndLaterOnesWereNeverProcessed) {
  Start();
  Begin("first", false);
  Exchange();
  server->GoAway();
  Begin("crossed it", true);
  Exchange();
  EXPECT_EQ(calls.size(), 1u);
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].ending, Ending::kRefused);
  EXPECT_LT(Begin("too late", true), 0);
  EXPECT_TRUE(server->Send(calls[0], "still"));
  server->Finish(calls[0], {});
  Exchange();
  EXPECT_EQ(answers, std::vector<std::string>{"still"});
  EXPECT_TRUE(server->done());
}

TEST_F(Http2ServerTest, ACallMayBeEndedWithinEachOfItsHandlers) {
  Start();
  on_call = [this](StreamId stream) { server->Reset(stream, Http2Error::kCancel); };
  Begin("a", true);
  Exchange();
  EXPECT_EQ(closed, 1);
  EXPECT_TRUE(received.empty());
  on_call = nullptr;
  on_message = [this](StreamId) { server->Lost("within a handler"); };
  Begin("b", false);
  Exchange();
  EXPECT_EQ(closed, 2);
  EXPECT_EQ(server->open(), 0u);
  EXPECT_EQ(server->error(), "within a handler");
}

TEST_F(Http2ServerTest, WhatIsNoHttp2EndsTheConnection) {
  Start();
  EXPECT_FALSE(server->Feed("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  EXPECT_EQ(violations.size(), 1u);
  EXPECT_FALSE(server->error().empty());
}

TEST_F(Http2ServerTest, TheSameInPiecesOfOneByte) {
  Start();
  Begin("question", true);
  for (const char byte : client->TakeOutput()) ASSERT_TRUE(server->Feed({&byte, 1}));
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(received, std::vector<std::string>{"question"});
  server->Send(calls[0], "answer");
  server->Finish(calls[0], {});
  for (const char byte : server->TakeOutput()) ASSERT_TRUE(client->Feed({&byte, 1}));
  EXPECT_EQ(answers, std::vector<std::string>{"answer"});
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_TRUE(ends[0].ok());
}

}  // namespace
}  // namespace badgerbridge::etcd
