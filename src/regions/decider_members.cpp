// SPDX-License-Identifier: Apache-2.0
//
// The decider's account of members: who is there, who has vanished and may go by what was granted before, and
// what clients ask of them.
#include <algorithm>
#include <map>
#include <set>

#include "regions/decider.h"
#include "regions/decider_internal.h"

namespace badgerbridge::regions {

// At the start: those that the last decider had counted, or knew to be lost, and that are not there.
void Decider::CountVanished(TimePoint now, const Snapshot& snapshot) {
  const Decision& d = *snapshot.decision;
  std::set<std::string> there;  // in the life that was counted
  for (const Word& word : snapshot.words) {
    if (word.created <= d.counted) there.insert(word.member);
  }
  const auto vanished = [&](std::size_t z, const std::string& name, TimePoint until) {
    gone_.push_back({name, static_cast<int>(z), 0, d.zones[z].demand / std::max(1, d.zones[z].members), until,
                     now + rules_.forget * (1 + 2 * rules_.drift), StandbyOf(static_cast<int>(z))});
  };
  for (std::size_t z = 0; z < rules_.zones; ++z) {
    for (int i = 0; i < d.zones[z].lost; ++i) vanished(z, "", now);
    if (!d.roll.empty()) {
      for (const Decision::Counted& one : d.roll) {
        if (static_cast<std::size_t>(one.zone) == z && !there.count(one.member))
          vanished(z, one.member, now + rules_.hold * (1 + 2 * rules_.drift));
      }
      continue;
    }
    int missing = d.zones[z].members;
    for (const Word& word : snapshot.words)
      missing -= static_cast<std::size_t>(word.evidence.zone) == z && word.created <= d.counted;
    for (int i = 0; i < missing; ++i) vanished(z, "", now + rules_.hold * (1 + 2 * rules_.drift));
  }
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

}  // namespace badgerbridge::regions
