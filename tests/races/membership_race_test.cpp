// SPDX-License-Identifier: Apache-2.0
//
// Tests a list applied in slices: a small change, which is applied at once, races with the timer of the next
// slice.
#include <optional>
#include <string>
#include <vector>

#include "proxy/proxy_harness.h"
#include "proxy_main/membership_source.h"
#include "races/turn.h"

namespace badgerbridge::proxy_main {
namespace {

using std::chrono::milliseconds;

// Virtual time to apply a slice; longer than one handler may spend on slices.
constexpr milliseconds kSliceTime{2};

class MembershipRaceTest : public badgerbridge::testing::EventLoopRaceTest {
 protected:
  MembershipRaceTest() {
    operator_config::EtcdSettings table;
    table.endpoints = {"127.0.0.1:1"};
    table.is_authoritative = false;  // lists of discovery are used
    source_.emplace(io_, proxy::testing::TestConfig({}), table, [this](const proxy::EndpointList&) {
      ++slices_;
      clock_.Advance(kSliceTime);
    });
  }
  static proxy::EndpointList List(int first, int count, bool snapshot) {
    proxy::EndpointList list;
    list.snapshot = snapshot;
    for (int i = first; i < first + count; ++i) {
      proxy::Endpoint endpoint;
      endpoint.name = "m" + std::to_string(i);
      endpoint.address = {boost::asio::ip::address_v4::loopback(), 1};
      endpoint.entry.state = balancer::BackendState::kReady;
      list.endpoints.push_back(std::move(endpoint));
    }
    return list;
  }

  std::optional<MembershipSource> source_;
  int slices_ = 0;
};

TEST_F(MembershipRaceTest, AnExpiredTimerDoesNotSkipThePauseBetweenSlices) {
  source_->UpdateFromDiscovery(List(0, 200, true));
  RunReady();
  ASSERT_EQ(slices_, 1) << "one per handler, since each takes long";
  // The pause has ended and the handler of the next slice is queued; a small change is applied at once.
  const milliseconds pause{50};
  RunBeforeQueuedTimers([&] { source_->UpdateFromDiscovery(List(1000, 1, false)); }, pause);
  EXPECT_EQ(slices_, 2) << "followed by another pause";
  EXPECT_TRUE(Until([&] { return source_->pending() == 0; }));
  EXPECT_EQ(slices_, 7);  // 201 members
}

TEST_F(MembershipRaceTest, DestructionWithAQueuedTimerIsSafe) {
  source_->UpdateFromDiscovery(List(0, 200, true));
  RunReady();
  const int before = slices_;
  RunBeforeQueuedTimers([&] { source_.reset(); }, milliseconds(50));
  EXPECT_EQ(slices_, before);
}

}  // namespace
}  // namespace badgerbridge::proxy_main
