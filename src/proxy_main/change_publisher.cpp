// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/change_publisher.h"

#include <algorithm>
#include <utility>

namespace badgerbridge::proxy_main {
namespace {

// A turn starts no further slice after this time.
constexpr std::chrono::microseconds kTurnTimeBudget{1000};
// The pause after a turn, as a multiple of the turn's duration. Publishing uses at most a tenth of the event
// loop's time, or half of it while drains, departures or the first list are pending.
constexpr int kPauseFactor = 9;
constexpr int kUrgentPauseFactor = 1;
// Bounds how long a pending drain waits for the next turn.
constexpr std::chrono::milliseconds kMaxPause{50};

}  // namespace

ChangePublisher::ChangePublisher(boost::asio::io_context& io, OnSlice on_slice, OnEmpty on_empty)
    : on_slice_(std::move(on_slice)), on_empty_(std::move(on_empty)), timer_(io) {}

void ChangePublisher::Publish(const std::vector<membership::Member>& changes) {
  for (const membership::Member& member : changes) pending_.Add(member);
  // Changes of more than a slice come from a page of a list, whose parsing has already used this handler's
  // time.
  const bool may_run = Clock::now() >= next_turn_at_ && changes.size() <= kMaxSliceSize;
  if (may_run) return RunTurn();
  if (!timer_.armed()) ArmTimer();
}

void ChangePublisher::ArmTimer() {
  timer_.ArmAt(next_turn_at_, [this] { RunTurn(); });
}

void ChangePublisher::RunTurn() {
  timer_.Disarm();
  const Clock::time_point start = Clock::now();
  do {
    on_slice_(pending_.TakeSlice(kMaxSliceSize));
  } while (!pending_.empty() && Clock::now() - start < kTurnTimeBudget);
  const Clock::time_point end = Clock::now();
  longest_turn_ = std::max(longest_turn_, end - start);
  next_turn_at_ = end + PauseAfter(end - start);
  if (!pending_.empty()) return ArmTimer();
  on_empty_();
}

ChangePublisher::Clock::duration ChangePublisher::PauseAfter(Clock::duration turn) const {
  const bool is_urgent = pending_.HasUrgent() || is_urgent_;
  return std::min<Clock::duration>(turn * (is_urgent ? kUrgentPauseFactor : kPauseFactor), kMaxPause);
}

}  // namespace badgerbridge::proxy_main
