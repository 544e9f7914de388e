// SPDX-License-Identifier: Apache-2.0
//
// Requests whose client has waited before.
#include <gtest/gtest.h>

#include <variant>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::At;
using testing::next_request_id;
using testing::Rig;
using testing::Usual;

// A client's last attempt has what is left of its deadline. Served in its place, it was late for certain and
// made others late: 17 proxies answered a fifth of all requests after their objective (incidents i896537,
// ied95d3).
TEST(ClientTimeout, PartOfTheDeadlineHasPassed_SoHasThatOfTheObjective) {
  Settings settings = Usual();
  settings.max_retry_after = Duration(300);
  Rig rig(settings);
  rig.ListBackends(3);
  auto served = [&](double left, bool repeat = false) {
    Submit submit;
    submit.request = next_request_id++;
    submit.request_class = 2;
    submit.has_hint = true;
    submit.work_ms = 10;
    submit.due = At(rig.now + left);
    submit.client_retry = repeat;
    rig.Handle(submit);
    const auto server = rig.SentTo(submit.request);
    if (server) rig.EndAttempt(submit.request, 0, *server, Outcome::kOk);
    return server.has_value();
  };
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(served(i % 2 ? 600 : 500)) << "no usual time yet";
  for (int i = 0; i < 20; ++i) EXPECT_TRUE(served(600));
  EXPECT_TRUE(served(900)) << "100 of its 1000 are gone, of an objective of 200";
  EXPECT_FALSE(served(780)) << "220 are";
  EXPECT_FALSE(served(600, true)) << "200 or so: half of what may have passed before a marked retry";
  const auto* refused = std::get_if<Reject>(&rig.actions.front());
  ASSERT_NE(refused, nullptr);
  EXPECT_EQ(refused->retry_after.count(), 300) << "another attempt would be later still";
  EXPECT_TRUE(served(600));
}

}  // namespace
}  // namespace badgerbridge::balancer
