// SPDX-License-Identifier: Apache-2.0
#include "balancer/attempt_recorder.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace badgerbridge::balancer {
namespace {

constexpr double kMinLatencyMs = 1e-9;  // avoids a division by zero
// A request that takes longer than this even without contention is expected to be late at any load.
constexpr double kMaxUncontendedShareOfObjective = 0.5;

}  // namespace

bool AttemptRecorder::Record(const Request& request, const Attempt& attempt, const AttemptEnded& ended,
                             Backend& backend, TimePoint now) {
  const Outcome outcome = ended.outcome;
  ReleaseLoad(request, attempt, outcome, backend, now);
  if (outcome == Outcome::kNotSent) RefundUnsent(request, attempt, backend);
  backend.responsiveness.RecordOutcome(outcome, attempt.sent_at);
  const bool cancelled_by_client = outcome == Outcome::kCancelled && !attempt.cancelled;
  if (cancelled_by_client || outcome == Outcome::kNotSent || outcome == Outcome::kUnknown) return false;
  const bool success = outcome == Outcome::kOk;
  if (success) {
    backend.completed_work.Count(request.work_ms);
    concurrency_.RecordSuccess();
  }
  // A timeout on a stalled connection, while the backend responds on others, counts as a failure but says
  // nothing about the latency of the backend.
  const bool stalled = backend.responsiveness.HasAnsweredLaterThan(attempt.sent_at);
  const bool measures_latency = success || (outcome == Outcome::kTimeout && !stalled);
  const double took_ms = ended.took.count();
  if (measures_latency && std::isfinite(took_ms) && took_ms >= 0)
    RecordLatency(request, took_ms, backend, now);
  if (success && request.work_ms >= requests_.mean_work_ms() && took_ms > 0) {
    latencies_.RecordUncontended(request.work_ms, took_ms);
  }
  backend.outlier.Record(success);
  return true;
}

void AttemptRecorder::ReleaseLoad(const Request& request, const Attempt& attempt, Outcome outcome,
                                  Backend& backend, TimePoint now) {
  if (!attempt.overdue) concurrency_.AttemptReleased(&backend);
  const bool responded = outcome != Outcome::kTimeout && outcome != Outcome::kNotSent;
  if (responded) backend.responsiveness.last_response_at = now;
  backend.in_flight.work_ms -= request.work_ms;
  --backend.in_flight.attempts;
  if (backend.in_flight.attempts == 0)
    backend.in_flight.work_ms = 0;  // prevents accumulation of rounding errors
}

// Returns the budget used by an attempt that was never sent.
void AttemptRecorder::RefundUnsent(const Request& request, const Attempt& attempt, Backend& backend) {
  backend.slow_start.sent.Refund(attempt.sent_at, request.work_ms);
  if (backend.responsiveness.last_sent_at == attempt.sent_at) {
    backend.responsiveness.last_sent_at = attempt.previous_sent_at;
    backend.slow_start.tokens += attempt.slow_start_tokens_used;
  }
  zone_quotas_.Refund(backend.endpoint.zone, request.work_ms);
}

void AttemptRecorder::RecordLatency(const Request& request, double took_ms, Backend& backend, TimePoint now) {
  const int request_class = request.request_class;
  const double scaled_ms = took_ms / requests_.LatencyScale(request_class, request.work_ms);
  latencies_.Record(request_class, scaled_ms);
  // Lateness indicates overload of all backends, so it is not recorded for requests that are too large to be
  // in time, nor for late responses of a backend that is slower than most.
  const bool many_warming_up = warm_capacity_.ManyWarmingUp();
  const Duration objective = settings_.classes[static_cast<std::size_t>(request_class)].latency_objective;
  const bool late = took_ms > objective.count();
  const double uncontended_ms = request.work_ms * latencies_.uncontended_time_per_work();
  const bool may_meet_objective = uncontended_ms < kMaxUncontendedShareOfObjective * objective.count();
  if (may_meet_objective && !(late && slow_backends_.IsSlow(backend.slowness, many_warming_up))) {
    concurrency_.RecordLateness(late);
  }
  const EwmaStats& usual =
      many_warming_up ? latencies_.Latency(request_class) : latencies_.BaselineLatency(request_class);
  SlowBackends::Record(backend.slowness, scaled_ms / std::max(usual.mean(), kMinLatencyMs), now);
}

}  // namespace badgerbridge::balancer
