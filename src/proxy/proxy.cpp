// SPDX-License-Identifier: Apache-2.0
#include "proxy/proxy.h"

#include <iostream>
#include <utility>

namespace badgerbridge::proxy {
namespace {

constexpr TimePoint kNever{Duration(1e300)};

unsigned StatusOf(request_table::RequestOutcome outcome) {
  switch (outcome) {
    case request_table::RequestOutcome::kServed:
      return 200;
    case request_table::RequestOutcome::kRejected:
      return 503;
    case request_table::RequestOutcome::kFailed:
      return 502;
    case request_table::RequestOutcome::kDeadlineFallback:
      return 504;
  }
  return 502;
}

}  // namespace

Proxy::Proxy(boost::asio::io_context& io, const ProxyClock& clock, BackendPool& backends,
             const Config& config)
    : clock_(clock),
      backends_(backends),
      table_(config.settings, config.seed),
      timer_(io),
      timer_at_(kNever) {}

RequestId Proxy::Accept(Submit submit, std::shared_ptr<const ForwardedRequest> forwarded,
                        std::shared_ptr<Requester> requester) {
  const TimePoint now = clock_.Now();
  // Inserts into requests_ first, which may throw: a request in the table must always have an entry there.
  OpenRequest& request = requests_[kNoRequestId];
  request.forwarded = std::move(forwarded);
  request.requester = std::move(requester);
  RequestId id = kNoRequestId;
  try {
    if (observer_) {
      observer_->OnRequest(now, submit);
      request.submit = submit;
    }
    id = table_.Accept(now, submit, &actions_);
  } catch (...) {
    requests_.erase(kNoRequestId);
    throw;
  }
  auto node = requests_.extract(kNoRequestId);
  node.key() = id;
  requests_.insert(std::move(node));
  ProcessActions();
  return id;
}

bool Proxy::ClientDisconnected(RequestId request) {
  const auto found = requests_.find(request);
  const bool was_attempted = found == requests_.end() || found->second.answer.was_attempted;
  if (found != requests_.end()) requests_.erase(found);
  table_.ClientDisconnected(clock_.Now(), request, &actions_);
  ProcessActions();
  return was_attempted;
}

void Proxy::UpdateList(EndpointListKind kind, const EndpointList& list) { ApplyList(kind, list, true); }

void Proxy::ApplyMembershipChange(const EndpointList& change) {
  ApplyList(EndpointListKind::kDelta, change, false);
}

void Proxy::ApplyList(EndpointListKind kind, const EndpointList& list, bool answers_poll) {
  if (kind != EndpointListKind::kCached) last_list_at_ = clock_.Now();
  backends_.Update(list);  // first, because the actions of the decision module need the addresses
  if (observer_) observer_->OnEndpointList(clock_.Now(), list);
  EndpointListUpdate update;
  update.kind = kind;
  update.answers_poll = answers_poll;
  for (const Endpoint& endpoint : list.endpoints) update.entries.push_back(endpoint.entry);
  table_.UpdateEndpoints(clock_.Now(), std::move(update), &actions_);
  ProcessActions();
}

void Proxy::EndpointListFailed() {
  table_.UpdateEndpoints(clock_.Now(), {EndpointListKind::kFailed, {}}, &actions_);
  ProcessActions();
}

void Proxy::UpdateZoneQuotas(balancer::ZoneQuotas quotas) {
  table_.UpdateZoneQuotas(clock_.Now(), std::move(quotas), &actions_);
  ProcessActions();
}

// Performs the actions of the table in order. Actions added meanwhile are performed after the current ones.
void Proxy::ProcessActions() {
  if (processing_) return;
  processing_ = true;
  RetryUnreportedEnds();
  while (!actions_.empty()) {
    for (const request_table::Action& action : std::exchange(actions_, {})) {
      try {
        std::visit([this](const auto& alternative) { Perform(alternative); }, action);
      } catch (const std::exception& error) {
        // The deadline fallback ends the request of this action; the other actions must still be performed.
        std::cerr << "cannot perform an action of the request table, continuing with the next: "
                  << error.what() << '\n';
      }
    }
  }
  processing_ = false;
  try {
    ArmTimer();
  } catch (const std::exception& error) {
    std::cerr << "cannot set the timer of the request table, retrying at the next event: " << error.what()
              << '\n';
    timer_at_ = kNever;  // the next call of ArmTimer() sets it
  }
}

void Proxy::ArmTimer() {
  const TimePoint wake_at = table_.NextWake().value_or(kNever);
  if (wake_at == timer_at_) return;
  timer_at_ = wake_at;
  if (wake_at == kNever) return timer_.Disarm();
  timer_.ArmAt(clock_.ToSteady(wake_at), [this] {
    timer_at_ = kNever;
    table_.Wake(clock_.Now(), &actions_);
    ProcessActions();
  });
}

void Proxy::Perform(const request_table::Send& action) {
  const auto request = requests_.find(action.request);
  OutstandingAttempts::iterator attempt;
  try {
    attempt = attempts_.insert_or_assign(action.request, OutstandingAttempt{action, {}, std::nullopt}).first;
  } catch (const std::exception&) {
    table_.AttemptEnded(clock_.Now(), action, Outcome::kNotSent, &actions_);
    throw;
  }
  // The client has disconnected since the table added the action, so the attempt is not sent.
  if (request == requests_.end()) return ReportAttemptEnd(attempt, Outcome::kNotSent);
  try {
    request->second.answer.was_attempted = true;
    if (observer_) observer_->OnAttemptSent(clock_.Now(), action, request->second.submit);
    attempt->second.handle = backends_.Send(
        action.server, request->second.forwarded, action.timeout, action.begin_before,
        [this, action](AttemptResult result) { OnAttemptEnd(action, std::move(result)); },
        request->second.requester);
  } catch (const std::exception& error) {
    std::cerr << "cannot begin an attempt, reporting it as not sent: " << error.what() << '\n';
    ReportAttemptEnd(attempt, Outcome::kNotSent);
  }
}

void Proxy::Perform(const request_table::Cancel& action) {
  const auto found = attempts_.find(action.request);
  if (found != attempts_.end()) backends_.Cancel(found->second.handle);
}

void Proxy::Perform(const request_table::Withdraw& action) {
  const auto found = attempts_.find(action.request);
  if (found != attempts_.end()) backends_.Withdraw(found->second.handle);
}

void Proxy::OnAttemptEnd(const request_table::Send& attempt, AttemptResult result) {
  if (observer_) observer_->OnAttemptEnded(clock_.Now(), attempt, result.outcome, result.load_report);
  const auto request = requests_.find(attempt.request);
  if (request != requests_.end() && result.outcome == Outcome::kOk) {
    request->second.answer.body = std::move(result.body);
    request->second.answer.content_type = std::move(result.content_type);
  }
  ReportAttemptEnd(attempts_.find(attempt.request), result.outcome);
  ProcessActions();
}

// Notifies the table that an attempt has ended. If that fails for lack of memory, the next ProcessActions()
// retries it.
void Proxy::ReportAttemptEnd(OutstandingAttempts::iterator attempt, Outcome outcome) {
  attempt->second.unreported_outcome = outcome;
  try {
    table_.AttemptEnded(clock_.Now(), attempt->second.action, outcome, &actions_);
    attempts_.erase(attempt);
  } catch (const std::exception& error) {
    std::cerr << "cannot record the end of an attempt, retrying at the next event: " << error.what() << '\n';
    has_unreported_ends_ = true;
  }
}

void Proxy::RetryUnreportedEnds() {
  if (!std::exchange(has_unreported_ends_, false)) return;
  for (auto at = attempts_.begin(); at != attempts_.end();) {
    const auto attempt = at++;
    if (attempt->second.unreported_outcome) ReportAttemptEnd(attempt, *attempt->second.unreported_outcome);
  }
}

// Every answer to a client is sent here.
void Proxy::Perform(const request_table::Respond& action) {
  const auto found = requests_.find(action.request);
  if (found == requests_.end()) return;  // the client has disconnected
  OpenRequest request = std::move(found->second);
  requests_.erase(found);
  request.answer.status = StatusOf(action.outcome);
  request.answer.retry_after = action.retry_after;
  request.requester->OnAnswer(std::move(request.answer));
}

void Proxy::Perform(const balancer::Subscribe&) {
  if (subscribe_) subscribe_();
}

void Proxy::Perform(const balancer::Log& action) { std::cerr << action.text << '\n'; }

}  // namespace badgerbridge::proxy
