// SPDX-License-Identifier: Apache-2.0
//
// Messages as lines: what is encoded is decoded the same, and what is no message is rejected.
#include "multiprocess/message_dispatcher.h"

#include <gtest/gtest.h>

#include "multiprocess/error.h"

namespace badgerbridge::multiprocess {
namespace {

// The records that a dispatcher decodes from what was encoded.
Records EncodeAndDecode(const Records& records) {
  MessageDispatcher dispatcher;
  Records received;
  dispatcher.On<Records>([&](const Records& decoded) { received = decoded; });
  dispatcher.Dispatch(EncodeMessage(records));
  return received;
}

// Whether a dispatcher that takes StartLoad alone rejects a line.
bool IsRejected(const std::string& line) {
  MessageDispatcher dispatcher;
  dispatcher.On<StartLoad>([](const StartLoad&) {});
  try {
    dispatcher.Dispatch(line);
  } catch (const RunFailure& failure) {
    return failure.error().kind == RunErrorKind::kMalformedMessage;
  }
  return false;
}

TEST(MessageDispatcherTest, RequestRecordsAreDecodedAsTheyWereEncoded) {
  RequestRecord request;
  request.id = "r1-\"7\"";
  request.request_class = 2;
  request.sent_at_ms = 1.0 / 3;
  request.outcome = RequestOutcome::kCancelled;
  request.closed_at_ms = 12.5;
  request.first_sent_at_ms = 0.25;
  const Records received = EncodeAndDecode({{request}, {}, {}, {}, {}});
  ASSERT_EQ(received.requests.size(), 1u);
  EXPECT_EQ(received.requests[0].id, request.id);
  EXPECT_EQ(received.requests[0].request_class, 2u);
  EXPECT_DOUBLE_EQ(received.requests[0].sent_at_ms, request.sent_at_ms);
  EXPECT_EQ(received.requests[0].outcome, RequestOutcome::kCancelled);
  EXPECT_EQ(received.requests[0].closed_at_ms, 12.5);
  EXPECT_EQ(received.requests[0].first_sent_at_ms, 0.25);
  EXPECT_EQ(received.requests[0].deadline_ms, std::nullopt);
}

TEST(MessageDispatcherTest, LagsAreDecodedAsTheyWereEncoded) {
  const Records received = EncodeAndDecode({{}, {}, {}, {}, {{1, 2}}});
  ASSERT_EQ(received.lags.size(), 1u);
  EXPECT_EQ(received.lags[0].until_ms, 2);
}

TEST(MessageDispatcherTest, LinesThatAreNoKnownMessageAreRejected) {
  EXPECT_FALSE(IsRejected(EncodeMessage(StartLoad{})));
  for (const char* line : {"", "nonsense", "[]", "{}", R"({"message":7,"body":{}})",
                           R"({"message":"start_load"})", R"({"message":"stop_load","body":{}})"})
    EXPECT_TRUE(IsRejected(line)) << line;
}

}  // namespace
}  // namespace badgerbridge::multiprocess
