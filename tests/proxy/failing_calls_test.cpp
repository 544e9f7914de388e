// SPDX-License-Identifier: Apache-2.0
//
// System calls of the proxy fail, for lack of descriptors, kernel memory or other resources. Each call of a
// kind fails in turn; every request must be answered once and in time, and no resource may leak.
#include <gtest/gtest.h>

#include <cerrno>

#include "proxy/fault_plays.h"

namespace badgerbridge::proxy::testing {
namespace {

struct FailingCall {
  const char* name;
  Call call;
  int error;
};

class FailingCallTest : public ::testing::TestWithParam<FailingCall> {};

TEST_P(FailingCallTest, EachFailsInTurn) { EXPECT_GT(FailEachCall(GetParam().call, 1, GetParam().error), 0); }

INSTANTIATE_TEST_SUITE_P(Calls, FailingCallTest,
                         ::testing::Values(FailingCall{"AcceptWithoutDescriptor", Call::kAccept, EMFILE},
                                           FailingCall{"AcceptWithoutDescriptorOfTheSystem", Call::kAccept,
                                                       ENFILE},
                                           FailingCall{"AcceptWithoutMemory", Call::kAccept, ENOBUFS},
                                           FailingCall{"SocketWithoutDescriptor", Call::kSocket, EMFILE},
                                           FailingCall{"SocketWithoutMemory", Call::kSocket, ENOBUFS},
                                           FailingCall{"ConnectWithoutPort", Call::kConnect, EADDRNOTAVAIL},
                                           FailingCall{"ConnectWithoutRoute", Call::kConnect, ENETUNREACH},
                                           FailingCall{"SetsockoptWithoutMemory", Call::kSetsockopt, ENOBUFS},
                                           FailingCall{"ShutdownOfADisconnected", Call::kShutdown, ENOTCONN},
                                           FailingCall{"EpollWithoutWatches", Call::kEpollCtl, ENOSPC}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace badgerbridge::proxy::testing
