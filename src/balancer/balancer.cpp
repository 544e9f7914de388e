// SPDX-License-Identifier: Apache-2.0
/// \file
/// The event handlers of the balancer, which call the modules in a fixed order. The types of events and
/// actions are in include/badgerbridge/balancer.h.
///
/// The ordinary path is gRFC A50 outlier detection (failure percentage) and selection of the backend in
/// service with the least estimated work of this proxy in flight. Each departure from it is marked
/// "Exception" in its module, with its condition; docs/design.md lists them all.
#include "badgerbridge/balancer.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "balancer/admission.h"
#include "balancer/aperture.h"
#include "balancer/attempt_permission.h"
#include "balancer/attempt_recorder.h"
#include "balancer/attempt_timeout.h"
#include "balancer/backend.h"
#include "balancer/backend_list.h"
#include "balancer/client_timeout.h"
#include "balancer/concurrency_limit.h"
#include "balancer/endpoint_poller.h"
#include "balancer/event_timer.h"
#include "balancer/latency_stats.h"
#include "balancer/log_throttle.h"
#include "balancer/outlier_detection.h"
#include "balancer/random.h"
#include "balancer/request.h"
#include "balancer/request_queue.h"
#include "balancer/request_stats.h"
#include "balancer/reserve.h"
#include "balancer/retry_budget.h"
#include "balancer/selection.h"
#include "balancer/slow_backends.h"
#include "balancer/slow_start.h"
#include "balancer/tenant_quota.h"
#include "balancer/wakeup_schedule.h"
#include "balancer/warm_capacity.h"
#include "balancer/zone_quota.h"

