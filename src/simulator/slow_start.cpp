// SPDX-License-Identifier: Apache-2.0
#include "simulator/slow_start.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::simulator {
namespace {

constexpr double kFewCalls = 30;        // below, the rule has a clause of its own
constexpr double kToldShare = 2.0 / 3;  // of a window: more of it from proxies that knew breaks the rule

}  // namespace

double AllowedCalls(const BackendModel& model, double mean_work, Duration age) {
  const double warmth =
      model.slow_start_window.count() > 0 ? std::clamp(age / model.slow_start_window, 0.0, 1.0) : 1;
  const double share = model.slow_start_floor + (1 - model.slow_start_floor) * warmth;
  const double capacity = model.slots * model.speed * share;  // work a ms
  return model.overload_factor * capacity * model.overload_duration.count() / mean_work;
}

double MostCalls(double allowed) {
  const double most = allowed + 2 * std::sqrt(allowed) + 2;
  return allowed < kFewCalls ? std::min(most, 3 * std::sqrt(allowed) + 3) : most;
}

void SlowStartShares::Raise(const SlowStartShares& other) {
  calls = std::max(calls, other.calls);
  work = std::max(work, other.work);
}

void SlowStart::Start(TimePoint now) {
  started_ = now;
  window_.clear();
  all_ = told_ = {};
}

void SlowStart::Count(const Call& call, double sign) {
  const double work = call.work / mean_work_;
  all_.calls += sign;
  all_.work += sign * work;
  if (!call.told) return;
  told_.calls += sign;
  told_.work += sign * work;
}

bool SlowStart::Came(TimePoint now, double work, bool told) {
  if (model_.overload_factor <= 0 || started_ == TimePoint{}) return false;
  const Duration age = now - started_;
  if (age >= model_.slow_start_window) return false;
  while (!window_.empty() && now - window_.front().at > model_.overload_duration) {
    Count(window_.front(), -1);
    window_.pop_front();
  }
  window_.push_back({now, work, told});
  Count(window_.back(), 1);
  const double most = MostCalls(AllowedCalls(model_, mean_work_, age));
  const double counted_calls = told_.calls > kToldShare * all_.calls ? all_.calls : told_.calls;
  const double counted_work = told_.work > kToldShare * all_.work ? all_.work : told_.work;
  const SlowStartShares used{counted_calls / most, counted_work / most};
  worst_.Raise(used);
  return used.calls > 1 || used.work > 1;
}

}  // namespace badgerbridge::simulator
