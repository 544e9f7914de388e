// SPDX-License-Identifier: Apache-2.0
#include "simulator/experiment.h"

#include <gtest/gtest.h>

#include "simulator/scenario.h"

namespace badgerbridge::simulator {
namespace {

Model Short() {
  operator_config::Problems problems;
  Model model = LoadScenario(std::string(SOURCE_DIR) + "/scenarios/calm.toml", problems);
  EXPECT_TRUE(problems.empty());
  model.length = 700;
  model.proxies = 2;
  model.backends = 4;
  model.backend.slots = 1;
  model.clients.per_second = 1500;  // more than it can do: what is served differs from seed to seed
  return model;
}

TEST(Experiment, TheMeanLiesInItsIntervalAndEqualsHaveNone) {
  const Interval some = Bootstrap({1, 2, 3, 4, 5, 6, 7, 8});
  EXPECT_DOUBLE_EQ(some.mean, 4.5);
  // Standard error of the mean, 0.81: 1.96 of it to each side, by theory.
  EXPECT_NEAR(some.low, 4.5 - 1.96 * 0.81, 0.25);
  EXPECT_NEAR(some.high, 4.5 + 1.96 * 0.81, 0.25);
  EXPECT_FALSE(some.HoldsZero());
  EXPECT_TRUE(Bootstrap({-1, 1, -2, 2}).HoldsZero());
  const Interval same = Bootstrap({2, 2, 2});
  EXPECT_EQ(same.low, 2);
  EXPECT_EQ(same.high, 2);
  EXPECT_EQ(Bootstrap({}).mean, 0);
}

TEST(Experiment, TheSameOnAnyNumberOfThreadsAndEqualWaysDifferByNothing) {
  const Model model = Short();
  const std::vector<Way> ways = {{RegionsModel::Decide::kOff, 0},
                                 {RegionsModel::Decide::kOff, model.proxies},
                                 {RegionsModel::Decide::kTogether, 3}};
  const auto one = Compare(model, ways, 5, 3, 1), three = Compare(model, ways, 5, 3, 3);
  ASSERT_EQ(one.size(), 3u);
  for (std::size_t i = 0; i < ways.size(); ++i) {
    for (std::size_t s = 0; s < 3; ++s) {
      EXPECT_EQ(one[i].runs[s].worth, three[i].runs[s].worth);
      EXPECT_GT(one[i].runs[s].worth, 0.1);
      EXPECT_LT(one[i].runs[s].worth, 1);
      EXPECT_EQ(one[i].runs[s].breach, "");
    }
    EXPECT_EQ(one[i].worth.low, three[i].worth.low);
  }
  EXPECT_EQ(one[1].against_first.low, 0);
  EXPECT_EQ(one[1].against_first.high, 0);
  EXPECT_NE(one[0].runs[0].worth, one[0].runs[1].worth);  // seeds do differ
  EXPECT_EQ(one[2].way.Name(model), "together, 3 proxies");
}

}  // namespace
}  // namespace badgerbridge::simulator
