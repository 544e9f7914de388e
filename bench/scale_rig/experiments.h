// SPDX-License-Identifier: Apache-2.0
//
// Which trials a run is made of.
#ifndef BADGERBRIDGE_BENCH_SCALE_RIG_EXPERIMENTS_H_
#define BADGERBRIDGE_BENCH_SCALE_RIG_EXPERIMENTS_H_

#include "scale_rig/report.h"
#include "scale_rig/trial.h"

namespace badgerbridge::scale {

// One trial through every step.
void RunSingle(const TrialSettings& settings, Report* report, bench::Checks* checks);
// Under a minute: four small sizes for the slopes, one of them through every step.
void RunSmall(Report* report, bench::Checks* checks);
// Under five minutes: slopes by proxies and by backends, services, and the largest size through every step.
void RunFull(Report* report, bench::Checks* checks);
// The same size twice: all proxies at the source, and two tiers of relays between.
void RunComparison(const TrialSettings& settings, Report* report, bench::Checks* checks);

}  // namespace badgerbridge::scale

#endif  // BADGERBRIDGE_BENCH_SCALE_RIG_EXPERIMENTS_H_
