// SPDX-License-Identifier: Apache-2.0
/// @file
/// The epochs that may still be in force: what each grants one member, kept apart as long as any member may
/// act on it. Pure.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_EPOCH_HISTORY_H_
#define BADGERBRIDGE_ZONE_FAILOVER_EPOCH_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "zone_failover/decision.h"

namespace badgerbridge::zone_failover {

/// Stands for the epoch of a member that may act on no grant yet.
constexpr std::uint64_t kNoEpoch = UINT64_MAX;

/// Members of one zone that may act on the same epochs.
struct GrantHolders {
  std::size_t zone = 0;            ///< their zone
  std::uint64_t oldest_epoch = 0;  ///< the oldest epoch that they may act on; kNoEpoch: none
  bool present = false;            ///< they will act on the next decision, too
  bool confirmed = false;          ///< they do act on some epoch from `oldest_epoch` on
  int count = 0;                   ///< how many they are
};

/// Grants of recent epochs. Bounded: beyond 64 epochs the oldest are merged.
class EpochHistory {
 public:
  /// An empty history of an installation of `zones` zones.
  explicit EpochHistory(std::size_t zones) : zones_(zones) {}

  /// Forgets all.
  void Clear();
  /// Begins with the decision in force; its ceiling stands for all epochs before it.
  void Restore(const Decision& decision);
  /// Adds the decision in force, if its grants are not the newest known.
  void Add(const Decision& decision);
  /// Forgets epochs that no member may act on; `oldest_epoch` is the oldest that one may.
  void DropBefore(std::uint64_t oldest_epoch);

  /// How many epochs are kept apart.
  std::size_t size() const { return epochs_.size(); }
  /// By receiver: the most standby that any epoch gives the members of `zone`.
  std::vector<double> MaxStandby(std::size_t zone) const;
  /// The most that any epoch, or `next` as well, gives one member: for a successor that knows no epoch
  /// before.
  Matrix CeilingWith(const Decision& next) const;

 private:
  friend class GrantBounds;
  struct EpochGrants {
    std::uint64_t epoch = 0;
    Matrix grants;   // of one member
    Matrix standby;  // of all members of an origin
  };

  void MergeOldest();
  std::size_t IndexOf(std::uint64_t oldest_epoch) const;

  std::size_t zones_;
  std::deque<EpochGrants> epochs_;  // the oldest first
  bool oldest_is_merged_ = false;   // the first entry stands for several epochs
};

/// Bounds of what members may act on, over the epochs of a history that must outlive this and stay unchanged.
class GrantBounds {
 public:
  /// Computes the bounds, once for many questions.
  explicit GrantBounds(const EpochHistory& history);

  /// The most that one of these members may send to `receiver`.
  double Max(const GrantHolders& holders, std::size_t receiver) const;
  /// The least that each of them has been granted there for sure.
  double Min(const GrantHolders& holders, std::size_t receiver) const;

 private:
  const EpochHistory& history_;
  std::vector<Matrix> max_since_;  // by epoch: the most that any epoch from this one on grants one member
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_EPOCH_HISTORY_H_
