// SPDX-License-Identifier: Apache-2.0
//
// What happens to the installation of a trial: the scenario's happenings, and the faults of [together] that
// only processes and links can suffer.
#include <boost/json.hpp>
#include <csignal>
#include <utility>

#include "multiprocess/roles.h"
#include "multiprocess/trial.h"
#include "multiprocess/trial_names.h"

namespace badgerbridge::multiprocess {

namespace json = boost::json;
using simulator::ScenarioEvent;

namespace {

constexpr double kAfterThaw = 100;  // ms after SIGCONT for which it is excused that an answer is late

double UnixMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Chooses a share of a zone's members (of all zones' if `zone` is negative), evenly spread, as the lab does.
class EvenShare {
 public:
  EvenShare(int zone, double share) : zone_(zone), share_(share) {}

  bool Chooses(int zone) {
    if (zone_ >= 0 && zone != zone_) return false;
    sum_ += share_;
    if (sum_ < 1 - 1e-9) return false;
    sum_ -= 1;
    return true;
  }

 private:
  int zone_;
  double share_, sum_ = 0;
};

}  // namespace

// Tells every proxy, each after a time of its own.
void Trial::List(Backend& backend) {
  if (relays_on()) WriteMember(backend);
  // Discovery then names who there was at the start, and tells no change.
  if (relays_on() && began_ > 0) return;
  for (const Proxy& proxy : proxies_) {
    const json::object order{{"do", "set"},
                             {"proxy", proxy.name},
                             {"name", backend.name},
                             {"address", backend.relayed[static_cast<std::size_t>(proxy.zone)]},
                             {"zone", ZoneName(backend.zone)},
                             {"status", backend.status},
                             {"group", backend.group},
                             {"since_ms", backend.since_ms}};
    auto act = [this, order] { discovery_->Tell(order); };
    if (began_ == 0) {
      act();
    } else if (stale_) {
      held_back_.push_back(std::move(act));
    } else {
      due_.push_back({NowMs() + model_.network.list_delay.Draw(lags_), std::move(act)});
    }
  }
}

// All links anew: what is cut, and what only links can suffer.
void Trial::SetLinks() {
  for (int from = 0; from < model_.zones; ++from) {
    for (int to = 0; to < model_.zones; ++to) {
      const auto f = static_cast<std::size_t>(from), t = static_cast<std::size_t>(to);
      double delay = model_.RegionOf(from) != model_.RegionOf(to) ? model_.cross_region_latency.count() : 0;
      double swallowed = 0, bytes = 0;
      for (const auto& [what, fault] : link_faults_) {
        if (fault.zone >= 0 && fault.zone != to && fault.zone != from) continue;
        if (fault.name == "delay") delay += fault.value;
        if (fault.name == "swallow") swallowed = fault.value;
        if (fault.name == "trickle") bytes = fault.value;
      }
      wire_->Tell({{"do", "link"},
                   {"from", ZoneName(from)},
                   {"to", ZoneName(to)},
                   {"delay_ms", delay},
                   {"jitter_ms", delay / 4},
                   {"swallowed", swallowed},
                   {"bytes_per_s", bytes},
                   {"cut_there", from != to && (cut_out_[f] || cut_in_[t])},
                   {"cut_back", from != to && (cut_out_[t] || cut_in_[f])}});
    }
    const bool cut = cut_etcd_[static_cast<std::size_t>(from)];
    wire_->Tell(
        {{"do", "link"}, {"from", ZoneName(from)}, {"to", "etcd"}, {"cut_there", cut}, {"cut_back", cut}});
  }
  SetRelayLinks();
}

