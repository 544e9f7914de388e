// SPDX-License-Identifier: Apache-2.0
//
// ConnectionAcceptor, and a listener that can't accept, when system calls fail.
#include "proxy/connection_acceptor.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <limits>
#include <stdexcept>
#include <vector>

#include "proxy/session_race_fixture.h"
#include "support/fault_injection.h"

namespace badgerbridge::proxy::testing {
namespace {

using badgerbridge::testing::Call;
using badgerbridge::testing::CountedScope;
using badgerbridge::testing::PlannedFault;
using std::chrono::milliseconds;
using AcceptResult = ConnectionAcceptor::AcceptResult;

constexpr int kEachCall = std::numeric_limits<int>::max();

class ConnectionAcceptorTest : public ::testing::Test {
 protected:
  ~ConnectionAcceptorTest() override {
    for (const int descriptor : admitted_) ::close(descriptor);
  }

  void Admit(int descriptor) {
    if (!can_admit_) throw std::runtime_error("no room");
    admitted_.push_back(descriptor);
  }

  asio::io_context io_{1};
  ConnectionAcceptor acceptor_{
      io_, {asio::ip::address_v4::loopback(), 0}, [this](int descriptor) { Admit(descriptor); }};
  tcp::socket client_{io_};
  bool can_admit_ = true;
  std::vector<int> admitted_;
};

TEST_F(ConnectionAcceptorTest, AConnectionInTheAcceptQueueWaits) {
  EXPECT_FALSE(acceptor_.HasWaiting());
  client_.connect(acceptor_.local_endpoint());
  EXPECT_TRUE(acceptor_.HasWaiting());
  EXPECT_EQ(acceptor_.AcceptOne(), AcceptResult::kAccepted);
  EXPECT_FALSE(acceptor_.HasWaiting());
  EXPECT_EQ(acceptor_.AcceptOne(), AcceptResult::kQueueEmpty);
}

TEST_F(ConnectionAcceptorTest, AConnectionThatCouldNotBeAdmittedWaits) {
  client_.connect(acceptor_.local_endpoint());
  can_admit_ = false;
  EXPECT_EQ(acceptor_.AcceptOne(), AcceptResult::kFailed);
  EXPECT_TRUE(acceptor_.HasWaiting());
  can_admit_ = true;
  EXPECT_EQ(acceptor_.AcceptOne(), AcceptResult::kAccepted);
  EXPECT_EQ(admitted_.size(), 1u);
  EXPECT_FALSE(acceptor_.HasWaiting());
}

// Guards against connections that the close of the listener resets, because poll(2) failed and the accept
// queue passed for empty.
TEST_F(ConnectionAcceptorTest, AConnectionMayWaitWhenTheAcceptQueueCanNotBePolled) {
  client_.connect(acceptor_.local_endpoint());
  const PlannedFault fault(Call::kPoll, 0, 1, ENOMEM);
  const CountedScope scope;
  EXPECT_TRUE(acceptor_.HasWaiting());
  EXPECT_TRUE(fault.happened());
}

// Guards against connections that the close of the listener reset, with their requests, one second into a
// stop in which no descriptor was free.
TEST_F(SessionRaceTest, AConnectionThatWaitsForADescriptorDuringAStopIsAnswered) {
  constexpr milliseconds kBeforeTheClose{100};
  constexpr milliseconds kWithoutDescriptors{800};
  bool stopped = false;
  node_->listener.Stop([&] { stopped = true; });
  clock_.Advance(kAcceptGrace - kBeforeTheClose);
  const auto queued = node_->Connect();
  queued->Send(Get("queued"));
  {
    const PlannedFault fault(Call::kAccept, 0, kEachCall, EMFILE);
    const CountedScope scope;
    for (milliseconds waited(0); waited < kWithoutDescriptors; waited += milliseconds(1)) {
      clock_.Advance(milliseconds(1));
      RunAllReady();
    }
    EXPECT_TRUE(fault.happened());
  }
  EXPECT_FALSE(queued->closed) << queued->end.message();
  EXPECT_TRUE(RunUntilVirtual([&] { return queued->closed; }));
  EXPECT_TRUE(IsServed(*queued)) << queued->in << queued->end.message();
  queued->Close();
  EXPECT_TRUE(RunUntilVirtual([&] { return stopped; }));
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
