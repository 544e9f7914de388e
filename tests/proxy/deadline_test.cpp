// SPDX-License-Identifier: Apache-2.0
//
// The deadline that a backend is sent, where a request has waited before the proxy read it: its client counts
// from when it sent it. By the real clock, since the kernel's own figures count.
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

constexpr milliseconds kTimeLeft{900};   // of the harness's requests
constexpr milliseconds kWaited{300};     // for which the process does not run
constexpr milliseconds kMaxExcess{150};  // that a backend may be sent beyond what the client has left
constexpr milliseconds kMaxShortfall{
    50};  // that it may be sent less: the proxy's margins, and the kernel's ticks

std::string WithTimeLeft(std::string request, milliseconds left) {
  const std::string usual = ": " + std::to_string(kTimeLeft.count());
  return request.replace(request.find(usual), usual.size(), ": " + std::to_string(left.count()));
}

int Answers(const Wire& client) {
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

  // The process does not run.
  static void Block() { std::this_thread::sleep_for(kWaited); }

  void RunUntilAnswered(const Wire& client, int answers) {
    EXPECT_TRUE(RunUntil(io_, [&] { return Answers(client) == answers; })) << client.in;
  }

  std::size_t served() const { return deadline_sent_.size(); }

  // The deadline that the backend was sent fits what the client had left then, less than it had at first.
  void ExpectDeadlineFitsClient(const std::string& id) {
    ASSERT_EQ(deadline_sent_.count(id), 1u) << id;
    EXPECT_LE(deadline_sent_[id], left_[id] + kMaxExcess) << id;
    EXPECT_GE(deadline_sent_[id], left_[id] - kMaxShortfall) << id;
    EXPECT_LE(left_[id], kTimeLeft - kWaited) << id;
  }

  asio::io_context io_;
  Peer backend_;
  std::optional<Node> node_;
  Wire* held_ = nullptr;  // whose answer is put off
  bool hold_ = false;

 private:
  void Serve(Wire& wire) {
    const std::string& request = backend_.requests.back();
    const std::string id = HeaderIn(request, "X-Correlation-Id");
    deadline_sent_[id] = milliseconds(std::stoi(HeaderIn(request, "X-Time-Left-Ms")));
    left_[id] = kTimeLeft - std::chrono::duration_cast<milliseconds>(steady_clock::now() - sent_[id]);
    if (hold_) {
      held_ = &wire;
    } else {
      wire.Send(Reply(200, id));
    }
  }

  std::map<std::string, steady_clock::time_point> sent_;
  std::map<std::string, milliseconds> deadline_sent_;  // to the backend
  std::map<std::string, milliseconds> left_;           // to the client at that time
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
  hold_ = true;
  Send(*client, "a");
  ASSERT_TRUE(RunUntil(io_, [&] { return held_ != nullptr; }));
  hold_ = false;
  Send(*client, "b");
  Block();
  RunReady(io_);
  held_->Send(Reply(200, "a"));
  RunUntilAnswered(*client, 2);
  ExpectDeadlineFitsClient("b");
}

TEST_F(DeadlineTest, CountsTheWaitBehindARequestThatIsAnsweredWhileTheProcessDoesNotRun) {
  const auto client = ConnectAndAccept();
  hold_ = true;
  Send(*client, "a");
  ASSERT_TRUE(RunUntil(io_, [&] { return held_ != nullptr; }));
  hold_ = false;
  Send(*client, "b");
  held_->Send(Reply(200, "a"));
  Block();
  RunUntilAnswered(*client, 2);
  ExpectDeadlineFitsClient("b");
}

TEST_F(DeadlineTest, ARequestWithoutTimeLeftWhenReadIsRejectedAndNotForwarded) {
  const auto accepted = ConnectAndAccept();
  const auto waiting = node_->Connect();
  for (const auto& client : {accepted, waiting})
    client->Send(WithTimeLeft(Get(client == accepted ? "a" : "b"), kWaited - milliseconds(100)));
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
