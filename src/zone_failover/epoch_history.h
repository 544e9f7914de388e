// SPDX-License-Identifier: Apache-2.0
/// @file
/// History of the epochs that any member may still act on, with the grants of one member in each. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_EPOCH_HISTORY_H_
#define BADGERBRIDGE_ZONE_FAILOVER_EPOCH_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "zone_failover/decision.h"

namespace badgerbridge::zone_failover {

/// The epoch of a member that may not use any grant yet.
constexpr std::uint64_t kNoEpoch = UINT64_MAX;

/// Members of one zone that may act on the same epochs.
struct GrantHolders {
  std::size_t zone = 0;            ///< zone of the members
  std::uint64_t oldest_epoch = 0;  ///< oldest epoch that they may act on; kNoEpoch: none
  bool present = false;            ///< true if they will also act on the next decision
  bool confirmed = false;          ///< true if they certainly act on `oldest_epoch` or a newer epoch
  int count = 0;                   ///< number of members
};

/// Grants of recent epochs. Keeps at most 64 epochs and merges the oldest beyond that.
class EpochHistory {
 public:
  /// Creates an empty history of an installation with `zones` zones.
  explicit EpochHistory(std::size_t zones) : zones_(zones) {}

  /// Removes all epochs.
  void Clear();
  /// Starts with the decision in force; its grant ceiling represents all earlier epochs.
  void Restore(const Decision& decision);
  /// Adds the decision in force unless the newest entry has the same epoch and grants.
  void Add(const Decision& decision);
  /// Removes the epochs that no member may act on; `oldest_epoch` is the oldest one still in use.
  void DropBefore(std::uint64_t oldest_epoch);

  /// Number of entries, from 0 to 64.
  std::size_t size() const { return epochs_.size(); }
  /// By receiver: the largest standby capacity of the members of `zone` in any epoch.
  std::vector<double> MaxStandby(std::size_t zone) const;
  /// The largest grant of one member in any epoch, including `next`. A successor that has no history starts
  /// from it.
  Matrix CeilingWith(const Decision& next) const;

 private:
  friend class GrantBounds;
  struct EpochGrants {
    std::uint64_t epoch = 0;
    Matrix grants;   // per member
    Matrix standby;  // per origin
  };

  void MergeOldest();
  std::size_t IndexOf(std::uint64_t oldest_epoch) const;

  std::size_t zones_;
  std::deque<EpochGrants> epochs_;  // oldest first
  bool oldest_is_merged_ = false;   // the first entry represents several epochs
};

/// Bounds of the grants that members may act on. The history must outlive this object and stay unchanged.
class GrantBounds {
 public:
  /// Precomputes the bounds for repeated queries.
  explicit GrantBounds(const EpochHistory& history);

  /// Largest grant that one of these members may use for `receiver`.
  double Max(const GrantHolders& holders, std::size_t receiver) const;
  /// Lower bound of the grant for `receiver` that each of these members holds.
  double Min(const GrantHolders& holders, std::size_t receiver) const;

 private:
  const EpochHistory& history_;
  std::vector<Matrix> max_since_;  // by epoch: largest grants per member from this epoch on
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_EPOCH_HISTORY_H_
