// SPDX-License-Identifier: Apache-2.0
//
// The proxies of the world: what reaches them, what their cores say, and how they die and start.
#include <utility>
#include <variant>

#include "simulator/world_types.h"

namespace badgerbridge::simulator {

using namespace balancer;

void World::ReachProxy(TimePoint now, std::uint64_t id) {
  const auto found = traces_.find(id);
  if (found == traces_.end()) return;
  Trace& trace = found->second;
  Proxy& proxy = proxies_[trace.proxy];
  if (!proxy.alive() || trace.left) return;  // reset; the client's time ends it
  trace.incarnation = proxy.incarnation;
  const ClassModel& cls = model_.classes[static_cast<std::size_t>(trace.request_class)];
  Submit submit;
  submit.due = trace.due;
  submit.request_class = trace.request_class;
  submit.has_hint = cls.hinted;
  submit.work_ms = cls.hinted ? trace.work : 0;
  const std::size_t index = trace.proxy;
  if (members_) members_->Arrived(now, index, trace.work);
  trace.request = proxy.core->Accept(now, submit, &proxy.actions);
  proxy.traces[trace.request] = id;
  Carry(now, index);
}

// What the core says, in order; what it says meanwhile follows.
void World::Carry(TimePoint now, std::size_t index) {
  Proxy& proxy = proxies_[index];
  if (proxy.carrying) return;
  proxy.carrying = true;
  while (!proxy.actions.empty()) {
    for (const request_table::Action& action : std::exchange(proxy.actions, {})) {
      if (const auto* send = std::get_if<request_table::Send>(&action)) {
        Send(now, index, *send);
      } else if (const auto* cancel = std::get_if<request_table::Cancel>(&action)) {
        const auto newest = proxy.newest.find(cancel->request);
        if (newest != proxy.newest.end())
          queue_.At(now, this, kAttemptEnds, newest->second, static_cast<std::uint64_t>(Outcome::kCancelled));
      } else if (const auto* withdraw = std::get_if<request_table::Withdraw>(&action)) {
        const auto newest = proxy.newest.find(withdraw->request);
        if (newest != proxy.newest.end() && now < attempts_.at(newest->second).written)
          queue_.At(now, this, kAttemptEnds, newest->second, static_cast<std::uint64_t>(Outcome::kNotSent));
      } else if (const auto* answer = std::get_if<request_table::Respond>(&action)) {
        const auto traced = proxy.traces.find(answer->request);
        if (traced == proxy.traces.end()) continue;
        queue_.At(now + Duration(Latency()), this, kAnswered, traced->second,
                  static_cast<std::uint64_t>(answer->retry_after.count() * 1000) << 2 |
                      static_cast<std::uint64_t>(answer->outcome));
        proxy.traces.erase(traced);
      }
    }
  }
  proxy.carrying = false;
  const auto wake = proxy.core->NextWake();
  if (wake && (!proxy.wake || *wake < *proxy.wake)) {
    proxy.wake = wake;
    queue_.At(*wake, this, kWake, index, proxy.incarnation);
  }
}

void World::Send(TimePoint now, std::size_t index, const request_table::Send& send) {
  Proxy& proxy = proxies_[index];
  const auto traced = proxy.traces.find(send.request);
  if (traced == proxy.traces.end())
    return proxy.core->AttemptEnded(now, send, Outcome::kNotSent, &proxy.actions);
  Trace& trace = traces_.at(traced->second);
  const auto backend = static_cast<std::size_t>(send.server - 1);
  Attempt attempt;
  attempt.proxy = index;
  attempt.incarnation = proxy.incarnation;
  attempt.trace = traced->second;
  attempt.backend = backend;
  attempt.backend_since = backends_[backend]->up_since();
  attempt.told = proxy.told_start[backend] == attempt.backend_since;
  attempt.send = send;
  attempt.reset = model_.network.reset_share > 0 && network_.Unit() < model_.network.reset_share;
  const std::uint64_t id = ++next_attempt_;
  ++trace.attempts_out, ++trace.records;
  ++result_.attempts;
  proxy.newest[send.request] = id;
  const auto off = proxy.draining_since.find(send.server);
  referee_.Sent(now, queue_.steps(), trace,
                off == proxy.draining_since.end() ? std::nullopt : std::optional<TimePoint>(off->second),
                static_cast<std::uint32_t>(backend));
  attempt.on_idle = proxy.idle[backend] > 0;
  const int zone = listed_[backend].zone;
  if (members_) members_->Sent(now, index, id, zone);
  ClassResult& result = result_.classes[static_cast<std::size_t>(trace.request_class)];
  ++result.attempts, result.crossed += zone != proxy.zone;
  result.far += model_.RegionOf(zone) != model_.RegionOf(proxy.zone);
  const double latency = Between(proxy.zone, zone);
  const bool cut = Cut(proxy.zone, zone);
  attempt.written = attempt.on_idle ? now : cut ? TimePoint::max() : now + Duration(2 * latency);
  attempts_.emplace(id, attempt);
  if (attempt.on_idle) {
    --proxy.idle[backend];
    // A silent link, or a process that has died since: an idle connection does not notice the one, and is
    // reset by the other.
    if (!cut) queue_.At(now + Duration(latency), this, kReachBackend, id);
  } else if (cut) {
    queue_.At(now + std::min(model_.network.connect_timeout, send.timeout), this, kAttemptEnds, id,
              static_cast<std::uint64_t>(Outcome::kConnectFailed));
  } else {
    queue_.At(now + Duration(3 * latency), this, kReachBackend, id);
  }
  queue_.At(now + send.timeout, this, kAttemptTimesOut, id);
}

void World::EndAttempt(TimePoint now, std::uint64_t id, Outcome outcome) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.ended) return;
  Attempt& attempt = found->second;
  attempt.ended = true;
  Proxy& proxy = proxies_[attempt.proxy];
  const std::size_t index = attempt.proxy;
  const request_table::Send send = attempt.send;
  const bool same_incarnation = proxy.incarnation == attempt.incarnation;
  const std::uint64_t trace = attempt.trace;
  --traces_.at(trace).attempts_out;
  // A connection is kept where its answer came whole.
  const bool kept = outcome == Outcome::kOk || outcome == Outcome::kError || outcome == Outcome::kRejected;
  if (same_incarnation && kept && proxy.idle[attempt.backend] < 16) ++proxy.idle[attempt.backend];
  if (same_incarnation && members_) {
    const Backend& backend = *backends_[attempt.backend];
    const bool heard = outcome == Outcome::kOk || outcome == Outcome::kError || outcome == Outcome::kRejected;
    members_->Ended(now, index, id, traces_.at(trace).request_class, outcome, now - send.sent_at,
                    traces_.at(trace).work,
                    heard ? static_cast<double>(backend.running()) / model_.backend.slots : -1);
  }
  if (!attempt.at_backend) Forget(id);
  if (same_incarnation) {
    proxy.newest.erase(send.request);
    proxy.core->AttemptEnded(now, send, outcome, &proxy.actions);
    Carry(now, index);
  }
  Release(trace);
}

