// SPDX-License-Identifier: Apache-2.0
#include "simulator/backend_pool.h"

#include <algorithm>
#include <utility>

#include "simulator/random_streams.h"

namespace badgerbridge::simulator {

using balancer::BackendState;
using balancer::DeduplicationScope;
using balancer::Outcome;

BackendPool::BackendPool(SimulationState& state, EndpointDiscovery& discovery,
                         AttemptEndCallback on_attempt_end)
    : state_(state), discovery_(discovery), on_attempt_end_(std::move(on_attempt_end)) {
  for (std::size_t i = 0; i < discovery_.entries().size(); ++i) {
    backends_.push_back(std::make_unique<Backend>(state_.queue, static_cast<Backend::Observer&>(*this), i,
                                                  state_.model.backend,
                                                  Random(state_.seed, kFirstBackendStream + i)));
    backends_.back()->Start(TimePoint{});
  }
}

void BackendPool::Receive(TimePoint now, AttemptId id) {
  Attempt* attempt = state_.requests.FindPendingAttempt(id);
  if (attempt == nullptr) return;  // its connection was closed before
  Backend& backend = *backends_[attempt->backend];
  // Another process than the one that it was meant for, or none: what was written on an open connection is
  // reset.
  if (!backend.is_up() || backend.up_since() != attempt->backend_up_since)
    return SendOutcome(now, id, attempt->uses_idle_connection ? Outcome::kReset : Outcome::kConnectFailed);
  const int proxy_zone = state_.model.ZoneOfProxy(attempt->proxy);
  if (state_.network.IsCut(proxy_zone, discovery_.entries()[attempt->backend].zone)) return;
  attempt->is_at_backend = true;
  const double work = state_.requests.submission(attempt->submission).work;
  state_.checker.OnBackendCalled(attempt->backend, work, attempt->proxy_was_notified);
  const Backend::Admission admission = backend.Submit(now, id, work);
  if (admission == Backend::Admission::kRejected) {
    attempt->is_at_backend = false;
    return SendOutcome(now, id, Outcome::kRejected);
  }
  if (admission == Backend::Admission::kOverloaded) {
    attempt->is_at_backend = false;
    state_.checker.OnBackendOverloaded(attempt->backend);
    return SendOutcome(now, id, Outcome::kReset);
  }
  if (attempt->is_reset) SendOutcome(now, id, Outcome::kReset);
}

// The proxy receives it unless the link is cut.
void BackendPool::SendOutcome(TimePoint now, AttemptId id, Outcome outcome) {
  const Attempt& attempt = state_.requests.attempt(id);
  const int zone = discovery_.entries()[attempt.backend].zone;
  const int proxy_zone = state_.model.ZoneOfProxy(attempt.proxy);
  if (state_.network.IsCut(zone, proxy_zone)) return;
  state_.queue.Schedule(
      now + state_.network.DrawLatency(proxy_zone, zone),
      [this, id, outcome](TimePoint arrived_at) { on_attempt_end_(arrived_at, id, outcome); });
}

int BackendPool::DeduplicationScopeOf(const balancer::ClassSettings& rules, std::size_t index) const {
  switch (rules.deduplication_scope) {
    case DeduplicationScope::kAll:
      return 0;
    case DeduplicationScope::kZone:
      return discovery_.entries()[index].zone;
    default:
      return discovery_.entries()[index].cell;
  }
}

void BackendPool::OnJobStarted(TimePoint now, std::size_t index, JobId id) {
  Submission& submission = state_.requests.submission(state_.requests.attempt(id).submission);
  const balancer::ClassSettings& rules = state_.class_model(submission.request_class).rules;
  const bool takes_effect =
      state_.checker.OnAttemptRuns(submission, rules, DeduplicationScopeOf(rules, index));
  if (!takes_effect) ++state_.result.dropped_repeats;
  state_.AddToDigest(id * 64 + index);
  state_.AddToDigest(now);
}

void BackendPool::OnJobFinished(TimePoint now, std::size_t, JobId id, bool succeeded) {
  LeaveBackend(now, id, succeeded ? Outcome::kOk : Outcome::kError);
}

void BackendPool::OnJobDropped(TimePoint now, std::size_t, JobId id) {
  LeaveBackend(now, id, Outcome::kReset);
}

void BackendPool::LeaveBackend(TimePoint now, AttemptId id, Outcome outcome) {
  Attempt& attempt = state_.requests.attempt(id);
  attempt.is_at_backend = false;
  if (!attempt.has_ended) return SendOutcome(now, id, outcome);
  const SubmissionId submission = attempt.submission;
  state_.requests.RemoveAttempt(id);
  state_.requests.RemoveIfFinished(submission);
}

void BackendPool::Publish(TimePoint now, std::size_t index, BackendState backend_state) {
  discovery_.Publish(now, index, backend_state, backends_[index]->up_since());
}

void BackendPool::Drain(TimePoint now, std::size_t index) {
  if (discovery_.entries()[index].state == BackendState::kReady) Publish(now, index, BackendState::kDraining);
}

void BackendPool::ListAsGone(TimePoint now, std::size_t index) {
  if (discovery_.entries()[index].state != BackendState::kGone) Publish(now, index, BackendState::kGone);
}

void BackendPool::Start(TimePoint now, std::size_t index) {
  backends_[index]->Start(now);
  state_.checker.OnBackendStarted(index);
  Publish(now, index, BackendState::kReady);
}

double BackendPool::SlotUtilization(std::size_t index) const {
  return static_cast<double>(backends_[index]->running()) / state_.model.backend.slots;
}

std::vector<double> BackendPool::Utilization(double duration_ms) const {
  std::vector<double> utilization;
  for (const auto& backend : backends_)
    utilization.push_back(backend->busy_ms() / std::max(1.0, duration_ms) / state_.model.backend.slots);
  return utilization;
}

std::vector<double> BackendPool::WarmBackendsByZone(TimePoint now) const {
  std::vector<double> warm_backends(static_cast<std::size_t>(state_.model.zones));
  for (std::size_t i = 0; i < backends_.size(); ++i) {
    const balancer::BackendEntry& entry = discovery_.entries()[i];
    if (entry.state == BackendState::kReady)
      warm_backends[static_cast<std::size_t>(entry.zone)] += backends_[i]->WarmFraction(now);
  }
  return warm_backends;
}

}  // namespace badgerbridge::simulator
