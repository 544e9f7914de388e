// SPDX-License-Identifier: Apache-2.0
//
// What the decider gives: the grants and the standby that follow from demand, the zones' states and limits,
// and what members may still go by.
#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "zone_failover/decider.h"
#include "zone_failover/decider_internal.h"

namespace badgerbridge::zone_failover {

namespace {

constexpr double kOptional = 0.9;       // of the room left over, for all: the rest stands by
constexpr double kPairTrial = 0.01;     // of its limit, for a zone that fails its own members alone
constexpr Duration kLeastBetween{150};  // two decisions
constexpr Duration kRestless{2000};     // small changes wait for so long
constexpr double kLargeChange = 0.1, kSmallChange = 0.02;  // of the largest limit
constexpr double kDip = 0.9;  // of what was asked lately: less is not believed at once
constexpr int kHalvings = 30;
constexpr double kTiny = 1e-9;
constexpr double kFallBack = 0.5;
constexpr int kSlices = 50;  // of what is asked, in which room is given away in turn

// The part of the room left over at `r` that members of `o` may use; `all` is the sum of `demand`.
double Optional(const std::vector<double>& demand, double all, const std::vector<double>& room, std::size_t o,
                std::size_t r) {
  return o != r && all > demand[r] ? kOptional * room[r] * demand[o] / (all - demand[r]) : 0.0;
}

}  // namespace

// Of each zone, before anything is given to others.
struct Decider::Needs {
  explicit Needs(std::size_t zones)
      : room(zones), want(zones), home(zones), home_most(zones), wanted(zones) {}
  std::vector<double> room;       // for others
  std::vector<double> want;       // of others
  std::vector<double> home;       // of its own
  std::vector<double> home_most;  // while some of its members may still send home as they like
  Matrix wanted;                  // on the diagonal: of its own
};

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

// By receiver. Those that lost touch may go by their standby: of one zone's members, since standby is for the
// loss of one.
std::vector<double> Decider::KeptByLost(const Decision& next) const {
  const std::size_t n = rules_.zones;
  std::vector<double> kept(n);
  Matrix deaf(n);
  for (const LostMember& gone : lost_members_) {
    const auto o = static_cast<std::size_t>(gone.zone);
    for (std::size_t r = 0; r < n; ++r) {
      double& sum = deaf.at(o, r);
      sum = std::min(gone.standby[r],
                     sum + gone.standby[r] / std::max(1, next.zones[o].members + next.zones[o].lost));
      kept[r] = std::max(kept[r], sum);
    }
  }
  return kept;
}

Decider::Needs Decider::NeedsOf(const std::vector<double>& demand, const std::vector<double>& kept) const {
  const std::size_t n = rules_.zones;
  Needs needs(n);
  for (std::size_t z = 0; z < n; ++z) {
    const ZoneStatus& zone = zones_[z];
    const bool free = zone.state == ZoneState::kSound && !pairs_[z][z].shut;
    const double able = std::min(zone.limit, std::max(Capacity(zone) * kBeyond, 0.0));
    const double limit = pairs_[z][z].shut ? kPairTrial * able : able;
    needs.home[z] = std::min(demand[z], limit);
    // Who was stopped for a moment says for a second that it is asked for little.
    const double peak = zones_[z].peak;
    needs.home_most[z] = std::min(demand[z] < kDip * peak ? peak : demand[z], able);
    needs.wanted.at(z, z) = free ? kFree : needs.home[z];
    needs.room[z] = zone.state == ZoneState::kSound ? std::max(0.0, able - needs.home_most[z] - kept[z]) : 0;
    needs.want[z] = std::max(0.0, demand[z] - needs.home[z]);
  }
  return needs;
}

// For the loss of one zone while nobody can decide: what is left beside what the others may go on to use.
Matrix Decider::Standby(const std::vector<double>& demand, double all,
                        const std::vector<double>& room) const {
  const std::size_t n = rules_.zones;
  Matrix standby(n);
  for (std::size_t o = 0; o < n; ++o) {
    std::vector<double> one(n);
    one[o] = demand[o];
    std::vector<double> left = room;
    for (std::size_t r = 0; r < n; ++r) {
      for (std::size_t other = 0; other < n; ++other)
        left[r] -= other != o ? Optional(demand, all, room, other, r) : 0;
    }
    const Matrix spread = Spread(one, &left);
    for (std::size_t r = 0; r < n; ++r) standby.at(o, r) = spread.at(o, r);
  }
  return standby;
}

void Decider::Allocate(const std::vector<double>& demand, const std::vector<HolderGroup>& holders,
                       Decision* next) {
  const std::size_t n = rules_.zones;
  const std::vector<double> kept = KeptByLost(*next);
  Needs needs = NeedsOf(demand, kept);
  const Matrix given = Spread(needs.want, &needs.room);
  const double all = std::accumulate(demand.begin(), demand.end(), 0.0);
  for (std::size_t r = 0; r < n; ++r) {
    for (std::size_t o = 0; o < n; ++o) {
      if (o == r) continue;
      double grant = given.at(o, r) + Optional(demand, all, needs.room, o, r);
      if (pairs_[o][r].shut) grant = 0;
      if (zones_[r].state != ZoneState::kSound) grant = 0;
      needs.wanted.at(o, r) = grant;
    }
  }
  // A zone that is not sound would keep back, for those that have lost touch, all that it may be tried with.
  std::vector<double> most(n);
  for (std::size_t r = 0; r < n; ++r)
    most[r] = std::max(0.0, std::min(zones_[r].limit, kBeyond * Capacity(zones_[r])) -
                                (zones_[r].state == ZoneState::kSound ? kept[r] : 0));
  next->standby = Standby(demand, all, needs.room);
  Grow(needs.wanted, needs.home_most, most, holders, next);
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
                   const std::vector<HolderGroup>& holders, Decision* next) const {
  const std::size_t n = rules_.zones;
  const std::vector<Matrix> since = MostSince();
  std::vector<int> vanished(n);
  for (const HolderGroup& group : holders) {
    if (!group.there) vanished[group.zone] += group.count;
  }
  next->grants = Matrix(n);
  for (std::size_t r = 0; r < n; ++r) GrowAt(r, wanted, home[r], most[r], since, holders, vanished, next);
}

// At one receiver. `vanished` are, by origin, the holders that are not there.
void Decider::GrowAt(std::size_t r, const Matrix& wanted, double home, double most,
                     const std::vector<Matrix>& since, const std::vector<HolderGroup>& holders,
                     const std::vector<int>& vanished, Decision* next) const {
  const std::size_t n = rules_.zones;
  const auto old = [&](const HolderGroup& group) { return MostOf(since, group, r); };
  bool home_free = wanted.at(r, r) == kFree;
  for (const HolderGroup& group : holders) home_free |= group.zone == r && old(group) == kFree;
  const double room = most - (home_free ? home : 0);
  const auto counts = [&](std::size_t o) { return o != r || !home_free; };
  // What those keep that are not there any more.
  double kept = 0, steady = 0;
  for (const HolderGroup& group : holders) {
    if (!group.there && counts(group.zone)) kept += group.count * old(group);
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
    for (const HolderGroup& group : holders) {
      if (group.there && group.zone == o && counts(o))
        base[o] =
            std::min(base[o], std::max(1, next->zones[o].members) * std::max(0.0, LeastOf(since, group, r)));
    }
  }
  const auto at_most = [&](double step) {
    double sum = kept;
    for (const HolderGroup& group : holders) {
      if (!group.there || !counts(group.zone)) continue;
      const double grant = base[group.zone] + step * (target[group.zone] - base[group.zone]);
      sum += group.count * std::max(old(group), grant / std::max(1, next->zones[group.zone].members));
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

}  // namespace badgerbridge::zone_failover
