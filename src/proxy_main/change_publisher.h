// SPDX-License-Identifier: Apache-2.0
//
// Passes changes of the list on in slices, paced so that a list of a hundred thousand members does not hold
// up the event loop: after each turn the loop is left to other work for a multiple of the time that the turn
// took.
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

/// A paced queue of changes. Runs on its io_context's thread; it may be destroyed while changes are pending,
/// which are then dropped.
class ChangePublisher {
 public:
  /// The clock that turns are timed with.
  using Clock = std::chrono::steady_clock;
  /// Called with each slice, of at most kMaxSliceSize members, and once for a change of the list's version
  /// alone, with an empty slice. pending() does not count the slice any more.
  using OnSlice = std::function<void(const std::vector<membership::Member>& slice)>;
  /// Called at the end of a turn that has left nothing pending.
  using OnEmpty = std::function<void()>;

  /// The most that the proxy applies at once; 110,000 members make 3,438 slices.
  static constexpr std::size_t kMaxSliceSize = 32;

  /// An empty queue.
  ChangePublisher(boost::asio::io_context& io, OnSlice on_slice, OnEmpty on_empty);

  /// Adds changes. They are passed on at once, from within this call, unless they are more than a slice or a
  /// turn has lately had its share of the loop.
  void Publish(const std::vector<membership::Member>& changes);

  /// Whether turns may take half of the loop, as for the first list, in place of a tenth.
  void set_urgent(bool is_urgent) { is_urgent_ = is_urgent; }
  /// How many members have a change that was not passed on yet.
  std::size_t pending() const { return pending_.size(); }
  /// The longest turn so far.
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
