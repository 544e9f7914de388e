// SPDX-License-Identifier: Apache-2.0
#include "balancer/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::balancer {
namespace {

constexpr double kMaxLatencyOverUncontended = 3;  // for a request of mean work
constexpr double kMinInFlightPerBackend = 1.5;    // always permitted, in total over all proxies
constexpr double kBurstDeviations = 1;            // standard deviations of the number in flight
constexpr double kExtraBurstAttempts = 2;         // two concurrent attempts by chance are no overload
constexpr double kMaxLateShare = 0.1;             // share of late responses that indicates overload
constexpr double kLatenessGain = 0.03;            // weight of one response
constexpr Duration kLatenessDecayTime{4000};      // applies even without new responses
// Attempts at slow backends are discounted in full up to the first limit, and not at all from the second.
constexpr double kFullDiscountMaxLimit = 3;
constexpr double kNoDiscountMinLimit = 6;

}  // namespace

void ConcurrencyLimit::RecordLateness(bool late) {
  late_share_ += kLatenessGain * ((late ? 1 : 0) - late_share_);
}

void ConcurrencyLimit::DecayLateness(double elapsed_ms) {
  late_share_ *= std::exp(-elapsed_ms / kLatenessDecayTime.count());
}

// Random bursts of single proxies average out over the fleet: a proxy may exceed its mean limit by one
// standard deviation and kExtraBurstAttempts. This allowance shrinks as responses become late, except for a
// proxy whose mean in flight is well below its limit: hundreds of proxies that used the allowance permanently
// overloaded the backends (i32c1ee). The mean limit itself includes only this proxy's part of the deviation
// of the whole fleet. It may be fractional, so a random part of one attempt must be free, drawn at each
// dispatch.
bool ConcurrencyLimit::HasCapacity(const RequestStats& requests, const LatencyStats& latencies,
                                   double warm_backends, const SlowBackends& slow_backends) const {
  const double mean_limit = MeanLimit(requests, latencies, warm_backends);
  const double min_burst_share = std::max(0.0, 1 - late_share_ / kMaxLateShare);
  const double burst_share = std::clamp(4 * (1 - mean_in_flight_ / mean_limit), min_burst_share, 1.0);
  const double burst = kBurstDeviations * std::sqrt(mean_limit) + kExtraBurstAttempts;
  return WeightedInFlight(mean_limit, slow_backends) + fractional_slot_ < mean_limit + burst * burst_share;
}

double ConcurrencyLimit::MeanLimit(const RequestStats& requests, const LatencyStats& latencies,
                                   double warm_backends) const {
  const double time_per_work = latencies.uncontended_time_per_work();
  const double uncontended_ms =
      time_per_work > 0 ? time_per_work * requests.mean_work_ms() : requests.mean_objective_ms();
  const double useful_ms =
      std::min(kMaxQueueingShare * requests.mean_objective_ms(), kMaxLatencyOverUncontended * uncontended_ms);
  const double useful_in_flight = successes_.per_ms() * useful_ms;  // Little's law
  return std::max(kMinInFlightPerBackend * warm_backends / balancer_count_,
                  useful_in_flight + kBurstDeviations * std::sqrt(useful_in_flight / balancer_count_));
}

// Exception, for a proxy with a small limit: an attempt at a backend slower than most counts less, the slower
// the backend is. Without this, the proxies of a slow zone, in a fleet of 300, had both their slots occupied
// by slow backends, sent next to nothing and got no new latency samples (scenarios/zone_slow.toml: a loss of
// 0.08 of the priority weight).
double ConcurrencyLimit::WeightedInFlight(double mean_limit, const SlowBackends& slow_backends) const {
  const double discount = std::clamp(
      (kNoDiscountMinLimit - mean_limit) / (kNoDiscountMinLimit - kFullDiscountMaxLimit), 0.0, 1.0);
  double count = in_flight_;
  for (const Backend* backend : slow_backends.slow()) {
    count -= discount * backend->in_flight.counted_attempts *
             (1 - slow_backends.median() / backend->slowness.ratio);
  }
  return std::max(0.0, count);
}

}  // namespace badgerbridge::balancer
