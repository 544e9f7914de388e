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
constexpr double kFellShort = 0.75;  // of what it has shown: slow at less is no crowd, but a fault
constexpr double kCrowded = 0.6;     // of the aim
constexpr double kQuick = 0.45;      // of the aim
constexpr double kCut = 0.8, kGrow = 1.2, kEarn = 1.5;
constexpr double kTrial = 0.02;      // of what it has shown, for a zone that fails
constexpr double kFirstStep = 0.08;  // of a zone that returns
constexpr double kShare = 0.97;      // of what its converters say that they can do
constexpr double kBeyond = 1.25;     // of the most that it has done, where they say nothing
constexpr double kFewUsed = 0.15;    // below, how busy they are tells little of what they can do
constexpr double kShownGain = 0.15;
constexpr Duration kShownMemory{600000};  // half-life of the most that a zone has done
constexpr Duration kWell{1000};           // for a limping zone to count as well
constexpr Duration kRelapseMemory{30000};
constexpr double kFirstOfLike = 0.2;    // of what another zone's converters have shown, each
constexpr double kFirstOfDemand = 0.1;  // where none has shown anything
constexpr double kMargin = 1.03;        // over what is asked, for chance
constexpr double kOptional = 0.5;       // of the room left over, for all: the rest waits for a fault
constexpr double kPairTrial = 0.01;     // of its limit, for a zone that fails its own members alone
constexpr Duration kFirstShut{5000}, kLongestShut{80000};  // a zone to an origin that it fails
constexpr Duration kLeastBetween{150};                     // two decisions
constexpr Duration kRestless{2000};                        // small changes wait for so long
constexpr double kLargeChange = 0.1, kSmallChange = 0.02;  // of the largest limit
constexpr int kSlices = 50;  // of what is asked, in which room is given away in turn

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
  Begin(TimePoint{});
}

void Decider::Begin(TimePoint now) {
  started_ = false;
  unknown_until_ = now + rules_.hold * (1 + 2 * rules_.drift);
  written_at_ = looked_at_ = TimePoint{};
  cases_.assign(rules_.zones, Case{});
  pairs_.assign(rules_.zones, std::vector<Pair>(rules_.zones));
  lives_.clear();
  gone_.clear();
  history_.clear();
}

