// SPDX-License-Identifier: Apache-2.0
#include "simulator/slow_start_checker.h"

#include <algorithm>
#include <cmath>

namespace badgerbridge::simulator {
namespace {

constexpr double kMinCallsOfGeneralRule = 30;  // below, the rule has a clause of its own
constexpr double kMinNotifiedShare = 2.0 / 3;  // of a window: above, all calls in it count

}  // namespace

double AllowedCalls(const BackendModel& model, double mean_work, Duration age) {
  const double warmth =
      model.slow_start_window.count() > 0 ? std::clamp(age / model.slow_start_window, 0.0, 1.0) : 1;
  const double share = model.slow_start_floor + (1 - model.slow_start_floor) * warmth;
  const double capacity = model.slots * model.speed * share;  // work per ms
  return model.overload_factor * capacity * model.overload_duration.count() / mean_work;
}

double MaxCalls(double allowed_calls) {
  const double general = allowed_calls + 2 * std::sqrt(allowed_calls) + 2;
  if (allowed_calls >= kMinCallsOfGeneralRule) return general;
  return std::min(general, 3 * std::sqrt(allowed_calls) + 3);
}

void SlowStartUsage::Merge(const SlowStartUsage& other) {
  calls = std::max(calls, other.calls);
  work = std::max(work, other.work);
}

void SlowStartChecker::Start(TimePoint now) {
  started_ = now;
  window_.clear();
  all_ = {};
  notified_ = {};
}

void SlowStartChecker::Count(const Call& call, double sign) {
  const double work = call.work / mean_work_;
  all_.calls += sign;
  all_.work += sign * work;
  if (!call.proxy_was_notified) return;
  notified_.calls += sign;
  notified_.work += sign * work;
}

bool SlowStartChecker::AddCall(TimePoint now, double work, bool proxy_was_notified) {
  if (model_.overload_factor <= 0 || started_ == TimePoint{}) return false;
  const Duration age = now - started_;
  if (age >= model_.slow_start_window) return false;
  while (!window_.empty() && now - window_.front().at > model_.overload_duration) {
    Count(window_.front(), -1);
    window_.pop_front();
  }
  window_.push_back({now, work, proxy_was_notified});
  Count(window_.back(), 1);
  const double max_calls = MaxCalls(AllowedCalls(model_, mean_work_, age));
  const bool all_calls_count = notified_.calls > kMinNotifiedShare * all_.calls;
  const bool all_work_counts = notified_.work > kMinNotifiedShare * all_.work;
  const SlowStartUsage usage{(all_calls_count ? all_.calls : notified_.calls) / max_calls,
                             (all_work_counts ? all_.work : notified_.work) / max_calls};
  max_usage_.Merge(usage);
  return usage.calls > 1 || usage.work > 1;
}

}  // namespace badgerbridge::simulator
