// SPDX-License-Identifier: Apache-2.0
//
// ConnectionAcceptor when connections can't be accepted or admitted.
#include "proxy/connection_acceptor.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <vector>

#include "proxy/proxy_harness.h"
#include "support/fault_injection.h"

namespace badgerbridge::proxy::testing {
namespace {

using badgerbridge::testing::Call;
using badgerbridge::testing::CountedScope;
using badgerbridge::testing::PlannedFault;
using AcceptResult = ConnectionAcceptor::AcceptResult;

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

}  // namespace
}  // namespace badgerbridge::proxy::testing
