// SPDX-License-Identifier: Apache-2.0
//
// Tests of Http2Server and Http2Client without sockets: the output of each side is passed to the other.
#include "etcd/http2_server.h"

#include <gtest/gtest.h>

#include "etcd/http2_client.h"

namespace badgerbridge::etcd {
namespace {

const std::string kPath = "/test.Service/Method";

class Http2ServerTest : public ::testing::Test {
 protected:
  /// Creates a server and a client.
  void Start(Http2ServerLimits limits = {}, Http2Limits client_limits = {}) {
    Http2ServerHandler handler;
    handler.on_call = [this](StreamId stream, const CallHeaders& head) {
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
    handler.on_protocol_error = [this](const ProtocolError& error) { violations.push_back(error.code); };
    server = std::make_unique<Http2Server>(limits, handler);
    client = std::make_unique<Http2Client>("test", client_limits);
  }
  /// Begins a call on the client; `padding` is sent as an additional header.
  std::optional<CallId> BeginCall(std::string_view message, bool end_stream,
                                  const std::string& padding = "") {
    CallHandler handler;
    handler.on_message = [this](std::string_view text) { responses.emplace_back(text); };
    handler.on_end = [this](const Status& status) { results.push_back(status); };
    HeaderFields metadata;
    if (!padding.empty()) metadata.push_back({"x-padding", padding});
    return client->BeginCall(kPath, metadata, message, end_stream, std::move(handler));
  }
  /// Transfers bytes until neither side has output. Without `client_reads` the client receives nothing.
  void TransferBytes(bool client_reads = true) {
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
  std::vector<std::string> paths;
  std::vector<std::string> received;   // by the server
  std::vector<std::string> responses;  // received by the client
  std::vector<ProtocolErrorCode> violations;
  std::vector<Status> results;
  int half_closed = 0;
  int closed = 0;
  bool all_grpc = true;
  std::unique_ptr<Http2Server> server;
  // Destroyed first, because its destructor ends open calls, whose handlers use the other members.
  std::unique_ptr<Http2Client> client;
};

TEST_F(Http2ServerTest, CompletedCall_DeliversMessagesAndStatus) {
  Start();
  BeginCall("question", true);
  TransferBytes();
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(paths[0], kPath);
  EXPECT_TRUE(all_grpc);
  EXPECT_EQ(received, std::vector<std::string>{"question"});
  EXPECT_EQ(half_closed, 1);
  EXPECT_TRUE(server->SendMessage(calls[0], "one"));
  server->Finish(calls[0], {});
  TransferBytes();
  EXPECT_EQ(responses, std::vector<std::string>{"one"});
  ASSERT_EQ(results.size(), 1u);
  EXPECT_TRUE(results[0].ok()) << results[0].ToString();
  EXPECT_EQ(closed, 1);
  EXPECT_EQ(server->open_calls(), 0u);
  EXPECT_FALSE(server->SendMessage(calls[0], "late"));
}

TEST_F(Http2ServerTest, FinishWithoutMessage_SendsTrailersOnly) {
  Start();
  BeginCall("question", true);
  TransferBytes();
  server->Finish(calls[0], {Code::kPermissionDenied, Ending::kStatus, "not \n here"});
  TransferBytes();
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].code, Code::kPermissionDenied);
  EXPECT_EQ(results[0].message, "not \n here");
}

TEST_F(Http2ServerTest, ResponseBeforeEndOfRequest_ResetsStream) {
  Start();
  BeginCall("begun", false);
  TransferBytes();
  server->SendMessage(calls[0], "enough");
  server->Finish(calls[0], {});
  TransferBytes();
  ASSERT_EQ(results.size(), 1u);
  EXPECT_TRUE(results[0].ok()) << results[0].ToString();
  EXPECT_EQ(closed, 1);
  EXPECT_EQ(server->open_calls(), 0u);
}

TEST_F(Http2ServerTest, SlowReader_UnsentBytesAreCountedAndBounded) {
  Http2ServerLimits limits;
  limits.max_unsent_bytes = 3 << 20;
  Start(limits);
  BeginCall("a", false);
  BeginCall("b", false);
  TransferBytes();
  ASSERT_EQ(calls.size(), 2u);
  const std::string large(1 << 20, 'x');
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(server->SendMessage(calls[0], large));
  EXPECT_FALSE(server->SendMessage(calls[0], "beyond the bound"));
  EXPECT_FALSE(server->SendMessage(calls[1], "the bound is the connection's"));
  EXPECT_EQ(server->unsent_bytes(), 3 * (large.size() + 5));
  EXPECT_EQ(server->unsent_bytes(calls[0]), server->unsent_bytes());
  EXPECT_EQ(server->unsent_bytes(calls[1]), 0u);
  // TakeOutput returns enough for one write, not everything that flow control permits.
  EXPECT_LE(server->TakeOutput().size(), Http2Server::kOutputBytes + (16 << 10) + 64);
  EXPECT_GT(server->unsent_bytes(), 2 * large.size());
  client->CancelCall(1);
  TransferBytes(false);
  EXPECT_EQ(server->unsent_bytes(), 0u);
  EXPECT_EQ(closed, 1);
}

TEST_F(Http2ServerTest, LargeResponse_ArrivesCompletelyInSeveralOutputs) {
  Start();
  BeginCall("a", true);
  TransferBytes();
  std::string large;
  for (int i = 0; large.size() < (3 << 20); ++i) large += std::to_string(i);
  EXPECT_TRUE(server->SendMessage(calls[0], large));
  server->Finish(calls[0], {});
  TransferBytes();
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_TRUE(responses[0] == large);
  EXPECT_EQ(server->unsent_bytes(), 0u);
}

TEST_F(Http2ServerTest, HeadersBeyondLimit_EndOnlyTheirCall) {
  Http2ServerLimits limits;
  limits.max_header_bytes = 2000;
  Start(limits);
  BeginCall("kept", false);
  BeginCall("refused", true, std::string(3000, 'x'));
  TransferBytes();
  EXPECT_EQ(calls.size(), 1u);
  EXPECT_EQ(violations, std::vector<ProtocolErrorCode>{ProtocolErrorCode::kHeadersTooLarge});
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].ending, Ending::kReset);
  EXPECT_EQ(server->open_calls(), 1u);
  EXPECT_EQ(received, std::vector<std::string>{"kept"});
}

