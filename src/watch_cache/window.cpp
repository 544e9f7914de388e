// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/window.h"

#include <algorithm>
#include <utility>

namespace badgerbridge::watch_cache {

void Window::Reset(std::int64_t floor) {
  first_ = end();
  entries_.clear();
  floor_ = floor;
  bytes_ = 0;
  events_ = 0;
}

void Window::Append(BatchPtr batch) {
  bytes_ += batch->bytes;
  events_ += batch->events.size();
  const std::size_t bytes = batch->bytes;
  entries_.push_back({std::move(batch), appended_bytes_});
  appended_bytes_ += bytes;
}

std::uint64_t Window::FirstToKeep() const {
  std::size_t bytes = bytes_;
  std::size_t events = events_;
  std::uint64_t first = first_;
  while (first < end() && (bytes > max_bytes_ || events > max_events_)) {
    bytes -= At(first).bytes;
    events -= At(first).events.size();
    ++first;
  }
  return first;
}

void Window::Trim() {
  const std::uint64_t first_to_keep = FirstToKeep();
  for (; first_ < first_to_keep; ++first_) {
    const Batch& batch = *entries_.front().batch;
    bytes_ -= batch.bytes;
    events_ -= batch.events.size();
    floor_ = batch.to;
    entries_.pop_front();
  }
}

std::uint64_t Window::FirstAfter(std::int64_t revision) const {
  const auto found =
      std::upper_bound(entries_.begin(), entries_.end(), revision,
                       [](std::int64_t wanted, const Entry& entry) { return wanted < entry.batch->to; });
  return first_ + static_cast<std::uint64_t>(found - entries_.begin());
}

std::size_t Window::BytesFrom(std::uint64_t sequence) const {
  if (sequence >= end()) return 0;
  return appended_bytes_ - entries_[sequence - first_].offset;
}

bool Window::Holds(std::int64_t revision) const {
  if (revision < floor_) return false;
  const std::uint64_t after = FirstAfter(revision);
  return after == end() || revision <= At(after).from;
}

}  // namespace badgerbridge::watch_cache
