// SPDX-License-Identifier: Apache-2.0
//
// The lines that the balancer logs.
#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::Entry;
using testing::next_request_id;
using testing::Rig;

TEST(LogThrottle, RepeatedEvents_FewLinesEachNamingBackendAndReason) {
  Rig rig;
  std::vector<std::string> lines;
  auto note = [&] {
    for (const Action& action : rig.actions)
      if (const auto* log = std::get_if<Log>(&action)) lines.push_back(log->text);
  };
  for (int i = 0; i < 5; ++i) {
    rig.SubmitRequest(next_request_id++, 0, 10, -50);  // due in the past
    note();
  }
  ASSERT_EQ(lines.size(), 1u) << "others within ten seconds are not told";
  EXPECT_NE(lines[0].find("rejecting: not in time"), std::string::npos) << lines[0];
  rig.now += 100;
  rig.UpdateEndpoints({Entry(1, 0, 0, BackendState::kReady, rig.now)});
  for (int i = 0; i < 10; ++i) {
    rig.SubmitRequest(next_request_id++);
    note();
  }
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_NE(lines[1].find("backend 1 passed over: warming up, at 25%"), std::string::npos) << lines[1];
}

}  // namespace
}  // namespace badgerbridge::balancer