void Decider::Start(TimePoint now, const Snapshot& snapshot) {
  started_ = true;
  if (!snapshot.decision) {
    unknown_until_ = now;  // nobody can go by what never was
    return;
  }
  const Decision& d = *snapshot.decision;
  history_.push_back({0, d.ceiling, d.standby});
  history_.push_back({d.epoch, d.grants, d.standby});
  counted_epoch_ = d.epoch;
  for (std::size_t z = 0; z < rules_.zones; ++z) {
    cases_[z].state = d.zones[z].state;
    cases_[z].shown = d.zones[z].shown;
    cases_[z].limit = d.zones[z].limit;
    cases_[z].why = d.zones[z].why;
    cases_[z].stepped = now;
    cases_[z].asked = d.zones[z].demand;
    // Those that the last decider had counted, or knew to be lost, and that are not there.
    int missing = d.zones[z].members + d.zones[z].lost;
    for (const Word& word : snapshot.words)
      missing -= static_cast<std::size_t>(word.evidence.zone) == z && word.created <= d.counted;
    for (int i = 0; i < missing; ++i)
      gone_.push_back({"", static_cast<int>(z), 0, d.zones[z].demand, unknown_until_,
                       now + rules_.forget * (1 + 2 * rules_.drift), StandbyOf(static_cast<int>(z))});
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
  for (const Word& word : snapshot.words)
    lives[{word.member, word.created}] = {word.evidence.zone, word.evidence.epoch, word.evidence.demand};
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

std::uint64_t Decider::OldestInForce(TimePoint now, const Snapshot& snapshot) const {
  if (!snapshot.decision) return 0;
  if (now < unknown_until_) return 0;
  std::uint64_t oldest = snapshot.decision->epoch;
  for (const Word& word : snapshot.words) {
    if (word.created <= snapshot.decision->admitted) oldest = std::min(oldest, word.evidence.epoch);
  }
  for (const Gone& gone : gone_) {
    if (now < gone.until) oldest = std::min(oldest, gone.epoch);
  }
  return oldest;
}

Matrix Decider::Ceiling() const {
  Matrix ceiling(rules_.zones);
  for (const Past& past : history_) {
    for (std::size_t o = 0; o < rules_.zones; ++o) {
      for (std::size_t r = 0; r < rules_.zones; ++r) {
        double& most = ceiling.at(o, r);
        const double one = past.grants.at(o, r);
        if (most == kFree || one == kFree) {
          most = kFree;
        } else {
          most = std::max(most, one);
        }
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
      const bool is_slow = pair.timed > 0 && pair.slow > kSlow * pair.timed;
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
  zone->of_warm = std::max(seen.warm, 1e-9);
  if (seen.used >= kFewUsed && seen.attempts >= kEnough) {
    // What the deaf send keeps the zone busy too, and is in nobody's word.
    const double full = std::max(seen.served / seen.used, gone_.empty() ? 0 : zone->shown);
    zone->shown += zone->shown == 0 ? full : kShownGain * (full - zone->shown);
  } else if (seen.used < 0) {
    zone->shown = std::max(zone->shown * std::exp2(-elapsed / kShownMemory.count()), seen.served);
  } else {
    zone->shown = std::max(zone->shown, seen.served);
  }
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
  const bool fails = by_several(seen.failing);
  const bool slow = by_several(seen.slow_at) && (zone.shown <= 0 || seen.served < kFellShort * zone.shown);
  const bool quick = seen.words > 0 && seen.failing == 0 && seen.slow < kNotSlow;
  if (!quick) zone.well = false;
  if (quick && !std::exchange(zone.well, true)) zone.well_since = now;
  const auto enter = [&](ZoneState state, double limit, std::string why) {
    if (zone.state == ZoneState::kReturning || zone.state == state) zone.relapses += zone.state != state;
    zone.state = state;
    zone.limit = limit;
    zone.stepped = now;
    zone.why = std::move(why);
  };
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
      if (!may_step || seen.attempts < kEnough) return;
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
      if (by_several(seen.slow_at))
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

void Decider::Allocate(const std::vector<double>& demand, const Matrix& ceiling, Decision* next) {
  const std::size_t n = rules_.zones;
  std::vector<double> room(n), want(n), home(n);
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
    home[z] = std::min(kMargin * demand[z], limit);
    wanted.at(z, z) = free[z] ? kFree : home[z];
    room[z] = zone.state == ZoneState::kSound ? std::max(0.0, able - home[z] - kept[z]) : 0;
    want[z] = std::max(0.0, kMargin * demand[z] - home[z]);
  }
  const Matrix given = Spread(want, &room);
  // For the loss of one zone while nobody can decide: what is left has room for that zone's work.
  std::vector<double> rest = room;
  Matrix standby(n);
  for (std::size_t o = 0; o < n; ++o) {
    std::vector<double> one(n);
    one[o] = kMargin * demand[o];
    std::vector<double> left = rest;
    const Matrix spread = Spread(one, &left);
    for (std::size_t r = 0; r < n; ++r) standby.at(o, r) = spread.at(o, r);
  }
  const double all = std::accumulate(demand.begin(), demand.end(), 0.0);
  for (std::size_t r = 0; r < n; ++r) {
    for (std::size_t o = 0; o < n; ++o) {
      if (o == r) continue;
      double grant = given.at(o, r);
      if (all > demand[r]) grant += kOptional * room[r] * demand[o] / (all - demand[r]);
      if (pairs_[o][r].shut) grant = 0;
      if (cases_[r].state != ZoneState::kSound) grant = 0;
      wanted.at(o, r) = grant;
    }
  }
  // Grow only into what nothing that may be in force gives away.
  next->grants = Matrix(n);
  for (std::size_t r = 0; r < n; ++r) {
    double taken = free[r] || ceiling.at(r, r) == kFree ? home[r] : 0, more = 0;
    for (std::size_t o = 0; o < n; ++o) {
      const double most = ceiling.at(o, r);
      if (wanted.at(o, r) == kFree || most == kFree) continue;
      taken += most;
      more += std::max(0.0, wanted.at(o, r) - most);
    }
    const double able = std::min(cases_[r].limit, kBeyond * Able(cases_[r]));
    const double avail = std::max(0.0, able - kept[r] - taken);
    const double part = more > 0 ? std::min(1.0, avail / more) : 1;
    for (std::size_t o = 0; o < n; ++o) {
      const double most = ceiling.at(o, r), wish = wanted.at(o, r);
      next->grants.at(o, r) =
          wish == kFree || most == kFree || wish <= most ? wish : most + part * (wish - most);
    }
  }
  next->standby = std::move(standby);
}

bool Decider::Worthwhile(TimePoint now, const Decision& before, const Decision& next) const {
  if (now - written_at_ < kLeastBetween) return false;
  if (before.admitted != next.admitted || before.counted != next.counted) return true;
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
    zone.limit = std::max(zone.limit, zone.shown);
  }
}

std::optional<Decision> Decider::Decide(TimePoint now, const Snapshot& snapshot, const std::string& self) {
  if (!started_) Start(now, snapshot);
  Follow(now, snapshot);
  // Another's word, such as one restored from a backup, is as good as the newest: its grants may be in force.
  if (snapshot.decision && (history_.empty() || history_.back().epoch != snapshot.decision->epoch ||
                            !(history_.back().grants == snapshot.decision->grants)))
    history_.push_back({snapshot.decision->epoch, snapshot.decision->grants, snapshot.decision->standby});
  const std::uint64_t oldest = OldestInForce(now, snapshot);
  while (history_.size() > 1 && history_.front().epoch < oldest && history_[1].epoch <= oldest)
    history_.pop_front();
  const std::vector<Seen> seen = Look(now, snapshot);
  for (std::size_t z = 0; z < rules_.zones; ++z)
    Judge(now, z, seen[z], z < snapshot.evacuated.size() ? snapshot.evacuated[z] : std::string());
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
  if (snapshot.decision && counted_epoch_ <= oldest) next.admitted = before.counted;
  bool fresh = !snapshot.decision;
  for (const Word& word : snapshot.words) fresh |= word.created > before.counted;
  if (fresh) next.counted = snapshot.revision;
  const std::vector<double> demand = Demand(snapshot);
  std::vector<int> members(rules_.zones);
  for (const Word& word : snapshot.words) ++members[static_cast<std::size_t>(word.evidence.zone)];
  std::vector<int> lost(rules_.zones);
  for (const Gone& gone : gone_) ++(now < gone.until ? members : lost)[static_cast<std::size_t>(gone.zone)];
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
  const Matrix ceiling = Ceiling();
  Allocate(demand, ceiling, &next);
  if (snapshot.decision && !Worthwhile(now, before, next)) return std::nullopt;
  // With the grants to be written, for a successor that knows no epoch before them.
  history_.push_back({next.epoch, next.grants, next.standby});
  next.ceiling = Ceiling();
  history_.pop_back();
  if (fresh) counted_epoch_ = next.epoch;
  written_at_ = now;
  return next;
}

}  // namespace badgerbridge::regions
