// SPDX-License-Identifier: Apache-2.0
#include "balancer/slow_start.h"

#include <algorithm>

#include "balancer/backend.h"

namespace badgerbridge::balancer {
namespace {

// The rest of the overload factor is reserved for random variation and delayed updates.
constexpr double kUsableShareOfOverload = 0.55;
constexpr double kMinBackendCores = 0.25;     // assumed minimum of a warm backend, in standard cores
constexpr double kRollingWindowFactor = 1.1;  // rolling window over Settings::overload_duration, for delays
constexpr Duration kCompletedAveragingTime{8000};  // of completed work
// The average of completed work starts from this number of zero samples.
constexpr double kInitialZeroSampleCount = 20;
constexpr double kMinBusyWorkPerMs = 1e-9;  // below, a backend is idle
constexpr double kMinWorkUnitMs = 1e-3;     // avoids a division by zero

}  // namespace

double SentWindow::ExpireAndSum(TimePoint now, Duration window) {
  while (first_ < sent_.size() && now - sent_[first_].at > window) {
    sum_ -= sent_[first_].work_ms;
    ++first_;
  }
  if (2 * first_ >= sent_.size()) {
    sent_.erase(sent_.begin(), sent_.begin() + static_cast<std::ptrdiff_t>(first_));
    first_ = 0;
    if (sent_.empty()) sent_.shrink_to_fit();
  }
  if (sent_.empty()) sum_ = 0;  // prevents accumulation of rounding errors
  return sum_;
}

void SentWindow::Refund(TimePoint sent_at, double work_ms) {
  const auto begin = sent_.begin() + static_cast<std::ptrdiff_t>(first_);
  const auto found = std::find_if(
      begin, sent_.end(), [&](const Sent& sent) { return sent.at == sent_at && sent.work_ms == work_ms; });
  if (found == sent_.end()) return;
  sum_ -= work_ms;
  sent_.erase(found);
}

double SentWindow::Sum(TimePoint now, Duration window) const {
  double sum = 0;
  for (auto sent = sent_.rbegin(); sent != sent_.rend() && now - sent->at <= window; ++sent) {
    sum += sent->work_ms;
  }
  return sum;
}

void CompletedWorkRate::Sample(double elapsed_ms) {
  ++samples_;
  const double gain = std::min(1.0, elapsed_ms / kCompletedAveragingTime.count());
  work_per_ms_ += std::max(gain, 1 / (kInitialZeroSampleCount + samples_)) *
                  (work_since_sample_ms_ / elapsed_ms - work_per_ms_);
}

bool CompletedWorkRate::IsIdle() const {
  return work_since_sample_ms_ == 0 && work_per_ms_ < kMinBusyWorkPerMs;
}

SlowStart::SlowStart(const Settings& settings, const RequestStats& requests, const LatencyStats& latencies,
                     Random& random)
    : floor_(settings.slow_start_floor),
      warm_up_window_(settings.slow_start_window),
      overload_factor_(settings.overload_factor),
      overload_window_(settings.overload_duration),
      rolling_window_(settings.overload_duration * kRollingWindowFactor),
      balancer_count_(settings.balancer_count),
      requests_(requests),
      latencies_(latencies),
      random_(random) {}

double SlowStart::CapacityShareAtAge(double age_ms) const {
  const double warm_up_ms = warm_up_window_.count();
  if (warm_up_ms <= 0 || age_ms >= warm_up_ms) return 1;
  return floor_ + (1 - floor_) * std::max(0.0, age_ms) / warm_up_ms;
}

bool SlowStart::WithinBudget(Backend& backend, double work_ms, TimePoint now,
                             const std::vector<Backend*>& active) {
  SlowStartState& state = backend.slow_start;
  const double share = CapacityShare(backend.endpoint, now);
  const double sent_ms = state.sent.ExpireAndSum(now, rolling_window_);
  if (share >= 1 || overload_factor_ <= 0) return true;
  const double rate = SlowStartRate(backend, share, now, active);
  AccrueSlowStartToken(backend, std::max(rate, MinSlowStartRate(share)), now);
  if (sent_ms + work_ms <= rate * overload_window_.count()) return true;
  return now - backend.responsiveness.last_sent_at >= rolling_window_ &&
         state.tokens >= std::max(1.0, work_ms / requests_.mean_work_ms());
}

// With a budget of less than one request per window, tokens accrue at the rate of the budget. The initial
// number of tokens is random: otherwise, all proxies that are notified of a backend's start together, or that
// start themselves, would send one request each at the same time.
void SlowStart::AccrueSlowStartToken(Backend& backend, double work_rate, TimePoint now) {
  SlowStartState& state = backend.slow_start;
  if (state.token_epoch != backend.endpoint.up_since) {  // the backend has restarted
    const bool one_per_window = work_rate * rolling_window_.count() >= requests_.mean_work_ms();
    state.tokens = one_per_window ? 1 : random_.Unit();
    state.token_epoch = backend.endpoint.up_since;
  } else {
    state.tokens += std::min(state.tokens_work_rate, work_rate) * (now - state.tokens_as_of).count() /
                    requests_.mean_work_ms();
  }
  state.tokens_work_rate = work_rate;
  state.tokens_as_of = now;
}

double SlowStart::Budget(const Backend& backend, double capacity_share, TimePoint now,
                         const std::vector<Backend*>& active) const {
  return SlowStartRate(backend, capacity_share, now, active) * overload_window_.count();
}

double SlowStart::SentWithinWindow(const Backend& backend, TimePoint now) const {
  return backend.slow_start.sent.Sum(now, rolling_window_);
}

// In work per ms.
double SlowStart::SlowStartRate(const Backend& backend, double capacity_share, TimePoint now,
                                const std::vector<Backend*>& active) const {
  return kUsableShareOfOverload * overload_factor_ * capacity_share * WarmBackendRate(backend, now, active);
}

// Without work hints, each request counts as work of 1. Its duration is then estimated by the latency without
// contention or, before that is known, by the usable part of the latency objective.
double SlowStart::MinSlowStartRate(double capacity_share) const {
  double work_unit = 1;
  if (!requests_.work_was_hinted()) {
    const double uncontended = latencies_.uncontended_time_per_work();
    work_unit = uncontended > 0 ? uncontended : kMaxQueueingShare * requests_.mean_objective_ms();
  }
  return kMinBackendCores * overload_factor_ * capacity_share / balancer_count_ /
         std::max(work_unit, kMinWorkUnitMs);
}

// Mean work per ms that warm backends of the same kind complete for this proxy; of any kind if there are
// none.
double SlowStart::WarmBackendRate(const Backend& like, TimePoint now,
                                  const std::vector<Backend*>& active) const {
  double same_kind_rate = 0;
  double total_rate = 0;
  int same_kind = 0;
  int total = 0;
  for (const Backend* backend : active) {
    const bool in_service = backend->IsReady() && !backend->outlier.ejected;
    if (!in_service || CapacityShare(backend->endpoint, now) < 1) continue;
    total_rate += backend->completed_work.work_per_ms();
    ++total;
    if (backend->endpoint.kind != like.endpoint.kind) continue;
    same_kind_rate += backend->completed_work.work_per_ms();
    ++same_kind;
  }
  if (same_kind > 0) return same_kind_rate / same_kind;
  return total > 0 ? total_rate / total : 0;
}

}  // namespace badgerbridge::balancer