void Trial::Happen(const ScenarioEvent& what) {
  using Kind = ScenarioEvent::Kind;
  constexpr const char* kNames[] = {
      "drain", "stop", "start",     "slow",    "wrong",    "pause",   "kill",        "revive",     "load",
      "cut",   "heal", "etcd down", "etcd up", "evacuate", "readmit", "stale lists", "fresh lists"};
  Note(std::string(kNames[static_cast<int>(what.kind)]) +
       (what.zone >= 0 ? ", zone " + std::to_string(what.zone) : std::string()));
  switch (what.kind) {
    case Kind::kLoad:
      for (const auto& part : clients_) part->Tell({{"do", "load"}, {"value", what.value}});
      break;
    case Kind::kCut:
    case Kind::kHeal:
      CutZones(what);
      break;
    case Kind::kStaleLists:
    case Kind::kFreshLists:
      HoldLists(what.kind == Kind::kStaleLists);
      break;
    case Kind::kEtcdDown:
    case Kind::kEtcdUp:
      if (etcd_) etcd_->Tell({{"do", what.kind == Kind::kEtcdDown ? "down" : "up"}});
      break;
    case Kind::kEvacuate:
    case Kind::kReadmit:
      OrderZones(what);
      break;
    case Kind::kKill:
    case Kind::kRevive:
      HappenToProxies(what);
      break;
    default:
      HappenToBackends(what);
      break;
  }
}

void Trial::CutZones(const ScenarioEvent& what) {
  const bool cut = what.kind == ScenarioEvent::Kind::kCut;
  for (std::size_t z = 0; z < cut_in_.size(); ++z) {
    if (what.zone >= 0 && z != static_cast<std::size_t>(what.zone)) continue;
    if (!cut || what.direction != ScenarioEvent::Direction::kOut) cut_in_[z] = cut;
    if (!cut || what.direction != ScenarioEvent::Direction::kIn) cut_out_[z] = cut;
  }
  SetLinks();
}

// While lists are stale, what discovery would tell is held back.
void Trial::HoldLists(bool stale) {
  stale_ = stale;
  if (stale_) return;
  for (auto& act : std::exchange(held_back_, {})) act();
}

void Trial::OrderZones(const ScenarioEvent& what) {
  using Kind = ScenarioEvent::Kind;
  for (int z = 0; etcd_ && z < model_.zones; ++z) {
    if (what.zone < 0 || z == what.zone)
      etcd_->Tell({{"do", "order"}, {"zone", z}, {"leave", what.kind == Kind::kEvacuate}});
  }
}

void Trial::HappenToProxies(const ScenarioEvent& what) {
  using Kind = ScenarioEvent::Kind;
  EvenShare share(what.zone, what.share);
  for (Proxy& proxy : proxies_) {
    if (!share.Chooses(proxy.zone)) continue;
    if (what.kind == Kind::kKill && proxy.down_since < 0) {
      proxy.process->Signal(SIGCONT);
      proxy.process->Signal(SIGKILL);
      proxy.down_since = NowMs();
    } else if (what.kind == Kind::kRevive && proxy.down_since >= 0) {
      StartAgain(proxy);
      history_.excuses.push_back({proxy.name, proxy.down_since, NowMs() + kAfterRevive});
      proxy.down_since = -1;
    }
  }
}

void Trial::HappenToBackends(const ScenarioEvent& what) {
  using Kind = ScenarioEvent::Kind;
  EvenShare share(what.zone, what.share);
  for (Backend& c : backends_) {
    if (!share.Chooses(c.zone)) continue;
    json::object order{{"which", json::array{c.place}}, {"value", what.value}};
    switch (what.kind) {
      case Kind::kDrain:
        c.status = "Terminating";
        List(c);
        continue;
      case Kind::kStop:
        order["do"] = "stop";
        c.status = "Gone";
        List(c);
        break;
      case Kind::kStart:
        order["do"] = "start";
        history_.started.push_back({c.name, NowMs()});
        c.status = "Ready";
        c.since_ms = UnixMs();
        List(c);
        break;
      case Kind::kSlow:
        order["do"] = "slow";
        break;
      case Kind::kErrors:
        order["do"] = "wrong";
        break;
      default:
        order["do"] = "pause";
        break;
    }
    zones_[static_cast<std::size_t>(c.zone)]->Tell(order);
  }
}

// Of a proxy that was stopped by SIGSTOP.
void Trial::Thaw(Proxy& proxy) {
  proxy.process->Signal(SIGCONT);
  history_.excuses.push_back({proxy.name, proxy.frozen_since, NowMs() + kAfterThaw, Excuse::Why::kStopped});
  proxy.frozen_since = -1;
}

