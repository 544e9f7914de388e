// SPDX-License-Identifier: Apache-2.0
#include "regions/decider.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace badgerbridge::regions {
namespace {

constexpr double kEnough = 5;      // attempts in a second, for a place's word to count
constexpr double kFails = 0.5;     // share of attempts: a zone that fails
constexpr double kFailsNot = 0.1;  // and one that does not
constexpr double kSlow = 3;        // times what members are used to
constexpr double kNotSlow = 1.7;
constexpr double kFewWarm = 0.5;     // converters' worth, below which what one can do is not learnt
constexpr double kEmpty = 0.05;      // of the converters' worth that a zone had
constexpr double kMostCold = 10;     // times that a cold zone may be slower by nature
constexpr double kFellShort = 0.75;  // of what it has shown: slow at less is no crowd, but a fault
constexpr double kCrowded = 0.6;     // of the aim
constexpr double kQuick = 0.45;      // of the aim
constexpr double kCut = 0.8, kGrow = 1.2, kEarn = 1.5;
constexpr double kTrial = 0.02;      // of what it has shown, for a zone that fails
constexpr double kFirstStep = 0.08;  // of a zone that returns
constexpr double kShare = 1;         // of what its converters say that they can do
constexpr double kBeyond = 1.25;     // of the most that it has done, where they say nothing
constexpr double kFewUsed = 0.15;    // below, how busy they are tells little of what they can do
constexpr double kShownGain = 0.15;
constexpr Duration kShownMemory{600000};  // half-life of the most that a zone has done
constexpr Duration kWell{1000};           // for a limping zone to count as well
constexpr Duration kRelapseMemory{30000};
constexpr double kFirstOfLike = 0.2;    // of what another zone's converters have shown, each
constexpr double kFirstOfDemand = 0.1;  // where none has shown anything
constexpr double kOptional = 0.9;       // of the room left over, for all: the rest stands by
constexpr double kPairTrial = 0.01;     // of its limit, for a zone that fails its own members alone
constexpr Duration kFirstShut{5000}, kLongestShut{80000};  // a zone to an origin that it fails
constexpr Duration kLeastBetween{150};                     // two decisions
constexpr Duration kRestless{2000};                        // small changes wait for so long
constexpr double kLargeChange = 0.1, kSmallChange = 0.02;  // of the largest limit
constexpr Duration kStart{1500};
constexpr double kDip = 0.9;  // of what was asked lately: less is not believed at once
constexpr Duration kPeakMemory{5000};
constexpr int kHalvings = 30;
constexpr double kTiny = 1e-9;
constexpr double kFallBack = 0.5;
constexpr Duration kLongestWait{1000};   // of who comes back, for others to make room
constexpr std::size_t kMostEpochs = 64;  // kept apart: a member that never confirms must not make it grow
constexpr std::uint64_t kNothingYet = UINT64_MAX;  // has not been granted anything
constexpr int kSlices = 50;                        // of what is asked, in which room is given away in turn

double Larger(double a, double b) { return a == kFree || b == kFree ? kFree : std::max(a, b); }

}  // namespace

Decider::Decider(Rules rules) : rules_(std::move(rules)) {
  for (std::size_t o = 0; o < rules_.zones; ++o) {
    std::vector<std::size_t> all(rules_.zones);
    std::iota(all.begin(), all.end(), 0);
    std::erase(all, o);
    // Where the way there and back takes half of what is wanted, help comes too late.
    std::erase_if(all, [&](std::size_t r) { return rules_.round_trip.at(o, r) >= rules_.aim / 2; });
    std::stable_sort(all.begin(), all.end(), [&](std::size_t a, std::size_t b) {
      return std::pair(rules_.price.at(o, a), rules_.round_trip.at(o, a)) <
             std::pair(rules_.price.at(o, b), rules_.round_trip.at(o, b));
    });
    order_.push_back(std::move(all));
  }
  Begin();
}

void Decider::Begin() {
  started_ = false;
  written_at_ = looked_at_ = began_ = waits_since_ = TimePoint{};
  cases_.assign(rules_.zones, Case{});
  pairs_.assign(rules_.zones, std::vector<Pair>(rules_.zones));
  lives_.clear();
  gone_.clear();
  history_.clear();
  folded_ = false;
}

