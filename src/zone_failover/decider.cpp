// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/decider.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace badgerbridge::zone_failover {

namespace {

constexpr Duration kStart{1500};
constexpr Duration kPeakMemory{5000};
constexpr Duration kLongestWait{1000};  // of who comes back, for others to make room

}  // namespace

Decider::Decider(Rules rules) : rules_(std::move(rules)) {
  for (std::size_t o = 0; o < rules_.zones; ++o) {
    std::vector<std::size_t> all(rules_.zones);
    std::iota(all.begin(), all.end(), 0);
    std::erase(all, o);
    // Where the way there and back takes half of what is wanted, help comes too late.
    std::erase_if(all,
                  [&](std::size_t r) { return rules_.round_trip.at(o, r) >= rules_.latency_objective / 2; });
    std::stable_sort(all.begin(), all.end(), [&](std::size_t a, std::size_t b) {
      return std::pair(rules_.price.at(o, a), rules_.round_trip.at(o, a)) <
             std::pair(rules_.price.at(o, b), rules_.round_trip.at(o, b));
    });
    order_.push_back(std::move(all));
  }
  Reset();
}

void Decider::Reset() {
  recovered_ = false;
  written_at_ = observed_at_ = began_ = waits_since_ = TimePoint{};
  zones_.assign(rules_.zones, ZoneStatus{});
  pairs_.assign(rules_.zones, std::vector<Pair>(rules_.zones));
  incarnations_.clear();
  lost_members_.clear();
  history_.clear();
  merged_ = false;
}

void Decider::Recover(TimePoint now, const Snapshot& snapshot) {
  recovered_ = true;
  if (!snapshot.decision) return;  // nobody can go by what never was
  const Decision& d = *snapshot.decision;
  history_.push_back({0, d.ceiling, d.standby});
  history_.push_back({d.epoch, SlicesOf(d), d.standby});
  counted_epoch_ = d.epoch;
  for (std::size_t z = 0; z < rules_.zones; ++z) {
    zones_[z].state = d.zones[z].state;
    zones_[z].shown = d.zones[z].shown;
    zones_[z].limit = d.zones[z].limit;
    zones_[z].why = d.zones[z].why;
    zones_[z].stepped = now;
    zones_[z].asked = zones_[z].peak = d.zones[z].demand;
  }
  CountVanished(now, snapshot);
}

// The decision that the next one replaces; without one, an empty one.
Decision Decider::Before(const Snapshot& snapshot) const {
  Decision before = snapshot.decision.value_or(Decision{});
  if (!snapshot.decision) {
    before.zones.resize(rules_.zones);
    before.grants = before.ceiling = before.standby = Matrix(rules_.zones);
  }
  return before;
}

// Who is counted, and who may use grants from the next epoch on. `oldest` is the oldest epoch that anybody
// may go by.
void Decider::Count(TimePoint now, const Snapshot& snapshot, const Decision& before, std::uint64_t oldest,
                    Decision* next) {
  // A fleet that starts: those that are not there yet send to their own zones, and are in nobody's demand.
  if (began_ == TimePoint{}) began_ = now;
  const bool starting = before.admitted == 0 && now - began_ < kStart;
  if (snapshot.decision && counted_epoch_ <= oldest && !starting) next->admitted = before.counted;
  if (HasNewMembers(snapshot, before)) next->counted = snapshot.revision;
  next->returned.clear();
  for (const MemberReport& report : snapshot.reports) {
    if (report.created <= next->admitted) continue;
    const Decision::Returned one{report.member, report.created};
    const bool before_too =
        std::find(before.returned.begin(), before.returned.end(), one) != before.returned.end();
    if (before_too || incarnations_.at({report.member, report.created}).inherits)
      next->returned.push_back(one);
  }
  next->roster.clear();
  for (const MemberReport& report : snapshot.reports)
    next->roster.push_back({report.member, report.evidence.zone});
  for (const LostMember& gone : lost_members_) {
    if (now < gone.until) next->roster.push_back({gone.member, gone.zone});
  }
}

