// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/zone_traffic_recorder.h"

#include <algorithm>

#include "proxy_main/load_header.h"

namespace badgerbridge::proxy_main {
namespace {

using balancer::Outcome;
using balancer::TimePoint;
using zone_failover::AttemptOutcome;

constexpr double kMeanWorkGain = 0.02;  // weight of a new sample in the moving average
constexpr double kDefaultWorkMs = 1;    // used for requests without a hint until one has a hint

AttemptOutcome ToAttemptOutcome(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return AttemptOutcome::kServed;
    case Outcome::kRejected:
      return AttemptOutcome::kRejected;
    case Outcome::kCancelled:
    case Outcome::kNotSent:
      return AttemptOutcome::kCancelled;
    default:
      return AttemptOutcome::kFailed;
  }
}

}  // namespace

ZoneTrafficRecorder::ZoneTrafficRecorder(const proxy::Config& config, zone_failover::Member& member)
    : member_(member),
      zone_count_(config.zones.size()),
      slow_start_floor_(config.settings.slow_start_floor),
      slow_start_window_(config.settings.slow_start_window) {}

void ZoneTrafficRecorder::OnEndpointList(TimePoint, const proxy::EndpointList& list) {
  if (list.snapshot) ready_backends_.clear();
  for (const proxy::Endpoint& endpoint : list.endpoints) {
    const balancer::BackendEntry& entry = endpoint.entry;
    if (entry.state == balancer::BackendState::kReady) {
      ready_backends_[entry.server] = {entry.zone, entry.weight, entry.up_since};
    } else {
      ready_backends_.erase(entry.server);
    }
  }
}

double ZoneTrafficRecorder::SlowStartProgress(TimePoint now, const ReadyBackend& backend) const {
  const bool is_warm = backend.up_since == TimePoint{} || slow_start_window_.count() <= 0;
  if (is_warm) return 1;
  return std::clamp((now - backend.up_since).count() / slow_start_window_.count(), 0.0, 1.0);
}

std::vector<double> ZoneTrafficRecorder::WarmBackends(TimePoint now) const {
  std::vector<double> warm_backends(zone_count_);
  for (const auto& [id, backend] : ready_backends_) {
    if (backend.zone < 0 || static_cast<std::size_t>(backend.zone) >= zone_count_) continue;
    const double warm_share = slow_start_floor_ + (1 - slow_start_floor_) * SlowStartProgress(now, backend);
    warm_backends[static_cast<std::size_t>(backend.zone)] += backend.weight * warm_share;
  }
  return warm_backends;
}

void ZoneTrafficRecorder::OnRequest(TimePoint now, const balancer::Submit& submit) {
  if (submit.has_hint) {
    const double gain = mean_work_ms_ > 0 ? kMeanWorkGain : 1;
    mean_work_ms_ += gain * (submit.work_ms - mean_work_ms_);
  }
  member_.RequestArrived(now, EstimateWorkMs(submit));
}

double ZoneTrafficRecorder::EstimateWorkMs(const balancer::Submit& submit) const {
  if (submit.has_hint) return submit.work_ms;
  return mean_work_ms_ > 0 ? mean_work_ms_ : kDefaultWorkMs;
}

void ZoneTrafficRecorder::OnAttemptSent(TimePoint now, const request_table::Send& send,
                                        const balancer::Submit& submit) {
  const auto backend = ready_backends_.find(send.server);
  // A draining backend may serve as a last resort, but does not count towards its zone's capacity.
  if (backend == ready_backends_.end() || backend->second.zone < 0) return;
  const AttemptInFlight attempt{++last_attempt_number_, static_cast<std::size_t>(submit.request_class),
                                EstimateWorkMs(submit)};
  attempts_in_flight_[{send.request, send.attempt}] = attempt;
  member_.AttemptStarted(now, attempt.number, static_cast<std::size_t>(backend->second.zone));
}

void ZoneTrafficRecorder::OnAttemptEnded(TimePoint now, const request_table::Send& send, Outcome outcome,
                                         std::string_view load_header) {
  const auto found = attempts_in_flight_.find({send.request, send.attempt});
  if (found == attempts_in_flight_.end()) return;
  const AttemptInFlight attempt = found->second;
  attempts_in_flight_.erase(found);
  member_.AttemptEnded(now, attempt.number,
                       {.request_class = attempt.request_class,
                        .outcome = ToAttemptOutcome(outcome),
                        .latency = now - send.sent_at,
                        .work = attempt.work_ms,
                        .utilization = ParseUtilization(load_header)});
}

}  // namespace badgerbridge::proxy_main
