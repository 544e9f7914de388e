// SPDX-License-Identifier: Apache-2.0
#include "simulator/fault_injector.h"

namespace badgerbridge::simulator {

using Kind = ScenarioEvent::Kind;

FaultInjector::FaultInjector(SimulationState& state, EndpointDiscovery& discovery, BackendPool& backends,
                             ProxyFleet& proxies, ClientPopulation& clients)
    : state_(state), discovery_(discovery), backends_(backends), proxies_(proxies), clients_(clients) {
  for (const ScenarioEvent& event : state_.model.events)
    state_.queue.Schedule(TimeAt(event.at_ms), [this, &event](TimePoint now) { Apply(now, event); });
}

void FaultInjector::Apply(TimePoint now, const ScenarioEvent& event) {
  switch (event.kind) {
    case Kind::kLoad:
      clients_.SetLoad(event.value);
      break;
    case Kind::kCut:
      state_.network.Cut(event.zone, event.direction);
      break;
    case Kind::kHeal:
      state_.network.Heal(event.zone);
      break;
    case Kind::kEtcdDown:
    case Kind::kEtcdUp:
      if (proxies_.failover_members())
        proxies_.failover_members()->SetEtcdDown(event.kind == Kind::kEtcdDown);
      break;
    case Kind::kEvacuate:
    case Kind::kReadmit:
      ApplyToOrders(event);
      break;
    case Kind::kStaleLists:
    case Kind::kFreshLists:
      discovery_.SetStale(now, event.kind == Kind::kStaleLists);
      break;
    default:
      ApplyToShare(now, event);
      break;
  }
}

void FaultInjector::ApplyToOrders(const ScenarioEvent& event) {
  FailoverMembers* members = proxies_.failover_members();
  if (members == nullptr) return;
  for (int zone = 0; zone < state_.model.zones; ++zone) {
    if (event.zone < 0 || zone == event.zone) members->SetEvacuation(zone, event.kind == Kind::kEvacuate);
  }
}

// A share, evenly spread over those of the zone: each whose running sum passes a whole number.
void FaultInjector::ApplyToShare(TimePoint now, const ScenarioEvent& event) {
  constexpr double kRounding = 1e-9;
  const bool is_of_proxies = event.kind == Kind::kKill || event.kind == Kind::kRevive;
  const std::size_t count = is_of_proxies ? proxies_.size() : backends_.size();
  double sum = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const int zone = is_of_proxies ? state_.model.ZoneOfProxy(i) : discovery_.entries()[i].zone;
    if (event.zone >= 0 && zone != event.zone) continue;
    sum += event.share;
    if (sum < 1 - kRounding) continue;
    sum -= 1;
    if (event.kind == Kind::kKill) {
      proxies_.Kill(now, i);
    } else if (event.kind == Kind::kRevive) {
      proxies_.Start(now, i);
    } else {
      ApplyToBackend(now, event, i);
    }
  }
}

void FaultInjector::ApplyToBackend(TimePoint now, const ScenarioEvent& event, std::size_t index) {
  switch (event.kind) {
    case Kind::kDrain:
      backends_.Drain(now, index);
      break;
    case Kind::kStop:
      StopBackend(now, index);
      backends_.ListAsGone(now, index);
      break;
    case Kind::kStart:
      StopBackend(now, index);
      backends_.Start(now, index);
      break;
    case Kind::kSlow:
      backends_.SetSlowdown(index, event.value);
      break;
    case Kind::kErrors:
      backends_.SetErrorShare(index, event.value);
      break;
    case Kind::kPause:
      backends_.PauseUntil(index, now + Duration(event.value));
      break;
    default:
      break;
  }
}

void FaultInjector::StopBackend(TimePoint now, std::size_t index) {
  backends_.Stop(now, index);
  proxies_.DropIdleConnections(index);
}

}  // namespace badgerbridge::simulator
