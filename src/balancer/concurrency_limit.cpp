// SPDX-License-Identifier: Apache-2.0
#include "balancer/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::balancer {
namespace {

constexpr double kMaxContention = 3;    // times the latency of a mean request without contention
constexpr double kMinPerBackend = 1.5;  // in flight at a backend, of all proxies, that are always permitted
constexpr double kBurstDeviations = 1;  // of the number in flight that are no overload
constexpr double kExtraAttempts = 2;    // beyond: two that meet by chance overload no proxy
constexpr double kMaxLateShare = 0.1;   // of the responses; from here on backends are overloaded
constexpr double kLatenessGain = 0.03;  // of one response: a few seconds of a small proxy
constexpr Duration kLatenessMemory{4000};  // and no longer, however few the responses
constexpr double kSmallLimit = 3;          // attempts: below, slow backends are discounted in full
constexpr double kLargeLimit = 6;          // attempts: above, they are not discounted

}  // namespace

void ConcurrencyLimit::RecordLateness(bool late) {
  late_share_ += kLatenessGain * ((late ? 1 : 0) - late_share_);
}

void ConcurrencyLimit::DecayLateness(double elapsed_ms) {
  late_share_ *= std::exp(-elapsed_ms / kLatenessMemory.count());
}

// Chance in flight evens out over all proxies: one may have a deviation and kExtraAttempts more, until
// responses come late; then its mean may exceed the limit only by its part of the chance of all: hundreds of
// proxies at their deviation choked the backends (i32c1ee). The last slot is drawn at each dispatch: the
// limit may be a fraction.
bool ConcurrencyLimit::HasCapacity(const RequestStats& requests, const LatencyStats& latencies,
                                   double warm_backends, const SlowBackends& slow_backends) const {
  const double mean_limit = MeanLimit(requests, latencies, warm_backends);
  const double min_burst_share = std::max(0.0, 1 - late_share_ / kMaxLateShare);
  const double burst_share = std::clamp(4 * (1 - mean_in_flight_ / mean_limit), min_burst_share, 1.0);
  const double burst = kBurstDeviations * std::sqrt(mean_limit) + kExtraAttempts;
  return WeighedInFlight(mean_limit, slow_backends) + fractional_slot_ < mean_limit + burst * burst_share;
}

double ConcurrencyLimit::MeanLimit(const RequestStats& requests, const LatencyStats& latencies,
                                   double warm_backends) const {
  const double time_per_work = latencies.uncontended_time_per_work();
  const double uncontended_ms =
      time_per_work > 0 ? time_per_work * requests.mean_work_ms() : requests.mean_objective_ms();
  const double useful_ms =
      std::min(kMaxQueueingShare * requests.mean_objective_ms(), kMaxContention * uncontended_ms);
  const double useful_in_flight = successes_.per_ms() * useful_ms;  // Little's law
  return std::max(kMinPerBackend * warm_backends / balancer_count_,
                  useful_in_flight + kBurstDeviations * std::sqrt(useful_in_flight / balancer_count_));
}

// Exception, for a proxy whose limit is small: an attempt at a backend slower than most counts for less the
// slower it is, since it says little of the others. Of 300 proxies those in a zone that slowed down had their
// two slots taken by it, sent next to nothing, and so learnt nothing new (scenarios/zone_slow.toml: 0.08 of
// the priority weight).
double ConcurrencyLimit::WeighedInFlight(double mean_limit, const SlowBackends& slow_backends) const {
  const double discount = std::clamp((kLargeLimit - mean_limit) / (kLargeLimit - kSmallLimit), 0.0, 1.0);
  double count = in_flight_;
  for (const Backend* backend : slow_backends.slow()) {
    count -= discount * backend->in_flight.counted_attempts *
             (1 - slow_backends.median() / backend->slowness.ratio);
  }
  return std::max(0.0, count);
}

}  // namespace badgerbridge::balancer
