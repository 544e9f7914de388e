// SPDX-License-Identifier: Apache-2.0
//
// The clients of the world: what they ask, whom, how long they wait and when they try again.
#include <algorithm>
#include <bit>

#include "simulator/world_types.h"

namespace badgerbridge::simulator {

using namespace balancer;

void World::Arrive(TimePoint now) {
  if (now >= At(model_.length)) return;
  const double per_ms = model_.clients.per_second * load_ / 1000;
  queue_.At(now + Duration(per_ms > 0 ? arrivals_.Exponential(1 / per_ms) : 1000), this, kArrive);
  if (per_ms <= 0) return;
  const double at = works_.Unit() * class_shares_.back();
  const auto which = static_cast<std::size_t>(
      std::upper_bound(class_shares_.begin(), class_shares_.end(), at) - class_shares_.begin());
  const ClassModel& cls = model_.classes[std::min(which, model_.classes.size() - 1)];
  Intent intent;
  intent.request_class = static_cast<int>(std::min(which, model_.classes.size() - 1));
  intent.began = now;
  intent.work = cls.work.Draw(works_);
  intent.zone = static_cast<int>(works_.Below(static_cast<std::uint64_t>(model_.zones)));
  const std::uint64_t id = ++next_intent_;
  ClassResult& result = result_.classes[static_cast<std::size_t>(intent.request_class)];
  ++result.asked;
  result.worth_asked += cls.rules.priority_weight;
  intents_.emplace(id, intent);
  Try(now, id);
}

// Of its own zone while there is one, else of any.
int World::PickProxy(int zone) {
  const auto& own = fronts_[static_cast<std::size_t>(zone)];
  if (!own.empty()) return static_cast<int>(own[clients_.Below(own.size())]);
  std::vector<std::uint32_t> all;
  for (const auto& front : fronts_) all.insert(all.end(), front.begin(), front.end());
  return all.empty() ? -1 : static_cast<int>(all[clients_.Below(all.size())]);
}

void World::Try(TimePoint now, std::uint64_t id) {
  Intent& intent = intents_.at(id);
  const ClassModel& cls = model_.classes[static_cast<std::size_t>(intent.request_class)];
  ClassResult& result = result_.classes[static_cast<std::size_t>(intent.request_class)];
  ++result.tries;
  ++intent.tries;
  // One that is dead refuses the connection, and the next is asked: as many times as there are proxies at
  // most.
  int proxy = -1;
  for (std::size_t i = 0; i <= proxies_.size(); ++i) {
    proxy = PickProxy(intent.zone);
    if (proxy < 0 || proxies_[static_cast<std::size_t>(proxy)].alive()) break;
    proxy = -1;
  }
  if (proxy < 0) {
    ++result.unreached;
    intents_.erase(id);
    return;
  }
  Trace trace;
  trace.request_class = intent.request_class;
  trace.proxy = static_cast<std::uint32_t>(proxy);
  trace.sent = now;
  trace.due = now + cls.rules.deadline;
  trace.intent = id;
  trace.work = intent.work;
  const std::uint64_t number = ++next_trace_;
  traces_.emplace(number, trace);
  queue_.At(now + Duration(Latency()), this, kReachProxy, number);
  queue_.At(trace.due, this, kTimeUp, number);
  if (model_.clients.leaves > 0 && clients_.Unit() < model_.clients.leaves)
    queue_.At(now + cls.rules.deadline * clients_.Unit(), this, kLeave, number);
}

void World::Ended(TimePoint now, std::uint64_t id, request_table::RequestOutcome outcome,
                  double retry_after) {
  const auto found = traces_.find(id);
  if (found == traces_.end()) return;
  Trace& trace = found->second;
  const ClassModel& cls = model_.classes[static_cast<std::size_t>(trace.request_class)];
  const bool waited = !trace.left && !trace.answered;
  referee_.Answered(now, queue_.steps(), trace, cls.rules,
                    outcome == request_table::RequestOutcome::kRejected);
  Digest(id ^ static_cast<std::uint64_t>(outcome) << 60);
  Digest(std::bit_cast<std::uint64_t>(now.time_since_epoch().count()));
  if (!waited) return;
  const std::uint64_t intent = trace.intent;
  if (outcome == request_table::RequestOutcome::kServed) {
    ClassResult& result = result_.classes[static_cast<std::size_t>(trace.request_class)];
    const Intent& wanted = intents_.at(intent);
    const bool in_aim = now - trace.sent <= cls.rules.latency_objective;
    ++result.served, result.in_aim += in_aim;
    result.worth_served += cls.rules.priority_weight * (in_aim ? 1 : cls.rules.late_weight);
    result.latency.Add((now - wanted.began).count());
    intents_.erase(intent);
  } else {
    Again(now, intent, retry_after, outcome);
  }
}

// A refusal says that trying again is harmless; a failure is tried again where that is safe or has a key.
void World::Again(TimePoint now, std::uint64_t id, double retry_after,
                  request_table::RequestOutcome outcome) {
  Intent& intent = intents_.at(id);
  ClassResult& result = result_.classes[static_cast<std::size_t>(intent.request_class)];
  const bool refused = outcome == request_table::RequestOutcome::kRejected;
  const Idempotency effect = model_.classes[static_cast<std::size_t>(intent.request_class)].rules.effect;
  if (intent.tries >= model_.clients.tries || (!refused && effect == Idempotency::kNotIdempotent)) {
    ++(refused ? result.refused : result.failed);
    intents_.erase(id);
    return;
  }
  double pause = model_.clients.pause.Draw(clients_);
  if (retry_after > 0 && model_.clients.honours_retry_after) pause += retry_after;
  queue_.At(now + Duration(pause), this, kTryAgain, id);
}

void World::TimeUp(TimePoint now, std::uint64_t id) {
  const auto found = traces_.find(id);
  if (found == traces_.end()) return;
  Trace& trace = found->second;
  const Proxy& proxy = proxies_[trace.proxy];
  if (trace.incarnation != 0)
    referee_.TimeUp(now, queue_.steps(), trace, proxy.incarnation == trace.incarnation);
  if (!trace.answered && !trace.left) {  // its proxy died
    trace.answered = true;
    ++result_.classes[static_cast<std::size_t>(trace.request_class)].cut_short;
    intents_.erase(trace.intent);
  }
  trace.closed = true;
  Release(id);
}

void World::ClientLeaves(TimePoint now, std::uint64_t id) {
  const auto found = traces_.find(id);
  if (found == traces_.end() || found->second.answered || found->second.left) return;
  Trace& trace = found->second;
  trace.left = true;
  ++result_.classes[static_cast<std::size_t>(trace.request_class)].left;
  intents_.erase(trace.intent);
  Proxy& proxy = proxies_[trace.proxy];
  if (proxy.incarnation != trace.incarnation || proxy.traces.erase(trace.request) == 0) return;
  proxy.core->ClientDisconnected(now, trace.request, &proxy.actions);
  Carry(now, trace.proxy);
}

}  // namespace badgerbridge::simulator
