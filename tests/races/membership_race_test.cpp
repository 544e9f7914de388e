// SPDX-License-Identifier: Apache-2.0
//
// The list passed on in slices: a change that is passed on at once crosses the timer of the next slice.
#include <optional>
#include <string>
#include <vector>

#include "proxy/proxy_harness.h"
#include "proxy_main/membership_source.h"
#include "races/turn.h"

namespace badgerbridge::proxy_main {
namespace {

using std::chrono::milliseconds;

// How long the proxy is taken to need for a slice: longer than one handler may go on with slices.
constexpr milliseconds kSliceTime{2};

class MembershipRaceTest : public badgerbridge::testing::TurnTest {
 protected:
  MembershipRaceTest() {
    operator_config::EtcdSettings table;
    table.endpoints = {"127.0.0.1:1"};
    table.is_authoritative = false;  // discovery's lists count
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

TEST_F(MembershipRaceTest, AnExpiredTimerDoesNotSkipTheRestBetweenSlices) {
  source_->Discovered(List(0, 200, true));
  RunReady();
  ASSERT_EQ(slices_, 1) << "one a handler, since each takes long";
  // The rest is over, the next slice's handler is queued; a small change is passed on at once.
  const milliseconds rest{50};
  AheadOfQueuedTimers([&] { source_->Discovered(List(1000, 1, false)); }, rest);
  EXPECT_EQ(slices_, 2) << "and then there is a rest again";
  EXPECT_TRUE(Until([&] { return source_->pending() == 0; }));
  EXPECT_EQ(slices_, 7);  // 201 members
}

TEST_F(MembershipRaceTest, ItsEndWhileATimerIsQueuedIsNoTrouble) {
  source_->Discovered(List(0, 200, true));
  RunReady();
  const int before = slices_;
  AheadOfQueuedTimers([&] { source_.reset(); }, milliseconds(50));
  EXPECT_EQ(slices_, before);
}

}  // namespace
}  // namespace badgerbridge::proxy_main
