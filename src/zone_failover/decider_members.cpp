// SPDX-License-Identifier: Apache-2.0
//
// The decider's account of members: who is there, who has vanished and may go by what was granted before, and
// what clients ask of them.
#include <algorithm>
#include <map>
#include <set>

#include "zone_failover/decider.h"
#include "zone_failover/decider_internal.h"

namespace badgerbridge::zone_failover {

// At the start: those that the last decider had counted, or knew to be lost, and that are not there.
void Decider::CountVanished(TimePoint now, const Snapshot& snapshot) {
  const Decision& d = *snapshot.decision;
  std::set<std::string> there;  // in the life that was counted
  for (const MemberReport& report : snapshot.reports) {
    if (report.created <= d.counted) there.insert(report.member);
  }
  const auto vanished = [&](std::size_t z, const std::string& name, TimePoint until) {
    lost_members_.push_back({name, static_cast<int>(z), 0,
                             d.zones[z].demand / std::max(1, d.zones[z].members), until,
                             now + rules_.forget * (1 + 2 * rules_.drift), StandbyOf(static_cast<int>(z))});
  };
  for (std::size_t z = 0; z < rules_.zones; ++z) {
    for (int i = 0; i < d.zones[z].lost; ++i) vanished(z, "", now);
    if (!d.roster.empty()) {
      for (const Decision::Counted& one : d.roster) {
        if (static_cast<std::size_t>(one.zone) == z && !there.count(one.member))
          vanished(z, one.member, now + rules_.hold * (1 + 2 * rules_.drift));
      }
      continue;
    }
    int missing = d.zones[z].members;
    for (const MemberReport& report : snapshot.reports)
      missing -= static_cast<std::size_t>(report.evidence.zone) == z && report.created <= d.counted;
    for (int i = 0; i < missing; ++i) vanished(z, "", now + rules_.hold * (1 + 2 * rules_.drift));
  }
}

// Who is there, and who has vanished since the last look.
void Decider::TrackMembers(TimePoint now, const Snapshot& snapshot) {
  std::map<std::pair<std::string, std::int64_t>, Incarnation> incarnations;
  std::set<std::string> counted;  // names whose part is kept: of who vanished, or came back unseen
  for (const auto& [who, incarnation] : incarnations_) counted.insert(who.first);
  for (const LostMember& gone : lost_members_) {
    if (now < gone.until) counted.insert(gone.member);
  }
  for (const MemberReport& report : snapshot.reports) {
    const auto known = incarnations_.find({report.member, report.created});
    Incarnation incarnation{
        report.evidence.zone, report.evidence.epoch, report.evidence.demand,
        known != incarnations_.end() ? known->second.inherits : counted.count(report.member) > 0,
        known != incarnations_.end() ? known->second.admitted_at : 0};
    if (incarnation.admitted_at == 0 && snapshot.decision && Admits(*snapshot.decision, report))
      incarnation.admitted_at = known != incarnations_.end() ? snapshot.decision->epoch : 1;
    incarnations[{report.member, report.created}] = incarnation;
  }
  for (const auto& [who, incarnation] : incarnations_) {
    if (!incarnations.count(who))
      lost_members_.push_back({who.first, incarnation.zone, incarnation.epoch, incarnation.demand,
                               now + rules_.hold * (1 + 2 * rules_.drift),
                               now + rules_.forget * (1 + 2 * rules_.drift), StandbyOf(incarnation.zone)});
  }
  // Who is back goes by what is decided, in this life or the next.
  std::set<std::string> names;
  for (const auto& [who, incarnation] : incarnations) names.insert(who.first);
  incarnations_ = std::move(incarnations);
  std::erase_if(lost_members_, [&](const LostMember& gone) {
    return now >= gone.forgotten || (!gone.member.empty() && names.count(gone.member));
  });
}

bool Decider::Admits(const Decision& decision, const MemberReport& report) {
  return report.created <= decision.admitted ||
         std::find(decision.returned.begin(), decision.returned.end(),
                   Decision::Returned{report.member, report.created}) != decision.returned.end();
}

std::vector<Decider::HolderGroup> Decider::HolderGroups(TimePoint now, const Snapshot& snapshot,
                                                        const Decision& next) const {
  std::vector<HolderGroup> all;
  const auto add = [&](int zone, std::uint64_t since, bool there, bool sure) {
    const auto same = std::find_if(all.begin(), all.end(), [&](const HolderGroup& group) {
      return group.zone == static_cast<std::size_t>(zone) && group.since == since && group.there == there &&
             group.sure == sure;
    });
    if (same != all.end()) {
      ++same->count;
    } else {
      all.push_back({static_cast<std::size_t>(zone), since, there, sure, 1});
    }
  };
  for (const MemberReport& report : snapshot.reports) {
    const auto found = incarnations_.find({report.member, report.created});
    const Incarnation incarnation = found == incarnations_.end() ? Incarnation{} : found->second;
    // Who comes back in the same process goes by what it was granted before; then it knows an epoch.
    const bool before = incarnation.inherits &&
                        report.evidence.epoch < std::max<std::uint64_t>(1, incarnation.admitted_at) &&
                        report.evidence.epoch > 0;
    const bool maybe = incarnation.inherits && incarnation.admitted_at == 0 && report.evidence.epoch > 0;
    if (!Admits(next, report) && !maybe) continue;
    // What was granted before it was admitted was never its own.
    const bool nothing = incarnation.admitted_at == 0 && !maybe;
    const std::uint64_t since = nothing           ? kNothingYet
                                : before || maybe ? report.evidence.epoch
                                                  : std::max(incarnation.admitted_at, report.evidence.epoch);
    add(report.evidence.zone, since, true, !before && !maybe);
  }
  for (const LostMember& gone : lost_members_) {
    if (now < gone.until) add(gone.zone, gone.epoch, false, false);
  }
  return all;
}

// What clients ask of each zone's members. Of those that vanished nobody knows whether they died, and their
// clients went to others of the zone, or are deaf and go on: so no less than was asked while all were there,
// as far as they account for it.
std::vector<double> Decider::Demand(const Snapshot& snapshot) {
  std::vector<double> live(rules_.zones), gone(rules_.zones);
  for (const MemberReport& report : snapshot.reports)
    live[static_cast<std::size_t>(report.evidence.zone)] += report.evidence.demand;
  for (const LostMember& one : lost_members_) gone[static_cast<std::size_t>(one.zone)] += one.demand;
  for (std::size_t z = 0; z < rules_.zones; ++z) {
    if (gone[z] <= 0) zones_[z].asked = live[z];
    live[z] = std::max(live[z], std::min(live[z] + gone[z], zones_[z].asked));
  }
  return live;
}

}  // namespace badgerbridge::zone_failover
