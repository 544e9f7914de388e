// SPDX-License-Identifier: Apache-2.0
/// \file
/// Bounds the work that is sent to a backend while it warms up.
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

/// Work that this proxy has sent to one backend within a window of time, whatever became of it. Most of
/// thousands of backends are sent nothing, and hold no memory for it.
class SentWindow {
 public:
  /// Adds work that is sent now; allocates nothing if ReserveNext was called before.
  void Add(TimePoint now, double work_ms) {
    sent_.push_back({now, work_ms});
    sum_ += work_ms;
  }

  /// Allocates what the next Add needs.
  void ReserveNext() { ReserveOne(sent_); }

  /// The work sent within the last `window`; forgets what is older.
  double ForgetAndSum(TimePoint now, Duration window);

  /// Takes back what was added at `sent_at` and was never sent after all.
  void Refund(TimePoint sent_at, double work_ms);

  /// The work sent within the last `window`.
  double Sum(TimePoint now, Duration window) const;

 private:
  struct Sent {
    TimePoint at{};
    double work_ms = 0;
  };

  std::vector<Sent> sent_;
  std::size_t first_ = 0;  // those before it are no longer within the window
  double sum_ = 0;
};

/// What slow start holds of one backend.
struct SlowStartState {
  SentWindow sent;              ///< Work sent to it lately.
  TimePoint token_epoch{};      ///< The start of the backend for which tokens are accrued.
  TimePoint tokens_as_of{};     ///< When `tokens` was last brought up to date.
  double tokens = 0;            ///< Mean requests that it may be sent although the budget is less than one.
  double tokens_work_rate = 0;  ///< At which tokens were accrued last, in work a ms.
};

/// Work that one backend has completed for this proxy, in ms a ms, averaged over some seconds.
class CompletedWorkRate {
 public:
  /// Counts work that a successful response has completed.
  void Count(double work_ms) { work_since_sample_ms_ += work_ms; }

  /// Averages what was counted within the last `elapsed_ms` in.
  void Sample(double elapsed_ms);

  /// Forgets what was counted since the last sample.
  void Discard() { work_since_sample_ms_ = 0; }

  double work_per_ms() const { return work_per_ms_; }  ///< As of the last sample.

  /// Whether passing time would change nothing any more.
  bool IsIdle() const;

 private:
  double work_since_sample_ms_ = 0;
  double work_per_ms_ = 0;
  int samples_ = 0;
};

/// The slow-start budget of backends that have started lately.
///
/// A backend that warms up gets, over the window of the settings, its share of what a warm one serves for
/// this proxy. All proxies doing so, their sum is that share of what a warm backend can do, whatever part of
/// the traffic each has. What was sent is no measure: overloaded backends are sent far more than they can do.
class SlowStart {
 public:
  /// Keeps references to the statistics and the random numbers, which must outlive it.
  SlowStart(const Settings& settings, const RequestStats& requests, const LatencyStats& latencies,
            Random& random);

  /// The share of its capacity that a backend has at the least; 1: it is warm.
  double CapacityShare(const BackendEntry& endpoint, TimePoint now) const {
    if (endpoint.up_since.time_since_epoch().count() <= 0) return 1;
    return CapacityShareAtAge((now - endpoint.up_since).count());
  }

  /// Exception: whether a backend that warms up may be sent `work_ms`. One request in a while is always
  /// allowed, or backends that are all cold would never warm up. `active`: the backends that this proxy has
  /// dealt with lately.
  bool WithinBudget(Backend& backend, double work_ms, TimePoint now, const std::vector<Backend*>& active);

  /// Work in ms that a backend with `capacity_share` may be sent within the window of the settings.
  double Budget(const Backend& backend, double capacity_share, TimePoint now,
                const std::vector<Backend*>& active) const;

  /// Work in ms that a backend was sent within the rolling window.
  double SentWithinWindow(const Backend& backend, TimePoint now) const;

 private:
  double CapacityShareAtAge(double age_ms) const;
  double SlowStartRate(const Backend& backend, double capacity_share, TimePoint now,
                       const std::vector<Backend*>& active) const;
  double MinSlowStartRate(double capacity_share) const;
  double WarmBackendRate(const Backend& like, TimePoint now, const std::vector<Backend*>& active) const;
  void AccrueSlowStartToken(Backend& backend, double work_rate, TimePoint now);

  double floor_;              // share of its capacity that a starting backend has at the least
  Duration warm_up_window_;   // within which it reaches all of it
  double overload_factor_;    // multiple of its capacity that overloads a backend
  Duration overload_window_;  // when sent within this time
  Duration rolling_window_;   // the same with slack
  int balancer_count_;
  const RequestStats& requests_;
  const LatencyStats& latencies_;
  Random& random_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_SLOW_START_H_
