// SPDX-License-Identifier: Apache-2.0
//
// What proxies send: attempts to backends and responses to clients.
#include <algorithm>
#include <utility>

#include "simulator/proxy_fleet.h"

namespace badgerbridge::simulator {

using namespace balancer;

namespace {

constexpr std::uint16_t kMaxIdleConnections = 16;  // of a proxy to a backend

// Whether a complete response has arrived, so that its connection is kept.
bool HasResponse(Outcome outcome) {
  return outcome == Outcome::kOk || outcome == Outcome::kError || outcome == Outcome::kRejected;
}

zone_failover::AttemptOutcome FailoverOutcomeOf(Outcome outcome) {
  using zone_failover::AttemptOutcome;
  if (outcome == Outcome::kOk) return AttemptOutcome::kServed;
  if (outcome == Outcome::kRejected) return AttemptOutcome::kRejected;
  if (outcome == Outcome::kCancelled || outcome == Outcome::kNotSent) return AttemptOutcome::kCancelled;
  return AttemptOutcome::kFailed;
}

}  // namespace

void ProxyFleet::ScheduleEnd(TimePoint at, AttemptId id, Outcome outcome) {
  state_.queue.Schedule(at, [this, id, outcome](TimePoint now) { EndAttempt(now, id, outcome); });
}

void ProxyFleet::CarryOut(TimePoint now, std::size_t index, const request_table::Cancel& cancel) {
  const auto attempt = proxies_[index].last_attempts.find(cancel.request);
  if (attempt != proxies_[index].last_attempts.end()) ScheduleEnd(now, attempt->second, Outcome::kCancelled);
}

void ProxyFleet::CarryOut(TimePoint now, std::size_t index, const request_table::Withdraw& withdraw) {
  const auto attempt = proxies_[index].last_attempts.find(withdraw.request);
  if (attempt == proxies_[index].last_attempts.end()) return;
  const bool is_written = now >= state_.requests.attempt(attempt->second).written_at;
  if (!is_written) ScheduleEnd(now, attempt->second, Outcome::kNotSent);
}

void ProxyFleet::CarryOut(TimePoint now, std::size_t index, const request_table::Respond& respond) {
  Proxy& proxy = proxies_[index];
  const auto submission = proxy.submissions.find(respond.request);
  if (submission == proxy.submissions.end()) return;
  const auto retry_after_us = static_cast<std::uint64_t>(respond.retry_after.count() * 1000);
  const Response response{respond.outcome, static_cast<double>(retry_after_us) / 1000};
  state_.queue.Schedule(now + state_.network.DrawLatency(),
                        [this, id = submission->second, response](TimePoint arrived_at) {
                          on_response_(arrived_at, id, response);
                        });
  proxy.submissions.erase(submission);
}

void ProxyFleet::CarryOut(TimePoint now, std::size_t index, const request_table::Send& send) {
  Proxy& proxy = proxies_[index];
  const auto found = proxy.submissions.find(send.request);
  if (found == proxy.submissions.end())
    return proxy.core->AttemptEnded(now, send, Outcome::kNotSent, &proxy.actions);
  const Attempt attempt = MakeAttempt(index, found->second, send);
  const AttemptId id = state_.requests.Add(attempt);
  const Submission& submission = state_.requests.submission(attempt.submission);
  proxy.last_attempts[send.request] = id;
  const auto draining = proxy.draining_since.find(send.server);
  std::optional<TimePoint> draining_since;
  if (draining != proxy.draining_since.end()) draining_since = draining->second;
  state_.checker.OnAttemptSent(submission, draining_since, attempt.backend);
  const int zone = discovery_.entries()[attempt.backend].zone;
  if (members_) members_->AttemptStarted(now, index, id, zone);
  CountAttempt(submission.request_class, proxy.zone, zone);
  Transmit(now, id, zone);
}

Attempt ProxyFleet::MakeAttempt(std::size_t index, SubmissionId submission, const request_table::Send& send) {
  const Proxy& proxy = proxies_[index];
  Attempt attempt;
  attempt.proxy = index;
  attempt.proxy_incarnation = proxy.incarnation;
  attempt.submission = submission;
  attempt.backend = IndexOf(send.server);
  attempt.backend_up_since = backends_.up_since(attempt.backend);
  attempt.proxy_was_notified = proxy.known_starts[attempt.backend] == attempt.backend_up_since;
  attempt.send = send;
  attempt.is_reset = state_.network.DrawReset();
  attempt.uses_idle_connection = proxy.idle_connections[attempt.backend] > 0;
  return attempt;
}

void ProxyFleet::CountAttempt(int request_class, int proxy_zone, int backend_zone) {
  ++state_.result.attempts;
  ClassResult& result = state_.class_result(request_class);
  ++result.attempts;
  if (proxy_zone != backend_zone) ++result.cross_zone;
  if (state_.model.IsCrossRegion(proxy_zone, backend_zone)) ++result.cross_region;
}

// On an idle connection at once, else after TCP's handshake.
void ProxyFleet::Transmit(TimePoint now, AttemptId id, int zone) {
  Attempt& attempt = state_.requests.attempt(id);
  Proxy& proxy = proxies_[attempt.proxy];
  const Duration latency = state_.network.DrawLatency(proxy.zone, zone);
  const bool is_cut = state_.network.IsCut(proxy.zone, zone);
  std::optional<TimePoint> arrives_at;
  if (attempt.uses_idle_connection) {
    attempt.written_at = now;
    --proxy.idle_connections[attempt.backend];
    // An idle connection does not notice a cut.
    if (!is_cut) arrives_at = now + latency;
  } else if (is_cut) {
    attempt.written_at = TimePoint::max();
    ScheduleEnd(now + std::min(state_.model.network.connect_timeout, attempt.send.timeout), id,
                Outcome::kConnectFailed);
  } else {
    attempt.written_at = now + 2 * latency;
    arrives_at = now + 3 * latency;
  }
  if (arrives_at)
    state_.queue.Schedule(*arrives_at,
                          [this, id](TimePoint arrived_at) { backends_.Receive(arrived_at, id); });
  ScheduleEnd(now + attempt.send.timeout, id, Outcome::kTimeout);
}

void ProxyFleet::EndAttempt(TimePoint now, AttemptId id, Outcome outcome) {
  Attempt* pending = state_.requests.FindPendingAttempt(id);
  if (pending == nullptr) return;
  pending->has_ended = true;
  const Attempt attempt = *pending;
  Proxy& proxy = proxies_[attempt.proxy];
  --state_.requests.submission(attempt.submission).pending_attempts;
  const bool is_same_process = proxy.incarnation == attempt.proxy_incarnation;
  if (is_same_process) ReportEnd(now, id, attempt, outcome);
  if (!attempt.is_at_backend) state_.requests.RemoveAttempt(id);
  if (is_same_process) {
    proxy.last_attempts.erase(attempt.send.request);
    proxy.core->AttemptEnded(now, attempt.send, outcome, &proxy.actions);
    CarryOutActions(now, attempt.proxy);
  }
  state_.requests.RemoveIfFinished(attempt.submission);
}

// To the connection pool and to zone failover.
void ProxyFleet::ReportEnd(TimePoint now, AttemptId id, const Attempt& attempt, Outcome outcome) {
  std::uint16_t& idle_connections = proxies_[attempt.proxy].idle_connections[attempt.backend];
  if (HasResponse(outcome) && idle_connections < kMaxIdleConnections) ++idle_connections;
  if (!members_) return;
  const Submission& submission = state_.requests.submission(attempt.submission);
  zone_failover::AttemptResult result;
  result.request_class = static_cast<std::size_t>(submission.request_class);
  result.outcome = FailoverOutcomeOf(outcome);
  result.latency = now - attempt.send.sent_at;
  result.work = submission.work;
  if (HasResponse(outcome)) result.utilization = backends_.SlotUtilization(attempt.backend);
  members_->AttemptEnded(now, attempt.proxy, id, result);
}

}  // namespace badgerbridge::simulator
