// SPDX-License-Identifier: Apache-2.0
//
// The balancer as a whole.
#include "badgerbridge/balancer.h"

#include <gtest/gtest.h>

#include <limits>

#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::At;
using testing::next_request_id;
using testing::Rig;
using testing::Usual;

TEST(Balancer, InvalidInput_IsIgnoredOrRejected) {
  const double inf = std::numeric_limits<double>::infinity(), nan = std::numeric_limits<double>::quiet_NaN();
  Rig rig;
  EXPECT_FALSE(rig.SubmitRequest(1, 0).has_value()) << "no list yet: queued";
  rig.UpdateEndpoints({});
  rig.EndAttempt(77, 0, 1, Outcome::kOk);
  rig.Handle(ClientDisconnected{77});
  rig.Handle(StreamStarted{77, 0});
  rig.ListBackends(1);
  EXPECT_EQ(rig.SentTo(1), BackendId{1}) << "queued ones go once a backend is listed";
  rig.EndAttempt(1, 9, 1, Outcome::kOk);
  rig.EndAttempt(1, -1, 1, Outcome::kOk);
  rig.SubmitRequest(1, 0);
  EXPECT_FALSE(rig.SentTo(1).has_value()) << "a duplicate id";
  rig.SubmitRequest(2, 99);
  EXPECT_EQ(rig.CountActions<Reject>(), 1) << "an unknown class";
  rig.SubmitRequest(3, 0, 10, -50);
  EXPECT_EQ(rig.CountActions<Reject>(), 1) << "due in the past";
  for (double work : {0.0, -5.0, inf, nan, 1e300}) {
    const RequestId id = 100 + next_request_id++;
    Submit submit;
    submit.request = id;
    submit.due = At(rig.now + 500);
    submit.has_hint = true;
    submit.work_ms = work;
    submit.tenant = 4000;
    rig.Handle(submit);
    ASSERT_TRUE(rig.SentTo(id).has_value()) << work;
    AttemptEnded ended;
    ended.request = id;
    ended.server = 1;
    ended.outcome = Outcome::kOk;
    ended.settled = true;
    ended.took = Duration(nan);
    rig.Handle(ended);
  }
  EXPECT_TRUE(rig.SubmitRequest(next_request_id + 1000, 0).has_value());
}

TEST(Balancer, SameEvents_SameActions) {
  Rig a(Usual(), 7), b(Usual(), 7);
  for (Rig* rig : {&a, &b}) {
    rig->ListBackends(5);
    for (RequestId id = 1; id <= 200; ++id) {
      const auto backend = rig->SubmitRequest(id, static_cast<int>(id % 3));
      rig->AdvanceTime(3);
      if (backend && id % 4) rig->EndAttempt(id, 0, *backend, id % 5 ? Outcome::kOk : Outcome::kError);
    }
  }
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i) EXPECT_EQ(a.sent[i].server, b.sent[i].server);
}

}  // namespace
}  // namespace badgerbridge::balancer