namespace badgerbridge::balancer {
namespace {

constexpr Duration kRateSampleInterval{100};
constexpr int kMinRetryQueueTicks = 4;
constexpr int kDeadlineMarginTicks = 2;

std::string BackendName(BackendId id) { return "backend " + std::to_string(id); }

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)),
        random_(seed),
        request_stats_(settings_.classes.size()),
        latencies_(settings_.classes.size()),
        client_timeouts_(settings_.classes.size()),
        aperture_(settings_.balancer_count, settings_.balancer_index),
        slow_start_(settings_, request_stats_, latencies_, random_),
        zone_quotas_(settings_),
        tenant_quotas_(settings_),
        concurrency_(settings_.balancer_count),
        timeouts_(settings_, request_stats_, latencies_),
        selector_(settings_, request_stats_, aperture_, slow_start_, zone_quotas_, random_),
        attempt_recorder_(settings_, request_stats_, warm_capacity_, slow_backends_, latencies_, concurrency_,
                          zone_quotas_),
        poller_(settings_) {}

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
    AdvanceTime(now);
    actions_ = actions;
    // The event is handled before due work: a new endpoint list may remove a backend that would be used.
    std::visit([this](const auto& received) { On(received); }, event);
    ReturnEjectedBackends();
    EndOutlierInterval();
    SampleRates();
    PollEndpoints();
    WakeRequests();
    DispatchQueued();
    ArmTimer();
    actions_ = nullptr;
  }

  std::vector<BackendView> Inspect() const {
    std::vector<BackendView> views;
    views.reserve(backends_.all().size());
    for (const auto& [id, backend] : backends_.all()) views.push_back(ViewOf(backend));
    return views;
  }

 private:
  using RequestMap = std::map<RequestId, Request>;

  // ---- Events -----------------------------------------------------------------------------------------

  void On(const EndpointListUpdate& update) {
    if (update.answers_poll) poller_.RecordUpdate(update.kind, now_, random_);
    if (update.kind == EndpointListKind::kFailed) return;
    backends_.Apply(update, now_, aperture_);
    for (const BackendEntry& endpoint : update.entries) {
      const bool is_ready = endpoint.state == BackendState::kReady;
      if (is_ready && slow_start_.CapacityShare(endpoint, now_) < 1) warm_capacity_.Track(endpoint.server);
    }
    warm_capacity_.Update(backends_, aperture_.ready_backends(), slow_start_, now_);
    queue_needs_dispatch_ = true;
  }

  void On(const ZoneQuotas& quotas) {
    zone_quotas_.Update(quotas, now_);
    queue_needs_dispatch_ = true;
  }

  void On(const Submit& submit) {
    if (requests_.count(submit.request) > 0) return;
    Request request;
    request.id = submit.request;
    request.deadline = submit.due;
    request.arrived_at = now_;
    request.key = submit.key;
    if (submit.request_class < 0 || submit.request_class >= static_cast<int>(settings_.classes.size())) {
      // The idempotency is unknown, but the request was never sent: rejecting it is safe.
      actions_->push_back(Reject{request.id, Duration(0)});
      return;
    }
    request.request_class = submit.request_class;
    Admit(submit, request);
    if (request.priority <= 0) {
      Finish(request, RetryAfter(settings_, request.request_class));
      return;
    }
    const auto kept = requests_.emplace(request.id, std::move(request)).first;
    TryDispatch(kept->second);
    RemoveIfDone(kept);
  }

  void On(const AttemptEnded& ended) {
    const auto found = requests_.find(ended.request);
    if (found == requests_.end()) return;
    Request& request = found->second;
    if (ended.attempt < 0 || ended.attempt >= static_cast<int>(request.attempts.size())) return;
    Attempt& attempt = request.attempts[static_cast<std::size_t>(ended.attempt)];
    if (!attempt.outstanding) return;
    attempt.outstanding = false;
    attempt.may_have_run = !ProvesNotRun(ended.outcome);
    Backend* const backend = backends_.Find(attempt.backend);
    if (backend != nullptr && attempt_recorder_.Record(request, attempt, ended, *backend, now_)) {
      EjectIfOutlier(*backend);
    }
    queue_needs_dispatch_ = true;
    if (ended.settled) request.finished = true;
    if (!request.finished && request.OutstandingAttempts() == 0 && !request.queued) {
      Retry(request, attempt.may_have_run || ended.outcome == Outcome::kRejected);
    }
    RemoveIfDone(found);
  }

  void On(const ClientDisconnected& event) {
    const auto found = requests_.find(event.request);
    if (found == requests_.end()) return;
    found->second.finished = true;
    RemoveIfDone(found);
  }

  void On(const StreamStarted& event) {
    const auto found = requests_.find(event.request);
    if (found != requests_.end()) found->second.streaming = true;
  }

  void On(const TimerFired& event) { timer_.Fired(event.token); }

  // ---- Admission and dispatch -------------------------------------------------------------------------

  // Estimates the work of a request and sets its priority and maximum queueing time.
  void Admit(const Submit& submit, Request& request) {
    const ClassSettings& request_class = ClassOf(request);
    const Duration elapsed = client_timeouts_.RecordAndEstimateElapsed(submit, request_class.deadline, now_);
    const TimeBudget budget{request_class.latency_objective, request_class.latency_objective - elapsed,
                            request.deadline};
    request.work_ms = request_stats_.RecordSubmit(submit, request_class.latency_objective);
    const bool within_quota = tenant_quotas_.Acquire(submit.tenant);
    const double weight = request_class.priority_weight * (within_quota ? 1 : settings_.over_quota_weight);
    request.priority = Priority(weight, request_class.late_weight, request.work_ms, budget, now_, latencies_);
    if (request.priority <= 0) return;
    const EwmaStats& latency = latencies_.Latency(request.request_class);
    request.reject_at = RejectTime(budget, latency, settings_.tick, now_);
  }

  // Dispatches, queues or finishes the request; returns whether it was dispatched.
  bool TryDispatch(Request& request) {
    const AttemptPermission permission = PermissionFor(request, settings_, now_);
    Backend* const backend = permission.may_dispatch ? SelectBackend(request, permission) : nullptr;
    if (backend != nullptr) {
      queue_.Dequeue(request);
      Send(request, *backend, permission.begin_before);
      return true;
    }
    if (!permission.may_dispatch || now_ >= request.reject_at) {
      Finish(request, RetryAfter(settings_, request.request_class));
    } else if (!request.queued) {
      queue_.Enqueue(request);
      wakeups_.Add(request.reject_at, request.id);
    }
    return false;
  }

  Backend* SelectBackend(const Request& request, const AttemptPermission& permission) {
    if (!concurrency_.HasCapacity(request_stats_, latencies_, warm_capacity_.warm_backends(),
                                  slow_backends_)) {
      return nullptr;
    }
    const Selection selection = selector_.Select(request, permission, backends_.active(), now_);
    const Backend* const skipped = selection.over_slow_start_budget;
    if (skipped != nullptr && log_throttle_.Permits(LogTopic::kSlowStart, now_)) {
      const double share = slow_start_.CapacityShare(skipped->endpoint, now_);
      WriteLog(BackendName(skipped->endpoint.server) + " skipped: slow-start budget exhausted at " +
               std::to_string(static_cast<int>(100 * share)) + "% or more of its capacity");
    }
    return selection.backend;
  }

  void Send(Request& request, Backend& backend, TimePoint begin_before) {
    ReserveForSend(request, backend);
    if (request.attempts.empty()) {
      retry_budget_.RecordFirstAttempt();
    } else {
      retry_budget_.RecordRetry();
    }
    const Duration timeout =
        retry_budget_.HasToken() ? timeouts_.TimeoutFor(request, backend, now_) : Duration(0);
    Responsiveness& responsiveness = backend.responsiveness;
    if (backend.in_flight.attempts == 0) responsiveness.last_response_at = now_;
    backends_.MarkActive(backend);
    concurrency_.AttemptStarted(backend, random_);
    backend.in_flight.work_ms += request.work_ms;
    ++backend.in_flight.attempts;
    zone_quotas_.Spend(backend.endpoint.zone, request.work_ms);
    backend.slow_start.sent.Add(now_, request.work_ms);
    request.attempts.push_back({.backend = backend.endpoint.server,
                                .group = {backend.endpoint.zone, backend.endpoint.cell},
                                .sent_at = now_,
                                .previous_sent_at = std::exchange(responsiveness.last_sent_at, now_),
                                .slow_start_tokens_used = std::exchange(backend.slow_start.tokens, 0)});
    actions_->push_back(Dispatch{request.id, backend.endpoint.server, timeout, begin_before});
  }

  // Allocates all memory for a dispatch before any state changes: a counted attempt must be sent.
  void ReserveForSend(Request& request, Backend& backend) {
    backends_.ReserveActive();
    ReserveOne(request.attempts);
    ReserveOne(*actions_);
    backend.slow_start.sent.ReserveNext();
    if (settings_.key_affinity && request.key != 0) backend.key_affinity.Record(request.key, now_);
    if (timeouts_.IsBounded(request)) wakeups_.Add(now_ + MaxCountedTime(request), request.id);
  }

  // Retries after a failed attempt where permitted; a retry that adds load needs a token of the retry budget.
  void Retry(Request& request, bool adds_load) {
    const bool may_dispatch = PermissionFor(request, settings_, now_).may_dispatch;
    if (!may_dispatch || (adds_load && !retry_budget_.HasToken())) {
      Finish(request, Duration(0));
      return;
    }
    const TimePoint latest = request.deadline - settings_.tick * kDeadlineMarginTicks;
    request.reject_at =
        std::max(request.reject_at, std::min(latest, now_ + settings_.tick * kMinRetryQueueTicks));
    TryDispatch(request);
  }

  // Rejects the request where permitted, otherwise fails it.
  void Finish(Request& request, Duration retry_after) {
    const bool may_reject = PermissionFor(request, settings_, now_).may_reject;
    if (log_throttle_.Permits(LogTopic::kFinalAnswer, now_)) {
      const std::string last = request.attempts.empty()
                                   ? "cannot be answered in time"
                                   : "last attempt at " + BackendName(request.attempts.back().backend);
      WriteLog((may_reject ? "rejecting a request: " : "failing a request: ") + last + "; " +
               std::to_string(concurrency_.in_flight()) + " in flight, " + std::to_string(queue_.size()) +
               " queued");
    }
    if (may_reject) {
      actions_->push_back(Reject{request.id, retry_after});
    } else {
      actions_->push_back(FailRequest{request.id});
    }
    request.finished = true;
  }

  void RemoveIfDone(RequestMap::iterator position) {
    Request& request = position->second;
    if (!request.finished) return;
    queue_.Dequeue(request);
    if (request.OutstandingAttempts() == 0) requests_.erase(position);
  }

  void EjectIfOutlier(Backend& backend) {
    if (!outlier_detector_.EjectIfOutlier(backend, now_, backends_.active(), aperture_.ready_backends(),
                                          random_)) {
      return;
    }
    if (!log_throttle_.Permits(LogTopic::kOutlier, now_)) return;
    WriteLog(BackendName(backend.endpoint.server) + " ejected: " + std::to_string(backend.outlier.failures) +
             " of " + std::to_string(backend.outlier.attempts()) + " attempts failed");
  }

  // ---- Time -------------------------------------------------------------------------------------------

  void AdvanceTime(TimePoint now) {
    concurrency_.AdvanceTime(std::max(0.0, (now - now_).count()));
    now_ = now;
  }

  void ReturnEjectedBackends() {
    if (now_ < outlier_detector_.next_unejection_at()) return;
    for (const BackendId id : outlier_detector_.UnejectDue(now_, backends_.active())) {
      queue_needs_dispatch_ = true;
      if (log_throttle_.Permits(LogTopic::kOutlier, now_)) WriteLog(BackendName(id) + " returns to service");
    }
  }

  void EndOutlierInterval() {
    if (!outlier_detector_.IntervalIsOver(now_)) return;
    const double arrivals_per_ms = request_stats_.arrivals_per_ms();
    outlier_detector_.EndInterval(now_, arrivals_per_ms, aperture_.Size(arrivals_per_ms), backends_.active());
  }

  void SampleRates() {
    if (now_ < next_sample_at_) return;
    const double elapsed_ms = (now_ - sampled_at_).count();
    const bool measures_rate = elapsed_ms > 0 && sampled_at_ != TimePoint{};
    for (Backend* backend : backends_.active()) {
      if (measures_rate) backend->completed_work.Sample(elapsed_ms);
      backend->completed_work.Discard();
      backend->key_affinity.Expire(now_);
      SlowBackends::Decay(backend->slowness, elapsed_ms);
    }
    backends_.DeactivateIdle();
    slow_backends_.Update(backends_.active(), warm_capacity_.ManyWarmingUp());
    // Lateness decays with time, since a proxy that sends little gets few new samples.
    if (!warm_capacity_.ManyWarmingUp()) concurrency_.DecayLateness(elapsed_ms);
    if (warm_capacity_.AnyWarmingUp()) {
      warm_capacity_.Update(backends_, aperture_.ready_backends(), slow_start_, now_);
    }
    if (measures_rate) {
      concurrency_.SampleRate(elapsed_ms);
      request_stats_.SampleRate(elapsed_ms);
    }
    tenant_quotas_.Refill(elapsed_ms);
    sampled_at_ = now_;
    next_sample_at_ = now_ + kRateSampleInterval;
    queue_needs_dispatch_ = true;  // slow-start budgets have grown
  }

  void PollEndpoints() {
    if (poller_.ConsumeDuePoll(now_)) actions_->push_back(Subscribe{});
  }

  void WakeRequests() {
    while (const std::optional<RequestId> id = wakeups_.PopDue(now_)) {
      const auto found = requests_.find(*id);
      if (found == requests_.end()) continue;
      Request& request = found->second;
      if (request.queued && now_ >= request.reject_at) {
        Finish(request, RetryAfter(settings_, request.request_class));
      }
      ReleaseOverdue(request);
      RemoveIfDone(found);
    }
  }

  // An attempt in flight for longer than usual is stuck at one backend and no longer counts towards the
  // concurrency limit: two attempts at an unresponsive backend blocked all dispatches of a small proxy for
  // seconds.
  void ReleaseOverdue(Request& request) {
    for (Attempt& attempt : request.attempts) {
      if (!attempt.outstanding || now_ < attempt.sent_at + MaxCountedTime(request)) continue;
      Backend* const backend = backends_.Find(attempt.backend);
      if (!attempt.overdue) {
        concurrency_.AttemptReleased(backend);
        if (backend != nullptr) backend->responsiveness.RecordOverdue(attempt.sent_at);
      }
      attempt.overdue = true;
      queue_needs_dispatch_ = true;
      CancelIfStalled(request, attempt, backend);
    }
  }

  // Exception: an overdue attempt whose backend has answered later attempts is lost on a stalled connection.
  // It is cancelled where a retry is permitted and can be in time. Without this, a proxy waited for each such
  // attempt until the client's deadline.
  void CancelIfStalled(const Request& request, Attempt& attempt, const Backend* backend) {
    if (attempt.cancelled || request.finished || !timeouts_.RetryWouldHelp(request, now_)) return;
    const bool stalled = backend != nullptr && backend->responsiveness.HasAnsweredLaterThan(attempt.sent_at);
    if (stalled && retry_budget_.HasToken()) {
      attempt.cancelled = true;
      actions_->push_back(CancelAttempt{request.id, static_cast<int>(&attempt - request.attempts.data())});
    } else {
      wakeups_.Add(now_ + std::max(settings_.tick, MaxCountedTime(request) / 2), request.id);
    }
  }

  void DispatchQueued() {
    if (!queue_needs_dispatch_) return;
    queue_needs_dispatch_ = false;
    queue_.DispatchInOrder([this](RequestId id) {
      const auto found = requests_.find(id);
      const bool dispatched = TryDispatch(found->second);
      RemoveIfDone(found);
      return dispatched;
    });
  }

  void ArmTimer() {
    const TimePoint at = std::min(
        {next_sample_at_, poller_.next_at(), outlier_detector_.next_unejection_at(), wakeups_.next_at()});
    if (const std::optional<SetTimer> timer = timer_.Arm(at, now_)) actions_->push_back(*timer);
  }

  // ---- Helpers ----------------------------------------------------------------------------------------

  const ClassSettings& ClassOf(const Request& request) const {
    return settings_.classes[static_cast<std::size_t>(request.request_class)];
  }

  Duration MaxCountedTime(const Request& request) const {
    return timeouts_.MaxCountedTime(request, warm_capacity_.ManyWarmingUp());
  }

  void WriteLog(std::string text) { actions_->push_back(Log{std::move(text)}); }

  BackendView ViewOf(const Backend& backend) const {
    BackendView view{.entry = backend.endpoint,
                     .ejected = backend.outlier.ejected,
                     .unresponsive = backend.responsiveness.unresponsive};
    if (view.ejected) view.ejected_until = backend.outlier.ejected_until;
    view.in_flight = backend.in_flight.attempts;
    view.work_in_flight = backend.in_flight.work_ms;
    view.slowness = backend.slowness.ratio;
    view.capacity_share = slow_start_.CapacityShare(backend.endpoint, now_);
    if (view.capacity_share < 1) {
      view.slow_start_budget = slow_start_.Budget(backend, view.capacity_share, now_, backends_.active());
      view.slow_start_sent = slow_start_.SentWithinWindow(backend, now_);
    }
    return view;
  }

  const Settings settings_;
  Random random_;
  TimePoint now_{};                         // time of the latest event
  std::vector<Action>* actions_ = nullptr;  // output of the event being handled; null otherwise

  RequestMap requests_;
  RequestQueue queue_;
  WakeupSchedule wakeups_;
  bool queue_needs_dispatch_ = false;  // whether a queued request may have become dispatchable

  RequestStats request_stats_;
  LatencyStats latencies_;
  ClientTimeouts client_timeouts_;

  BackendList backends_;
  Aperture aperture_;
  SlowStart slow_start_;
  WarmCapacity warm_capacity_;
  SlowBackends slow_backends_;
  OutlierDetector outlier_detector_;

  ZoneQuotaBuckets zone_quotas_;
  TenantQuotas tenant_quotas_;
  RetryBudget retry_budget_;
  ConcurrencyLimit concurrency_;
  AttemptTimeouts timeouts_;
  BackendSelector selector_;
  AttemptRecorder attempt_recorder_;

  EndpointPoller poller_;
  EventTimer timer_;
  LogThrottle log_throttle_;
  TimePoint sampled_at_{};
  TimePoint next_sample_at_{};
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}
std::vector<BackendView> Balancer::Inspect() const { return impl_->Inspect(); }

}  // namespace badgerbridge::balancer
