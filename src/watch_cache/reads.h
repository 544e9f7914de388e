// SPDX-License-Identifier: Apache-2.0
//
// The reads that wait: for the upstream to confirm a committed revision (the read-index technique), for the
// cache to reach it, and, where they read more than a key, for their turn by a token bucket. Pure.
//
// A confirmation serves only the reads that had arrived before it was issued. One is under way at a time;
// those that arrive meanwhile share the next. Every wait ends: at the read's deadline, or at
// once with a confirmation that fails.
#ifndef BADGERBRIDGE_WATCH_CACHE_READS_H_
#define BADGERBRIDGE_WATCH_CACHE_READS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "etcd.pb.h"
#include "etcd/grpc.h"
#include "watch_cache/relay.h"

namespace badgerbridge::watch_cache {

// What the cache holds: which history, up to where.
struct CachePosition {
  bool known = false;  // there was a snapshot
  std::uint64_t cluster_id = 0;
  std::int64_t revision = 0;
  std::uint64_t history = 0;  // counts the times that history was replaced
};

class Reads {
 public:
  using Actions = Relay::Actions;

  explicit Reads(const Settings& settings);

  std::size_t waiting() const { return reads_.size(); }
  std::uint64_t confirmations() const { return confirmations_; }

  void Add(Time now, ReadId read, const etcdserverpb::RangeRequest& request, const CachePosition& position,
           Actions* actions);
  void Cancel(ReadId read);
  void Confirmed(Time now, std::uint64_t confirmation, const etcd::Status& status,
                 const etcdserverpb::ResponseHeader& header, const CachePosition& position, Actions* actions);
  // The cache holds more, or, if `replaced`, another history: what was confirmed of the old one is void.
  void CacheChanged(Time now, const CachePosition& position, bool replaced, Actions* actions);
  // Deadlines, a confirmation that never came, the repeated request for progress.
  void Tick(Time now, const CachePosition& position, const std::string& upstream_error, Actions* actions);
  std::optional<Time> NextWake() const;

  // The next read to be answered from the cache as it is now. Once it is answered, and it was a list, Spend
  // must be told of its size.
  struct Ready {
    ReadId read;
    etcdserverpb::RangeRequest request;
    bool list;
  };
  std::optional<Ready> NextReady(Time now);
  void Spend(std::size_t bytes) { tokens_ -= static_cast<double>(bytes); }

 private:
  // In the order of arrival, which is that of the deadlines.
  using Order = std::uint64_t;
  struct Target {
    std::uint64_t cluster_id = 0;
    std::int64_t revision = 0;
    std::uint64_t history = 0;  // at least
  };
  struct Waiting {
    ReadId read;
    etcdserverpb::RangeRequest request;
    Time deadline;
    Target target;  // once confirmed
  };
  struct Confirmation {
    std::uint64_t id;
    Time issued;
    CachePosition position;  // when it was issued
    std::vector<Order> reads;
  };

  static bool Reached(const Target& target, const CachePosition& position);
  static bool IsList(const etcdserverpb::RangeRequest& request);
  void Settle(Order order, const CachePosition& position);
  void MakeReady(Order order);
  void Confirm(Time now, const CachePosition& position, Actions* actions);
  void RequestProgress(Time now, Actions* actions);
  void Fail(Order order, etcd::Code code, std::string why, Actions* actions);
  void Refill(Time now);

  Time timeout_;
  double rate_, burst_, tokens_;
  Time refilled_{0};

  std::map<Order, Waiting> reads_;
  std::unordered_map<ReadId, Order> orders_;
  Order next_order_ = 0;
  // Each read of reads_ is in exactly one of these; one that is not in reads_ any more is skipped.
  std::vector<Order> without_state_;  // serializable, before the first snapshot
  std::vector<Order> unconfirmed_;    // wait for the next confirmation
  std::optional<Confirmation> confirmation_;
  std::vector<Order> behind_;  // wait for the cache
  std::deque<Order> ready_, ready_lists_;
  std::uint64_t next_confirmation_ = 1, confirmations_ = 0;
  Time progress_requested_{0};
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_READS_H_
