// SPDX-License-Identifier: Apache-2.0
//
// Tests races of a connection to a backend in which the timer of one state expires in the event loop
// iteration in which the next state begins.
#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/backend_pool.h"
#include "proxy/discovery.h"
#include "proxy/proxy_harness.h"
#include "races/turn.h"

namespace badgerbridge::proxy::testing {
namespace {

using std::chrono::milliseconds;

constexpr BackendId kBackend = 5;
constexpr Duration kTimeout{10000};

class BackendRaceTest : public badgerbridge::testing::EventLoopRaceTest {
 protected:
  BackendRaceTest() {
    peer_.emplace(io_, [this](Wire& wire) { wire.Send(response_); });
    limits_.min_idle_after_unsolicited = Duration(0);
    backends_.emplace(io_, proxy_clock_, limits_);
    ListPeer();
  }
  void ListPeer() {
    EndpointList list;
    list.endpoints.push_back({});
    list.endpoints.back().entry.server = kBackend;
    list.endpoints.back().entry.state = BackendState::kReady;
    list.endpoints.back().address = peer_->endpoint();
    backends_->Update(list);
  }
  void Send() {
    auto request = std::make_shared<ForwardedRequest>();
    request->target = "/preview?obj=1";
    request->correlation_id = "c" + std::to_string(results_.size());
    backends_->Send(backend_, request, kTimeout, TimePoint::max(),
                    [this](const AttemptResult& result) { results_.push_back(result.outcome); });
  }

  ProxyClock proxy_clock_;
  BackendPool::Limits limits_;
  BackendId backend_ = kBackend;
  std::string response_ = Reply(200, "served");
  std::optional<Peer> peer_;
  std::optional<BackendPool> backends_;
  std::vector<Outcome> results_;
};

TEST_F(BackendRaceTest, AConnectionThatComesUpAsItsTimerExpiresIsUsed) {
  std::function<void()> complete_connect;
  backends_->SetConnector([&](tcp::socket& socket, const tcp::endpoint& address, auto ended) {
    complete_connect = [&socket, address, ended] {
      ErrorCode error;
      socket.connect(address, error);
      ended(error);
    };
  });
  Send();
  RunReady();
  RunBeforeQueuedTimers([&] { complete_connect(); }, milliseconds(250));
  ASSERT_TRUE(Until([&] { return results_.size() == 1; }));
  EXPECT_EQ(results_[0], Outcome::kOk);
  EXPECT_EQ(peer_->requests.size(), 1u);
  EXPECT_EQ(backends_->open_connections(), 1u);
}

TEST_F(BackendRaceTest, AnIdleConnectionTakenAsItsTimerExpiresIsUsed) {
  Send();
  ASSERT_TRUE(Until([&] { return results_.size() == 1; }));
  RunReady();
  RunBeforeQueuedTimers([&] { Send(); }, milliseconds(11250));  // three quarters of the idle timeout
  ASSERT_TRUE(Until([&] { return results_.size() == 2; }));
  EXPECT_EQ(results_[1], Outcome::kOk);
  EXPECT_EQ(peer_->wires.size(), 1u) << "on the same connection";
}

TEST_F(BackendRaceTest, AResponseThatComesAsTheAttemptTimesOutCounts) {
  peer_.emplace(io_, [](Wire&) {});
  ListPeer();
  Send();
  ASSERT_TRUE(Until([&] { return peer_->requests.size() == 1; }));
  RunReady();
  peer_->wires.back()->Send(Reply(200, "served"));
  clock_.Advance(std::chrono::duration_cast<std::chrono::nanoseconds>(kTimeout));
  ASSERT_TRUE(Until([&] { return results_.size() == 1; }));
  EXPECT_EQ(results_[0], Outcome::kOk);
  // The connection is idle now, and the timer of the attempt must not close it.
  RunReady();
  EXPECT_EQ(backends_->open_connections(), 1u);
}

// More descriptors are ready than one iteration handles, so the timer's handler runs before the read.
TEST_F(BackendRaceTest, AResponseUnreadAtTheTimeoutCounts) {
  response_ = "";
  Send();
  ASSERT_TRUE(Until([&] { return peer_->requests.size() == 1; }));
  RunTimersBefore([&] { peer_->wires[0]->Send(Reply(200, "served")); },
                  std::chrono::duration_cast<milliseconds>(kTimeout));
  ASSERT_TRUE(Until([&] { return results_.size() == 1; }));
  EXPECT_EQ(results_[0], Outcome::kOk);
}

TEST_F(BackendRaceTest, TheRestOfAResponseUnreadAtTheTimeoutCounts) {
  response_ = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nser";
  Send();
  ASSERT_TRUE(Until([&] { return peer_->requests.size() == 1; }));
  RunReady();
  RunTimersBefore([&] { peer_->wires[0]->Send("ved"); }, milliseconds(250));
  ASSERT_TRUE(Until([&] { return results_.size() == 1; }));
  EXPECT_EQ(results_[0], Outcome::kOk);
}

TEST_F(BackendRaceTest, ABackendThatClosesBeforeTheFirstByteCouldNotConnect) {
  tcp::acceptor acceptor(io_, {asio::ip::address_v4::loopback(), 0});
  backends_->SetConnector([&](tcp::socket& socket, const tcp::endpoint&, auto ended) {
    asio::post(io_, [&, ended, connecting_socket = &socket] {
      ErrorCode error;
      connecting_socket->connect(acceptor.local_endpoint(), error);
      acceptor.accept().close();
      badgerbridge::testing::AwaitDelivery();
      ended(error);
    });
  });
  Send();
  ASSERT_TRUE(Until([&] { return results_.size() == 1; }));
  EXPECT_EQ(results_[0], Outcome::kConnectFailed);
}

// A discovery that sends continuously must not delay an attempt for ever.
TEST_F(BackendRaceTest, AnAttemptWaitsForUnreadListsABoundedNumberOfIterations) {
  int checks = 0;
  backends_->SetUnreadListCheck([&checks] {
    ++checks;
    return true;
  });
  Send();
  ASSERT_TRUE(Until([&] { return results_.size() == 1; }));
  EXPECT_EQ(results_[0], Outcome::kOk);
  EXPECT_GT(checks, 1);
  EXPECT_LT(checks, 100);
}

// A pool with a watch on discovery and one idle connection to the backend.
class UnreadListRaceTest : public BackendRaceTest {
 protected:
  UnreadListRaceTest() {
    discovery_peer_.emplace(io_, [this](Wire& wire) {
      wire.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + List(8, true, "Ready"));
    });
    discovery_.emplace(
        io_, discovery_peer_->endpoint(), EndpointListReader(config_), false, 7,
        [this](const EndpointList& list) {
          backend_ = list.endpoints[0].entry.server;
          backends_->Update(list);
        },
        [] {}, Discovery::Timing{});
    backends_->SetUnreadListCheck([this] { return discovery_->HasUnread(); });
    discovery_->Watch();
    EXPECT_TRUE(Until([&] { return backend_ != kBackend; }));
    Send();
    EXPECT_TRUE(Until([&] { return results_.size() == 1; }));
    RunReady();
    backends_->SetAttemptObserver([this](BackendId, const ForwardedRequest&) { ++begun_attempts_; });
  }

