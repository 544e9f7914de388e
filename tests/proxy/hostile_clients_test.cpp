// SPDX-License-Identifier: Apache-2.0
//
// Well-behaved clients next to misbehaving ones, or while descriptors run out: each request of a well-behaved
// client must get one complete answer in time, and no resource may leak.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "proxy/hostile_fixture.h"

namespace badgerbridge::proxy::testing {
namespace {

// Many connections without a request are in the accept queue ahead of those of well-behaved clients.
TEST_F(HostileTest, ManySilentConnectionsDoNotBlockOthers) {
  Start({Backend::kGood, Backend::kGood}, 128);
  for (int i = 0; i < 100; ++i) Connect();
  RunFor(milliseconds(5));
  SendOneOfEachClass();
  ExpectCheckedAnswers();
  RunFor(milliseconds(3000));
  for (const auto& client : clients_) EXPECT_TRUE(client->EndedInOrder()) << client->ended.message();
  ExpectNothingLeft();
}

// All of max_clients connections belong to clients that stop in the middle of a request.
TEST_F(HostileTest, IncompleteRequestsAreRejectedAndDoNotBlockOthers) {
  for (const std::string& half :
       {std::string("GET /preview HTTP/1.1\r\nHost: h\r\n"), std::string("G"),
        std::string("POST /certify HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n1234"),
        std::string("POST /certify HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab")}) {
    SCOPED_TRACE(half);
    node_.reset();
    backends_.clear();
    Start({Backend::kGood, Backend::kGood}, kScarceSockets);
    std::vector<std::shared_ptr<PumpedClient>> stalled;
    for (std::size_t i = 0; i < kMaxClientsOfScarceSockets; ++i) stalled.push_back(Connect(half));
    RunFor(milliseconds(5));
    SendOneOfEachClass();
    ExpectCheckedAnswers();
    EXPECT_EQ(served_, 3);
    served_ = 0;
    for (const auto& client : stalled) ExpectOneErrorAndEnd(*client);
    ExpectNothingLeft();
  }
}

// Sending a byte now and then doesn't keep a connection open.
TEST_F(HostileTest, AClientThatSendsSlowlyIsRejectedAndItsConnectionEnds) {
  Start({Backend::kGood});
  const std::string head = Get("slow", "X-Long: " + std::string(2000, 'x') + "\r\n");
  const std::string body = Post("slow-body", "certify", std::string(2000, 'x') + "END");
  const auto slow_head = Connect();
  const auto slow_body = Connect(body.substr(0, body.size() - 1500));
  for (std::size_t i = 0; i < 60 && !(slow_head->ended && slow_body->ended); ++i) {
    slow_head->to_send += head[i];
    slow_body->to_send += 'x';
    if (i % 10 == 0) SendOneOfEachClass();
    RunFor(milliseconds(100));
  }
  ExpectCheckedAnswers();
  ExpectOneErrorAndEnd(*slow_head);
  ExpectOneErrorAndEnd(*slow_body);
  EXPECT_LE(Now().count(), 2200 + 500);
  ExpectNothingLeft();
}

// All of max_clients connections belong to clients that send many requests and never read.
TEST_F(HostileTest, AClientThatDoesNotReadDoesNotBlockOthers) {
  Start({Backend::kGood, Backend::kGood}, kScarceSockets);
  answer_body_ = std::string(65000, 'y');
  constexpr int kMinBuffer = 1;  // the system rounds it up
  for (std::size_t i = 0; i < kMaxClientsOfScarceSockets; ++i) {
    const auto client = Connect(kMinBuffer);
    client->reads = false;
    for (int n = 0; n < 100; ++n)
      client->to_send += Get("stalled-" + std::to_string(i) + "-" + std::to_string(n));
  }
  RunFor(milliseconds(300));
  ASSERT_EQ(node_->listener.connections(), kMaxClientsOfScarceSockets);
  answer_body_.clear();
  SendOneOfEachClass();
  ExpectCheckedAnswers();
  RunFor(milliseconds(1000));
  served_ = 0;
  SendOneOfEachClass();
  ExpectCheckedAnswers();
  EXPECT_EQ(served_, 3) << "requests sent after a client was found not to read";
  // Every wait for these clients is bounded.
  EXPECT_TRUE(RunUntil([this] { return node_->listener.connections() == 0; }, milliseconds(15000)))
      << node_->listener.connections();
  ExpectNothingLeft();
}

// Clients pipeline many requests on many connections; the other clients are still answered.
TEST_F(HostileTest, AClientThatPipelinesTooMuchDoesNotHarmOthers) {
  Start({Backend::kGood, Backend::kGood});
  std::vector<std::shared_ptr<PumpedClient>> flood;
  for (int i = 0; i < 20; ++i) {
    flood.push_back(Connect());
    for (int n = 0; n < 2000; ++n)
      flood.back()->to_send += Get("flood-" + std::to_string(i) + "-" + std::to_string(n));
  }
  for (int round = 0; round < 5; ++round) {
    SendOneOfEachClass();
    RunFor(milliseconds(20));
  }
  ExpectCheckedAnswers();
  EXPECT_EQ(served_, 15);
  // The answers come in the order of the requests, followed by an error if too much was pipelined.
  for (const auto& client : flood) {
    EXPECT_TRUE(RunUntil([&] { return client->ended || client->Answers().answers.size() == 2000; }));
    const auto [answers, rest] = client->Answers();
    EXPECT_EQ(rest, 0u);
    ASSERT_FALSE(answers.empty());
    if (!client->ended) continue;
    EXPECT_TRUE(client->EndedInOrder()) << client->ended.message();
    EXPECT_TRUE(answers.back().closes);
  }
  ExpectNothingLeft();
}

// Clients disconnect at any point of their request or its answer, by a close or a reset.
TEST_F(HostileTest, ClientsThatDisconnectDoNotHarmOthers) {
  Start({Backend::kGood, Backend::kGood, Backend::kGood});
  hold_answers_ = true;
  const std::string whole = Post("gone", "certify", "END");
  for (std::size_t length = 0; length <= whole.size(); length += 10) {
    for (const bool reset : {false, true}) {
      const auto client = Connect(whole.substr(0, length));
      RunReady();
      reset ? client->Reset() : client->Close();
    }
  }
  std::vector<std::shared_ptr<PumpedClient>> waiting;
  for (int i = 0; i < 30; ++i) waiting.push_back(Connect(Get("waits-" + std::to_string(i))));
  SendOneOfEachClass();
  RunFor(milliseconds(10));
  for (std::size_t i = 0; i < waiting.size(); ++i) i % 2 == 0 ? waiting[i]->Reset() : waiting[i]->Close();
  RunFor(milliseconds(10));
  EXPECT_EQ(node_->proxy.open_requests(), 3u) << "the requests of well-behaved clients";
  hold_answers_ = false;
  for (const auto& [wire, id] : held_) wire->Send(Reply(200, id));
  held_.clear();
  SendOneOfEachClass();
  ExpectCheckedAnswers();
  EXPECT_EQ(served_, 6);
  ExpectNothingLeft();
}

// Requests wait in the accept queue while no descriptor is available.
TEST_F(HostileTest, WithoutDescriptorsForAWhileEachRequestIsAnswered) {
  Start({Backend::kGood, Backend::kGood});
  std::vector<std::shared_ptr<PumpedClient>> idle;
  for (int i = 0; i < 4; ++i) {
    idle.push_back(Connect(Get("rests-" + std::to_string(i))));
    ASSERT_TRUE(RunUntil([&] { return idle.back()->Answers().answers.size() == 1; }));
  }
  for (int i = 0; i < 3; ++i) SendOneOfEachClass();
  rlimit usual{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &usual), 0);
  rlimit full = usual;
  full.rlim_cur = 3;  // no further descriptor can be opened
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &full), 0);
  RunFor(milliseconds(200));
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &usual), 0);
  ExpectCheckedAnswers();
  EXPECT_EQ(served_, 9);
  ExpectNothingLeft();
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
