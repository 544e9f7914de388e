// SPDX-License-Identifier: Apache-2.0
//
// Messages as lines: what is encoded is decoded the same, and what is no message is rejected.
#include "multiprocess/message_dispatcher.h"

#include <gtest/gtest.h>

#include "multiprocess/error.h"

namespace badgerbridge::multiprocess {
namespace {

TEST(MessageDispatcherTest, RecordsAreDecodedAsTheyWereEncoded) {
  RequestRecord request;
  request.id = "r1-\"7\"";
  request.request_class = 2;
  request.sent_at_ms = 1.0 / 3;
  request.outcome = RequestOutcome::kCancelled;
  request.closed_at_ms = 12.5;
  Records sent;
  sent.requests = {request};
  sent.lags = {{1, 2}};
  MessageDispatcher dispatcher;
  Records received;
  dispatcher.On<Records>([&](const Records& records) { received = records; });
  dispatcher.Dispatch(EncodeMessage(sent));
  ASSERT_EQ(received.requests.size(), 1u);
  EXPECT_EQ(received.requests[0].id, request.id);
  EXPECT_EQ(received.requests[0].request_class, 2u);
  EXPECT_DOUBLE_EQ(received.requests[0].sent_at_ms, request.sent_at_ms);
  EXPECT_EQ(received.requests[0].outcome, RequestOutcome::kCancelled);
  EXPECT_EQ(received.requests[0].closed_at_ms, 12.5);
  EXPECT_EQ(received.requests[0].deadline_ms, std::nullopt);
  ASSERT_EQ(received.lags.size(), 1u);
  EXPECT_EQ(received.lags[0].until_ms, 2);
}

TEST(MessageDispatcherTest, LinesThatAreNoKnownMessageAreRejected) {
  MessageDispatcher dispatcher;
  dispatcher.On<StartLoad>([](const StartLoad&) {});
  EXPECT_NO_THROW(dispatcher.Dispatch(EncodeMessage(StartLoad{})));
  for (const char* line : {"", "nonsense", "[]", "{}", R"({"message":7,"body":{}})",
                           R"({"message":"start_load"})", R"({"message":"stop_load","body":{}})"})
    EXPECT_THROW(dispatcher.Dispatch(line), RunFailure) << line;
}

}  // namespace
}  // namespace badgerbridge::multiprocess