  std::string List(int index, bool snapshot, const char* status) const {
    return Chunk(ListJson(index, snapshot, {EndpointJson("s-1", peer_->address(), status)}) + "\n");
  }

  // Simulates a process that was descheduled for longer than the grace period after a drain. Meanwhile a list
  // and a request have arrived; the handler of the request runs first, followed by `next`.
  template <typename Next>
  void SendBeforeListIsRead(const std::string& list, Next next) {
    badgerbridge::testing::ReadyDescriptor request(io_, [this, next] {
      Send();
      next();
    });
    RunReady();
    clock_.Advance(milliseconds(600));
    request.MakeReady();
    discovery_peer_->wires[0]->Send(list);
    RunReady();
  }

  const Config config_ = TestConfig({});
  std::optional<Peer> discovery_peer_;
  std::optional<Discovery> discovery_;
  int begun_attempts_ = 0;
};

TEST_F(UnreadListRaceTest, AnAttemptWaitsForADrainThatIsUnread) {
  SendBeforeListIsRead(List(9, false, "Terminating"), [] {});
  EXPECT_EQ(begun_attempts_, 0);
  ASSERT_EQ(results_.size(), 2u);
  EXPECT_EQ(results_[1], Outcome::kConnectFailed);
}

TEST_F(UnreadListRaceTest, AConnectionThatEndsWhileItsAttemptWaitsIsNotUsed) {
  SendBeforeListIsRead(List(9, false, "Ready"), [this] {
    ErrorCode ignored;
    peer_->wires[0]->socket.shutdown(tcp::socket::shutdown_send, ignored);
    badgerbridge::testing::AwaitDelivery();
  });
  EXPECT_EQ(begun_attempts_, 0);
  ASSERT_EQ(results_.size(), 2u);
  EXPECT_EQ(results_[1], Outcome::kConnectFailed);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
