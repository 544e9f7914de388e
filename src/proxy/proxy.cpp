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
    : clock_(clock), backends_(backends), table_(config.settings, config.seed), timer_(io) {}

RequestId Proxy::Accept(Submit submit, std::shared_ptr<const Forwarded> forwarded,
                        std::shared_ptr<Requester> requester) {
  const TimePoint now = clock_.Now();
  // Whatever needs memory comes first: once it is in the table, it must be in entries_.
  Entry& entry = entries_[kUnnumbered];
  entry.forwarded = std::move(forwarded);
  entry.requester = std::move(requester);
  RequestId request = 0;
  try {
    if (observer_) {
      observer_->OnRequest(now, submit);
      entry.submit = submit;
    }
    request = table_.Accept(now, submit, &actions_);
  } catch (...) {
    entries_.erase(kUnnumbered);
    throw;
  }
  auto node = entries_.extract(kUnnumbered);
  node.key() = request;
  entries_.insert(std::move(node));
  Turn();
  return request;
}

void Proxy::ClientDisconnected(RequestId request) {
  entries_.erase(request);
  table_.ClientDisconnected(clock_.Now(), request, &actions_);
  Turn();
}

void Proxy::UpdateList(EndpointListKind kind, const EndpointList& list) {
  if (kind != EndpointListKind::kCached) list_at_ = clock_.Now();
  backends_.Update(list);  // first: what the module does about it needs the addresses
  if (observer_) observer_->OnEndpointList(clock_.Now(), list);
  EndpointListUpdate update;
  update.kind = kind;
  for (const Endpoint& endpoint : list.endpoints) update.entries.push_back(endpoint.entry);
  table_.UpdateEndpoints(clock_.Now(), std::move(update), &actions_);
  Turn();
}

void Proxy::EndpointListFailed() {
  table_.UpdateEndpoints(clock_.Now(), {EndpointListKind::kFailed, {}}, &actions_);
  Turn();
}

void Proxy::UpdateZoneQuotas(balancer::ZoneQuotas shares) {
  table_.UpdateZoneQuotas(clock_.Now(), std::move(shares), &actions_);
  Turn();
}

// What the table says while its actions are carried out waits for its turn: they are done in order.
void Proxy::Turn() {
  if (performing_) return;
  performing_ = true;
  TellEnds();
  while (!actions_.empty()) {
    for (const request_table::Action& action : std::exchange(actions_, {})) {
      try {
        std::visit([this](const auto& a) { Perform(a); }, action);
      } catch (const std::exception& error) {
        // What it was about is ended by the last resort; the others must go on.
        std::cerr << "an action could not be carried out: " << error.what() << '\n';
      }
    }
  }
  performing_ = false;
  try {
    Arm();
  } catch (const std::exception& error) {
    std::cerr << "a timer could not be set: " << error.what() << '\n';
    armed_ = kNever;  // the next turn sets it
  }
}

void Proxy::Arm() {
  const TimePoint first = table_.NextWake().value_or(kNever);
  if (first == armed_) return;
  armed_ = first;
  if (first == kNever) return timer_.Disarm();
  timer_.ArmAt(clock_.ToSteady(first), [this] {
    armed_ = kNever;
    table_.Wake(clock_.Now(), &actions_);
    Turn();
  });
}

void Proxy::Perform(const request_table::Send& action) {
  const auto found = entries_.find(action.request);
  Attempts::iterator out;
  try {
    out = out_.insert_or_assign(action.request, Outstanding{action, {}, std::nullopt}).first;
  } catch (const std::exception&) {
    table_.AttemptEnded(clock_.Now(), action, Outcome::kNotSent, &actions_);
    throw;
  }
  // Its client has left since the table said so: it never runs.
  if (found == entries_.end()) return TellEnd(out, Outcome::kNotSent);
  try {
    if (observer_) observer_->OnAttemptSent(clock_.Now(), action, found->second.submit);
    out->second.ticket = backends_.Send(
        action.server, found->second.forwarded, action.timeout, action.begin_before,
        [this, action](AttemptResult result) { OnAttemptEnd(action, std::move(result)); },
        found->second.requester);
  } catch (const std::exception& error) {
    std::cerr << "an attempt could not be begun: " << error.what() << '\n';
    TellEnd(out, Outcome::kNotSent);
  }
}

void Proxy::Perform(const request_table::Cancel& action) {
  const auto found = out_.find(action.request);
  if (found != out_.end()) backends_.Cancel(found->second.ticket);
}

void Proxy::Perform(const request_table::Withdraw& action) {
  const auto found = out_.find(action.request);
  if (found != out_.end()) backends_.Withdraw(found->second.ticket);
}

void Proxy::OnAttemptEnd(const request_table::Send& attempt, AttemptResult result) {
  if (observer_) observer_->OnAttemptEnded(clock_.Now(), attempt, result.outcome, result.load);
  const auto found = entries_.find(attempt.request);
  if (found != entries_.end() && result.outcome == Outcome::kOk) {
    found->second.brought.body = std::move(result.body);
    found->second.brought.content_type = std::move(result.content_type);
  }
  TellEnd(out_.find(attempt.request), result.outcome);
  Turn();
}

// The table must be told of each end. Without the memory for that, it is told at the next turn.
void Proxy::TellEnd(Attempts::iterator attempt, Outcome outcome) {
  attempt->second.ended = outcome;
  try {
    table_.AttemptEnded(clock_.Now(), attempt->second.action, outcome, &actions_);
    out_.erase(attempt);
  } catch (const std::exception& error) {
    std::cerr << "an attempt's end could not be noted: " << error.what() << '\n';
    ends_untold_ = true;
  }
}

void Proxy::TellEnds() {
  if (!std::exchange(ends_untold_, false)) return;
  for (auto at = out_.begin(); at != out_.end();) {
    const auto attempt = at++;
    if (attempt->second.ended) TellEnd(attempt, *attempt->second.ended);
  }
}

// The one place where a client is answered.
void Proxy::Perform(const request_table::Respond& action) {
  const auto found = entries_.find(action.request);
  if (found == entries_.end()) return;  // it has left since
  Entry entry = std::move(found->second);
  entries_.erase(found);
  entry.brought.status = StatusOf(action.outcome);
  entry.brought.retry_after = action.retry_after;
  entry.requester->OnAnswer(std::move(entry.brought));
}

void Proxy::Perform(const balancer::Subscribe&) {
  if (subscribe_) subscribe_();
}
void Proxy::Perform(const balancer::Log& action) { std::cerr << action.text << '\n'; }

}  // namespace badgerbridge::proxy
