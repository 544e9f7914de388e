// SPDX-License-Identifier: Apache-2.0
//
// Tests the log lines of the balancer.
#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::BalancerHarness;
using testing::Entry;
using testing::next_request_id;

TEST(LogThrottle, RepeatedEvents_FewLinesEachNamingBackendAndReason) {
  BalancerHarness harness;
  std::vector<std::string> lines;
  auto collect_lines = [&] {
    for (const Action& action : harness.actions)
      if (const auto* log = std::get_if<Log>(&action)) lines.push_back(log->text);
  };
  for (int i = 0; i < 5; ++i) {
    harness.SubmitRequest(next_request_id++, 0, 10, -50);  // due in the past
    collect_lines();
  }
  ASSERT_EQ(lines.size(), 1u) << "further lines within ten seconds are suppressed";
  EXPECT_NE(lines[0].find("rejecting a request: cannot be answered in time"), std::string::npos) << lines[0];
  harness.now += 100;
  harness.UpdateEndpoints({Entry(1, 0, 0, BackendState::kReady, harness.now)});
  for (int i = 0; i < 10; ++i) {
    harness.SubmitRequest(next_request_id++);
    collect_lines();
  }
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_NE(lines[1].find("backend 1 skipped: slow-start budget exhausted at 25%"), std::string::npos)
      << lines[1];
}

}  // namespace
}  // namespace badgerbridge::balancer
