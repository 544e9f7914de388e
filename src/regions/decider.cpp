// SPDX-License-Identifier: Apache-2.0
#include "regions/decider.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace badgerbridge::regions {

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
  for (std::size_t z = 0; z < rules_.zones; ++z) {
    cases_[z].state = d.zones[z].state;
    cases_[z].shown = d.zones[z].shown;
    cases_[z].limit = d.zones[z].limit;
    cases_[z].why = d.zones[z].why;
    cases_[z].stepped = now;
    cases_[z].asked = cases_[z].peak = d.zones[z].demand;
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
  for (const Word& word : snapshot.words) {
    if (word.created <= next->admitted) continue;
    const Decision::Returned one{word.member, word.created};
    const bool before_too =
        std::find(before.returned.begin(), before.returned.end(), one) != before.returned.end();
    if (before_too || lives_.at({word.member, word.created}).inherits) next->returned.push_back(one);
  }
  next->roll.clear();
  for (const Word& word : snapshot.words) next->roll.push_back({word.member, word.evidence.zone});
  for (const Gone& gone : gone_) {
    if (now < gone.until) next->roll.push_back({gone.member, gone.zone});
  }
}

bool Decider::HasNewMembers(const Snapshot& snapshot, const Decision& before) const {
  bool fresh = !snapshot.decision;
  for (const Word& word : snapshot.words) fresh |= word.created > before.counted;
  return fresh;
}

// Each zone's line of the decision.
void Decider::Describe(TimePoint now, const Snapshot& snapshot, const std::vector<Seen>& seen,
                       const std::vector<double>& demand, Decision* next) const {
  std::vector<int> members(rules_.zones);
  for (const Word& word : snapshot.words) ++members[static_cast<std::size_t>(word.evidence.zone)];
  std::vector<int> lost(rules_.zones);
  for (const Gone& gone : gone_) ++(now < gone.until ? members : lost)[static_cast<std::size_t>(gone.zone)];
  for (std::size_t z = 0; z < rules_.zones; ++z) {
    Decision::Zone& zone = next->zones[z];
    zone.members = members[z];
    zone.lost = lost[z];
    zone.state = cases_[z].state;
    zone.shown = cases_[z].shown;
    zone.limit = cases_[z].limit;
    zone.carried = seen[z].served;
    zone.demand = demand[z];
    zone.why = cases_[z].why;
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
  Allocate(demand, Hold(now, snapshot, without), &without);
  if (waits_since_ == TimePoint{}) waits_since_ = now;
  if (FallsBack(without, *next) && now - waits_since_ < kLongestWait) {
    *next = std::move(without);
  } else {
    waits_since_ = TimePoint{};
  }
}

std::optional<Decision> Decider::Decide(TimePoint now, const Snapshot& snapshot, const std::string& self) {
  if (!started_) Start(now, snapshot);
  Follow(now, snapshot);
  const std::uint64_t oldest = FollowEpochs(now, snapshot);
  const std::vector<Seen> seen = Look(now, snapshot);
  for (std::size_t z = 0; z < rules_.zones; ++z)
    Judge(now, z, seen[z], z < snapshot.evacuated.size() ? snapshot.evacuated[z] : std::string());
  const double elapsed = looked_at_ == TimePoint{} ? 0 : (now - looked_at_).count();
  looked_at_ = now;
  GiveFirstRoom(snapshot);

  const Decision before = Before(snapshot);
  Decision next = before;
  next.decider = self;
  // Beyond every epoch that anybody has gone by: a record from a backup may be older.
  for (const Word& word : snapshot.words) next.epoch = std::max(next.epoch, word.evidence.epoch);
  ++next.epoch;
  Count(now, snapshot, before, oldest, &next);
  const std::vector<double> demand = Demand(snapshot);
  for (std::size_t z = 0; z < rules_.zones; ++z)
    cases_[z].peak = std::max(demand[z], cases_[z].peak * std::exp2(-elapsed / kPeakMemory.count()));
  Describe(now, snapshot, seen, demand, &next);
  Allocate(demand, Hold(now, snapshot, next), &next);
  if (next.admitted != before.admitted || next.returned != before.returned)
    AwaitRoom(now, snapshot, before, demand, &next);
  if (snapshot.decision && !Worthwhile(now, before, next)) return std::nullopt;
  next.ceiling = CeilingWith(next);
  if (HasNewMembers(snapshot, before)) counted_epoch_ = next.epoch;
  written_at_ = now;
  return next;
}

}  // namespace badgerbridge::regions