bool Decider::HasNewMembers(const Snapshot& snapshot, const Decision& before) const {
  bool fresh = !snapshot.decision;
  for (const MemberReport& report : snapshot.reports) fresh |= report.created > before.counted;
  return fresh;
}

// Each zone's line of the decision.
void Decider::Describe(TimePoint now, const Snapshot& snapshot, const std::vector<Observation>& seen,
                       const std::vector<double>& demand, Decision* next) const {
  std::vector<int> members(rules_.zones);
  for (const MemberReport& report : snapshot.reports)
    ++members[static_cast<std::size_t>(report.evidence.zone)];
  std::vector<int> lost(rules_.zones);
  for (const LostMember& gone : lost_members_)
    ++(now < gone.until ? members : lost)[static_cast<std::size_t>(gone.zone)];
  for (std::size_t z = 0; z < rules_.zones; ++z) {
    Decision::Zone& zone = next->zones[z];
    zone.members = members[z];
    zone.lost = lost[z];
    zone.state = zones_[z].state;
    zone.shown = zones_[z].shown;
    zone.limit = zones_[z].limit;
    zone.carried = seen[z].served;
    zone.demand = demand[z];
    zone.why = zones_[z].why;
  }
}

// Who comes to a part that others use meanwhile would have all of its zone fall back for a moment: it waits
// until they have made room, which they do by what is decided without it, but not for long.
void Decider::AwaitRoom(TimePoint now, const Snapshot& snapshot, const Decision& before,
                        const std::vector<double>& demand, Decision* next) {
  Decision without = *next;
  without.admitted = before.admitted;
  std::erase_if(without.returned, [&](const Decision::Returned& one) {
    return std::find(before.returned.begin(), before.returned.end(), one) == before.returned.end();
  });
  Allocate(demand, HolderGroups(now, snapshot, without), &without);
  if (waits_since_ == TimePoint{}) waits_since_ = now;
  if (FallsBack(without, *next) && now - waits_since_ < kLongestWait) {
    *next = std::move(without);
  } else {
    waits_since_ = TimePoint{};
  }
}

std::optional<Decision> Decider::Decide(TimePoint now, const Snapshot& snapshot, const std::string& self) {
  if (!recovered_) Recover(now, snapshot);
  TrackMembers(now, snapshot);
  const std::uint64_t oldest = TrackEpochs(now, snapshot);
  const std::vector<Observation> seen = Observe(now, snapshot);
  for (std::size_t z = 0; z < rules_.zones; ++z)
    UpdateZone(now, z, seen[z], z < snapshot.evacuated.size() ? snapshot.evacuated[z] : std::string());
  const double elapsed = observed_at_ == TimePoint{} ? 0 : (now - observed_at_).count();
  observed_at_ = now;
  GiveFirstRoom(snapshot);

  const Decision before = Before(snapshot);
  Decision next = before;
  next.decider = self;
  // Beyond every epoch that anybody has gone by: a record from a backup may be older.
  for (const MemberReport& report : snapshot.reports)
    next.epoch = std::max(next.epoch, report.evidence.epoch);
  ++next.epoch;
  Count(now, snapshot, before, oldest, &next);
  const std::vector<double> demand = Demand(snapshot);
  for (std::size_t z = 0; z < rules_.zones; ++z)
    zones_[z].peak = std::max(demand[z], zones_[z].peak * std::exp2(-elapsed / kPeakMemory.count()));
  Describe(now, snapshot, seen, demand, &next);
  Allocate(demand, HolderGroups(now, snapshot, next), &next);
  if (next.admitted != before.admitted || next.returned != before.returned)
    AwaitRoom(now, snapshot, before, demand, &next);
  if (snapshot.decision && !Worthwhile(now, before, next)) return std::nullopt;
  next.ceiling = CeilingWith(next);
  if (HasNewMembers(snapshot, before)) counted_epoch_ = next.epoch;
  written_at_ = now;
  return next;
}

}  // namespace badgerbridge::zone_failover
