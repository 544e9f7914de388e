// SPDX-License-Identifier: Apache-2.0
#include "request_table/request_table.h"

#include <algorithm>
#include <exception>

namespace badgerbridge::request_table {

using balancer::Duration;
using balancer::Outcome;
using balancer::RequestId;
using balancer::TimePoint;

namespace {

balancer::Settings Bounded(balancer::Settings settings) {
  settings.max_attempts = std::min(settings.max_attempts, kMostAttempts);
  return settings;
}

}  // namespace

Exchange::Exchange(const balancer::Settings& settings, std::uint64_t seed)
    : max_attempts_(std::min(settings.max_attempts, kMostAttempts)),
      balancer_(Bounded(settings), seed),
      tallies_(settings.classes.size()) {}

RequestId Exchange::Take(TimePoint now, balancer::Submit submit, Actions* out) {
  submit.request = ++last_request_;
  Entry entry;
  entry.request_class = submit.request_class;
  entry.last_resort = submit.due - kLastResortMargin;
  entry.due = submit.due -= kAnswerMargin;
  const bool in_time = entry.due > now;
  MakeRoom(out);
  Enter(submit, entry, in_time);
  Tally& tally = tallies_[static_cast<std::size_t>(submit.request_class)];
  ++tally.taken, ++tally.open;
  // What has no time left for an attempt is known not to have run: its client may try again.
  if (in_time) {
    Turn(now, out);
  } else {
    Settle(submit.request, Ending::kRefused, Duration(0), out);
  }
  return submit.request;
}

// All of it, or nothing.
void Exchange::Enter(const balancer::Submit& submit, const Entry& entry, bool tell_module) {
  const auto in_table = table_.emplace(submit.request, entry).first;
  try {
    last_resorts_.emplace(entry.last_resort, submit.request);
    if (tell_module) queue_.push_back(submit);
  } catch (...) {
    last_resorts_.erase({entry.last_resort, submit.request});
    table_.erase(in_table);
    throw;
  }
}

void Exchange::Gone(TimePoint now, RequestId request, Actions* out) {
  const auto found = table_.find(request);
  if (found == table_.end()) return;
  MakeRoom(out);
  queue_.push_back(balancer::ClientDisconnected{request});
  Tally& tally = Leave(found, out);
  ++tally.failed, ++tally.client_left;
  Turn(now, out);
}

void Exchange::Ended(TimePoint now, const Send& attempt, Outcome outcome, Actions* out) {
  const auto found = table_.find(attempt.request);
  balancer::AttemptEnded end;
  end.request = attempt.request;
  end.attempt = attempt.attempt;
  end.server = attempt.server;
  end.outcome = outcome;
  end.took = now - attempt.at;
  end.settled = found == table_.end() || outcome == Outcome::kOk;
  MakeRoom(out);
  queue_.push_back(end);
  if (found != table_.end() && found->second.attempts == attempt.attempt + 1) found->second.out = false;
  if (outcome == Outcome::kOk) Settle(attempt.request, Ending::kServed, Duration(0), out);
  Turn(now, out);
}

void Exchange::List(TimePoint now, balancer::EndpointListUpdate update, Actions* out) {
  Post(now, std::move(update), out);
}

void Exchange::Shares(TimePoint now, balancer::ZoneQuotas shares, Actions* out) {
  Post(now, std::move(shares), out);
}

void Exchange::Wake(TimePoint now, Actions* out) { Turn(now, out); }

std::optional<TimePoint> Exchange::NextWake() const {
  if (timers_.empty() && last_resorts_.empty()) return std::nullopt;
  if (timers_.empty()) return last_resorts_.begin()->first;
  if (last_resorts_.empty()) return timers_.begin()->first;
  return std::min(timers_.begin()->first, last_resorts_.begin()->first);
}

void Exchange::Post(TimePoint now, balancer::Event event, Actions* out) {
  queue_.push_back(std::move(event));
  Turn(now, out);
}

// Events raised while one is handled wait in the queue: the module is not re-entrant, and its actions are
// carried out in order.
void Exchange::Turn(TimePoint now, Actions* out) {
  constexpr int kMostFailures = 16;  // what fails again and again waits for the next turn
  for (int failures = 0; failures < kMostFailures; ++failures) {
    try {
      Advance(now, out);
      return;
    } catch (const std::exception& error) {
      // What it was about is ended by the last resort; the others, and the timers, must go on.
      LogFailure(error.what(), out);
    }
  }
}

// Until nothing is left to do; may be called again after a failure.
void Exchange::Advance(TimePoint now, Actions* out) {
  PerformDecided(now, out);
  for (;;) {
    FireDue(now, out);  // due before what comes now
    if (queue_.empty()) return;
    const balancer::Event next = std::move(queue_.front());
    queue_.pop_front();
    Handle(now, next, out);
  }
}

// Also where there is no memory for the text.
void Exchange::LogFailure(const char* what, Actions* out) noexcept {
  try {
    out->push_back(balancer::Log{std::string("an event could not be handled: ") + what});
  } catch (const std::exception&) {
  }
}

void Exchange::Handle(TimePoint now, const balancer::Event& event, Actions* out) {
  balancer_.Handle(now, event, &decided_);
  PerformDecided(now, out);
}

// What the module has decided before a failure counts: it has noted it.
void Exchange::PerformDecided(TimePoint now, Actions* out) {
  for (; performed_ < decided_.size(); ++performed_)
    std::visit([&](const auto& action) { Perform(now, action, out); }, decided_[performed_]);
  decided_.clear();
  performed_ = 0;
}

void Exchange::FireDue(TimePoint now, Actions* out) {
  // Those that are due by now: one that is set meanwhile waits for the next turn, or a module that sets it
  // for the present would keep this turn for ever.
  auto due = std::distance(timers_.begin(), timers_.upper_bound({now, UINT64_MAX}));
  for (; due > 0; --due) {
    const std::uint64_t token = timers_.begin()->second;
    timers_.erase(timers_.begin());
    Handle(now, balancer::TimerFired{token}, out);
  }

  while (!last_resorts_.empty() && last_resorts_.begin()->first <= now) {
    const RequestId request = last_resorts_.begin()->second;
    MakeRoom(out);
    queue_.push_back(balancer::ClientDisconnected{request});
    // A failure: that it never ran is not the table's to say.
    Settle(request, Ending::kLastResort, Duration(0), out);
  }
}

void Exchange::Perform(TimePoint now, const balancer::Dispatch& action, Actions* out) {
  MakeRoom(out);
  Send send{action.request, 0, action.server, Duration(0), now, action.begin_before};
  const auto found = table_.find(action.request);
  const bool moot = found == table_.end() || found->second.attempts >= max_attempts_ ||
                    found->second.due <= now || action.begin_before <= now;
  if (found != table_.end()) send.attempt = found->second.attempts;
  if (moot) {
    balancer::AttemptEnded end;
    end.request = send.request;
    end.attempt = send.attempt;
    end.server = send.server;
    end.outcome = Outcome::kNotSent;
    end.settled = found == table_.end();
    queue_.push_back(end);
    if (found != table_.end()) ++found->second.attempts;
    return;
  }
  const Duration left = found->second.due - now;
  send.timeout = action.timeout == Duration(0) ? left : std::min(left, action.timeout);
  out->push_back(send);
  ++found->second.attempts;
  found->second.out = true;
}

void Exchange::Perform(TimePoint, const balancer::CancelAttempt& action, Actions* out) {
  const auto found = table_.find(action.request);
  if (found != table_.end() && found->second.attempts == action.attempt + 1)
    out->push_back(Cancel{action.request, action.attempt});
}

void Exchange::Perform(TimePoint, const balancer::Reject& action, Actions* out) {
  Settle(action.request, Ending::kRefused, action.retry_after, out);
}
void Exchange::Perform(TimePoint, const balancer::FailRequest& action, Actions* out) {
  Settle(action.request, Ending::kFailed, Duration(0), out);
}
void Exchange::Perform(TimePoint, const balancer::SetTimer& action, Actions*) {
  timers_.emplace(action.at, action.token);
}
void Exchange::Perform(TimePoint, const balancer::Subscribe& action, Actions* out) { out->push_back(action); }
void Exchange::Perform(TimePoint, const balancer::Log& action, Actions* out) { out->push_back(action); }

// For all that the end of a request adds: from here on it can't fail.
void Exchange::MakeRoom(Actions* out) {
  constexpr std::size_t kMostAtAnEnd = 2;  // Withdraw and Answer
  if (out->capacity() - out->size() < kMostAtAnEnd) out->reserve(2 * out->size() + kMostAtAnEnd);
}

// The one place where a request is answered, and Leave the one where it leaves the table: so none is answered
// twice.
void Exchange::Settle(RequestId request, Ending ending, Duration retry_after, Actions* out) {
  const auto found = table_.find(request);
  if (found == table_.end()) return;
  MakeRoom(out);
  Tally& tally = Leave(found, out);
  ++(ending == Ending::kServed ? tally.served : ending == Ending::kRefused ? tally.refused : tally.failed);
  if (ending == Ending::kLastResort) ++tally.last_resort;
  out->push_back(Answer{request, ending, retry_after});
}

Tally& Exchange::Leave(Table::iterator entry, Actions* out) {
  Tally& tally = tallies_[static_cast<std::size_t>(entry->second.request_class)];
  if (entry->second.out) out->push_back(Withdraw{entry->first, entry->second.attempts - 1});
  --tally.open;
  last_resorts_.erase({entry->second.last_resort, entry->first});
  table_.erase(entry);
  return tally;
}

}  // namespace badgerbridge::request_table
