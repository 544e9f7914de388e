// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The keys of the prefix at the cache's revision, and range reads of them as etcd answers a RangeRequest.
#ifndef BADGERBRIDGE_WATCH_CACHE_STATE_H_
#define BADGERBRIDGE_WATCH_CACHE_STATE_H_

#include <boost/multi_index/ranked_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "etcd.pb.h"
#include "etcd/grpc.h"
#include "watch_cache/event.h"

namespace badgerbridge::watch_cache {

class Window;

/// etcd's error text (rpctypes.ErrCompacted), which clients compare.
inline constexpr char kCompactedText[] = "etcdserver: mvcc: required revision has been compacted";
/// etcd's error text (rpctypes.ErrFutureRev), which clients compare.
inline constexpr char kFutureText[] = "etcdserver: mvcc: required revision is a future revision";

/// Key extractor of State::Keys.
struct KeyOf {
  using result_type = std::string;  ///< Required by Boost.MultiIndex.
  /// The key of a key value, which must not be null.
  const std::string& operator()(const KeyValuePtr& kv) const { return kv->key(); }
};

/// All keys at one revision.
class State {
 public:
  /// Ordered by key; the ranks count a range in logarithmic time.
  using Keys = boost::multi_index_container<
      KeyValuePtr, boost::multi_index::indexed_by<boost::multi_index::ranked_unique<KeyOf, std::less<>>>>;

  const Keys& keys() const { return keys_; }    ///< Ordered by key.
  std::size_t bytes() const { return bytes_; }  ///< Encoded size of all key values.

  /// The key value, or null if the key is absent.
  KeyValuePtr Find(std::string_view key) const;

  /// Applies a put or a deletion.
  void Apply(const StoredEvent& event);

  /// Replaces all keys.
  void Replace(Keys keys);

 private:
  Keys keys_;
  std::size_t bytes_ = 0;
};

/// The result of a range read.
struct RangeResult {
  etcd::Status status;                   ///< Not ok: the revision is compacted or in the future.
  etcdserverpb::RangeResponse response;  ///< Valid if status.ok(); its header is not set.
  std::size_t visited_keys = 0;          ///< Keys visited; a measure of the cost.
};

/// Validates a request independently of the state. Fails with kInvalidArgument if the key is missing or the
/// sort order or target is unknown.
etcd::Status CheckRange(const etcdserverpb::RangeRequest& request);

/// Reads a range at the request's revision, which the window must hold, or, if the request has none, at
/// `revision`, which is the state's. The cost grows with the keys in the range and, for an older revision,
/// with the events in the window since.
RangeResult ReadRange(const State& state, const Window& window, std::int64_t revision,
                      const etcdserverpb::RangeRequest& request);

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_STATE_H_