void Decider::Start(TimePoint now, const Snapshot& snapshot) {
  started_ = true;
  if (!snapshot.decision) return;  // nobody can go by what never was
  const Decision& d = *snapshot.decision;
  history_.push_back({0, d.ceiling, d.standby});
  history_.push_back({d.epoch, SlicesOf(d), d.standby});
  counted_epoch_ = d.epoch;
  std::set<std::string> there;  // in the life that was counted
  for (const Word& word : snapshot.words) {
    if (word.created <= d.counted) there.insert(word.member);
  }
  for (std::size_t z = 0; z < rules_.zones; ++z) {
    cases_[z].state = d.zones[z].state;
    cases_[z].shown = d.zones[z].shown;
    cases_[z].limit = d.zones[z].limit;
    cases_[z].why = d.zones[z].why;
    cases_[z].stepped = now;
    cases_[z].asked = cases_[z].peak = d.zones[z].demand;
    const auto vanished = [&](const std::string& name, TimePoint until) {
      gone_.push_back({name, static_cast<int>(z), 0, d.zones[z].demand / std::max(1, d.zones[z].members),
                       until, now + rules_.forget * (1 + 2 * rules_.drift), StandbyOf(static_cast<int>(z))});
    };
    // Those that the last decider had counted, or knew to be lost, and that are not there.
    for (int i = 0; i < d.zones[z].lost; ++i) vanished("", now);
    if (!d.roll.empty()) {
      for (const Decision::Counted& one : d.roll) {
        if (static_cast<std::size_t>(one.zone) == z && !there.count(one.member))
          vanished(one.member, now + rules_.hold * (1 + 2 * rules_.drift));
      }
      continue;
    }
    int missing = d.zones[z].members;
    for (const Word& word : snapshot.words)
      missing -= static_cast<std::size_t>(word.evidence.zone) == z && word.created <= d.counted;
    for (int i = 0; i < missing; ++i) vanished("", now + rules_.hold * (1 + 2 * rules_.drift));
  }
}

std::vector<double> Decider::StandbyOf(int zone) const {
  std::vector<double> most(rules_.zones);
  for (const Past& past : history_) {
    for (std::size_t r = 0; r < rules_.zones; ++r)
      most[r] = std::max(most[r], past.standby.at(static_cast<std::size_t>(zone), r));
  }
  return most;
}

// Who is there, and who has vanished since the last look.
void Decider::Follow(TimePoint now, const Snapshot& snapshot) {
  std::map<std::pair<std::string, std::int64_t>, Life> lives;
  std::set<std::string> counted;  // names whose part is kept: of who vanished, or came back unseen
  for (const auto& [who, life] : lives_) counted.insert(who.first);
  for (const Gone& gone : gone_) {
    if (now < gone.until) counted.insert(gone.member);
  }
  for (const Word& word : snapshot.words) {
    const auto known = lives_.find({word.member, word.created});
    Life life{word.evidence.zone, word.evidence.epoch, word.evidence.demand,
              known != lives_.end() ? known->second.inherits : counted.count(word.member) > 0,
              known != lives_.end() ? known->second.admitted_at : 0};
    if (life.admitted_at == 0 && snapshot.decision && Admits(*snapshot.decision, word))
      life.admitted_at = known != lives_.end() ? snapshot.decision->epoch : 1;
    lives[{word.member, word.created}] = life;
  }
  for (const auto& [who, life] : lives_) {
    if (!lives.count(who))
      gone_.push_back({who.first, life.zone, life.epoch, life.demand,
                       now + rules_.hold * (1 + 2 * rules_.drift),
                       now + rules_.forget * (1 + 2 * rules_.drift), StandbyOf(life.zone)});
  }
  // Who is back goes by what is decided, in this life or the next.
  std::set<std::string> names;
  for (const auto& [who, life] : lives) names.insert(who.first);
  lives_ = std::move(lives);
  std::erase_if(gone_, [&](const Gone& gone) {
    return now >= gone.forgotten || (!gone.member.empty() && names.count(gone.member));
  });
}

bool Decider::Admits(const Decision& decision, const Word& word) {
  return word.created <= decision.admitted ||
         std::find(decision.returned.begin(), decision.returned.end(),
                   Decision::Returned{word.member, word.created}) != decision.returned.end();
}

std::vector<Decider::Holders> Decider::Hold(TimePoint now, const Snapshot& snapshot,
                                            const Decision& next) const {
  std::vector<Holders> all;
  const auto add = [&](int zone, std::uint64_t since, bool there, bool sure) {
    const auto same = std::find_if(all.begin(), all.end(), [&](const Holders& group) {
      return group.zone == static_cast<std::size_t>(zone) && group.since == since && group.there == there &&
             group.sure == sure;
    });
    if (same != all.end()) {
      ++same->count;
    } else {
      all.push_back({static_cast<std::size_t>(zone), since, there, sure, 1});
    }
  };
  for (const Word& word : snapshot.words) {
    const auto found = lives_.find({word.member, word.created});
    const Life life = found == lives_.end() ? Life{} : found->second;
    // Who comes back in the same process goes by what it was granted before; then it knows an epoch.
    const bool before = life.inherits && word.evidence.epoch < std::max<std::uint64_t>(1, life.admitted_at) &&
                        word.evidence.epoch > 0;
    const bool maybe = life.inherits && life.admitted_at == 0 && word.evidence.epoch > 0;
    if (!Admits(next, word) && !maybe) continue;
    // What was granted before it was admitted was never its own.
    const bool nothing = life.admitted_at == 0 && !maybe;
    const std::uint64_t since = nothing           ? kNothingYet
                                : before || maybe ? word.evidence.epoch
                                                  : std::max(life.admitted_at, word.evidence.epoch);
    add(word.evidence.zone, since, true, !before && !maybe);
  }
  for (const Gone& gone : gone_) {
    if (now < gone.until) add(gone.zone, gone.epoch, false, false);
  }
  return all;
}