void World::DeliverChange(TimePoint now, std::size_t index, std::uint64_t change) {
  Proxy& proxy = proxies_[index];
  if (!proxy.alive()) return;
  const BackendEntry& entry = changes_[change];
  proxy.told_start[entry.server - 1] = entry.up_since;
  if (entry.state == BackendState::kReady) {
    proxy.draining_since.erase(entry.server);
  } else {
    proxy.draining_since.emplace(entry.server, now);
    proxy.idle[entry.server - 1] = 0;
  }
  if (members_) members_->Listed(index, Warm(now));
  proxy.core->UpdateEndpoints(now, {EndpointListKind::kDelta, {entry}}, &proxy.actions);
  Carry(now, index);
}

void World::Wake(TimePoint now, std::size_t index, std::uint64_t incarnation) {
  Proxy& proxy = proxies_[index];
  if (proxy.incarnation != incarnation || !proxy.wake || *proxy.wake > now) return;
  proxy.wake.reset();
  proxy.core->Wake(now, &proxy.actions);
  Carry(now, index);
}

void World::Kill(TimePoint now, std::size_t index) {
  Proxy& proxy = proxies_[index];
  if (!proxy.alive()) return;
  ++proxy.incarnation;
  proxy.core.reset();
  proxy.actions.clear();
  proxy.traces.clear();
  proxy.newest.clear();
  proxy.wake.reset();
  if (members_) members_->Stop(index);
  queue_.At(now + model_.network.front_notices, this, kNoticed, index);
}

void World::Revive(TimePoint now, std::size_t index) {
  Proxy& proxy = proxies_[index];
  if (proxy.alive()) return;
  ++proxy.incarnation;
  proxy.core =
      factory_(model_.SettingsOf(static_cast<int>(index)), seed_ * 1000003 + index * 101 + proxy.incarnation);
  proxy.draining_since.clear();
  proxy.idle.assign(backends_.size(), 0);
  proxy.told_start.assign(backends_.size(), TimePoint{});
  proxy.listed_until = now;
  EndpointListUpdate list{EndpointListKind::kFull, {}};
  for (const BackendEntry& entry : listed_) {
    if (entry.state != BackendState::kGone) list.entries.push_back(entry);
    proxy.told_start[entry.server - 1] = entry.up_since;
    if (entry.state != BackendState::kReady) proxy.draining_since.emplace(entry.server, now);
  }
  proxy.core->UpdateEndpoints(now, std::move(list), &proxy.actions);
  Carry(now, index);
  if (members_) {
    members_->Listed(index, Warm(now));
    members_->Start(now, index);
  }
  if (now == At(0)) {
    fronts_[static_cast<std::size_t>(proxy.zone)].push_back(static_cast<std::uint32_t>(index));
  } else {
    queue_.At(now, this, kNoticed, index);
  }
}

// The front has noticed that a proxy died or started.
void World::Noticed(std::size_t index) {
  const bool alive = proxies_[index].alive();
  auto& front = fronts_[static_cast<std::size_t>(proxies_[index].zone)];
  std::erase(front, static_cast<std::uint32_t>(index));
  if (alive) front.push_back(static_cast<std::uint32_t>(index));
}

}  // namespace badgerbridge::simulator
