// SPDX-License-Identifier: Apache-2.0
//
// The rule on backends in slow start: what all proxies together may send one that has just started. Judged
// by what really reaches the backend, in every window of the settings' length, from its start on.
#ifndef BADGERBRIDGE_SIMULATOR_SLOW_START_H_
#define BADGERBRIDGE_SIMULATOR_SLOW_START_H_

#include <deque>

#include "simulator/backend.h"

namespace badgerbridge::simulator {

// N: the calls of mean work (`mean_work` ms of a standard core) that the settings allow a backend of this
// age in one window of `overload_duration`. The age is that at the window's end.
double AllowedCalls(const BackendModel& model, double mean_work, Duration age);

// N + 2 sqrt(N) + 2: beyond this the rule is broken. For an N under 30 the rule names 3 sqrt(N) + 3. It is
// read in the strictest way, as the whole and not as what chance adds to N, and taken where it is less.
double MostCalls(double allowed);

// The largest shares of their bounds that calls have used; at most 1 where the rule holds.
struct SlowStartShares {
  double calls = 0;  // each call counts as one
  double work = 0;   // each counts by its work over the mean
  void Raise(const SlowStartShares& other);
};

// What one backend has been sent since its start.
class SlowStart {
 public:
  SlowStart(BackendModel model, double mean_work) : model_(model), mean_work_(mean_work) {}

  // A new process: nothing that came to an older one counts.
  void Start(TimePoint now);
  // A call has come, whatever becomes of it. `told`: its proxy had been told of this start when it sent it.
  // What comes from proxies that had not is no fault of theirs, and counts only where it is less than a third
  // of the window. True if the rule is broken by it, by the number of calls or by their work.
  bool Came(TimePoint now, double work, bool told);
  const SlowStartShares& worst() const { return worst_; }

 private:
  struct Call {
    TimePoint at;
    double work;
    bool told;
  };
  struct Sums {
    double calls = 0, work = 0;
  };
  void Count(const Call& call, double sign);

  BackendModel model_;
  double mean_work_;
  TimePoint started_{};
  std::deque<Call> window_;
  Sums all_, told_;
  SlowStartShares worst_;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_SLOW_START_H_