// The two oldest become one: no less than either.
void Decider::Fold() {
  const Past first = std::move(history_.front());
  history_.pop_front();
  history_.front().epoch = first.epoch;
  for (std::size_t o = 0; o < rules_.zones; ++o) {
    for (std::size_t r = 0; r < rules_.zones; ++r) {
      double& slice = history_.front().slices.at(o, r);
      slice = Larger(slice, first.slices.at(o, r));
      double& standby = history_.front().standby.at(o, r);
      standby = std::max(standby, first.standby.at(o, r));
    }
  }
  folded_ = true;
}

Matrix Decider::Ceiling() const {
  Matrix ceiling(rules_.zones);
  for (const Past& past : history_) {
    for (std::size_t o = 0; o < rules_.zones; ++o) {
      for (std::size_t r = 0; r < rules_.zones; ++r) {
        ceiling.at(o, r) = Larger(ceiling.at(o, r), past.slices.at(o, r));
      }
    }
  }
  return ceiling;
}

std::vector<Decider::Seen> Decider::Look(TimePoint at, const Snapshot& snapshot) {
  const std::size_t n = rules_.zones;
  std::vector<Seen> seen(n);
  std::vector<int> members(n);
  std::vector<std::vector<Pair>> now(n, std::vector<Pair>(n));
  std::vector<double> slow(n), latency(n), timed(n), used(n), told(n);
  for (const Word& word : snapshot.words) {
    const auto o = static_cast<std::size_t>(word.evidence.zone);
    ++members[o];
    for (std::size_t r = 0; r < n; ++r) {
      const ZoneWord& z = word.evidence.zones[r];
      seen[r].served += z.served;
      seen[r].warm += z.warm / static_cast<double>(snapshot.words.size());
      if (word.evidence.doubt || z.attempts <= 0) continue;
      Pair& pair = now[o][r];
      pair.attempts += z.attempts;
      pair.bad += z.bad;
      ++pair.witnesses;
      const double good = std::max(0.0, z.attempts - z.bad);
      if (good > 0 && z.latency > 0) {
        pair.slow += good * z.slow, pair.timed += good;
        slow[r] += good * z.slow, latency[r] += good * z.latency, timed[r] += good;
      }
      if (z.used >= 0) used[r] += z.attempts * z.used, told[r] += z.attempts;
    }
  }
  for (std::size_t r = 0; r < n; ++r) {
    if (timed[r] > 0) seen[r].slow = slow[r] / timed[r], seen[r].latency = latency[r] / timed[r];
    if (told[r] > 0) seen[r].used = used[r] / told[r];
    // Converters that have just started are slow by nature.
    if (seen[r].warm > 0) seen[r].cold = std::clamp(cases_[r].most_warm / seen[r].warm, 1.0, kMostCold);
    std::string who;
    for (std::size_t o = 0; o < n; ++o) {
      Pair& pair = now[o][r];
      const Pair& before = pairs_[o][r];
      pair.shut = before.shut && at < before.until;
      pair.until = before.until;
      pair.wait = before.wait;
      seen[r].attempts += pair.attempts;
      // One member alone may be the one that is ill.
      if (pair.attempts < kEnough || pair.witnesses < std::min(2, members[o])) continue;
      ++seen[r].words;
      const bool fails = pair.bad > kFails * pair.attempts;
      const bool is_slow = pair.timed > 0 && pair.slow > kSlow * seen[r].cold * pair.timed;
      if (o == r) seen[r].well_at_home = !fails && !is_slow;
      seen[r].failing += fails;
      seen[r].slow_at += is_slow;
      if (fails || is_slow) who += (who.empty() ? "" : ", ") + std::to_string(o);
      if (fails && !pair.shut) {
        pair.wait = std::clamp(pair.wait * 2, kFirstShut, kLongestShut);
        pair.until = at + pair.wait;
        pair.shut = true;
      }
      if (pair.bad < kFailsNot * pair.attempts) {
        if (at >= pair.until + pair.wait)
          pair.wait = Duration(0);  // it has been well for as long as it was shut
        pair.shut = false;
      }
    }
    seen[r].who = std::move(who);
  }
  pairs_ = std::move(now);
  return seen;
}

