// SPDX-License-Identifier: Apache-2.0
#include "simulator/client_population.h"

#include <algorithm>

#include "simulator/random_streams.h"

namespace badgerbridge::simulator {

using balancer::Idempotency;
using request_table::RequestOutcome;

namespace {

constexpr Duration kIdleInterval{1000};  // between looks at the load while it is 0

}  // namespace

ClientPopulation::ClientPopulation(SimulationState& state, ProxyFleet& proxies)
    : state_(state),
      proxies_(proxies),
      arrival_random_(state.seed, kArrivalStream),
      work_random_(state.seed, kWorkStream),
      client_random_(state.seed, kClientStream) {
  double sum = 0;
  for (const ClassModel& each : state_.model.classes) {
    sum += each.share;
    cumulative_shares_.push_back(sum);
  }
  ScheduleArrival(TimeAt(0));
}

void ClientPopulation::ScheduleArrival(TimePoint at) {
  state_.queue.Schedule(at, [this](TimePoint now) { Arrive(now); });
}

void ClientPopulation::Arrive(TimePoint now) {
  if (now >= TimeAt(state_.model.duration_ms)) return;
  const double arrivals_per_ms = state_.model.clients.requests_per_second * load_ / 1000;
  if (arrivals_per_ms <= 0) return ScheduleArrival(now + kIdleInterval);
  ScheduleArrival(now + Duration(arrival_random_.DrawExponential(1 / arrivals_per_ms)));
  ClientRequest request;
  request.request_class = DrawClass();
  request.first_sent_at = now;
  request.work = state_.class_model(request.request_class).work.Draw(work_random_);
  request.zone = static_cast<int>(work_random_.DrawBelow(static_cast<std::uint64_t>(state_.model.zones)));
  ClassResult& result = state_.class_result(request.request_class);
  ++result.requested;
  result.requested_weight += state_.class_model(request.request_class).rules.priority_weight;
  Submit(now, state_.requests.Add(request));
}

int ClientPopulation::DrawClass() {
  const double drawn = work_random_.DrawUnit() * cumulative_shares_.back();
  const auto found = std::upper_bound(cumulative_shares_.begin(), cumulative_shares_.end(), drawn);
  const auto index = static_cast<std::size_t>(found - cumulative_shares_.begin());
  return static_cast<int>(std::min(index, state_.model.classes.size() - 1));
}

// A dead proxy refuses the connection, and the front is asked for another: as many times as there are proxies
// at most.
std::optional<std::size_t> ClientPopulation::Connect(int zone) {
  for (std::size_t i = 0; i <= proxies_.size(); ++i) {
    const auto proxy = proxies_.front().Pick(static_cast<std::size_t>(zone), client_random_);
    if (!proxy || proxies_.is_alive(*proxy)) return proxy;
  }
  return std::nullopt;
}

void ClientPopulation::Submit(TimePoint now, ClientRequestId id) {
  ClientRequest& request = state_.requests.client_request(id);
  const Duration deadline = state_.class_model(request.request_class).rules.deadline;
  ClassResult& result = state_.class_result(request.request_class);
  ++result.submissions;
  ++request.submissions;
  const auto proxy = Connect(request.zone);
  if (!proxy) {
    ++result.unreachable;
    state_.requests.RemoveClientRequest(id);
    return;
  }
  Submission submission;
  submission.request_class = request.request_class;
  submission.proxy = static_cast<std::uint32_t>(*proxy);
  submission.sent_at = now;
  submission.deadline = now + deadline;
  submission.client_request = id;
  submission.work = request.work;
  const SubmissionId number = state_.requests.Add(submission);
  state_.queue.Schedule(now + state_.network.DrawLatency(),
                        [this, number](TimePoint arrived_at) { proxies_.Receive(arrived_at, number); });
  state_.queue.Schedule(submission.deadline, [this, number](TimePoint) { ReachDeadline(number); });
  const double disconnect_share = state_.model.clients.disconnect_share;
  if (disconnect_share <= 0 || client_random_.DrawUnit() >= disconnect_share) return;
  state_.queue.Schedule(now + deadline * client_random_.DrawUnit(),
                        [this, number](TimePoint at) { Disconnect(at, number); });
}

void ClientPopulation::Receive(TimePoint now, SubmissionId id, Response response) {
  Submission* submission = state_.requests.FindSubmission(id);
  if (submission == nullptr) return;
  const bool is_awaited = !submission->has_disconnected && !submission->is_answered;
  state_.checker.OnResponse(*submission, state_.class_model(submission->request_class).rules,
                            response.outcome == RequestOutcome::kRejected);
  state_.AddToDigest(id ^ static_cast<std::uint64_t>(response.outcome) << 60);
  state_.AddToDigest(now);
  if (!is_awaited) return;
  if (response.outcome != RequestOutcome::kServed)
    return RetryOrGiveUp(now, submission->client_request, response);
  CountServed(now, *submission);
  state_.requests.RemoveClientRequest(submission->client_request);
}

void ClientPopulation::CountServed(TimePoint now, const Submission& submission) {
  const balancer::ClassSettings& rules = state_.class_model(submission.request_class).rules;
  const ClientRequest& request = state_.requests.client_request(submission.client_request);
  const bool is_within_objective = now - submission.sent_at <= rules.latency_objective;
  ClassResult& result = state_.class_result(submission.request_class);
  ++result.served;
  if (is_within_objective) ++result.within_objective;
  result.served_weight += rules.priority_weight * (is_within_objective ? 1 : rules.late_weight);
  result.latency.Add((now - request.first_sent_at).count());
}

// A rejection means that a retry is harmless; after a failure it is where the request is idempotent or has a
// key.
void ClientPopulation::RetryOrGiveUp(TimePoint now, ClientRequestId id, Response response) {
  const ClientRequest& request = state_.requests.client_request(id);
  ClassResult& result = state_.class_result(request.request_class);
  const bool is_rejected = response.outcome == RequestOutcome::kRejected;
  const Idempotency effect = state_.class_model(request.request_class).rules.idempotency;
  const bool may_retry = is_rejected || effect != Idempotency::kNotIdempotent;
  if (request.submissions >= state_.model.clients.max_submissions || !may_retry) {
    ++(is_rejected ? result.rejected : result.failed);
    state_.requests.RemoveClientRequest(id);
    return;
  }
  double delay_ms = state_.model.clients.retry_delay.Draw(client_random_);
  if (response.retry_after_ms > 0 && state_.model.clients.honours_retry_after)
    delay_ms += response.retry_after_ms;
  state_.queue.Schedule(now + Duration(delay_ms), [this, id](TimePoint at) {
    if (state_.requests.IsOpen(id)) Submit(at, id);
  });
}

void ClientPopulation::ReachDeadline(SubmissionId id) {
  Submission* submission = state_.requests.FindSubmission(id);
  if (submission == nullptr) return;
  const bool was_accepted = submission->proxy_incarnation != 0;
  if (was_accepted)
    state_.checker.OnDeadline(*submission,
                              proxies_.incarnation(submission->proxy) == submission->proxy_incarnation);
  if (!submission->is_answered && !submission->has_disconnected) {  // its proxy has died
    submission->is_answered = true;
    ++state_.class_result(submission->request_class).interrupted;
    state_.requests.RemoveClientRequest(submission->client_request);
  }
  submission->is_closed = true;
  state_.requests.RemoveIfFinished(id);
}

void ClientPopulation::Disconnect(TimePoint now, SubmissionId id) {
  Submission* submission = state_.requests.FindSubmission(id);
  if (submission == nullptr || submission->is_answered || submission->has_disconnected) return;
  submission->has_disconnected = true;
  ++state_.class_result(submission->request_class).disconnected;
  state_.requests.RemoveClientRequest(submission->client_request);
  proxies_.Disconnect(now, *submission);
}

}  // namespace badgerbridge::simulator
