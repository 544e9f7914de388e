// SPDX-License-Identifier: Apache-2.0
#include "simulator/distribution.h"

#include <gtest/gtest.h>

namespace badgerbridge::simulator {
namespace {

TEST(Distribution, EveryKind_DrawsHaveItsMean) {
  for (const Distribution& distribution : {Distribution{Distribution::Kind::kConstant, 7, 1, {}},
                                           Distribution{Distribution::Kind::kExponential, 7, 1, {}},
                                           Distribution{Distribution::Kind::kLognormal, 7, 2, {}},
                                           Distribution{Distribution::Kind::kPareto, 7, 3, {}},
                                           Distribution{Distribution::Kind::kTable, 0, 0, {1, 7, 13}}}) {
    Random random(5, 9);
    double sum = 0;
    for (int i = 0; i < 400000; ++i) sum += distribution.Draw(random);
    EXPECT_NEAR(sum / 400000, distribution.Mean(), 0.15) << static_cast<int>(distribution.kind);
  }
}

}  // namespace
}  // namespace badgerbridge::simulator
