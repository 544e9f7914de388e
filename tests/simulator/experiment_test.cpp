// SPDX-License-Identifier: Apache-2.0
#include "simulator/experiment.h"

#include <gtest/gtest.h>

#include "simulator/scenario.h"

namespace badgerbridge::simulator {
namespace {

/// A short run with more load than the backends can serve: what is served differs from seed to seed.
Model OverloadedModel() {
  const auto scenario = LoadScenario(std::string(SOURCE_DIR) + "/scenarios/calm.toml");
  EXPECT_TRUE(scenario.has_value());
  Model model = scenario.value();
  model.duration_ms = 700;
  model.proxies = 2;
  model.backends = 4;
  model.backend.slots = 1;
  model.clients.requests_per_second = 1500;
  return model;
}

TEST(Bootstrap, KnownValues_IntervalAsInTheory) {
  const Interval some = Bootstrap({1, 2, 3, 4, 5, 6, 7, 8});
  EXPECT_DOUBLE_EQ(some.mean, 4.5);
  // Standard error of the mean, 0.81: 1.96 of it to each side, by theory.
  EXPECT_NEAR(some.low, 4.5 - 1.96 * 0.81, 0.25);
  EXPECT_NEAR(some.high, 4.5 + 1.96 * 0.81, 0.25);
  EXPECT_FALSE(some.ContainsZero());
  EXPECT_TRUE(Bootstrap({-1, 1, -2, 2}).ContainsZero());
  const Interval same = Bootstrap({2, 2, 2});
  EXPECT_EQ(same.low, 2);
  EXPECT_EQ(same.high, 2);
  EXPECT_EQ(Bootstrap({}).mean, 0);
}

TEST(Compare, AnyNumberOfThreads_SameResultAndEqualConfigurationsDoNotDiffer) {
  const Model model = OverloadedModel();
  const std::vector<Configuration> configurations = {{ZoneFailoverModel::Mode::kOff, 0},
                                                     {ZoneFailoverModel::Mode::kOff, model.proxies},
                                                     {ZoneFailoverModel::Mode::kCoordinated, 3}};
  const auto one = Compare(model, configurations, {5, 3}, 1);
  const auto three = Compare(model, configurations, {5, 3}, 3);
  ASSERT_EQ(one.size(), 3u);
  for (std::size_t i = 0; i < configurations.size(); ++i) {
    for (std::size_t seed = 0; seed < 3; ++seed) {
      EXPECT_EQ(one[i].runs[seed].served_weight_share, three[i].runs[seed].served_weight_share);
      EXPECT_GT(one[i].runs[seed].served_weight_share, 0.1);
      EXPECT_LT(one[i].runs[seed].served_weight_share, 1);
      EXPECT_EQ(one[i].runs[seed].violation, "");
    }
    EXPECT_EQ(one[i].served_weight_share.low, three[i].served_weight_share.low);
  }
  EXPECT_EQ(one[1].difference_from_first.low, 0);
  EXPECT_EQ(one[1].difference_from_first.high, 0);
  EXPECT_NE(one[0].runs[0].served_weight_share, one[0].runs[1].served_weight_share);  // seeds do differ
  EXPECT_EQ(one[2].configuration.Name(model), "together, 3 proxies");
}

}  // namespace
}  // namespace badgerbridge::simulator
