// SPDX-License-Identifier: Apache-2.0
//
// The past batches of events that the cache still holds, oldest first, bounded by bytes and events; shared by
// all subscribers, each of which has a sequence number in it. Pure.
#ifndef BADGERBRIDGE_WATCH_CACHE_WINDOW_H_
#define BADGERBRIDGE_WATCH_CACHE_WINDOW_H_

#include <cstdint>
#include <deque>

#include "watch_cache/event.h"

namespace badgerbridge::watch_cache {

class Window {
 public:
  Window(std::size_t max_bytes, std::size_t max_events) : max_bytes_(max_bytes), max_events_(max_events) {}

  // Forgets all; history begins at `floor`.
  void Reset(std::int64_t floor);
  void Append(BatchPtr batch);
  // The sequence number that end() would have after Trim dropped what is over the bounds: batches before it
  // are about to go.
  std::uint64_t FirstToKeep() const;
  void Trim();

  // Sequence numbers of batches: [first(), end()). They never go back, Reset included.
  std::uint64_t first() const { return first_; }
  std::uint64_t end() const { return first_ + entries_.size(); }
  const BatchPtr& Share(std::uint64_t sequence) const { return entries_[sequence - first_].batch; }
  const Batch& At(std::uint64_t sequence) const { return *Share(sequence); }
  // The first batch that ends after `revision`, or end().
  std::uint64_t FirstAfter(std::int64_t revision) const;
  std::size_t BytesFrom(std::uint64_t sequence) const;

  // The state at `floor` is the oldest that can be rolled back to; a watch must start after it.
  std::int64_t floor() const { return floor_; }
  // Whether the state at `revision` is known: not before the floor and not in the midst of a batch.
  bool Holds(std::int64_t revision) const;

  std::size_t bytes() const { return bytes_; }
  std::size_t events() const { return events_; }

 private:
  struct Entry {
    BatchPtr batch;
    std::uint64_t offset;  // bytes appended before it, ever
  };
  std::size_t max_bytes_, max_events_;
  std::deque<Entry> entries_;
  std::uint64_t first_ = 0, appended_bytes_ = 0;
  std::int64_t floor_ = 0;
  std::size_t bytes_ = 0, events_ = 0;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_WINDOW_H_
