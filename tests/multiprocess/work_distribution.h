// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The distribution of a request class's work, in messages and as the simulator draws from it.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_WORK_DISTRIBUTION_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_WORK_DISTRIBUTION_H_

#include "multiprocess/messages.h"
#include "simulator/distribution.h"
#include "simulator/random.h"

namespace badgerbridge::multiprocess {

/// The distribution that a message describes, ms of a standard core.
inline simulator::Distribution WorkDistributionOf(const ClientClass& message) {
  simulator::Distribution distribution;
  distribution.kind = static_cast<simulator::Distribution::Kind>(message.work_kind);
  distribution.mean = message.work_mean_ms;
  distribution.spread = message.work_spread;
  return distribution;
}

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_WORK_DISTRIBUTION_H_
