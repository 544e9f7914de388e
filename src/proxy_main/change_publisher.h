// SPDX-License-Identifier: Apache-2.0
//
// Publishes changes of the member list in slices, paced so that a list of a hundred thousand members does not
// block the event loop: each turn is followed by a pause of a multiple of the turn's duration.
#ifndef BADGERBRIDGE_PROXY_MAIN_CHANGE_PUBLISHER_H_
#define BADGERBRIDGE_PROXY_MAIN_CHANGE_PUBLISHER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

#include "membership/member.h"
#include "membership/pending_changes.h"
#include "net/one_shot_timer.h"

namespace badgerbridge::proxy_main {

/// A paced queue of changes. Runs on its io_context's thread. Destruction drops pending changes.
class ChangePublisher {
 public:
  /// The clock that measures turns and pauses.
  using Clock = std::chrono::steady_clock;
  /// Called with each slice, of at most kMaxSliceSize members. The slice is empty if only the list's version
  /// has changed. pending() no longer includes the slice's members.
  using OnSlice = std::function<void(const std::vector<membership::Member>& slice)>;
  /// Called at the end of a turn after which no changes are pending.
  using OnEmpty = std::function<void()>;

  /// Maximum number of members that the proxy applies at once; 110,000 members make 3,438 slices.
  static constexpr std::size_t kMaxSliceSize = 32;

  /// Creates an empty queue. The callbacks run on the thread of `io`.
  ChangePublisher(boost::asio::io_context& io, OnSlice on_slice, OnEmpty on_empty);

  /// Adds changes. They are published from within this call, unless they exceed a slice or the pause after
  /// the previous turn has not ended.
  void Publish(const std::vector<membership::Member>& changes);

  /// Whether publishing may use half of the event loop's time, as for the first list, instead of a tenth.
  void set_urgent(bool is_urgent) { is_urgent_ = is_urgent; }
  /// Number of members with an unpublished change.
  std::size_t pending() const { return pending_.size(); }
  /// Duration of the longest turn so far.
  Clock::duration longest_turn() const { return longest_turn_; }

 private:
  void RunTurn();
  void ArmTimer();
  Clock::duration PauseAfter(Clock::duration turn) const;

  OnSlice on_slice_;
  OnEmpty on_empty_;
  membership::PendingChanges pending_;
  bool is_urgent_ = false;
  Clock::duration longest_turn_{};
  Clock::time_point next_turn_at_{};
  net::OneShotTimer timer_;
};

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_CHANGE_PUBLISHER_H_
