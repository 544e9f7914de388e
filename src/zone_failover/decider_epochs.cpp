// SPDX-License-Identifier: Apache-2.0
//
// The epochs that may still be in force: what each gives one member, kept apart as long as somebody may go by
// it.
#include <algorithm>
#include <utility>

#include "zone_failover/decider.h"
#include "zone_failover/decider_internal.h"

namespace badgerbridge::zone_failover {

namespace {

constexpr std::size_t kMostEpochs = 64;  // kept apart: a member that never confirms must not make it grow

}  // namespace

// Takes in the snapshot's decision and forgets epochs that nobody may go by. Returns the oldest that somebody
// may.
std::uint64_t Decider::TrackEpochs(TimePoint now, const Snapshot& snapshot) {
  // Another's word, such as one restored from a backup, is as good as the newest: its grants may be in force.
  if (snapshot.decision) {
    Matrix slices = SlicesOf(*snapshot.decision);
    if (history_.empty() || history_.back().epoch != snapshot.decision->epoch ||
        !(history_.back().slices == slices))
      history_.push_back({snapshot.decision->epoch, std::move(slices), snapshot.decision->standby});
  }
  while (history_.size() > kMostEpochs) MergeOldestEpochs();
  std::uint64_t oldest = snapshot.decision ? snapshot.decision->epoch : 0;
  if (snapshot.decision) {
    for (const HolderGroup& group : HolderGroups(now, snapshot, *snapshot.decision))
      oldest = std::min(oldest, group.since);  // of one that has nothing yet it is the largest there is
  }
  while (history_.size() > 1 && history_.front().epoch < oldest && history_[1].epoch <= oldest)
    history_.pop_front(), merged_ = false;
  return oldest;
}

// The two oldest become one: no less than either.
void Decider::MergeOldestEpochs() {
  const EpochGrants first = std::move(history_.front());
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
  merged_ = true;
}

Matrix Decider::Ceiling() const {
  Matrix ceiling(rules_.zones);
  for (const EpochGrants& past : history_) {
    for (std::size_t o = 0; o < rules_.zones; ++o) {
      for (std::size_t r = 0; r < rules_.zones; ++r) {
        ceiling.at(o, r) = Larger(ceiling.at(o, r), past.slices.at(o, r));
      }
    }
  }
  return ceiling;
}

// With the grants to be written, for a successor that knows no epoch before them.
Matrix Decider::CeilingWith(const Decision& next) {
  history_.push_back({next.epoch, SlicesOf(next), next.standby});
  Matrix ceiling = Ceiling();
  history_.pop_back();
  return ceiling;
}

std::vector<double> Decider::StandbyOf(int zone) const {
  std::vector<double> most(rules_.zones);
  for (const EpochGrants& past : history_) {
    for (std::size_t r = 0; r < rules_.zones; ++r)
      most[r] = std::max(most[r], past.standby.at(static_cast<std::size_t>(zone), r));
  }
  return most;
}

// By epoch of the history: the most that any epoch from this one on gives one member.
std::vector<Matrix> Decider::MostSince() const {
  std::vector<Matrix> since(history_.size());
  for (std::size_t i = history_.size(); i-- > 0;) {
    since[i] = history_[i].slices;
    if (i + 1 == history_.size()) continue;
    for (std::size_t o = 0; o < rules_.zones; ++o) {
      for (std::size_t r = 0; r < rules_.zones; ++r) {
        since[i].at(o, r) = Larger(since[i].at(o, r), since[i + 1].at(o, r));
      }
    }
  }
  return since;
}

// The place in the history of the first epoch that these may go by.
std::size_t Decider::FirstOf(const HolderGroup& group) const {
  std::size_t i = history_.size() - 1;
  while (i > 0 && history_[i].epoch > group.since) --i;
  return i;
}

// The most that one of these may go by at this receiver; `since` is MostSince's.
double Decider::MostOf(const std::vector<Matrix>& since, const HolderGroup& group, std::size_t r) const {
  return history_.empty() || group.since == kNothingYet ? 0.0 : since[FirstOf(group)].at(group.zone, r);
}

// And the least.
double Decider::LeastOf(const std::vector<Matrix>& since, const HolderGroup& group, std::size_t r) const {
  if (history_.empty() || group.since == kNothingYet || !group.sure) return 0.0;
  if (merged_ && FirstOf(group) == 0) return 0.0;  // of what is folded the most is known alone
  double one = MostOf(since, group, r);
  for (std::size_t i = FirstOf(group); i < history_.size(); ++i) {
    if (history_[i].slices.at(group.zone, r) != kFree)
      one = std::min(one, history_[i].slices.at(group.zone, r));
  }
  return one;
}

}  // namespace badgerbridge::zone_failover