// False if it is no fault of whoever decides.
bool Trial::SufferDecider(const std::string& what) {
  if (what == "thaw_decider") {
    for (Proxy& proxy : proxies_) {
      if (proxy.name == frozen_decider_ && proxy.frozen_since >= 0) Thaw(proxy);
    }
    return true;
  }
  if (what != "freeze_decider" && what != "kill_decider") return false;
  on_decider_ = [this, what](const std::string& name) { StopDecider(what, name); };
  etcd_->Tell({{"do", "decider"}});
  return true;
}

// `name` is empty if nobody decided.
void Trial::StopDecider(const std::string& what, const std::string& name) {
  if (name.empty()) outcome_.troubles.push_back(what + ": nobody decided then");
  for (Proxy& proxy : proxies_) {
    if (proxy.name != name || proxy.down_since >= 0 || proxy.frozen_since >= 0) continue;
    Note(name + (what == "freeze_decider" ? " is frozen" : " is killed"));
    if (what == "freeze_decider") {
      proxy.process->Signal(SIGSTOP);
      proxy.frozen_since = NowMs();
      frozen_decider_ = name;
    } else {
      proxy.process->Signal(SIGKILL);
      proxy.down_since = NowMs();
    }
  }
}

void Trial::Suffer(const simulator::MultiprocessFault& what) {
  Note(what.name + (what.zone >= 0 ? ", zone " + std::to_string(what.zone) : std::string()));
  if (SufferDecider(what.name)) return;
  if (what.name.rfind("relay_", 0) == 0) return SufferRelay(what);
  if (what.name == "etcd_cut" || what.name == "etcd_heal") return CutEtcd(what);
  if (what.name == "freeze" || what.name == "thaw") return FreezeProxies(what);
  if (what.name == "discovery_down" || what.name == "discovery_up") {
    discovery_->Tell({{"do", what.name == "discovery_down" ? "down" : "up"}});
    return;
  }
  if (what.name == "restart") return RestartProxies(what);
  if (what.name == "reset" || what.name == "half_close") return BreakConnections(what);
  if (what.value > 0) {
    link_faults_[what.name + std::to_string(what.zone)] = what;
  } else {
    link_faults_.erase(what.name + std::to_string(what.zone));
  }
  SetLinks();
}

void Trial::CutEtcd(const simulator::MultiprocessFault& what) {
  for (std::size_t z = 0; z < cut_etcd_.size(); ++z) {
    if (what.zone < 0 || z == static_cast<std::size_t>(what.zone)) cut_etcd_[z] = what.name == "etcd_cut";
  }
  SetLinks();
}

void Trial::FreezeProxies(const simulator::MultiprocessFault& what) {
  EvenShare share(what.zone, what.share);
  for (Proxy& proxy : proxies_) {
    if (!share.Chooses(proxy.zone) || proxy.down_since >= 0) continue;
    if (what.name == "freeze" && proxy.frozen_since < 0) {
      proxy.process->Signal(SIGSTOP);
      proxy.frozen_since = NowMs();
    } else if (what.name == "thaw" && proxy.frozen_since >= 0) {
      Thaw(proxy);
    }
  }
}

// One after another, `value` ms apart.
void Trial::RestartProxies(const simulator::MultiprocessFault& what) {
  EvenShare share(what.zone, what.share);
  double at = NowMs();
  for (Proxy& proxy : proxies_) {
    if (!share.Chooses(proxy.zone)) continue;
    due_.push_back({at, [this, &proxy] {
                      if (proxy.down_since >= 0) return;
                      proxy.process->Signal(SIGTERM);
                      proxy.term_at = NowMs();
                      proxy.stopped_before_term = proxy.stopped_for;
                      StallAtDoor(proxy);
                    }});
    at += what.value;
  }
}

void Trial::BreakConnections(const simulator::MultiprocessFault& what) {
  for (int from = 0; from < model_.zones; ++from) {
    for (int to = 0; to < model_.zones; ++to) {
      if (what.zone >= 0 && to != what.zone) continue;
      wire_->Tell(
          {{"do", what.name == "reset" ? "reset" : "half"}, {"from", ZoneName(from)}, {"to", ZoneName(to)}});
    }
  }
}

}  // namespace badgerbridge::multiprocess