TEST_F(Http2ServerTest, MessageBeyondLimit_EndsOnlyItsCall) {
  Http2ServerLimits limits;
  limits.max_message_bytes = 100;
  Start(limits);
  BeginCall(std::string(101, 'x'), true);
  BeginCall(std::string(100, 'y'), true);
  TransferBytes();
  EXPECT_EQ(violations, std::vector<ProtocolErrorCode>{ProtocolErrorCode::kMalformedBody});
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(received, std::vector<std::string>{std::string(100, 'y')});
  EXPECT_EQ(closed, 1);
}

TEST_F(Http2ServerTest, GoAway_CallsInProgressContinueAndLaterOnesAreRefused) {
  Start();
  BeginCall("first", false);
  TransferBytes();
  server->GoAway();
  BeginCall("crossed it", true);
  TransferBytes();
  EXPECT_EQ(calls.size(), 1u);
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].ending, Ending::kRefused);
  EXPECT_FALSE(BeginCall("too late", true));
  EXPECT_TRUE(server->SendMessage(calls[0], "still"));
  server->Finish(calls[0], {});
  TransferBytes();
  EXPECT_EQ(responses, std::vector<std::string>{"still"});
  EXPECT_TRUE(server->IsDone());
}

TEST_F(Http2ServerTest, CallEndedWithinItsHandlers_ClosesOnce) {
  Start();
  on_call = [this](StreamId stream) { server->Reset(stream, Http2Error::kCancel); };
  BeginCall("a", true);
  TransferBytes();
  EXPECT_EQ(closed, 1);
  EXPECT_TRUE(received.empty());
  on_call = nullptr;
  on_message = [this](StreamId) {
    server->ConnectionLost({ConnectionErrorCode::kClosed, "within a handler"});
  };
  BeginCall("b", false);
  TransferBytes();
  EXPECT_EQ(closed, 2);
  EXPECT_EQ(server->open_calls(), 0u);
  EXPECT_EQ(Message(server->Feed("more").error()), "within a handler");
}

TEST_F(Http2ServerTest, BytesThatAreNotHttp2_EndConnection) {
  Start();
  EXPECT_FALSE(server->Feed("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  EXPECT_EQ(violations, std::vector<ProtocolErrorCode>{ProtocolErrorCode::kHttp2});
  EXPECT_FALSE(Message(server->Feed("more").error()).empty());
}

TEST_F(Http2ServerTest, SingleByteReads_YieldSameCall) {
  Start();
  BeginCall("question", true);
  for (const char byte : client->TakeOutput()) ASSERT_TRUE(server->Feed({&byte, 1}));
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(received, std::vector<std::string>{"question"});
  server->SendMessage(calls[0], "answer");
  server->Finish(calls[0], {});
  for (const char byte : server->TakeOutput()) ASSERT_TRUE(client->Feed({&byte, 1}));
  EXPECT_EQ(responses, std::vector<std::string>{"answer"});
  ASSERT_EQ(results.size(), 1u);
  EXPECT_TRUE(results[0].ok());
}

}  // namespace
}  // namespace badgerbridge::etcd
