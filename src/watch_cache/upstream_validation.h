// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Validates data from upstream before any of it is applied.
#ifndef BADGERBRIDGE_WATCH_CACHE_UPSTREAM_VALIDATION_H_
#define BADGERBRIDGE_WATCH_CACHE_UPSTREAM_VALIDATION_H_

#include <cstdint>
#include <vector>

#include "etcd.pb.h"
#include "watch_cache/error.h"
#include "watch_cache/key_range.h"
#include "watch_cache/read_queue.h"
#include "watch_cache/state.h"

namespace badgerbridge::watch_cache {

/// The keys of a snapshot at `revision`. Errors: kKeyOutsidePrefix, kKeyWithoutRevision,
/// kRevisionAfterHeader, kDuplicateKey. `prefix` is the key range of the prefix.
Result<State::Keys> CollectKeys(const KeyRange& prefix, std::int64_t revision,
                                std::vector<etcdserverpb::KeyValue> kvs);

/// Checks the events that follow `current_revision`, in a response at `revision`. Errors: as CollectKeys, and
/// kUnknownEventType, kRevisionOutOfOrder.
Result<void> CheckEvents(const KeyRange& prefix, std::int64_t current_revision, std::int64_t revision,
                         const std::vector<etcdserverpb::Event>& events);

/// Whether a snapshot can continue the history that the cache holds. Key values that are not newer than the
/// cache's revision must be equal to those in the cache.
bool ContinuesHistory(const CachePosition& position, const State& state, std::uint64_t cluster_id,
                      std::int64_t revision, const State::Keys& keys);

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_UPSTREAM_VALIDATION_H_
