// SPDX-License-Identifier: Apache-2.0
//
// The deadline sent to a backend when a request waited before the proxy read it. It must count from when the
// client sent the request. Uses the real clock, because the proxy relies on the kernel's timestamps.
#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <thread>

#include "proxy/http_text.h"
#include "proxy/proxy_harness.h"

namespace badgerbridge::proxy::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kTimeLeft{900};     // deadline of the harness's requests
constexpr milliseconds kBlockedTime{300};  // how long the process is blocked
constexpr milliseconds kMaxExcess{150};    // the forwarded deadline may exceed the remaining time by this
constexpr milliseconds kMaxShortfall{
    50};  // it may be shorter by this, for the proxy's margins and the kernel's tick

std::string WithTimeLeft(std::string request, milliseconds left) {
  const std::string usual = ": " + std::to_string(kTimeLeft.count());
  return request.replace(request.find(usual), usual.size(), ": " + std::to_string(left.count()));
}

int CountAnswers(const Wire& client) {
  int answers = 0;
  for (std::size_t at = 0; (at = client.in.find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++answers;
  return answers;
}

class DeadlineTest : public ::testing::Test {
 protected:
  DeadlineTest() : backend_(io_, [this](Wire& wire) { Serve(wire); }) {
    node_.emplace(io_, TestConfig({EndpointJson("s-1", backend_.address())}));
  }

  std::shared_ptr<Wire> ConnectAndAccept() {
    auto client = node_->Connect();
    EXPECT_TRUE(RunUntil(io_, [&] { return node_->listener.connections() == 1; }));
    RunReady(io_);
    return client;
  }

  void Send(Wire& client, const std::string& id) {
    sent_[id] = steady_clock::now();
    client.Send(Get(id));
  }

  // Blocks the process.
  static void Block() { std::this_thread::sleep_for(kBlockedTime); }

  void RunUntilAnswered(const Wire& client, int answers) {
    EXPECT_TRUE(RunUntil(io_, [&] { return CountAnswers(client) == answers; })) << client.in;
  }

  std::size_t served() const { return forwarded_deadline_.size(); }

  // The forwarded deadline matches the client's remaining time, which the blocked time has reduced.
  void ExpectDeadlineFitsClient(const std::string& id) {
    ASSERT_EQ(forwarded_deadline_.count(id), 1u) << id;
    EXPECT_LE(forwarded_deadline_[id], client_time_left_[id] + kMaxExcess) << id;
    EXPECT_GE(forwarded_deadline_[id], client_time_left_[id] - kMaxShortfall) << id;
    EXPECT_LE(client_time_left_[id], kTimeLeft - kBlockedTime) << id;
  }

  asio::io_context io_;
  Peer backend_;
  std::optional<Node> node_;
  Wire* held_wire_ = nullptr;  // connection whose answer is held back
  bool hold_answer_ = false;

 private:
  void Serve(Wire& wire) {
    const std::string& request = backend_.requests.back();
    const std::string id = HeaderIn(request, "X-Correlation-Id");
    forwarded_deadline_[id] = milliseconds(std::stoi(HeaderIn(request, "X-Time-Left-Ms")));
    client_time_left_[id] =
        kTimeLeft - std::chrono::duration_cast<milliseconds>(steady_clock::now() - sent_[id]);
    if (hold_answer_) {
      held_wire_ = &wire;
    } else {
      wire.Send(Reply(200, id));
    }
  }

  std::map<std::string, steady_clock::time_point> sent_;
  std::map<std::string, milliseconds> forwarded_deadline_;  // as sent to the backend
  std::map<std::string, milliseconds> client_time_left_;    // when the backend received the request
};

TEST_F(DeadlineTest, CountsTheWaitInTheReceiveBufferOfANewConnection) {
  const auto client = ConnectAndAccept();
  Send(*client, "a");
  Block();
  RunUntilAnswered(*client, 1);
  ExpectDeadlineFitsClient("a");
}

TEST_F(DeadlineTest, CountsTheWaitInTheReceiveBufferOfAnIdleConnection) {
  const auto client = ConnectAndAccept();
  Send(*client, "first");
  RunUntilAnswered(*client, 1);
  Send(*client, "a");
  Block();
  RunUntilAnswered(*client, 2);
  ExpectDeadlineFitsClient("a");
}

TEST_F(DeadlineTest, CountsTheWaitInTheAcceptQueue) {
  const auto client = node_->Connect();
  Send(*client, "a");
  Block();
  RunUntilAnswered(*client, 1);
  ExpectDeadlineFitsClient("a");
}

TEST_F(DeadlineTest, CountsTheWaitOfEachOfTwoRequestsInOneRead) {
  const auto client = ConnectAndAccept();
  Send(*client, "a");
  Send(*client, "b");
  Block();
  RunUntilAnswered(*client, 2);
  ExpectDeadlineFitsClient("a");
  ExpectDeadlineFitsClient("b");
}

TEST_F(DeadlineTest, CountsTheWaitBehindAnotherRequest) {
  const auto client = ConnectAndAccept();
  hold_answer_ = true;
  Send(*client, "a");
  ASSERT_TRUE(RunUntil(io_, [&] { return held_wire_ != nullptr; }));
  hold_answer_ = false;
  Send(*client, "b");
  Block();
  RunReady(io_);
  held_wire_->Send(Reply(200, "a"));
  RunUntilAnswered(*client, 2);
  ExpectDeadlineFitsClient("b");
}

TEST_F(DeadlineTest, CountsTheWaitBehindARequestThatIsAnsweredWhileTheProcessIsBlocked) {
  const auto client = ConnectAndAccept();
  hold_answer_ = true;
  Send(*client, "a");
  ASSERT_TRUE(RunUntil(io_, [&] { return held_wire_ != nullptr; }));
  hold_answer_ = false;
  Send(*client, "b");
  held_wire_->Send(Reply(200, "a"));
  Block();
  RunUntilAnswered(*client, 2);
  ExpectDeadlineFitsClient("b");
}

TEST_F(DeadlineTest, ARequestWithoutTimeLeftWhenReadIsRejectedAndNotForwarded) {
  const auto accepted = ConnectAndAccept();
  const auto waiting = node_->Connect();
  for (const auto& client : {accepted, waiting})
    client->Send(WithTimeLeft(Get(client == accepted ? "a" : "b"), kBlockedTime - milliseconds(100)));
  Block();
  for (const auto& client : {accepted, waiting}) {
    RunUntilAnswered(*client, 1);
    EXPECT_EQ(client->in.rfind("HTTP/1.1 50", 0), 0u) << client->in;
  }
  EXPECT_EQ(served(), 0u);
  EXPECT_TRUE(backend_.wires.empty()) << "no connection is made for them";
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
