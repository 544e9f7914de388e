// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/epoch_history.h"

#include <algorithm>
#include <utility>

namespace badgerbridge::zone_failover {
namespace {

// Bounds the history while a member never confirms an epoch.
constexpr std::size_t kMaxEpochs = 64;

using Larger = double (*)(double, double);

// Standby capacity is always limited, so kUnlimited does not occur.
double LargerStandby(double left, double right) { return std::max(left, right); }

// Raises each cell to at least the same cell of `other`.
void RaiseTo(const Matrix& other, Matrix* cells, Larger larger = LargerGrant) {
  for (std::size_t origin = 0; origin < cells->zones(); ++origin) {
    for (std::size_t receiver = 0; receiver < cells->zones(); ++receiver) {
      double& cell = cells->at(origin, receiver);
      cell = larger(cell, other.at(origin, receiver));
    }
  }
}

}  // namespace

void EpochHistory::Clear() {
  epochs_.clear();
  oldest_is_merged_ = false;
}

void EpochHistory::Restore(const Decision& decision) {
  epochs_.push_back({0, decision.grant_ceiling, decision.standby});
  epochs_.push_back({decision.epoch, GrantsPerMember(decision), decision.standby});
}

void EpochHistory::Add(const Decision& decision) {
  // A record restored from a backup may have a known epoch with other grants. Both may be in force.
  Matrix grants = GrantsPerMember(decision);
  if (epochs_.empty() || epochs_.back().epoch != decision.epoch || !(epochs_.back().grants == grants))
    epochs_.push_back({decision.epoch, std::move(grants), decision.standby});
  while (epochs_.size() > kMaxEpochs) MergeOldest();
}

void EpochHistory::DropBefore(std::uint64_t oldest_epoch) {
  while (epochs_.size() > 1 && epochs_.front().epoch < oldest_epoch && epochs_[1].epoch <= oldest_epoch) {
    epochs_.pop_front();
    oldest_is_merged_ = false;
  }
}

// Merges the two oldest epochs into one with the larger of their grants.
void EpochHistory::MergeOldest() {
  const EpochGrants oldest = std::move(epochs_.front());
  epochs_.pop_front();
  epochs_.front().epoch = oldest.epoch;
  RaiseTo(oldest.grants, &epochs_.front().grants);
  RaiseTo(oldest.standby, &epochs_.front().standby, LargerStandby);
  oldest_is_merged_ = true;
}

std::vector<double> EpochHistory::MaxStandby(std::size_t zone) const {
  std::vector<double> standby(zones_);
  for (const EpochGrants& epoch : epochs_) {
    for (std::size_t receiver = 0; receiver < zones_; ++receiver)
      standby[receiver] = std::max(standby[receiver], epoch.standby.at(zone, receiver));
  }
  return standby;
}

Matrix EpochHistory::CeilingWith(const Decision& next) const {
  Matrix ceiling(zones_);
  for (const EpochGrants& epoch : epochs_) RaiseTo(epoch.grants, &ceiling);
  RaiseTo(GrantsPerMember(next), &ceiling);
  return ceiling;
}

// Returns the index of the first entry that members with this oldest epoch may act on.
std::size_t EpochHistory::IndexOf(std::uint64_t oldest_epoch) const {
  std::size_t index = epochs_.size() - 1;
  while (index > 0 && epochs_[index].epoch > oldest_epoch) --index;
  return index;
}

GrantBounds::GrantBounds(const EpochHistory& history) : history_(history), max_since_(history.size()) {
  for (std::size_t i = history.size(); i-- > 0;) {
    max_since_[i] = history.epochs_[i].grants;
    if (i + 1 < history.size()) RaiseTo(max_since_[i + 1], &max_since_[i]);
  }
}

double GrantBounds::Max(const GrantHolders& holders, std::size_t receiver) const {
  if (max_since_.empty() || holders.oldest_epoch == kNoEpoch) return 0;
  return max_since_[history_.IndexOf(holders.oldest_epoch)].at(holders.zone, receiver);
}

double GrantBounds::Min(const GrantHolders& holders, std::size_t receiver) const {
  if (max_since_.empty() || holders.oldest_epoch == kNoEpoch || !holders.confirmed) return 0;
  const std::size_t first = history_.IndexOf(holders.oldest_epoch);
  if (history_.oldest_is_merged_ && first == 0) return 0;  // merged epochs only keep their maximum
  double least = Max(holders, receiver);
  for (std::size_t i = first; i < history_.size(); ++i) {
    const double grant = history_.epochs_[i].grants.at(holders.zone, receiver);
    if (grant != kUnlimited) least = std::min(least, grant);
  }
  return least;
}

}  // namespace badgerbridge::zone_failover
