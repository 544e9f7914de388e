// SPDX-License-Identifier: Apache-2.0
//
// Tests to how many backends, and to which ones, a proxy sends its requests.
#include <gtest/gtest.h>

#include <iterator>
#include <map>
#include <set>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::BalancerHarness;
using testing::next_request_id;
using testing::SubmitAndSucceed;
using testing::ThreeClassSettings;

Settings SettingsOfProxy(int proxies, int index) {
  Settings settings = ThreeClassSettings();
  settings.balancer_count = proxies;
  settings.balancer_index = index;
  return settings;
}

TEST(Aperture, FewRequests_FewBackendsAreUsed) {
  BalancerHarness harness(SettingsOfProxy(400, 7));
  harness.ListBackends(100);
  std::set<BackendId> used;
  for (int i = 0; i < 300; ++i) {
    harness.AdvanceTime(200);
    used.insert(*SubmitAndSucceed(harness));
  }
  EXPECT_LE(used.size(), 8u);
  EXPECT_GE(used.size(), 4u);
}

TEST(Aperture, ManyRequests_AllBackendsAreUsed) {
  BalancerHarness harness(SettingsOfProxy(2, 1));
  harness.ListBackends(20);
  std::set<BackendId> used;
  for (int i = 0; i < 2000; ++i) {
    harness.AdvanceTime(5);
    used.insert(*SubmitAndSucceed(harness));
  }
  EXPECT_EQ(used.size(), 20u);
}

TEST(Aperture, AllProxies_BackendsAreInAboutAsManyAperturesEach) {
  std::map<BackendId, int> users;
  for (int index = 0; index < 200; ++index) {
    BalancerHarness harness(SettingsOfProxy(200, index));
    harness.ListBackends(50);
    std::set<BackendId> used;
    for (int i = 0; i < 60; ++i) {
      harness.AdvanceTime(200);
      used.insert(*SubmitAndSucceed(harness));
    }
    for (BackendId backend : used) ++users[backend];
  }
  ASSERT_EQ(users.size(), 50u) << "no backend is left out";
  // The mean is 24. Random start positions would have a standard deviation of 4.6 and exceed these bounds.
  for (const auto& [backend, n] : users) {
    EXPECT_GE(n, 15) << "backend " << backend;
    EXPECT_LE(n, 33) << "backend " << backend;
  }
}

TEST(Aperture, EjectedBackend_IsReplacedByTheNext) {
  Settings settings = SettingsOfProxy(400, 3);
  settings.max_attempts = 1;
  BalancerHarness harness(settings);
  harness.ListBackends(100);
  std::set<BackendId> first;
  for (int i = 0; i < 60; ++i) {
    harness.AdvanceTime(200);
    first.insert(*SubmitAndSucceed(harness));
  }
  ASSERT_GE(first.size(), 4u);
  const std::set<BackendId> failing = {*first.begin(), *std::next(first.begin())};
  std::set<BackendId> not_used_before;
  int at_failing = 0;
  for (int i = 0; i < 100; ++i) {
    const RequestId id = next_request_id++;
    harness.AdvanceTime(100);
    const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
    ASSERT_TRUE(backend.has_value());
    const bool fails = failing.count(*backend) > 0;
    at_failing += fails;
    if (!first.count(*backend)) not_used_before.insert(*backend);
    harness.EndAttempt(id, 0, *backend, fails ? Outcome::kReset : Outcome::kOk);
  }
  EXPECT_LE(at_failing, 20) << "without ejection they would get 28";
  EXPECT_GE(not_used_before.size(), 1u);
}

TEST(Aperture, FewRequests_OutlierIntervalCoversTheRequestVolume) {
  BalancerHarness harness(SettingsOfProxy(400, 3));
  harness.ListBackends(100);
  // At two requests per second over six backends, three responses of one backend take nine seconds.
  std::map<BackendId, int> failed;
  for (int i = 0; i < 200; ++i) {
    const RequestId id = next_request_id++;
    harness.AdvanceTime(250);
    const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
    ASSERT_TRUE(backend.has_value());
    const bool bad = *backend % 6 == 0;
    failed[*backend] += bad;
    harness.EndAttempt(id, 0, *backend, bad ? Outcome::kReset : Outcome::kOk);
  }
  for (const auto& [backend, n] : failed) EXPECT_LE(n, 28) << "backend " << backend << " was never ejected";
}

}  // namespace
}  // namespace badgerbridge::balancer
