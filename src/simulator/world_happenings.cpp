// SPDX-License-Identifier: Apache-2.0
//
// What happens to the world on the scenario's timetable.
#include <utility>

#include "simulator/world_types.h"

namespace badgerbridge::simulator {

using namespace balancer;

void World::Happen(TimePoint now, const Happening& what) {
  using Kind = Happening::Kind;
  switch (what.kind) {
    case Kind::kLoad:
      load_ = what.value;
      break;
    case Kind::kCut:
    case Kind::kHeal:
      CutZones(what);
      break;
    case Kind::kEtcdDown:
    case Kind::kEtcdUp:
      if (members_) members_->EtcdDown(what.kind == Kind::kEtcdDown);
      break;
    case Kind::kEvacuate:
    case Kind::kReadmit:
      OrderZones(what);
      break;
    case Kind::kStaleLists:
    case Kind::kFreshLists:
      HoldLists(now, what.kind == Kind::kStaleLists);
      break;
    default:
      HappenToShare(now, what);
      break;
  }
}

void World::CutZones(const Happening& what) {
  using Kind = Happening::Kind;
  for (std::size_t zone = 0; zone < cut_in_.size(); ++zone) {
    if (what.zone >= 0 && zone != static_cast<std::size_t>(what.zone)) continue;
    const bool cut = what.kind == Kind::kCut;
    if (!cut || what.way != Happening::Way::kOut) cut_in_[zone] = cut;
    if (!cut || what.way != Happening::Way::kIn) cut_out_[zone] = cut;
  }
}

void World::OrderZones(const Happening& what) {
  using Kind = Happening::Kind;
  for (int zone = 0; members_ && zone < model_.zones; ++zone) {
    if (what.zone < 0 || zone == what.zone) members_->Order(zone, what.kind == Kind::kEvacuate);
  }
}

// While lists are stale, what discovery would tell is held back.
void World::HoldLists(TimePoint now, bool stale) {
  stale_lists_ = stale;
  if (!stale_lists_) {
    for (const auto& [proxy, change] : std::exchange(held_back_, {}))
      queue_.At(now, this, kListArrives, proxy, change);
  }
}

// A share, evenly spread over those of the zone: each whose running sum passes a whole number.
void World::HappenToShare(TimePoint now, const Happening& what) {
  using Kind = Happening::Kind;
  const bool of_proxies = what.kind == Kind::kKill || what.kind == Kind::kRevive;
  const std::size_t all = of_proxies ? proxies_.size() : backends_.size();
  double sum = 0;
  for (std::size_t i = 0; i < all; ++i) {
    const int zone = of_proxies ? proxies_[i].zone : listed_[i].zone;
    if (what.zone >= 0 && zone != what.zone) continue;
    sum += what.share;
    if (sum < 1 - 1e-9) continue;
    sum -= 1;
    if (of_proxies) {
      what.kind == Kind::kKill ? Kill(now, i) : Revive(now, i);
    } else {
      HappenToBackend(now, what, i);
    }
  }
}

void World::HappenToBackend(TimePoint now, const Happening& what, std::size_t i) {
  using Kind = Happening::Kind;
  switch (what.kind) {
    case Kind::kDrain:
      if (listed_[i].state == BackendState::kReady) List(now, i, BackendState::kDraining);
      break;
    case Kind::kStop:
      backends_[i]->Die(now);
      for (Proxy& proxy : proxies_) proxy.idle[i] = 0;
      if (listed_[i].state != BackendState::kGone) List(now, i, BackendState::kGone);
      break;
    case Kind::kStart:
      backends_[i]->Die(now);
      for (Proxy& proxy : proxies_) proxy.idle[i] = 0;
      backends_[i]->Start(now);
      referee_.Started(now, i);
      List(now, i, BackendState::kReady);
      break;
    case Kind::kSlow:
      backends_[i]->Slow(what.value);
      break;
    case Kind::kWrong:
      backends_[i]->Wrong(what.value);
      break;
    case Kind::kPause:
      backends_[i]->Pause(now + Duration(what.value));
      break;
    default:
      break;
  }
}

}  // namespace badgerbridge::simulator
