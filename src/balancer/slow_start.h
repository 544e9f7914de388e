// SPDX-License-Identifier: Apache-2.0
/// \file
/// Limits the work sent to a backend while it warms up.
#ifndef BADGERBRIDGE_BALANCER_SLOW_START_H_
#define BADGERBRIDGE_BALANCER_SLOW_START_H_

#include <cstddef>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/latency_stats.h"
#include "balancer/random.h"
#include "balancer/request_stats.h"
#include "balancer/reserve.h"

namespace badgerbridge::balancer {

struct Backend;

/// Work sent by this proxy to one backend within a time window, whatever its outcome. Uses no heap memory for
/// a backend without recent work, since most of thousands of backends have none.
class SentWindow {
 public:
  /// Adds work sent at `now`; allocates nothing if ReserveNext was called before.
  void Add(TimePoint now, double work_ms) {
    sent_.push_back({now, work_ms});
    sum_ += work_ms;
  }

  /// Allocates the memory for the next Add.
  void ReserveNext() { ReserveOne(sent_); }

  /// Removes entries older than `window` and returns the sum of the others in ms.
  double ExpireAndSum(TimePoint now, Duration window);

  /// Removes work that was added at `sent_at` but never sent.
  void Refund(TimePoint sent_at, double work_ms);

  /// The work in ms sent within the last `window`.
  double Sum(TimePoint now, Duration window) const;

 private:
  struct Sent {
    TimePoint at{};
    double work_ms = 0;
  };

  std::vector<Sent> sent_;
  std::size_t first_ = 0;  // index of the oldest entry within the window
  double sum_ = 0;
};

/// Slow-start state of one backend.
struct SlowStartState {
  SentWindow sent;              ///< Work recently sent to it.
  TimePoint token_epoch{};      ///< Start time of the backend to which `tokens` belong.
  TimePoint tokens_as_of{};     ///< When `tokens` was last updated.
  double tokens = 0;            ///< Mean requests permitted although the budget is below one.
  double tokens_work_rate = 0;  ///< Accrual rate of the last update, in work per ms.
};

/// Work completed by one backend for this proxy, in ms per ms, averaged over several seconds.
class CompletedWorkRate {
 public:
  /// Counts the work of a successful response, in ms.
  void Count(double work_ms) { work_since_sample_ms_ += work_ms; }

  /// Updates the rate with the work counted within the last `elapsed_ms`, which must be positive.
  void Sample(double elapsed_ms);

  /// Resets the work counted since the last sample.
  void Discard() { work_since_sample_ms_ = 0; }

  double work_per_ms() const { return work_per_ms_; }  ///< As of the last sample.

  /// Whether the rate has decayed to about 0 and no work is counted.
  bool IsIdle() const;

 private:
  double work_since_sample_ms_ = 0;
  double work_per_ms_ = 0;
  int samples_ = 0;
};

/// The slow-start budget of recently started backends.
///
/// Within the overload window of the settings, a warming-up backend gets its capacity share of the work that
/// a warm backend completes for this proxy. As all proxies do so, their sum is that share of a warm backend's
/// capacity, however the traffic is distributed over the proxies. The budget is based on completed instead of
/// sent work, since overloaded backends are sent far more than they complete.
class SlowStart {
 public:
  /// Keeps references to the statistics and the random generator, which must outlive it.
  SlowStart(const Settings& settings, const RequestStats& requests, const LatencyStats& latencies,
            Random& random);

  /// Minimum share of its capacity that a backend has at `now`; 1: it is warm.
  double CapacityShare(const BackendEntry& endpoint, TimePoint now) const {
    if (endpoint.up_since.time_since_epoch().count() <= 0) return 1;
    return CapacityShareAtAge((now - endpoint.up_since).count());
  }

  /// Exception, while a backend warms up: whether it may be sent `work_ms`. An occasional request is always
  /// permitted, or a set of only cold backends would never warm up. `active` are the backends with recent
  /// attempts.
  bool WithinBudget(Backend& backend, double work_ms, TimePoint now, const std::vector<Backend*>& active);

  /// Work in ms that a backend with `capacity_share` may be sent within Settings::overload_duration.
  double Budget(const Backend& backend, double capacity_share, TimePoint now,
                const std::vector<Backend*>& active) const;

  /// Work in ms sent to a backend within the rolling window.
  double SentWithinWindow(const Backend& backend, TimePoint now) const;

 private:
  double CapacityShareAtAge(double age_ms) const;
  double SlowStartRate(const Backend& backend, double capacity_share, TimePoint now,
                       const std::vector<Backend*>& active) const;
  double MinSlowStartRate(double capacity_share) const;
  double WarmBackendRate(const Backend& like, TimePoint now, const std::vector<Backend*>& active) const;
  void AccrueSlowStartToken(Backend& backend, double work_rate, TimePoint now);

  double floor_;              // minimum capacity share of a starting backend
  Duration warm_up_window_;   // until it has its full capacity
  double overload_factor_;    // a backend is overloaded beyond this multiple of its capacity
  Duration overload_window_;  // during this time
  Duration rolling_window_;   // overload_window_ with a margin
  int balancer_count_;
  const RequestStats& requests_;
  const LatencyStats& latencies_;
  Random& random_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_SLOW_START_H_
