// SPDX-License-Identifier: Apache-2.0
#include "simulator/simulation_state.h"

#include <bit>

namespace badgerbridge::simulator {

void SimulationState::AddToDigest(TimePoint time) {
  AddToDigest(std::bit_cast<std::uint64_t>(time.time_since_epoch().count()));
}

}  // namespace badgerbridge::simulator
