// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Key values, events and batches. The state, the window and the subscribers' backlogs share them without
/// copies.
#ifndef BADGERBRIDGE_WATCH_CACHE_EVENT_H_
#define BADGERBRIDGE_WATCH_CACHE_EVENT_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "etcd.pb.h"

namespace badgerbridge::watch_cache {

/// A shared, immutable key value.
using KeyValuePtr = std::shared_ptr<const etcdserverpb::KeyValue>;

/// An event as the cache holds it.
struct StoredEvent {
  bool deletion = false;      ///< Otherwise it is a put.
  bool must_deliver = false;  ///< Merging may replace it only by a newer event that must be delivered, too.
  KeyValuePtr kv;             ///< The new key value; of a deletion, key and mod_revision only.
  KeyValuePtr previous;       ///< The key value in this cache before the event. Null: none.
  std::size_t bytes = 0;      ///< Approximate size as encoded, without `previous`.

  /// The mod_revision, at which the event took place.
  std::int64_t revision() const { return kv->mod_revision(); }
};

/// A shared, immutable event.
using StoredEventPtr = std::shared_ptr<const StoredEvent>;

/// The events that change the source's state at revision `from` to that at `to`. They may be merged: states
/// at revisions in between are unknown.
struct Batch {
  std::int64_t from = 0;               ///< The revision before.
  std::int64_t to = 0;                 ///< The revision after.
  std::vector<StoredEventPtr> events;  ///< With mod_revision in (from, to], ascending.
  std::size_t bytes = 0;               ///< Approximate size of the events in memory.
};

/// A shared, immutable batch.
using BatchPtr = std::shared_ptr<const Batch>;

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_EVENT_H_
