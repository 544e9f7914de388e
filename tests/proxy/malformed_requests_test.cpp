// SPDX-License-Identifier: Apache-2.0
//
// Clients that send malformed requests: each gets one error, and its connection is closed without a reset.
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "proxy/hostile_fixture.h"

namespace badgerbridge::proxy::testing {
namespace {

struct MalformedRequest {
  const char* name;
  std::string text;
};

std::vector<MalformedRequest> MalformedRequests() {
  const std::string long_line(20000, 'x');
  const std::string head = "POST /certify HTTP/1.1\r\nHost: h\r\n";
  return {
      {"TLS", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 no request\r\n\r\n", 27)},
      {"EmptyLines", "\r\n\r\n\r\n\r\nxx\r\n\r\n"},
      {"NoVersion", "GET /preview\r\n\r\n"},
      {"AnotherVersion", "GET /preview HTTP/9.9\r\nHost: h\r\n\r\n"},
      {"LongTarget", "GET /" + long_line + " HTTP/1.1\r\n\r\n"},
      {"LongHeader", "GET /preview HTTP/1.1\r\nX-Long: " + long_line + "\r\n\r\n"},
      {"EndlessLine", "GET /preview HTTP/1.1\r\nX-Long: "},
      {"HeaderWithoutColon", "GET /preview HTTP/1.1\r\nno colon\r\n\r\n"},
      {"NulInHeader", std::string("GET /preview HTTP/1.1\r\nX: a\0b\r\n\r\n", 33)},
      {"LargeBody", head + "Content-Length: 99999999\r\n\r\nxx"},
      {"HugeLength", head + "Content-Length: 99999999999999999999999\r\n\r\n"},
      {"NegativeLength", head + "Content-Length: -1\r\n\r\n"},
      {"TwoLengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
      {"LengthAndChunks", head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"UnknownCoding", head + "Transfer-Encoding: gzip\r\n\r\n"},
      {"BadChunk", head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n"},
      {"HugeChunk", head + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n"},
      {"LongChunkExtension", head + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(90000, 'e')},
      {"GetWithABody", "GET /preview HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"},
      {"NoId", "GET /preview HTTP/1.1\r\nHost: h\r\nX-Service-Class: preview\r\n\r\n"},
      {"UnknownClass", "GET /nothing HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Service-Class: nothing\r\n\r\n"},
      {"NoTime", Get("no-time", "X-Time-Left-Ms: soon\r\n")},
      {"AnotherMethod", "BREW /preview HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Service-Class: preview\r\n\r\n"},
      {"UnsafeWithKey", Post("keyed", "certify", "END", "Idempotency-Key: k\r\n")},
  };
}

class MalformedRequestTest : public HostileTest, public ::testing::WithParamInterface<MalformedRequest> {
 protected:
  // Sends the malformed request, followed by a megabyte of other bytes.
  std::shared_ptr<PumpedClient> Send() {
    auto client = Connect();
    client->to_send = GetParam().text + std::string(kBytesAfterMalformedRequest, 'x');
    return client;
  }
};

TEST_P(MalformedRequestTest, IsRejectedAndItsConnectionIsClosedWithoutAReset) {
  Start({Backend::kGood, Backend::kGood});
  const auto alone = Connect(GetParam().text);
  const auto sends_on = Send();
  SendOneOfEachClass();
  ExpectCheckedAnswers();
  EXPECT_EQ(served_, 3);
  ExpectOneErrorAndEnd(*sends_on);
  ExpectOneErrorAndEnd(*alone);
  EXPECT_EQ(attempts_.size(), 3u) << "only the checked requests reach a backend";
  ExpectNothingLeft();
}

// The client reads only after it has sent everything, or could send nothing for a second.
TEST_P(MalformedRequestTest, IsRejectedAlsoIfItReadsLate) {
  Start({Backend::kGood, Backend::kGood});
  const auto client = Send();
  client->reads = false;
  std::size_t before = 1;
  while (!client->to_send.empty() && !client->send_failed && before != client->to_send.size()) {
    before = client->to_send.size();
    RunFor(milliseconds(1000));
  }
  client->reads = true;
  ExpectOneErrorAndEnd(*client);
  SendOneOfEachClass();
  ExpectCheckedAnswers();
  EXPECT_EQ(served_, 3);
  ExpectNothingLeft();
}

// After a request that is still unanswered, both requests get their own answer.
TEST_P(MalformedRequestTest, BehindARequestBothAreAnswered) {
  Start({Backend::kGood, Backend::kGood});
  hold_answers_ = true;
  const auto client = Connect();
  client->to_send = Get("first") + GetParam().text + std::string(kBytesAfterMalformedRequest, 'x');
  RunFor(milliseconds(100));
  hold_answers_ = false;
  for (const auto& [wire, id] : held_) wire->Send(Reply(200, id));
  held_.clear();
  EXPECT_TRUE(RunUntil([&] { return static_cast<bool>(client->ended); }, kMaxRejectionTime));
  const auto [answers, rest] = client->Answers();
  EXPECT_EQ(rest, 0u);
  ASSERT_EQ(answers.size(), 2u) << client->ended.message() << ": " << client->in.substr(0, 300);
  EXPECT_EQ(answers[0].body, "first");
  EXPECT_GE(answers[1].status, 400);
  EXPECT_TRUE(client->EndedInOrder()) << client->ended.message();
  SendOneOfEachClass();
  ExpectCheckedAnswers();
  EXPECT_EQ(served_, 3);
  ExpectNothingLeft();
}

INSTANTIATE_TEST_SUITE_P(All, MalformedRequestTest, ::testing::ValuesIn(MalformedRequests()),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace badgerbridge::proxy::testing
