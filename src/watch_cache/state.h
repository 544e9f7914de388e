// SPDX-License-Identifier: Apache-2.0
//
// The keys of the prefix at the cache's revision, and reads of them as etcd answers a RangeRequest. Pure.
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

// etcd's own words (rpctypes), which clients compare.
inline constexpr char kCompactedText[] = "etcdserver: mvcc: required revision has been compacted";
inline constexpr char kFutureText[] = "etcdserver: mvcc: required revision is a future revision";

struct KeyOf {
  using result_type = std::string;
  const std::string& operator()(const KeyValuePtr& kv) const { return kv->key(); }
};

class State {
 public:
  // By key; the ranks count a range in logarithmic time.
  using Keys = boost::multi_index_container<
      KeyValuePtr, boost::multi_index::indexed_by<boost::multi_index::ranked_unique<KeyOf, std::less<>>>>;

  const Keys& keys() const { return keys_; }
  KeyValuePtr Find(std::string_view key) const;
  std::size_t bytes() const { return bytes_; }  // of the key values on the wire

  void Apply(const StoredEvent& event);
  void Replace(Keys keys);

 private:
  Keys keys_;
  std::size_t bytes_ = 0;
};

// Refuses what no state could answer: no key, an unknown sort.
etcd::Status CheckRange(const etcdserverpb::RangeRequest& request);

// Answers a read at `revision`, the state's own, or at the request's, which the window must reach back to.
// The header is left to the caller. Cost: the keys in the range, and for an older revision the window's
// events since.
etcd::Status ReadRange(const State& state, const Window& window, std::int64_t revision,
                       const etcdserverpb::RangeRequest& request, etcdserverpb::RangeResponse* response,
                       std::size_t* visited = nullptr);

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_STATE_H_