void Decider::Learn(TimePoint now, Case* zone, const Seen& seen) const {
  const double elapsed = looked_at_ == TimePoint{} ? 0 : (now - looked_at_).count();
  // Converters that leave take with them what they have shown; those that come, as the rules say how warm
  // they are, count like the others.
  if (zone->each > 0) zone->shown = zone->each * seen.warm;
  zone->of_warm = std::max(seen.warm, 1e-9);
  if (seen.used >= 0 && seen.attempts >= kEnough) {
    // What the deaf send keeps the zone busy too, and is in nobody's word. Where little is used, chance is
    // large beside it: taken for kFewUsed, it shows less than there is.
    const double full =
        std::max(seen.served / std::max(kFewUsed, seen.used), gone_.empty() ? 0 : zone->shown);
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

// What it has shown, as far as the converters that showed it are still there.
double Decider::Able(const Case& zone) {
  return zone.shown * (zone.of_warm > 0 ? std::min(1.0, zone.warm / zone.of_warm) : 1);
}

// The state of one zone, and its limit.
void Decider::Judge(TimePoint now, std::size_t index, const Seen& seen, const std::string& evacuated) {
  Case& zone = cases_[index];
  zone.warm = seen.warm;
  const double elapsed = looked_at_ == TimePoint{} ? 0 : (now - looked_at_).count();
  zone.relapses *= std::exp2(-elapsed / kRelapseMemory.count());
  // Two places, or the only one that sends there.
  const auto by_several = [&](int places) { return places >= 2 || (places == 1 && seen.words == 1); };
  // Well for its own members, it is cut off and not ill: that shuts it to those who fail there (Pair::shut).
  const bool fails = by_several(seen.failing) && !seen.well_at_home;
  const bool slow = by_several(seen.slow_at) && !seen.well_at_home &&
                    (zone.shown <= 0 || seen.served < kFellShort * zone.shown);
  const bool quick = seen.words > 0 && seen.failing == 0 && seen.slow < kNotSlow * seen.cold;
  if (!quick) zone.well = false;
  if (quick && !std::exchange(zone.well, true)) zone.well_since = now;
  const auto enter = [&](ZoneState state, double limit, std::string why) {
    if (zone.state == ZoneState::kReturning || zone.state == state) zone.relapses += zone.state != state;
    zone.state = state;
    zone.limit = limit;
    zone.stepped = now;
    zone.why = std::move(why);
  };
  // Its converters have left the list, and what is said of them with them: those that come are new.
  zone.most_warm = std::max(zone.most_warm * std::exp2(-elapsed / kShownMemory.count()), seen.warm);
  if (zone.state != ZoneState::kEvacuated && zone.each > 0 && seen.warm < kEmpty * zone.most_warm) {
    zone.state = ZoneState::kSound;
    zone.why = "its converters have left the list";
    zone.well = false;
    return Learn(now, &zone, seen);
  }
  const bool may_step = now - zone.stepped >= rules_.step;
  const auto word = [&](const char* what) {
    return std::string(what) + " by the word of members in " + (seen.who.empty() ? "none" : seen.who);
  };
  if (!evacuated.empty()) {
    if (zone.state != ZoneState::kEvacuated) enter(ZoneState::kEvacuated, 0, "ordered by " + evacuated);
    return;
  }
  switch (zone.state) {
    case ZoneState::kSound:
      if (fails) return enter(ZoneState::kDark, kTrial * zone.shown, word("it fails"));
      if (slow)
        return enter(ZoneState::kLimping,
                     std::max(kTrial * zone.shown, std::min(zone.limit, kCut * seen.served)),
                     word("it is slow"));
      return Learn(now, &zone, seen);
    case ZoneState::kLimping:
      // Attempts that were out when it slowed down end badly for a while: what answers is not dark.
      if (fails && seen.served < kTrial * zone.shown)
        return enter(ZoneState::kDark, kTrial * zone.shown, word("it fails"));
      if (zone.well && now - zone.well_since >= kWell)
        return enter(ZoneState::kReturning, std::max(zone.limit, kFirstStep * zone.shown),
                     "it is as quick as before");
      // So little is granted that nobody can say how quick it is: it is tried again, as one that returns.
      if (seen.words == 0 && now - zone.stepped >= kWell * (1 + 2 * zone.relapses))
        return enter(ZoneState::kReturning, std::max(zone.limit, kFirstStep * zone.shown),
                     "nobody sends enough to say that it is slow");
      if (!may_step || seen.attempts < kEnough || seen.words == 0) return;
      zone.stepped = now;
      if (seen.used >= kFewUsed) {  // its converters say how much of what it does now they could do
        zone.limit = std::clamp(kShare * seen.served / seen.used, kTrial * zone.shown, zone.shown);
      } else if (seen.latency > kCrowded * rules_.aim) {
        zone.limit = std::max(kTrial * zone.shown, kCut * std::min(zone.limit, seen.served));
      } else if (seen.latency < kQuick * rules_.aim && seen.served > 0.6 * zone.limit) {
        zone.limit = std::min(zone.shown, kGrow * zone.limit);
      }
      return;
    case ZoneState::kDark:
      if (seen.words > 0 && !fails && seen.failing == 0)
        enter(ZoneState::kReturning, kFirstStep * zone.shown, "it answers again");
      return;
    case ZoneState::kEvacuated:
      return enter(ZoneState::kReturning, kFirstStep * zone.shown, "the order has ended");
    case ZoneState::kReturning:
      if (fails) return enter(ZoneState::kDark, kTrial * zone.shown, word("it failed as it returned,"));
      if (by_several(seen.slow_at) && !seen.well_at_home)
        return enter(ZoneState::kLimping,
                     std::max(kTrial * zone.shown, kCut * std::min(zone.limit, seen.served)),
                     word("it was slow as it returned,"));
      // Each relapse makes every step wait for longer. Where so little is granted that nobody speaks of it,
      // time alone.
      if (now - zone.stepped < rules_.step * (1 + 2 * zone.relapses) || (seen.words > 0 && !quick)) return;
      zone.stepped = now;
      zone.limit *= kEarn;
      if (zone.limit < zone.shown) return;
      zone.state = ZoneState::kSound;
      zone.why = "it has earned back what it carried";
      return Learn(now, &zone, seen);
  }
}

Matrix Decider::Spread(std::vector<double> want, std::vector<double>* room) const {
  Matrix given(rules_.zones);
  std::vector<double> slice = want;
  for (double& s : slice) s /= kSlices;
  for (int turn = 0; turn < kSlices; ++turn) {
    for (std::size_t o = 0; o < rules_.zones; ++o) {
      double left = slice[o];
      for (const std::size_t r : order_[o]) {
        if (left <= 0) break;
        if ((*room)[r] <= 0 || pairs_[o][r].shut) continue;
        const double part = std::min(left, (*room)[r]);
        given.at(o, r) += part;
        (*room)[r] -= part;
        left -= part;
      }
    }
  }
  return given;
}

void Decider::Allocate(const std::vector<double>& demand, const std::vector<Holders>& holders,
                       Decision* next) {
  const std::size_t n = rules_.zones;
  std::vector<double> room(n), want(n), home(n);
  std::vector<double> home_most(n);  // while some of its members may still send home as they like
  std::vector<bool> free(n);
  // Those that lost touch may go by their standby: of one zone's members, since standby is for the loss of
  // one.
  std::vector<double> kept(n);
  Matrix deaf(n);
  for (const Gone& gone : gone_) {
    const auto o = static_cast<std::size_t>(gone.zone);
    for (std::size_t r = 0; r < n; ++r) {
      double& sum = deaf.at(o, r);
      sum = std::min(gone.standby[r],
                     sum + gone.standby[r] / std::max(1, next->zones[o].members + next->zones[o].lost));
      kept[r] = std::max(kept[r], sum);
    }
  }
  Matrix wanted(n);
  for (std::size_t z = 0; z < n; ++z) {
    const Case& zone = cases_[z];
    free[z] = zone.state == ZoneState::kSound && !pairs_[z][z].shut;
    const double able = std::min(zone.limit, std::max(Able(zone) * kBeyond, 0.0));
    const double limit = pairs_[z][z].shut ? kPairTrial * able : able;
    home[z] = std::min(demand[z], limit);
    // Who was stopped for a moment says for a second that it is asked for little.
    const double peak = cases_[z].peak;
    home_most[z] = std::min(demand[z] < kDip * peak ? peak : demand[z], able);
    wanted.at(z, z) = free[z] ? kFree : home[z];
    room[z] = zone.state == ZoneState::kSound ? std::max(0.0, able - home_most[z] - kept[z]) : 0;
    want[z] = std::max(0.0, demand[z] - home[z]);
  }
  const Matrix given = Spread(want, &room);
  const double all = std::accumulate(demand.begin(), demand.end(), 0.0);
  const auto optional = [&](std::size_t o, std::size_t r) {
    return o != r && all > demand[r] ? kOptional * room[r] * demand[o] / (all - demand[r]) : 0.0;
  };
  // For the loss of one zone while nobody can decide: what is left beside what the others may go on to use.
  Matrix standby(n);
  for (std::size_t o = 0; o < n; ++o) {
    std::vector<double> one(n);
    one[o] = demand[o];
    std::vector<double> left = room;
    for (std::size_t r = 0; r < n; ++r) {
      for (std::size_t other = 0; other < n; ++other) left[r] -= other != o ? optional(other, r) : 0;
    }
    const Matrix spread = Spread(one, &left);
    for (std::size_t r = 0; r < n; ++r) standby.at(o, r) = spread.at(o, r);
  }
  for (std::size_t r = 0; r < n; ++r) {
    for (std::size_t o = 0; o < n; ++o) {
      if (o == r) continue;
      double grant = given.at(o, r) + optional(o, r);
      if (pairs_[o][r].shut) grant = 0;
      if (cases_[r].state != ZoneState::kSound) grant = 0;
      wanted.at(o, r) = grant;
    }
  }
  // A zone that is not sound would keep back, for those that have lost touch, all that it may be tried with.
  std::vector<double> most(n);
  for (std::size_t r = 0; r < n; ++r)
    most[r] = std::max(0.0, std::min(cases_[r].limit, kBeyond * Able(cases_[r])) -
                                (cases_[r].state == ZoneState::kSound ? kept[r] : 0));
  next->standby = std::move(standby);
  Grow(wanted, home_most, most, holders, next);
}

// Whether members of some zone are given much less elsewhere by `next` than by `other`.
bool Decider::FallsBack(const Decision& other, const Decision& next) const {
  for (std::size_t o = 0; o < rules_.zones; ++o) {
    double before = 0, after = 0;
    for (std::size_t r = 0; r < rules_.zones; ++r) {
      before += std::max(0.0, other.grants.at(o, r));
      after += std::max(0.0, next.grants.at(o, r));
    }
    if (after < kFallBack * before) return true;
  }
  return false;
}

// Of what is wanted, as much as fits under `most` for each receiver, in two ways: once all that are there go
// by it, and meanwhile, while each may go by the most of its old part and its new one.
void Decider::Grow(const Matrix& wanted, const std::vector<double>& home, const std::vector<double>& most,
                   const std::vector<Holders>& holders, Decision* next) const {
  const std::size_t n = rules_.zones;
  std::vector<Matrix> since(history_.size());  // the most that any epoch from this one on gives one member
  for (std::size_t i = history_.size(); i-- > 0;) {
    since[i] = history_[i].slices;
    if (i + 1 == history_.size()) continue;
    for (std::size_t o = 0; o < n; ++o) {
      for (std::size_t r = 0; r < n; ++r) {
        since[i].at(o, r) = Larger(since[i].at(o, r), since[i + 1].at(o, r));
      }
    }
  }
  // The most that one of them may go by, and the least.
  const auto first_of = [&](const Holders& group) {
    std::size_t i = history_.size() - 1;
    while (i > 0 && history_[i].epoch > group.since) --i;
    return i;
  };
  const auto old = [&](const Holders& group, std::size_t r) {
    return history_.empty() || group.since == kNothingYet ? 0.0 : since[first_of(group)].at(group.zone, r);
  };
  const auto least = [&](const Holders& group, std::size_t r) {
    if (history_.empty() || group.since == kNothingYet || !group.sure) return 0.0;
    if (folded_ && first_of(group) == 0) return 0.0;  // of what is folded the most is known alone
    double one = old(group, r);
    for (std::size_t i = first_of(group); i < history_.size(); ++i) {
      if (history_[i].slices.at(group.zone, r) != kFree)
        one = std::min(one, history_[i].slices.at(group.zone, r));
    }
    return one;
  };
  std::vector<int> vanished(n);
  for (const Holders& group : holders) {
    if (!group.there) vanished[group.zone] += group.count;
  }
  next->grants = Matrix(n);
  for (std::size_t r = 0; r < n; ++r) {
    bool home_free = wanted.at(r, r) == kFree;
    for (const Holders& group : holders) home_free |= group.zone == r && old(group, r) == kFree;
    const double room = most[r] - (home_free ? home[r] : 0);
    const auto counts = [&](std::size_t o) { return o != r || !home_free; };
    // What those keep that are not there any more.
    double kept = 0, steady = 0;
    for (const Holders& group : holders) {
      if (!group.there && counts(group.zone)) kept += group.count * old(group, r);
    }
    std::vector<double> target(n), base(n);
    for (std::size_t o = 0; o < n; ++o) {
      if (!counts(o)) continue;
      const int members = std::max(1, next->zones[o].members), there = members - vanished[o];
      // The parts of those that are not there go to the others.
      target[o] = there > 0 ? wanted.at(o, r) * members / there : wanted.at(o, r);
      steady += target[o] * std::max(0, there) / members;
    }
    const double part = steady > 0 ? std::clamp((room - kept) / steady, 0.0, 1.0) : 1;
    for (std::size_t o = 0; o < n; ++o) {
      target[o] *= part;
      base[o] = target[o];  // what adds to nobody's part
      for (const Holders& group : holders) {
        if (group.there && group.zone == o && counts(o))
          base[o] = std::min(base[o], std::max(1, next->zones[o].members) * std::max(0.0, least(group, r)));
      }
    }
    const auto at_most = [&](double step) {
      double sum = kept;
      for (const Holders& group : holders) {
        if (!group.there || !counts(group.zone)) continue;
        const double grant = base[group.zone] + step * (target[group.zone] - base[group.zone]);
        sum += group.count * std::max(old(group, r), grant / std::max(1, next->zones[group.zone].members));
      }
      return sum;
    };
    double step = 1;
    if (at_most(1) > room + kTiny) {
      double low = 0, high = 1;
      for (int i = 0; i < kHalvings; ++i) (at_most((low + high) / 2) > room ? high : low) = (low + high) / 2;
      step = low;
    }
    for (std::size_t o = 0; o < n; ++o)
      next->grants.at(o, r) = counts(o) ? base[o] + step * (target[o] - base[o]) : wanted.at(o, r);
  }
}

bool Decider::Worthwhile(TimePoint now, const Decision& before, const Decision& next) const {
  if (now - written_at_ < kLeastBetween) return false;
  if (before.admitted != next.admitted || before.counted != next.counted || before.returned != next.returned)
    return true;
  double largest = 1e-9, change = 0;
  for (std::size_t z = 0; z < rules_.zones; ++z) {
    if (before.zones[z].state != next.zones[z].state || before.zones[z].members != next.zones[z].members)
      return true;
    largest = std::max({largest, before.zones[z].shown, next.zones[z].shown});
  }
  for (std::size_t o = 0; o < rules_.zones; ++o) {
    for (std::size_t r = 0; r < rules_.zones; ++r) {
      const double a = before.grants.at(o, r), b = next.grants.at(o, r);
      if ((a == kFree) != (b == kFree)) return true;
      // What is small may matter as much: a zone that earns from little.
      const double scale = std::max({a, b, kTrial * largest});
      change = std::max(change, std::abs(a - b) / (0.5 * largest + 0.5 * scale));
    }
  }
  return change > kLargeChange || (change > kSmallChange && now - written_at_ > kRestless);
}

// What clients ask of each zone's members. Of those that vanished nobody knows whether they died, and their
// clients went to others of the zone, or are deaf and go on: so no less than was asked while all were there,
// as far as they account for it.
std::vector<double> Decider::Demand(const Snapshot& snapshot) {
  std::vector<double> live(rules_.zones), gone(rules_.zones);
  for (const Word& word : snapshot.words)
    live[static_cast<std::size_t>(word.evidence.zone)] += word.evidence.demand;
  for (const Gone& one : gone_) gone[static_cast<std::size_t>(one.zone)] += one.demand;
  for (std::size_t z = 0; z < rules_.zones; ++z) {
    if (gone[z] <= 0) cases_[z].asked = live[z];
    live[z] = std::max(live[z], std::min(live[z] + gone[z], cases_[z].asked));
  }
  return live;
}

// A zone of which nothing is known yet, since nobody had cause to send there: a part of what its converters
// would do if they were like the others', or a part of what is asked in all. From there on it earns.
void Decider::GiveFirstRoom(const Snapshot& snapshot) {
  std::vector<double> each;
  double warm = 0, demand = 0;
  for (const Case& zone : cases_) {
    if (zone.shown > 0 && zone.of_warm >= 0.5) each.push_back(zone.shown / zone.of_warm);
    warm += zone.warm;
  }
  for (const Word& word : snapshot.words) demand += word.evidence.demand;
  std::sort(each.begin(), each.end());
  const double like =
      each.empty() ? (warm > 0 ? kFirstOfDemand * demand / warm : 0) : kFirstOfLike * each[each.size() / 2];
  for (Case& zone : cases_) {
    if (zone.state != ZoneState::kSound || zone.shown >= like * zone.warm) continue;
    zone.shown = like * zone.warm;
    zone.of_warm = zone.warm;
    zone.each = like;
    zone.limit = std::max(zone.limit, zone.shown);
  }
}

std::optional<Decision> Decider::Decide(TimePoint now, const Snapshot& snapshot, const std::string& self) {
  if (!started_) Start(now, snapshot);
  Follow(now, snapshot);
  // Another's word, such as one restored from a backup, is as good as the newest: its grants may be in force.
  if (snapshot.decision) {
    Matrix slices = SlicesOf(*snapshot.decision);
    if (history_.empty() || history_.back().epoch != snapshot.decision->epoch ||
        !(history_.back().slices == slices))
      history_.push_back({snapshot.decision->epoch, std::move(slices), snapshot.decision->standby});
  }
  while (history_.size() > kMostEpochs) Fold();
  std::uint64_t oldest = snapshot.decision ? snapshot.decision->epoch : 0;
  if (snapshot.decision) {
    for (const Holders& group : Hold(now, snapshot, *snapshot.decision))
      oldest = std::min(oldest, group.since);  // of one that has nothing yet it is the largest there is
  }
  while (history_.size() > 1 && history_.front().epoch < oldest && history_[1].epoch <= oldest)
    history_.pop_front(), folded_ = false;
  const std::vector<Seen> seen = Look(now, snapshot);
  for (std::size_t z = 0; z < rules_.zones; ++z)
    Judge(now, z, seen[z], z < snapshot.evacuated.size() ? snapshot.evacuated[z] : std::string());
  const double elapsed = looked_at_ == TimePoint{} ? 0 : (now - looked_at_).count();
  looked_at_ = now;
  GiveFirstRoom(snapshot);

  Decision next = snapshot.decision.value_or(Decision{});
  if (!snapshot.decision) {
    next.zones.resize(rules_.zones);
    next.grants = next.ceiling = next.standby = Matrix(rules_.zones);
  }
  const Decision before = next;
  next.decider = self;
  // Beyond every epoch that anybody has gone by: a record from a backup may be older.
  for (const Word& word : snapshot.words) next.epoch = std::max(next.epoch, word.evidence.epoch);
  ++next.epoch;
  // A fleet that starts: those that are not there yet send to their own zones, and are in nobody's demand.
  if (began_ == TimePoint{}) began_ = now;
  const bool starting = before.admitted == 0 && now - began_ < kStart;
  if (snapshot.decision && counted_epoch_ <= oldest && !starting) next.admitted = before.counted;
  bool fresh = !snapshot.decision;
  for (const Word& word : snapshot.words) fresh |= word.created > before.counted;
  if (fresh) next.counted = snapshot.revision;
  next.returned.clear();
  for (const Word& word : snapshot.words) {
    if (word.created <= next.admitted) continue;
    const Decision::Returned one{word.member, word.created};
    const bool before_too =
        std::find(before.returned.begin(), before.returned.end(), one) != before.returned.end();
    if (before_too || lives_.at({word.member, word.created}).inherits) next.returned.push_back(one);
  }
  const std::vector<double> demand = Demand(snapshot);
  for (std::size_t z = 0; z < rules_.zones; ++z)
    cases_[z].peak = std::max(demand[z], cases_[z].peak * std::exp2(-elapsed / kPeakMemory.count()));
  std::vector<int> members(rules_.zones);
  for (const Word& word : snapshot.words) ++members[static_cast<std::size_t>(word.evidence.zone)];
  std::vector<int> lost(rules_.zones);
  for (const Gone& gone : gone_) ++(now < gone.until ? members : lost)[static_cast<std::size_t>(gone.zone)];
  next.roll.clear();
  for (const Word& word : snapshot.words) next.roll.push_back({word.member, word.evidence.zone});
  for (const Gone& gone : gone_) {
    if (now < gone.until) next.roll.push_back({gone.member, gone.zone});
  }
  for (std::size_t z = 0; z < rules_.zones; ++z) {
    Decision::Zone& zone = next.zones[z];
    zone.members = members[z];
    zone.lost = lost[z];
    zone.state = cases_[z].state;
    zone.shown = cases_[z].shown;
    zone.limit = cases_[z].limit;
    zone.carried = seen[z].served;
    zone.demand = demand[z];
    zone.why = cases_[z].why;
  }
  Allocate(demand, Hold(now, snapshot, next), &next);
  if (next.admitted != before.admitted || next.returned != before.returned) {
    // Who comes to a part that others use meanwhile would have all of its zone fall back for a moment: it
    // waits until they have made room, which they do by what is decided without it, but not for long.
    Decision without = next;
    without.admitted = before.admitted;
    std::erase_if(without.returned, [&](const Decision::Returned& one) {
      return std::find(before.returned.begin(), before.returned.end(), one) == before.returned.end();
    });
    Allocate(demand, Hold(now, snapshot, without), &without);
    if (waits_since_ == TimePoint{}) waits_since_ = now;
    if (FallsBack(without, next) && now - waits_since_ < kLongestWait) {
      next = std::move(without);
    } else {
      waits_since_ = TimePoint{};
    }
  }
  if (snapshot.decision && !Worthwhile(now, before, next)) return std::nullopt;
  // With the grants to be written, for a successor that knows no epoch before them.
  history_.push_back({next.epoch, SlicesOf(next), next.standby});
  next.ceiling = Ceiling();
  history_.pop_back();
  if (fresh) counted_epoch_ = next.epoch;
  written_at_ = now;
  return next;
}

}  // namespace badgerbridge::regions
