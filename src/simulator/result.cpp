// SPDX-License-Identifier: Apache-2.0
#include "simulator/result.h"

namespace badgerbridge::simulator {

double SimulationResult::ServedWeightShare() const {
  double requested = 0;
  double served = 0;
  for (const ClassResult& each : classes) {
    requested += each.requested_weight;
    served += each.served_weight;
  }
  return requested > 0 ? served / requested : 0;
}

}  // namespace badgerbridge::simulator
