// SPDX-License-Identifier: Apache-2.0
#include "node/proxy.h"

#include <algorithm>
#include <iostream>

namespace badgerbridge::node {
namespace {

constexpr Duration kAnswerMargin{5};      // an answer is on its way to the client for a while
constexpr Duration kLastResortMargin{2};  // and the module has had the rest to act by itself
constexpr TimePoint kNever{Duration(1e300)};

}  // namespace

Proxy::Proxy(boost::asio::io_context& io, const NodeClock& clock, Backends& backends, const Config& config)
    : clock_(clock),
      backends_(backends),
      max_attempts_(config.settings.max_attempts),
      balancer_(config.settings, config.seed),
      tallies_(config.settings.classes.size()),
      timer_(io) {}

RequestId Proxy::Take(Submit submit, std::shared_ptr<const Forwarded> forwarded, OnAnswer answer) {
  submit.request = ++last_request_;
  Entry entry;
  entry.forwarded = std::move(forwarded);
  entry.answer = std::move(answer);
  entry.last_resort = submit.due - kLastResortMargin;
  submit.due -= kAnswerMargin;
  entry.due = submit.due;
  entry.request_class = submit.request_class;
  Tally& tally = tallies_[static_cast<std::size_t>(submit.request_class)];
  last_resorts_.emplace(entry.last_resort, submit.request);
  table_.emplace(submit.request, std::move(entry));
  ++tally.taken, ++tally.open;
  Post(submit);
  return submit.request;
}

void Proxy::Gone(RequestId request) {
  const auto found = table_.find(request);
  if (found == table_.end()) return;
  last_resorts_.erase({found->second.last_resort, request});
  Tally& tally = tallies_[static_cast<std::size_t>(found->second.request_class)];
  --tally.open, ++tally.failed, ++tally.client_left;
  table_.erase(found);
  Post(ClientGone{request});
}

void Proxy::UpdateList(ListKind kind, const EndpointList& list) {
  if (kind != ListKind::kCached) list_at_ = clock_.Now();
  backends_.Update(list);  // first: what the module does about it needs the addresses
  ListUpdate update;
  update.kind = kind;
  for (const Endpoint& endpoint : list.endpoints) update.entries.push_back(endpoint.entry);
  Post(std::move(update));
}

void Proxy::ListFailed() { Post(ListUpdate{ListKind::kFailed, {}}); }

void Proxy::Post(Event event) {
  queue_.push_back(std::move(event));
  Turn();
}

// Events raised while one is handled wait in the queue: the module is not re-entrant, and its actions are
// carried out in order.
void Proxy::Turn() {
  if (handling_) return;
  struct Guard {
    bool& flag;
    ~Guard() { flag = false; }
  } guard{handling_};
  handling_ = true;
  for (;;) {
    const TimePoint now = clock_.Now();
    try {
      FireDue(now);  // due before what comes now
      if (queue_.empty()) break;
      const Event next = std::move(queue_.front());
      queue_.pop_front();
      Handle(now, next);
    } catch (const std::exception& error) {
      // What it was about is ended by the last resort; the others, and the timers, must go on.
      std::cerr << "an event could not be handled: " << error.what() << '\n';
    }
  }
  Arm();
}

void Proxy::Handle(TimePoint now, const Event& event) {
  std::vector<Action> actions;
  balancer_.Handle(now, event, &actions);
  for (const Action& action : actions) std::visit([this](const auto& a) { Perform(a); }, action);
}

void Proxy::FireDue(TimePoint now) {
  // Those that are due by now: one that is set meanwhile waits for the next turn, or a module that sets it
  // for the present would keep this turn for ever.
  const auto due = timers_.upper_bound({now, UINT64_MAX});
  const std::vector<std::pair<TimePoint, std::uint64_t>> fired(timers_.begin(), due);
  timers_.erase(timers_.begin(), due);
  for (const auto& [at, token] : fired) Handle(now, TimerFired{token});

  while (!last_resorts_.empty() && last_resorts_.begin()->first <= now) {
    const RequestId request = last_resorts_.begin()->second;
    ++tallies_[static_cast<std::size_t>(table_.at(request).request_class)].last_resort;
    Settle(request, {504, "", "", Duration(0)});  // a failure: that it never ran is not this node's to say
    queue_.push_back(ClientGone{request});
  }
}

void Proxy::Arm() {
  TimePoint first = kNever;
  if (!timers_.empty()) first = timers_.begin()->first;
  if (!last_resorts_.empty()) first = std::min(first, last_resorts_.begin()->first);
  if (first == armed_) return;
  armed_ = first;
  if (first == kNever) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(clock_.ToSteady(first));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    armed_ = kNever;
    Turn();
  });
}

void Proxy::Perform(const Dispatch& action) {
  AttemptEnded end;
  end.request = action.request;
  end.server = action.server;
  const TimePoint now = clock_.Now();
  const auto found = table_.find(action.request);
  const bool moot =
      found == table_.end() || found->second.attempts >= max_attempts_ || found->second.due <= now;
  if (found != table_.end()) end.attempt = found->second.attempts++;
  if (moot) return OnAttemptEnd(end, now, {Outcome::kMoot, {}, {}});
  const Duration left = found->second.due - now;
  const Duration timeout = action.timeout == Duration(0) ? left : std::min(left, action.timeout);
  found->second.newest =
      backends_.Send(action.server, found->second.forwarded, timeout,
                     [this, end, now](AttemptResult result) { OnAttemptEnd(end, now, std::move(result)); });
}

void Proxy::Perform(const Abandon& action) {
  const auto found = table_.find(action.request);
  if (found != table_.end() && found->second.attempts == action.attempt + 1)
    backends_.Cancel(found->second.newest);
}

void Proxy::OnAttemptEnd(AttemptEnded end, TimePoint sent, AttemptResult result) {
  end.outcome = result.outcome;
  end.took = clock_.Now() - sent;
  if (result.outcome == Outcome::kOk)
    Settle(end.request, {200, std::move(result.body), std::move(result.content_type), Duration(0)});
  end.settled = !table_.count(end.request);
  Post(end);
}

void Proxy::Perform(const Refuse& action) { Settle(action.request, {503, "", "", action.retry_after}); }
void Proxy::Perform(const Fail& action) { Settle(action.request, {502, "", "", Duration(0)}); }
void Proxy::Perform(const SetTimer& action) { timers_.emplace(action.at, action.token); }
void Proxy::Perform(const Subscribe&) {
  if (subscribe_) subscribe_();
}
void Proxy::Perform(const Log& action) { std::cerr << action.text << '\n'; }

// The one place where a request leaves the table, but for a client that leaves: so no request is answered
// twice.
void Proxy::Settle(RequestId request, Answer answer) {
  const auto found = table_.find(request);
  if (found == table_.end()) return;
  const OnAnswer on_answer = std::move(found->second.answer);
  last_resorts_.erase({found->second.last_resort, request});
  Tally& tally = tallies_[static_cast<std::size_t>(found->second.request_class)];
  --tally.open;
  ++(answer.status == 200 ? tally.served : answer.status == 503 ? tally.refused : tally.failed);
  table_.erase(found);
  on_answer(std::move(answer));
}

}  // namespace badgerbridge::node
