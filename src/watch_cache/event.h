// SPDX-License-Identifier: Apache-2.0
//
// What the state, the window and the subscribers' backlogs share without copies: key values, events, batches.
#ifndef BADGERBRIDGE_WATCH_CACHE_EVENT_H_
#define BADGERBRIDGE_WATCH_CACHE_EVENT_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "etcd.pb.h"

namespace badgerbridge::watch_cache {

using KeyValuePtr = std::shared_ptr<const etcdserverpb::KeyValue>;

struct StoredEvent {
  bool deletion = false;
  bool must_deliver = false;  // not to be merged away by a newer event that need not be delivered
  KeyValuePtr kv;             // of a deletion: key and mod_revision alone
  KeyValuePtr previous;       // what this cache held before; null: nothing
  std::size_t bytes = 0;      // as an event on the wire, without `previous`

  std::int64_t revision() const { return kv->mod_revision(); }
};
using StoredEventPtr = std::shared_ptr<const StoredEvent>;

// What brings the source's state at `from` to that at `to`. In between nothing is claimed: an upstream relay
// may have merged the events of several revisions.
struct Batch {
  std::int64_t from = 0, to = 0;
  std::vector<StoredEventPtr> events;  // their mod_revision in (from, to], ascending
  std::size_t bytes = 0;
};
using BatchPtr = std::shared_ptr<const Batch>;

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_EVENT_H_
