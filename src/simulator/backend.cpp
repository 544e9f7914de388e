// SPDX-License-Identifier: Apache-2.0
#include "simulator/backend.h"

#include <algorithm>

namespace badgerbridge::simulator {

Backend::Backend(EventQueue& queue, Watcher& watcher, std::size_t index, BackendModel model, Random random)
    : queue_(queue), watcher_(watcher), index_(index), model_(model), random_(random) {}

void Backend::Start(TimePoint up_since) {
  up_ = true;
  up_since_ = up_since;
  ++incarnation_;
}

void Backend::Die(TimePoint now) {
  if (!up_) return;
  up_ = false;
  ++incarnation_;
  running_ = 0;
  received_.clear();
  received_work_ = 0;
  for (const JobId job : std::exchange(run_, {})) watcher_.Dropped(now, index_, job);
  for (const Job& job : std::exchange(waiting_, {})) watcher_.Dropped(now, index_, job.id);
}

double Backend::WarmShare(TimePoint now) const {
  if (up_since_ == TimePoint{} || now - up_since_ >= model_.slow_start_window) return 1;
  return model_.slow_start_floor +
         (1 - model_.slow_start_floor) * ((now - up_since_) / model_.slow_start_window);
}

// The rule counts the work within any such time, and what is turned away too.
bool Backend::Overwhelmed(TimePoint now, double work) {
  if (!model_.falls || model_.overload_factor <= 0) return false;
  while (!received_.empty() && now - received_.front().first > model_.overload_duration) {
    received_work_ -= received_.front().second;
    received_.pop_front();
  }
  const double share = WarmShare(now);
  if (share >= 1) return false;
  received_.emplace_back(now, work);
  received_work_ += work;
  const double can = model_.slots * model_.speed * share * model_.overload_duration.count();
  return received_work_ > model_.overload_factor * can && now - up_since_ >= model_.overload_duration;
}

Backend::Begin Backend::Take(TimePoint now, JobId job, double work) {
  ++taken_;
  if (Overwhelmed(now, work)) {
    Die(now);
    return Begin::kFell;
  }
  if (running_ < model_.slots) {
    Run(now, {job, work});
    return Begin::kRuns;
  }
  if (waiting_.size() >= static_cast<std::size_t>(model_.queue)) return Begin::kFull;
  waiting_.push_back({job, work});
  return Begin::kQueued;
}

void Backend::Run(TimePoint now, const Job& job) {
  ++running_;
  run_.push_back(job.id);
  const Duration takes(job.work * slow_ / (model_.speed * WarmShare(now)));
  const TimePoint end = std::max(now, paused_until_) + takes;
  busy_ms_ += (end - now).count();
  watcher_.Began(now, index_, job.id);
  queue_.At(end, this, 0, job.id, incarnation_);
}

void Backend::On(TimePoint now, std::uint32_t, std::uint64_t job, std::uint64_t incarnation) {
  if (incarnation != incarnation_) return;
  if (now < paused_until_) return queue_.At(paused_until_, this, 0, job, incarnation);
  --running_;
  run_.erase(std::find(run_.begin(), run_.end(), job));
  const bool right = wrong_ <= 0 || random_.Unit() >= wrong_;
  if (!waiting_.empty()) {
    const Job next = waiting_.front();
    waiting_.pop_front();
    Run(now, next);
  }
  watcher_.Finished(now, index_, job, right);
}

}  // namespace badgerbridge::simulator
