// SPDX-License-Identifier: Apache-2.0
#include "request_table/request_table.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <limits>
#include <string>
#include <utility>

namespace badgerbridge::request_table {

using balancer::Duration;
using balancer::Outcome;
using balancer::RequestId;
using balancer::TimePoint;

namespace {

balancer::Settings WithBoundedAttempts(balancer::Settings settings) {
  settings.max_attempts = std::min(settings.max_attempts, kMaxAttempts);
  return settings;
}

void CountCompletion(RequestOutcome outcome, RequestCounters* counters) {
  switch (outcome) {
    case RequestOutcome::kServed:
      ++counters->served;
      return;
    case RequestOutcome::kRejected:
      ++counters->rejected;
      return;
    case RequestOutcome::kFailed:
      ++counters->failed;
      return;
    case RequestOutcome::kDeadlineFallback:
      ++counters->failed;
      ++counters->deadline_fallback;
      return;
  }
}

}  // namespace

RequestCounters& RequestCounters::operator+=(const RequestCounters& other) {
  accepted += other.accepted;
  served += other.served;
  rejected += other.rejected;
  failed += other.failed;
  open += other.open;
  client_disconnected += other.client_disconnected;
  deadline_fallback += other.deadline_fallback;
  return *this;
}

RequestTable::RequestTable(const balancer::Settings& settings, std::uint64_t seed)
    : max_attempts_(std::min(settings.max_attempts, kMaxAttempts)),
      balancer_(WithBoundedAttempts(settings), seed),
      counters_(settings.classes.size()) {}

// ---- events ---------------------------------------------------------------------------------------------

RequestId RequestTable::Accept(TimePoint now, balancer::Submit submit, Actions* actions) {
  submit.request = ++last_request_;
  Entry entry;
  entry.request_class = submit.request_class;
  entry.deadline_fallback_at = submit.due - kDeadlineFallbackMargin;
  submit.due -= kAnswerMargin;
  entry.attempts_due = submit.due;
  const bool has_time = entry.attempts_due > now;

  ReserveForCompletion(actions);
  Insert(submit, entry, has_time);
  RequestCounters& counters = CountersOf(submit.request_class);
  ++counters.accepted;
  ++counters.open;

  if (has_time) {
    ProcessEvents(now, actions);
  } else {
    // No attempt was sent, so the client may safely retry.
    Complete(submit.request, RequestOutcome::kRejected, Duration(0), actions);
  }
  return submit.request;
}

void RequestTable::ClientDisconnected(TimePoint now, RequestId request, Actions* actions) {
  const auto found = table_.find(request);
  if (found == table_.end()) return;
  ReserveForCompletion(actions);
  pending_events_.push_back(balancer::ClientDisconnected{request});
  RequestCounters& counters = Remove(found, actions);
  ++counters.failed;
  ++counters.client_disconnected;
  ProcessEvents(now, actions);
}

void RequestTable::AttemptEnded(TimePoint now, const Send& attempt, Outcome outcome, Actions* actions) {
  const auto found = table_.find(attempt.request);
  const bool is_open = found != table_.end();
  balancer::AttemptEnded end;
  end.request = attempt.request;
  end.attempt = attempt.attempt;
  end.server = attempt.server;
  end.outcome = outcome;
  end.took = now - attempt.sent_at;
  end.settled = !is_open || outcome == Outcome::kOk;

  ReserveForCompletion(actions);
  pending_events_.push_back(end);
  const bool is_newest = is_open && found->second.attempts == attempt.attempt + 1;
  if (is_newest) found->second.attempt_in_flight = false;
  if (outcome == Outcome::kOk) {
    Complete(attempt.request, RequestOutcome::kServed, Duration(0), actions);
  }
  ProcessEvents(now, actions);
}

void RequestTable::UpdateEndpoints(TimePoint now, balancer::EndpointListUpdate update, Actions* actions) {
  EnqueueAndProcess(now, std::move(update), actions);
}

void RequestTable::UpdateZoneQuotas(TimePoint now, balancer::ZoneQuotas quotas, Actions* actions) {
  EnqueueAndProcess(now, std::move(quotas), actions);
}

void RequestTable::Wake(TimePoint now, Actions* actions) { ProcessEvents(now, actions); }

std::optional<TimePoint> RequestTable::NextWake() const {
  if (module_timers_.empty() && fallbacks_.empty()) return std::nullopt;
  if (module_timers_.empty()) return fallbacks_.begin()->due;
  if (fallbacks_.empty()) return module_timers_.begin()->due;
  return std::min(module_timers_.begin()->due, fallbacks_.begin()->due);
}

// ---- the event queue ------------------------------------------------------------------------------------

// Adds a request to the table, or changes nothing if memory runs out.
void RequestTable::Insert(const balancer::Submit& submit, const Entry& entry, bool notify_module) {
  const auto inserted = table_.emplace(submit.request, entry).first;
  const DeadlineFallback fallback{entry.deadline_fallback_at, submit.request};
  try {
    fallbacks_.insert(fallback);
    if (notify_module) pending_events_.push_back(submit);
  } catch (...) {
    fallbacks_.erase(fallback);
    table_.erase(inserted);
    throw;
  }
}

void RequestTable::EnqueueAndProcess(TimePoint now, balancer::Event event, Actions* actions) {
  pending_events_.push_back(std::move(event));
  ProcessEvents(now, actions);
}

// Events that occur while another is handled wait in the queue, because the decision module is not re-entrant
// and its actions must be carried out in order.
void RequestTable::ProcessEvents(TimePoint now, Actions* actions) {
  constexpr int kMaxFailures = 16;  // an event that always fails must not block the caller forever
  for (int failures = 0; failures < kMaxFailures; ++failures) {
    try {
      ProcessUntilIdle(now, actions);
      return;
    } catch (const std::exception& error) {
      // The deadline fallback completes the affected request; the other events and timers are still handled.
      LogFailure(error.what(), actions);
    }
  }
}

// May be called again after an exception: it resumes with the events and decisions not handled yet.
void RequestTable::ProcessUntilIdle(TimePoint now, Actions* actions) {
  PerformDecisions(now, actions);
  for (;;) {
    FireDueTimers(now, actions);  // before the next event, because they were due earlier
    if (pending_events_.empty()) return;
    const balancer::Event next = std::move(pending_events_.front());
    pending_events_.pop_front();
    HandleInModule(now, next, actions);
  }
}

// Drops the message if there is no memory for it.
void RequestTable::LogFailure(const char* what, Actions* actions) noexcept {
  try {
    actions->push_back(balancer::Log{
        std::string("request table: event handling failed; continuing with the remaining events: ") + what});
  } catch (const std::exception&) {
  }
}

// ---- timers ---------------------------------------------------------------------------------------------

void RequestTable::FireDueTimers(TimePoint now, Actions* actions) {
  FireModuleTimers(now, actions);
  ApplyDeadlineFallbacks(now, actions);
}

void RequestTable::FireModuleTimers(TimePoint now, Actions* actions) {
  // Counts the due timers first. A timer that the module sets for `now` inside the loop waits for the next
  // call; otherwise a module that keeps setting such timers would never let this call return.
  const ModuleTimer last_due{now, std::numeric_limits<std::uint64_t>::max()};
  auto due_count = std::distance(module_timers_.begin(), module_timers_.upper_bound(last_due));
  for (; due_count > 0; --due_count) {
    const std::uint64_t token = module_timers_.begin()->token;
    module_timers_.erase(module_timers_.begin());
    HandleInModule(now, balancer::TimerFired{token}, actions);
  }
}

void RequestTable::ApplyDeadlineFallbacks(TimePoint now, Actions* actions) {
  while (!fallbacks_.empty() && fallbacks_.begin()->due <= now) {
    const RequestId request = fallbacks_.begin()->request;
    ReserveForCompletion(actions);
    pending_events_.push_back(balancer::ClientDisconnected{request});
    // Not a rejection: the table cannot know that no attempt had an effect.
    Complete(request, RequestOutcome::kDeadlineFallback, Duration(0), actions);
  }
}

// ---- the decision module --------------------------------------------------------------------------------

void RequestTable::HandleInModule(TimePoint now, const balancer::Event& event, Actions* actions) {
  balancer_.Handle(now, event, &decisions_);
  PerformDecisions(now, actions);
}

// Decisions made before a failure are still carried out, because the module's state includes them.
void RequestTable::PerformDecisions(TimePoint now, Actions* actions) {
  for (; decisions_performed_ < decisions_.size(); ++decisions_performed_) {
    std::visit([&](const auto& decision) { Perform(now, decision, actions); },
               decisions_[decisions_performed_]);
  }
  decisions_.clear();
  decisions_performed_ = 0;
}

bool RequestTable::MaySendAttempt(TimePoint now, const Entry& entry, const balancer::Dispatch& action) const {
  return entry.attempts < max_attempts_ && now < entry.attempts_due && now < action.begin_before;
}

void RequestTable::Perform(TimePoint now, const balancer::Dispatch& action, Actions* actions) {
  ReserveForCompletion(actions);
  const auto found = table_.find(action.request);
  if (found == table_.end() || !MaySendAttempt(now, found->second, action)) {
    DeclineDispatch(action, found);
    return;
  }
  Entry& entry = found->second;
  const Duration time_left = entry.attempts_due - now;
  Send send;
  send.request = action.request;
  send.attempt = entry.attempts;
  send.server = action.server;
  send.timeout = action.timeout == Duration(0) ? time_left : std::min(time_left, action.timeout);
  send.sent_at = now;
  send.begin_before = action.begin_before;
  actions->push_back(send);
  ++entry.attempts;
  entry.attempt_in_flight = true;
}

// Reports to the decision module that an attempt was not sent. `entry` is table_.end() if the request is
// complete; otherwise the attempt counts against its limit.
void RequestTable::DeclineDispatch(const balancer::Dispatch& action, Table::iterator entry) {
  const bool is_open = entry != table_.end();
  balancer::AttemptEnded end;
  end.request = action.request;
  end.attempt = is_open ? entry->second.attempts : 0;
  end.server = action.server;
  end.outcome = Outcome::kNotSent;
  end.settled = !is_open;
  pending_events_.push_back(end);
  if (is_open) ++entry->second.attempts;
}

void RequestTable::Perform(TimePoint, const balancer::CancelAttempt& action, Actions* actions) {
  const auto found = table_.find(action.request);
  const bool is_newest = found != table_.end() && found->second.attempts == action.attempt + 1;
  if (is_newest) actions->push_back(Cancel{action.request, action.attempt});
}

void RequestTable::Perform(TimePoint, const balancer::Reject& action, Actions* actions) {
  Complete(action.request, RequestOutcome::kRejected, action.retry_after, actions);
}

void RequestTable::Perform(TimePoint, const balancer::FailRequest& action, Actions* actions) {
  Complete(action.request, RequestOutcome::kFailed, Duration(0), actions);
}

void RequestTable::Perform(TimePoint, const balancer::SetTimer& action, Actions*) {
  module_timers_.insert(ModuleTimer{action.at, action.token});
}

void RequestTable::Perform(TimePoint, const balancer::Subscribe& action, Actions* actions) {
  actions->push_back(action);
}

void RequestTable::Perform(TimePoint, const balancer::Log& action, Actions* actions) {
  actions->push_back(action);
}

// ---- completion -----------------------------------------------------------------------------------------

// Reserves capacity so that the completion of one request, once begun, cannot run out of memory.
void RequestTable::ReserveForCompletion(Actions* actions) {
  constexpr std::size_t kMaxActions = 2;  // Withdraw and Respond
  if (actions->capacity() - actions->size() < kMaxActions) {
    actions->reserve(2 * actions->size() + kMaxActions);
  }
}

// The only function that answers a request. Remove is the only function that removes one from the table, so
// none is answered twice.
void RequestTable::Complete(RequestId request, RequestOutcome outcome, Duration retry_after,
                            Actions* actions) {
  const auto found = table_.find(request);
  if (found == table_.end()) return;
  ReserveForCompletion(actions);
  RequestCounters& counters = Remove(found, actions);
  CountCompletion(outcome, &counters);
  actions->push_back(Respond{request, outcome, retry_after});
}

RequestCounters& RequestTable::Remove(Table::iterator entry, Actions* actions) {
  RequestCounters& counters = CountersOf(entry->second.request_class);
  if (entry->second.attempt_in_flight) {
    actions->push_back(Withdraw{entry->first, entry->second.attempts - 1});
  }
  --counters.open;
  fallbacks_.erase({entry->second.deadline_fallback_at, entry->first});
  table_.erase(entry);
  return counters;
}

RequestCounters& RequestTable::CountersOf(int request_class) {
  return counters_[static_cast<std::size_t>(request_class)];
}

}  // namespace badgerbridge::request_table
