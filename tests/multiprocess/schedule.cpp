// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/schedule.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {

void Schedule::Add(double due_ms, std::function<void()> action) {
  entries_.push_back({due_ms, std::move(action)});
}

void Schedule::RunDue() {
  const double now_ms = NowMs();
  const auto first_due = std::stable_partition(
      entries_.begin(), entries_.end(), [now_ms](const Entry& entry) { return entry.due_ms > now_ms; });
  const std::vector<Entry> due(std::make_move_iterator(first_due), std::make_move_iterator(entries_.end()));
  entries_.erase(first_due, entries_.end());
  for (const Entry& entry : due) entry.action();
}

}  // namespace badgerbridge::multiprocess
