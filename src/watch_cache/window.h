// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The past batches of events that the cache still holds, oldest first, bounded by bytes and events. It is
/// shared by all subscribers, each of which has a position (a sequence number) in it.
#ifndef BADGERBRIDGE_WATCH_CACHE_WINDOW_H_
#define BADGERBRIDGE_WATCH_CACHE_WINDOW_H_

#include <cstdint>
#include <deque>

#include "watch_cache/event.h"

namespace badgerbridge::watch_cache {

/// A bounded queue of batches.
class Window {
 public:
  /// The bounds are enforced by Trim only.
  Window(std::size_t max_bytes, std::size_t max_events) : max_bytes_(max_bytes), max_events_(max_events) {}

  /// Drops all batches; history begins at revision `floor`.
  void Reset(std::int64_t floor);

  /// Adds the newest batch, without enforcing the bounds.
  void Append(BatchPtr batch);

  /// The value that first() would have after Trim, which drops the batches before it.
  std::uint64_t FirstToKeep() const;

  /// Drops the oldest batches until both bounds hold.
  void Trim();

  /// Sequence number of the oldest batch. Sequence numbers never decrease, not even by Reset.
  std::uint64_t first() const { return first_; }

  /// Sequence number after the newest batch.
  std::uint64_t end() const { return first_ + entries_.size(); }

  /// The batch with this sequence number, which must be in [first(), end()).
  const BatchPtr& Share(std::uint64_t sequence) const { return entries_[sequence - first_].batch; }

  /// Like Share, without ownership.
  const Batch& At(std::uint64_t sequence) const { return *Share(sequence); }

  /// The first batch that ends after `revision`, or end().
  std::uint64_t FirstAfter(std::int64_t revision) const;

  /// Total size of the batches from this sequence number to the newest.
  std::size_t BytesFrom(std::uint64_t sequence) const;

  /// The oldest revision to which the state can be rolled back. A watch must start after it.
  std::int64_t floor() const { return floor_; }

  /// Whether the state at `revision` is known: neither before the floor nor within a batch.
  bool Holds(std::int64_t revision) const;

  std::size_t bytes() const { return bytes_; }    ///< Of all batches.
  std::size_t events() const { return events_; }  ///< Of all batches.

 private:
  struct Entry {
    BatchPtr batch;
    std::uint64_t offset;  // total size of all batches ever appended before this one
  };

  std::size_t max_bytes_;
  std::size_t max_events_;
  std::deque<Entry> entries_;
  std::uint64_t first_ = 0;
  std::uint64_t appended_bytes_ = 0;
  std::int64_t floor_ = 0;
  std::size_t bytes_ = 0;
  std::size_t events_ = 0;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_WINDOW_H_
