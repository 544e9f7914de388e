// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/nemesis.h"

#include <csignal>

#include "multiprocess/clock.h"
#include "multiprocess/even_selector.h"

namespace badgerbridge::multiprocess {

namespace {

using Kind = simulator::ScenarioEvent::Kind;

// As plans have them, for the timeline.
const char* NameOf(Kind kind) {
  constexpr const char* kNames[] = {
      "drain", "stop", "start",     "slow",    "wrong",    "pause",   "kill",        "revive",     "load",
      "cut",   "heal", "etcd down", "etcd up", "evacuate", "readmit", "stale lists", "fresh lists"};
  return kNames[static_cast<int>(kind)];
}

std::string WithZone(const std::string& text, int zone) {
  return zone >= 0 ? text + ", zone " + std::to_string(zone) : text;
}

BackendAction ActionOf(Kind kind) {
  switch (kind) {
    case Kind::kStop:
      return BackendAction::kStop;
    case Kind::kStart:
      return BackendAction::kStart;
    case Kind::kSlow:
      return BackendAction::kSlowDown;
    case Kind::kErrors:
      return BackendAction::kFailAnswers;
    default:
      return BackendAction::kPause;
  }
}

bool IsEither(const std::string& what, const char* first, const char* second) {
  return what == first || what == second;
}

}  // namespace

Nemesis::Nemesis(RunContext& context, const NemesisTargets& targets) : context_(context), targets_(targets) {}

void Nemesis::Start() {
  for (const ScenarioEvent& happening : context_.model.events) {
    context_.schedule.Add(context_.load_began_ms + happening.at_ms, [this, &happening] { Apply(happening); });
  }
  for (const Fault& fault : context_.model.multiprocess.faults)
    context_.schedule.Add(context_.load_began_ms + fault.at_ms, [this, &fault] { Apply(fault); });
}

void Nemesis::Apply(const ScenarioEvent& happening) {
  context_.Note(WithZone(NameOf(happening.kind), happening.zone));
  switch (happening.kind) {
    case Kind::kLoad:
      targets_.clients.Scale(happening.value);
      break;
    case Kind::kCut:
    case Kind::kHeal:
      targets_.links.CutZones(happening);
      break;
    case Kind::kStaleLists:
    case Kind::kFreshLists:
      targets_.publisher.SetPaused(happening.kind == Kind::kStaleLists);
      break;
    case Kind::kEtcdDown:
    case Kind::kEtcdUp:
      if (targets_.etcd) targets_.etcd->process().Send(SetReachable{happening.kind == Kind::kEtcdUp});
      break;
    case Kind::kEvacuate:
    case Kind::kReadmit:
      OrderEvacuations(happening);
      break;
    case Kind::kKill:
    case Kind::kRevive:
      ApplyToProxies(happening);
      break;
    default:
      ApplyToBackends(happening);
      break;
  }
}

void Nemesis::OrderEvacuations(const ScenarioEvent& happening) {
  for (int zone = 0; targets_.etcd && zone < context_.model.zones; ++zone) {
    if (happening.zone < 0 || zone == happening.zone)
      targets_.etcd->process().Send(OrderEvacuation{zone, happening.kind == Kind::kEvacuate});
  }
}

void Nemesis::ApplyToProxies(const ScenarioEvent& happening) {
  EvenSelector selector(happening.zone, happening.share);
  for (Proxy& proxy : targets_.proxies.proxies()) {
    if (!selector.Selects(proxy.identity.zone)) continue;
    if (happening.kind == Kind::kKill) {
      targets_.proxies.Kill(proxy);
    } else {
      targets_.proxies.Revive(proxy);
    }
  }
}

void Nemesis::ApplyToBackends(const ScenarioEvent& happening) {
  EvenSelector selector(happening.zone, happening.share);
  for (Backend& backend : targets_.backends.backends()) {
    if (selector.Selects(backend.zone)) ApplyToBackend(backend, happening);
  }
}

void Nemesis::ApplyToBackend(Backend& backend, const ScenarioEvent& happening) {
  switch (happening.kind) {
    case Kind::kDrain:
      backend.status = BackendStatus::kDraining;
      return targets_.publisher.Publish(backend);
    case Kind::kStop:
      backend.status = BackendStatus::kGone;
      targets_.publisher.Publish(backend);
      break;
    case Kind::kStart:
      context_.history.backend_starts.push_back({backend.name, NowMs()});
      backend.status = BackendStatus::kReady;
      backend.started_at_unix_ms = UnixMs();
      targets_.publisher.Publish(backend);
      break;
    default:
      break;
  }
  targets_.backends.Change(backend, ActionOf(happening.kind), happening.value);
}

void Nemesis::Apply(const Fault& fault) {
  const std::string& what = fault.name;
  context_.Note(WithZone(what, fault.zone));
  if (what == "thaw_decider") return ThawLeader();
  if (what == "freeze_decider") return WithLeader(what, &Nemesis::FreezeAsLeader);
  if (what == "kill_decider") return WithLeader(what, &Nemesis::KillAsLeader);
  if (what.rfind("relay_", 0) == 0) return targets_.watch_caches.Apply(fault, targets_.links);
  if (IsEither(what, "etcd_cut", "etcd_heal")) return targets_.links.CutEtcd(fault.zone, what == "etcd_cut");
  if (what == "freeze") return FreezeProxies(fault);
  if (what == "thaw") return ThawProxies(fault);
  if (IsEither(what, "discovery_down", "discovery_up"))
    return targets_.discovery.Send(SetReachable{what == "discovery_up"});
  if (what == "restart") return RestartProxies(fault);
  if (what == "reset") return targets_.links.Break(fault.zone, LinkBreak::kReset);
  if (what == "half_close") return targets_.links.Break(fault.zone, LinkBreak::kHalfClose);
  targets_.links.SetFault(fault);
}

void Nemesis::FreezeProxies(const Fault& fault) {
  EvenSelector selector(fault.zone, fault.share);
  for (Proxy& proxy : targets_.proxies.proxies()) {
    const bool is_selected = selector.Selects(proxy.identity.zone);
    if (is_selected && !proxy.down_since_ms && !proxy.frozen_since_ms) targets_.proxies.Freeze(proxy);
  }
}

void Nemesis::ThawProxies(const Fault& fault) {
  EvenSelector selector(fault.zone, fault.share);
  for (Proxy& proxy : targets_.proxies.proxies()) {
    const bool is_selected = selector.Selects(proxy.identity.zone);
    if (is_selected && !proxy.down_since_ms && proxy.frozen_since_ms) targets_.proxies.Thaw(proxy);
  }
}

// One after another, `value` ms apart.
void Nemesis::RestartProxies(const Fault& fault) {
  EvenSelector selector(fault.zone, fault.share);
  double due_ms = NowMs();
  for (Proxy& proxy : targets_.proxies.proxies()) {
    if (!selector.Selects(proxy.identity.zone)) continue;
    context_.schedule.Add(due_ms, [this, &proxy] {
      if (proxy.down_since_ms) return;
      targets_.proxies.Terminate(proxy);
      targets_.stalls.OnTerminated(proxy);
    });
    due_ms += fault.value;
  }
}

// Null if it is not among those that run.
Proxy* Nemesis::FindRunning(const std::string& name) {
  for (Proxy& proxy : targets_.proxies.proxies()) {
    if (proxy.identity.name == name && !proxy.down_since_ms && !proxy.frozen_since_ms) return &proxy;
  }
  return nullptr;
}

void Nemesis::WithLeader(const std::string& fault, void (Nemesis::*act)(Proxy&)) {
  targets_.etcd->RequestLeader([this, fault, act](const std::string& name) {
    if (name.empty()) context_.AddFault(ProcessFaultKind::kNoLeader, "", fault);
    if (Proxy* proxy = FindRunning(name)) (this->*act)(*proxy);
  });
}

void Nemesis::FreezeAsLeader(Proxy& proxy) {
  context_.Note(proxy.identity.name + " is frozen");
  targets_.proxies.Freeze(proxy);
  frozen_leader_ = proxy.identity.name;
}

void Nemesis::KillAsLeader(Proxy& proxy) {
  context_.Note(proxy.identity.name + " is killed");
  targets_.proxies.Kill(proxy);
}

void Nemesis::ThawLeader() {
  for (Proxy& proxy : targets_.proxies.proxies()) {
    if (proxy.identity.name == frozen_leader_ && proxy.frozen_since_ms) targets_.proxies.Thaw(proxy);
  }
}

}  // namespace badgerbridge::multiprocess
