// SPDX-License-Identifier: Apache-2.0
//
// How proxies start and die, and what reaches them. proxy_attempts.cpp has what they send.
#include "simulator/proxy_fleet.h"

#include <utility>
#include <variant>

namespace badgerbridge::simulator {

using namespace balancer;

ProxyFleet::ProxyFleet(SimulationState& state, EndpointDiscovery& discovery, BackendPool& backends,
                       CoreFactory factory, ResponseCallback on_response)
    : state_(state),
      discovery_(discovery),
      backends_(backends),
      factory_(std::move(factory)),
      on_response_(std::move(on_response)),
      proxies_(static_cast<std::size_t>(state.model.proxies)),
      front_(static_cast<std::size_t>(state.model.zones)) {
  if (state_.model.failover.mode != ZoneFailoverModel::Mode::kOff) StartMembers();
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    proxies_[i].zone = state_.model.ZoneOfProxy(i);
    Start(TimeAt(0), i);
  }
}

void ProxyFleet::StartMembers() {
  members_ = std::make_unique<FailoverMembers>(
      state_.queue, state_.model, state_.seed,
      [this](TimePoint now, std::size_t index, std::vector<double> quotas) {
        Proxy& proxy = proxies_[index];
        if (!proxy.is_alive()) return;
        proxy.core->UpdateZoneQuotas(now, {std::move(quotas)}, &proxy.actions);
        CarryOutActions(now, index);
      });
}

void ProxyFleet::Receive(TimePoint now, SubmissionId id) {
  Submission* submission = state_.requests.FindSubmission(id);
  if (submission == nullptr) return;
  const std::size_t index = submission->proxy;
  Proxy& proxy = proxies_[index];
  if (!proxy.is_alive() || submission->has_disconnected) return;  // reset; the client's deadline ends it
  submission->proxy_incarnation = proxy.incarnation;
  const bool has_hint = state_.class_model(submission->request_class).has_work_hint;
  Submit submit;
  submit.due = submission->deadline;
  submit.request_class = submission->request_class;
  submit.has_hint = has_hint;
  submit.work_ms = has_hint ? submission->work : 0;
  if (members_) members_->RequestArrived(now, index, submission->work);
  submission->proxy_request = proxy.core->Accept(now, submit, &proxy.actions);
  proxy.submissions[submission->proxy_request] = id;
  CarryOutActions(now, index);
}

void ProxyFleet::Disconnect(TimePoint now, const Submission& submission) {
  Proxy& proxy = proxies_[submission.proxy];
  if (proxy.incarnation != submission.proxy_incarnation) return;
  if (proxy.submissions.erase(submission.proxy_request) == 0) return;
  proxy.core->ClientDisconnected(now, submission.proxy_request, &proxy.actions);
  CarryOutActions(now, submission.proxy);
}

void ProxyFleet::CarryOutActions(TimePoint now, std::size_t index) {
  Proxy& proxy = proxies_[index];
  if (proxy.carries_out_actions) return;
  proxy.carries_out_actions = true;
  // Carrying out an action may add others: they follow in their turn.
  while (!proxy.actions.empty()) {
    for (const request_table::Action& action : std::exchange(proxy.actions, {}))
      std::visit([&](const auto& each) { CarryOut(now, index, each); }, action);
  }
  proxy.carries_out_actions = false;
  ScheduleWake(index);
}

void ProxyFleet::ScheduleWake(std::size_t index) {
  Proxy& proxy = proxies_[index];
  const auto wake_at = proxy.core->NextWake();
  if (!wake_at || (proxy.wake_at && *wake_at >= *proxy.wake_at)) return;
  proxy.wake_at = wake_at;
  state_.queue.Schedule(*wake_at, [this, index, incarnation = proxy.incarnation](TimePoint now) {
    Wake(now, index, incarnation);
  });
}

