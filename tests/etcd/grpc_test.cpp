// SPDX-License-Identifier: Apache-2.0
#include "etcd/grpc.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "etcd/header_field.h"

namespace badgerbridge::etcd {
namespace {

TEST(Grpc, BodyInAnySplit_YieldsSameMessages) {
  const std::vector<std::string> messages = {"", "a", std::string(300, 'x'), "last"};
  std::string body;
  for (const std::string& message : messages) body += FrameMessage(message);
  std::mt19937 random(1);
  for (int round = 0; round < 300; ++round) {
    MessageDeframer deframer(1000);
    std::vector<std::string> received;
    for (std::size_t at = 0; at < body.size();) {
      const std::size_t n = std::min<std::size_t>(body.size() - at, random() % (round < 5 ? 2 : 40));
      EXPECT_TRUE(deframer.Feed(std::string_view(body).substr(at, n),
                                [&](std::string_view message) { received.emplace_back(message); }));
      at += n;
    }
    EXPECT_EQ(received, messages);
    EXPECT_TRUE(deframer.IsAtMessageBoundary());
  }
}

TEST(Grpc, MessageBeyondLimitOrCompressed_FailsAtPrefix) {
  MessageDeframer deframer(100);
  const Result<void> fed = deframer.Feed(std::string("\0\0\0\0\x65", 5), [](std::string_view) { FAIL(); });
  ASSERT_FALSE(fed);
  EXPECT_EQ(fed.error().ending, Ending::kTooLarge);
  const Result<void> fed_again = deframer.Feed("more", [](std::string_view) { FAIL(); });
  ASSERT_FALSE(fed_again);
  EXPECT_EQ(fed_again.error().ending, Ending::kTooLarge);
  MessageDeframer compressed(100);
  const Result<void> fed_compressed =
      compressed.Feed(std::string("\1\0\0\0\1x", 6), [](std::string_view) { FAIL(); });
  ASSERT_FALSE(fed_compressed);
  EXPECT_EQ(fed_compressed.error().ending, Ending::kMalformed);
}

/// Returns the status of a unary call whose response has the given headers and number of messages.
Status StatusOf(const HeaderFields& headers, std::size_t messages = 1, bool ends_within_message = false) {
  ResponseStatus response;
  for (const HeaderField& header : headers) EXPECT_TRUE(response.AddHeader(header.name, header.value));
  return response.AtEndOfStream({messages, ends_within_message, true});
}

TEST(Grpc, EachEndOfResponse_HasItsOwnStatus) {
  const HeaderField ok = {":status", "200"};
  const HeaderField grpc = {"content-type", "application/grpc"};
  EXPECT_TRUE(StatusOf({ok, grpc, {"grpc-status", "0"}}).ok());
  EXPECT_EQ(StatusOf({ok, grpc, {"grpc-status", "0"}}, 0).ending, Ending::kMalformed);
  EXPECT_EQ(StatusOf({ok, grpc, {"grpc-status", "0"}}, 2).ending, Ending::kMalformed);
  EXPECT_EQ(StatusOf({ok, grpc, {"grpc-status", "0"}}, 1, true).ending, Ending::kMalformed);
  EXPECT_EQ(StatusOf({ok, grpc}).ending, Ending::kNoStatus);
  EXPECT_EQ(StatusOf({ok, {"content-type", "text/html"}}).ending, Ending::kHttpStatus);
  EXPECT_EQ(StatusOf({{":status", "503"}}).code, Code::kUnavailable);
  EXPECT_EQ(StatusOf({ok, grpc, {"grpc-status", "x"}}).ending, Ending::kMalformed);
  EXPECT_EQ(StatusOf({ok, grpc, {"grpc-status", "99"}}).code, Code::kUnknown);
  const Status status = StatusOf({ok, grpc, {"grpc-status", "14"}, {"grpc-message", "no%20leader%"}}, 0);
  EXPECT_EQ(status.ToString(), "UNAVAILABLE: no leader%");
  EXPECT_TRUE(status.IsRetriable());
  EXPECT_FALSE(StatusOf({ok, grpc, {"grpc-status", "16"}}).IsRetriable());
}

TEST(Grpc, HeadersBeyondLimit_AreRejected) {
  ResponseStatus response;
  int accepted = 0;
  while (response.AddHeader("x", std::string(1000, 'x')) && accepted < 100) ++accepted;
  EXPECT_LT(accepted, 17);
}

TEST(Grpc, StatusMessage_IsPercentEncodedAndDecoded) {
  const std::string text = "50% \xc3\xa9\n";
  EXPECT_EQ(DecodeStatusMessage(EncodeStatusMessage(text)), text);
  EXPECT_EQ(EncodeStatusMessage("50%"), "50%25");
  for (const char* odd : {"%", "%4", "%zz", "a%"}) EXPECT_EQ(DecodeStatusMessage(odd), odd);
}

TEST(Grpc, CorruptedBodies_YieldNoMoreBytesThanReceived) {
  std::mt19937 random(3);
  for (int round = 0; round < 20000; ++round) {
    std::string body = FrameMessage("abc") + FrameMessage(std::string(random() % 50, 'x'));
    for (unsigned n = random() % 4; n > 0; --n) body[random() % body.size()] = static_cast<char>(random());
    MessageDeframer deframer(64);
    std::size_t received = 0;
    const Result<void> ignored =
        deframer.Feed(body, [&](std::string_view message) { received += message.size(); });
    EXPECT_LE(received, body.size());
  }
}

}  // namespace
}  // namespace badgerbridge::etcd
