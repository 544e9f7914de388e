// SPDX-License-Identifier: Apache-2.0
//
// Over how many backends a proxy spreads its requests, and which.
#include <gtest/gtest.h>

#include <iterator>
#include <map>
#include <set>

#include "badgerbridge/balancer.h"
#include "balancer/traffic.h"
#include "harness.h"

namespace badgerbridge::balancer {
namespace {

using testing::next_request_id;
using testing::Rig;
using testing::SubmitAndSucceed;
using testing::Usual;

Settings OneProxyOf(int proxies, int index) {
  Settings settings = Usual();
  settings.balancer_count = proxies;
  settings.balancer_index = index;
  return settings;
}

TEST(Aperture, FewRequests_FewBackendsAreUsed) {
  Rig rig(OneProxyOf(400, 7));
  rig.ListBackends(100);
  std::set<BackendId> used;
  for (int i = 0; i < 300; ++i) {
    rig.AdvanceTime(200);
    used.insert(*SubmitAndSucceed(rig));
  }
  EXPECT_LE(used.size(), 8u);
  EXPECT_GE(used.size(), 4u);
}

TEST(Aperture, ManyRequests_AllBackendsAreUsed) {
  Rig rig(OneProxyOf(2, 1));
  rig.ListBackends(20);
  std::set<BackendId> used;
  for (int i = 0; i < 2000; ++i) {
    rig.AdvanceTime(5);
    used.insert(*SubmitAndSucceed(rig));
  }
  EXPECT_EQ(used.size(), 20u);
}

TEST(Aperture, AllProxies_BackendsAreInAboutAsManyAperturesEach) {
  std::map<BackendId, int> users;
  for (int index = 0; index < 200; ++index) {
    Rig rig(OneProxyOf(200, index));
    rig.ListBackends(50);
    std::set<BackendId> used;
    for (int i = 0; i < 60; ++i) {
      rig.AdvanceTime(200);
      used.insert(*SubmitAndSucceed(rig));
    }
    for (BackendId backend : used) ++users[backend];
  }
  ASSERT_EQ(users.size(), 50u) << "no backend is left out";
  // 24 in the mean; places drawn at random would differ by 4.6 (one deviation) and reach far lower and
  // higher.
  for (const auto& [backend, n] : users) {
    EXPECT_GE(n, 15) << "backend " << backend;
    EXPECT_LE(n, 33) << "backend " << backend;
  }
}

TEST(Aperture, EjectedBackend_IsMadeUpForByTheNext) {
  Settings settings = OneProxyOf(400, 3);
  settings.max_attempts = 1;
  Rig rig(settings);
  rig.ListBackends(100);
  std::set<BackendId> first;
  for (int i = 0; i < 60; ++i) {
    rig.AdvanceTime(200);
    first.insert(*SubmitAndSucceed(rig));
  }
  ASSERT_GE(first.size(), 4u);
  const std::set<BackendId> failing = {*first.begin(), *std::next(first.begin())};
  std::set<BackendId> fresh;
  int at_failing = 0;
  for (int i = 0; i < 100; ++i) {
    const RequestId id = next_request_id++;
    rig.AdvanceTime(100);
    const auto backend = rig.SubmitRequest(id, 2, 10, 5000);
    ASSERT_TRUE(backend.has_value());
    const bool fails = failing.count(*backend) > 0;
    at_failing += fails;
    if (!first.count(*backend)) fresh.insert(*backend);
    rig.EndAttempt(id, 0, *backend, fails ? Outcome::kReset : Outcome::kOk);
  }
  EXPECT_LE(at_failing, 20) << "in service throughout they would get 28";
  EXPECT_GE(fresh.size(), 1u);
}

TEST(Aperture, FewRequests_OutlierIntervalCoversTheRequestVolume) {
  Rig rig(OneProxyOf(400, 3));
  rig.ListBackends(100);
  // Two requests a second over six backends: three answers of one backend take nine seconds.
  std::map<BackendId, int> failed;
  for (int i = 0; i < 200; ++i) {
    const RequestId id = next_request_id++;
    rig.AdvanceTime(250);
    const auto backend = rig.SubmitRequest(id, 2, 10, 5000);
    ASSERT_TRUE(backend.has_value());
    const bool bad = *backend % 6 == 0;
    failed[*backend] += bad;
    rig.EndAttempt(id, 0, *backend, bad ? Outcome::kReset : Outcome::kOk);
  }
  for (const auto& [backend, n] : failed) EXPECT_LE(n, 28) << "backend " << backend << " was never ejected";
}

}  // namespace
}  // namespace badgerbridge::balancer
