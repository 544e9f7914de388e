// SPDX-License-Identifier: Apache-2.0
#include "simulator/backend.h"

#include <algorithm>
#include <utility>

namespace badgerbridge::simulator {

Backend::Backend(EventQueue& queue, Observer& observer, std::size_t index, BackendModel model, Random random)
    : queue_(queue), observer_(observer), index_(index), model_(model), random_(random) {}

void Backend::Start(TimePoint up_since) {
  is_up_ = true;
  up_since_ = up_since;
  ++incarnation_;
}

void Backend::Stop(TimePoint now) {
  if (!is_up_) return;
  is_up_ = false;
  ++incarnation_;
  running_ = 0;
  received_.clear();
  received_work_ = 0;
  for (const JobId job : std::exchange(running_jobs_, {})) observer_.OnJobDropped(now, index_, job);
  for (const Job& job : std::exchange(queued_jobs_, {})) observer_.OnJobDropped(now, index_, job.id);
}

double Backend::WarmFraction(TimePoint now) const {
  if (up_since_ == TimePoint{} || now - up_since_ >= model_.slow_start_window) return 1;
  return model_.slow_start_floor +
         (1 - model_.slow_start_floor) * ((now - up_since_) / model_.slow_start_window);
}

// All work that arrives counts, also what is rejected.
bool Backend::IsOverloadedBy(TimePoint now, double work) {
  if (!model_.can_fail_from_overload || model_.overload_factor <= 0) return false;
  while (!received_.empty() && now - received_.front().at > model_.overload_duration) {
    received_work_ -= received_.front().work;
    received_.pop_front();
  }
  const double warm_fraction = WarmFraction(now);
  if (warm_fraction >= 1) return false;
  received_.push_back({now, work});
  received_work_ += work;
  const double capacity = model_.slots * model_.speed * warm_fraction * model_.overload_duration.count();
  return received_work_ > model_.overload_factor * capacity && now - up_since_ >= model_.overload_duration;
}

Backend::Admission Backend::Submit(TimePoint now, JobId job, double work) {
  if (IsOverloadedBy(now, work)) {
    Stop(now);
    return Admission::kOverloaded;
  }
  if (running_ < model_.slots) {
    Run(now, {job, work});
    return Admission::kRunning;
  }
  if (queued_jobs_.size() >= static_cast<std::size_t>(model_.queue_capacity)) return Admission::kRejected;
  queued_jobs_.push_back({job, work});
  return Admission::kQueued;
}

void Backend::Run(TimePoint now, const Job& job) {
  ++running_;
  running_jobs_.push_back(job.id);
  const Duration takes(job.work * slowdown_ / (model_.speed * WarmFraction(now)));
  const TimePoint end = std::max(now, paused_until_) + takes;
  busy_ms_ += (end - now).count();
  observer_.OnJobStarted(now, index_, job.id);
  ScheduleEnd(end, job.id);
}

void Backend::ScheduleEnd(TimePoint at, JobId job) {
  queue_.Schedule(at,
                  [this, job, incarnation = incarnation_](TimePoint now) { Finish(now, job, incarnation); });
}

void Backend::Finish(TimePoint now, JobId job, std::uint64_t incarnation) {
  if (incarnation != incarnation_) return;
  if (now < paused_until_) return ScheduleEnd(paused_until_, job);
  --running_;
  running_jobs_.erase(std::find(running_jobs_.begin(), running_jobs_.end(), job));
  const bool succeeded = error_share_ <= 0 || random_.DrawUnit() >= error_share_;
  if (!queued_jobs_.empty()) {
    const Job next = queued_jobs_.front();
    queued_jobs_.pop_front();
    Run(now, next);
  }
  observer_.OnJobFinished(now, index_, job, succeeded);
}

}  // namespace badgerbridge::simulator