void ProxyFleet::Wake(TimePoint now, std::size_t index, std::uint32_t incarnation) {
  Proxy& proxy = proxies_[index];
  if (proxy.incarnation != incarnation || !proxy.wake_at || *proxy.wake_at > now) return;
  proxy.wake_at.reset();
  proxy.core->Wake(now, &proxy.actions);
  CarryOutActions(now, index);
}

void ProxyFleet::UpdateEndpoint(TimePoint now, std::size_t index, const BackendEntry& entry) {
  Proxy& proxy = proxies_[index];
  if (!proxy.is_alive()) return;
  proxy.known_starts[IndexOf(entry.server)] = entry.up_since;
  if (entry.state == BackendState::kReady) {
    proxy.draining_since.erase(entry.server);
  } else {
    proxy.draining_since.emplace(entry.server, now);
    proxy.idle_connections[IndexOf(entry.server)] = 0;
  }
  if (members_) members_->UpdateWarmBackends(index, backends_.WarmBackendsByZone(now));
  proxy.core->UpdateEndpoints(now, {EndpointListKind::kDelta, {entry}}, &proxy.actions);
  CarryOutActions(now, index);
}

void ProxyFleet::Kill(TimePoint now, std::size_t index) {
  Proxy& proxy = proxies_[index];
  if (!proxy.is_alive()) return;
  ++proxy.incarnation;
  proxy.core.reset();
  proxy.actions.clear();
  proxy.submissions.clear();
  proxy.last_attempts.clear();
  proxy.wake_at.reset();
  discovery_.Unsubscribe(index);
  if (members_) members_->Stop(index);
  state_.queue.Schedule(now + state_.model.network.failover_detection,
                        [this, index](TimePoint) { UpdateFront(index); });
}

void ProxyFleet::Start(TimePoint now, std::size_t index) {
  Proxy& proxy = proxies_[index];
  if (proxy.is_alive()) return;
  ++proxy.incarnation;
  const std::uint64_t core_seed = state_.seed * 1000003 + index * 101 + proxy.incarnation;
  proxy.core = factory_(state_.model.SettingsOf(static_cast<int>(index)), core_seed);
  LoadEndpoints(now, index);
  CarryOutActions(now, index);
  if (members_) {
    members_->UpdateWarmBackends(index, backends_.WarmBackendsByZone(now));
    members_->Start(now, index);
  }
  if (now == TimeAt(0)) {
    front_.Add(static_cast<std::size_t>(proxy.zone), index);
  } else {
    state_.queue.Schedule(now, [this, index](TimePoint) { UpdateFront(index); });
  }
}

void ProxyFleet::LoadEndpoints(TimePoint now, std::size_t index) {
  Proxy& proxy = proxies_[index];
  proxy.draining_since.clear();
  proxy.idle_connections.assign(backends_.size(), 0);
  proxy.known_starts.assign(backends_.size(), TimePoint{});
  discovery_.Subscribe(now, index);
  EndpointListUpdate update{EndpointListKind::kFull, {}};
  for (const BackendEntry& entry : discovery_.entries()) {
    if (entry.state != BackendState::kGone) update.entries.push_back(entry);
    proxy.known_starts[IndexOf(entry.server)] = entry.up_since;
    if (entry.state != BackendState::kReady) proxy.draining_since.emplace(entry.server, now);
  }
  proxy.core->UpdateEndpoints(now, std::move(update), &proxy.actions);
}

// The front notices that a proxy has died or started.
void ProxyFleet::UpdateFront(std::size_t index) {
  const auto zone = static_cast<std::size_t>(proxies_[index].zone);
  front_.Remove(zone, index);
  if (is_alive(index)) front_.Add(zone, index);
}

void ProxyFleet::DropIdleConnections(std::size_t backend) {
  for (Proxy& proxy : proxies_) proxy.idle_connections[backend] = 0;
}

bool ProxyFleet::HasConsistentCounters(std::size_t index) const {
  for (const request_table::RequestCounters& each : proxies_[index].core->counters()) {
    if (each.accepted != each.served + each.rejected + each.failed + each.open) return false;
  }
  return true;
}

}  // namespace badgerbridge::simulator
