// SPDX-License-Identifier: Apache-2.0
//
// What the decider makes of members' evidence: what is seen of each zone, and the state and limit that
// follow.
#include <algorithm>
#include <cmath>
#include <utility>

#include "zone_failover/decider.h"
#include "zone_failover/decider_internal.h"

namespace badgerbridge::zone_failover {

namespace {

constexpr double kEnough = 5;      // attempts in a second, for a place's word to count
constexpr double kFails = 0.5;     // share of attempts: a zone that fails
constexpr double kFailsNot = 0.1;  // and one that does not
constexpr double kSlow = 3;        // times what members are used to
constexpr double kNotSlow = 1.7;
constexpr double kFewWarm = 0.5;     // backends' worth, below which what one can do is not learnt
constexpr double kEmpty = 0.05;      // of the backends' worth that a zone had
constexpr double kMostCold = 10;     // times that a cold zone may be slower by nature
constexpr double kFellShort = 0.75;  // of what it has shown: slow at less is no crowd, but a fault
constexpr double kCrowded = 0.6;     // of the aim
constexpr double kQuick = 0.45;      // of the aim
constexpr double kCut = 0.8, kGrow = 1.2, kEarn = 1.5;
constexpr double kFirstStep = 0.08;  // of a zone that returns
constexpr double kShare = 1;         // of what its backends say that they can do
constexpr double kFewUsed = 0.15;    // below, how busy they are tells little of what they can do
constexpr double kShownGain = 0.15;
constexpr Duration kShownMemory{600000};  // half-life of the most that a zone has done
constexpr Duration kWell{1000};           // for a limping zone to count as well
constexpr Duration kRelapseMemory{30000};
constexpr double kFirstOfLike = 0.2;                       // of what another zone's backends have shown, each
constexpr double kFirstOfDemand = 0.1;                     // where none has shown anything
constexpr Duration kFirstShut{5000}, kLongestShut{80000};  // a zone to an origin that it fails

}  // namespace

// Sums over members' evidence: by origin and receiver, and by receiver alone.
struct Decider::Sums {
  explicit Sums(std::size_t zones)
      : members(zones),
        pairs(zones, std::vector<Pair>(zones)),
        slow(zones),
        latency(zones),
        timed(zones),
        used(zones),
        told(zones) {}
  std::vector<int> members;  // by origin
  std::vector<std::vector<Pair>> pairs;
  std::vector<double> slow, latency, timed;  // weighed by `timed`, attempts that were answered
  std::vector<double> used, told;            // weighed by `told`, attempts with word of how busy it is
};

// How a zone does, as members see it.
struct Decider::Signs {
  bool fails = false, slow = false, quick = false;
  bool slow_by_several = false;  // also at so much load that this may be a crowd
};

Decider::Sums Decider::AddUp(const Snapshot& snapshot, std::vector<Observation>* seen) const {
  Sums sums(rules_.zones);
  for (const MemberReport& report : snapshot.reports) {
    const auto o = static_cast<std::size_t>(report.evidence.zone);
    ++sums.members[o];
    for (std::size_t r = 0; r < rules_.zones; ++r) {
      const ZoneReport& z = report.evidence.zones[r];
      (*seen)[r].served += z.served;
      (*seen)[r].warm += z.warm / static_cast<double>(snapshot.reports.size());
      if (report.evidence.doubt || z.attempts <= 0) continue;
      Pair& pair = sums.pairs[o][r];
      pair.attempts += z.attempts;
      pair.bad += z.bad;
      ++pair.witnesses;
      const double good = std::max(0.0, z.attempts - z.bad);
      if (good > 0 && z.latency > 0) {
        pair.slow += good * z.slow, pair.timed += good;
        sums.slow[r] += good * z.slow, sums.latency[r] += good * z.latency, sums.timed[r] += good;
      }
      if (z.used >= 0) sums.used[r] += z.attempts * z.used, sums.told[r] += z.attempts;
    }
  }
  return sums;
}

// What members of `o` say of `r`: into what is seen of `r`, and whether it is shut to
// them.
void Decider::ObservePair(TimePoint at, std::size_t o, std::size_t r, int members, Pair* pair,
                          Observation* seen) const {
  const Pair& before = pairs_[o][r];
  pair->shut = before.shut && at < before.until;
  pair->until = before.until;
  pair->wait = before.wait;
  seen->attempts += pair->attempts;
  // One member alone may be the one that is ill.
  if (pair->attempts < kEnough || pair->witnesses < std::min(2, members)) return;
  ++seen->origins;
  const bool fails = pair->bad > kFails * pair->attempts;
  const bool is_slow = pair->timed > 0 && pair->slow > kSlow * seen->cold * pair->timed;
  if (o == r) seen->well_at_home = !fails && !is_slow;
  seen->failing += fails;
  seen->slow_at += is_slow;
  if (fails || is_slow) seen->who += (seen->who.empty() ? "" : ", ") + std::to_string(o);
  if (fails && !pair->shut) {
    pair->wait = std::clamp(pair->wait * 2, kFirstShut, kLongestShut);
    pair->until = at + pair->wait;
    pair->shut = true;
  }
  if (pair->bad < kFailsNot * pair->attempts) {
    if (at >= pair->until + pair->wait)
      pair->wait = Duration(0);  // it has been well for as long as it was shut
    pair->shut = false;
  }
}

std::vector<Decider::Observation> Decider::Observe(TimePoint at, const Snapshot& snapshot) {
  const std::size_t n = rules_.zones;
  std::vector<Observation> seen(n);
  Sums sums = AddUp(snapshot, &seen);
  for (std::size_t r = 0; r < n; ++r) {
    Observation& zone = seen[r];
    if (sums.timed[r] > 0)
      zone.slow = sums.slow[r] / sums.timed[r], zone.latency = sums.latency[r] / sums.timed[r];
    if (sums.told[r] > 0) zone.used = sums.used[r] / sums.told[r];
    // Backends that have just started are slow by nature.
    if (zone.warm > 0) zone.cold = std::clamp(zones_[r].most_warm / zone.warm, 1.0, kMostCold);
    for (std::size_t o = 0; o < n; ++o) ObservePair(at, o, r, sums.members[o], &sums.pairs[o][r], &zone);
  }
  pairs_ = std::move(sums.pairs);
  return seen;
}

void Decider::LearnCapacity(TimePoint now, ZoneStatus* zone, const Observation& seen) const {
  const double elapsed = observed_at_ == TimePoint{} ? 0 : (now - observed_at_).count();
  // Backends that leave take with them what they have shown; those that come, as the rules say how warm
  // they are, count like the others.
  if (zone->each > 0) zone->shown = zone->each * seen.warm;
  zone->of_warm = std::max(seen.warm, 1e-9);
  if (seen.used >= 0 && seen.attempts >= kEnough) {
    // What the deaf send keeps the zone busy too, and is in nobody's word. Where little is used, chance is
    // large beside it: taken for kFewUsed, it shows less than there is.
    const double full =
        std::max(seen.served / std::max(kFewUsed, seen.used), lost_members_.empty() ? 0 : zone->shown);
    const bool told = seen.used >= kFewUsed;
    if (told || full > zone->shown)
      zone->shown += zone->shown == 0 ? full : kShownGain * (full - zone->shown);
  } else if (seen.used < 0) {
    zone->shown = std::max(zone->shown * std::exp2(-elapsed / kShownMemory.count()), seen.served);
  } else {
    zone->shown = std::max(zone->shown, seen.served);
  }
  if (seen.warm >= kFewWarm) zone->each = zone->shown / seen.warm;
  zone->limit = seen.used >= 0 ? std::max(kShare * zone->shown, seen.served) : kBeyond * zone->shown;
}

// What it has shown, as far as the backends that showed it are still there.
double Decider::Capacity(const ZoneStatus& zone) {
  return zone.shown * (zone.of_warm > 0 ? std::min(1.0, zone.warm / zone.of_warm) : 1);
}

Decider::Signs Decider::SignsOf(const ZoneStatus& zone, const Observation& seen) {
  // Two places, or the only one that sends there.
  const auto by_several = [&](int places) { return places >= 2 || (places == 1 && seen.origins == 1); };
  Signs signs;
  // Well for its own members, it is cut off and not ill: that shuts it to those who fail there (Pair::shut).
  signs.fails = by_several(seen.failing) && !seen.well_at_home;
  signs.slow_by_several = by_several(seen.slow_at) && !seen.well_at_home;
  signs.slow = signs.slow_by_several && (zone.shown <= 0 || seen.served < kFellShort * zone.shown);
  signs.quick = seen.origins > 0 && seen.failing == 0 && seen.slow < kNotSlow * seen.cold;
  return signs;
}

void Decider::EnterState(TimePoint now, ZoneState state, double limit, std::string why, ZoneStatus* zone) {
  if (zone->state == ZoneState::kReturning || zone->state == state) zone->relapses += zone->state != state;
  zone->state = state;
  zone->limit = limit;
  zone->stepped = now;
  zone->why = std::move(why);
}

std::string Decider::Reason(const Observation& seen, const char* what) {
  return std::string(what) + " by the word of members in " + (seen.who.empty() ? "none" : seen.who);
}

// The state of one zone, and its limit.
void Decider::UpdateZone(TimePoint now, std::size_t index, const Observation& seen,
                         const std::string& evacuated) {
  ZoneStatus& zone = zones_[index];
  zone.warm = seen.warm;
  const double elapsed = observed_at_ == TimePoint{} ? 0 : (now - observed_at_).count();
  zone.relapses *= std::exp2(-elapsed / kRelapseMemory.count());
  const Signs signs = SignsOf(zone, seen);
  if (!signs.quick) zone.well = false;
  if (signs.quick && !std::exchange(zone.well, true)) zone.well_since = now;
  // Its backends have left the list, and what is said of them with them: those that come are new.
  zone.most_warm = std::max(zone.most_warm * std::exp2(-elapsed / kShownMemory.count()), seen.warm);
  if (zone.state != ZoneState::kEvacuated && zone.each > 0 && seen.warm < kEmpty * zone.most_warm) {
    zone.state = ZoneState::kSound;
    zone.why = "its converters have left the list";
    zone.well = false;
    return LearnCapacity(now, &zone, seen);
  }
  if (!evacuated.empty()) {
    if (zone.state != ZoneState::kEvacuated)
      EnterState(now, ZoneState::kEvacuated, 0, "ordered by " + evacuated, &zone);
    return;
  }
  switch (zone.state) {
    case ZoneState::kSound:
      return UpdateSound(now, seen, signs, &zone);
    case ZoneState::kLimping:
      return UpdateLimping(now, seen, signs, &zone);
    case ZoneState::kDark:
      return UpdateDark(now, seen, signs, &zone);
    case ZoneState::kEvacuated:
      return EnterState(now, ZoneState::kReturning, kFirstStep * zone.shown, "the order has ended", &zone);
    case ZoneState::kReturning:
      return UpdateReturning(now, seen, signs, &zone);
  }
}

void Decider::UpdateSound(TimePoint now, const Observation& seen, const Signs& signs,
                          ZoneStatus* zone) const {
  if (signs.fails)
    return EnterState(now, ZoneState::kDark, kTrial * zone->shown, Reason(seen, "it fails"), zone);
  if (signs.slow)
    return EnterState(now, ZoneState::kLimping,
                      std::max(kTrial * zone->shown, std::min(zone->limit, kCut * seen.served)),
                      Reason(seen, "it is slow"), zone);
  LearnCapacity(now, zone, seen);
}

void Decider::UpdateLimping(TimePoint now, const Observation& seen, const Signs& signs,
                            ZoneStatus* zone) const {
  // Attempts that were out when it slowed down end badly for a while: what answers is not dark.
  if (signs.fails && seen.served < kTrial * zone->shown)
    return EnterState(now, ZoneState::kDark, kTrial * zone->shown, Reason(seen, "it fails"), zone);
  if (zone->well && now - zone->well_since >= kWell)
    return EnterState(now, ZoneState::kReturning, std::max(zone->limit, kFirstStep * zone->shown),
                      "it is as quick as before", zone);
  // So little is granted that nobody can say how quick it is: it is tried again, as one that returns.
  if (seen.origins == 0 && now - zone->stepped >= kWell * (1 + 2 * zone->relapses))
    return EnterState(now, ZoneState::kReturning, std::max(zone->limit, kFirstStep * zone->shown),
                      "nobody sends enough to say that it is slow", zone);
  if (now - zone->stepped < rules_.step || seen.attempts < kEnough || seen.origins == 0) return;
  zone->stepped = now;
  if (seen.used >= kFewUsed) {  // its backends say how much of what it does now they could do
    zone->limit = std::clamp(kShare * seen.served / seen.used, kTrial * zone->shown, zone->shown);
  } else if (seen.latency > kCrowded * rules_.latency_objective) {
    zone->limit = std::max(kTrial * zone->shown, kCut * std::min(zone->limit, seen.served));
  } else if (seen.latency < kQuick * rules_.latency_objective && seen.served > 0.6 * zone->limit) {
    zone->limit = std::min(zone->shown, kGrow * zone->limit);
  }
}

void Decider::UpdateDark(TimePoint now, const Observation& seen, const Signs& signs, ZoneStatus* zone) {
  if (seen.origins > 0 && !signs.fails && seen.failing == 0)
    EnterState(now, ZoneState::kReturning, kFirstStep * zone->shown, "it answers again", zone);
}

void Decider::UpdateReturning(TimePoint now, const Observation& seen, const Signs& signs,
                              ZoneStatus* zone) const {
  if (signs.fails)
    return EnterState(now, ZoneState::kDark, kTrial * zone->shown, Reason(seen, "it failed as it returned,"),
                      zone);
  if (signs.slow_by_several)
    return EnterState(now, ZoneState::kLimping,
                      std::max(kTrial * zone->shown, kCut * std::min(zone->limit, seen.served)),
                      Reason(seen, "it was slow as it returned,"), zone);
  // Each relapse makes every step wait for longer. Where so little is granted that nobody speaks of it,
  // time alone.
  if (now - zone->stepped < rules_.step * (1 + 2 * zone->relapses) || (seen.origins > 0 && !signs.quick))
    return;
  zone->stepped = now;
  zone->limit *= kEarn;
  if (zone->limit < zone->shown) return;
  zone->state = ZoneState::kSound;
  zone->why = "it has earned back what it carried";
  LearnCapacity(now, zone, seen);
}

// A zone of which nothing is known yet, since nobody had cause to send there: a part of what its backends
// would do if they were like the others', or a part of what is asked in all. From there on it earns.
void Decider::GiveFirstRoom(const Snapshot& snapshot) {
  std::vector<double> each;
  double warm = 0, demand = 0;
  for (const ZoneStatus& zone : zones_) {
    if (zone.shown > 0 && zone.of_warm >= 0.5) each.push_back(zone.shown / zone.of_warm);
    warm += zone.warm;
  }
  for (const MemberReport& report : snapshot.reports) demand += report.evidence.demand;
  std::sort(each.begin(), each.end());
  const double like =
      each.empty() ? (warm > 0 ? kFirstOfDemand * demand / warm : 0) : kFirstOfLike * each[each.size() / 2];
  for (ZoneStatus& zone : zones_) {
    if (zone.state != ZoneState::kSound || zone.shown >= like * zone.warm) continue;
    zone.shown = like * zone.warm;
    zone.of_warm = zone.warm;
    zone.each = like;
    zone.limit = std::max(zone.limit, zone.shown);
  }
}

}  // namespace badgerbridge::zone_failover
