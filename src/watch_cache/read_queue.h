// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The queue of waiting reads. A read waits until the upstream has confirmed a committed revision (the
/// read-index technique), until the cache has reached that revision and, if it reads a range, until the rate
/// limit has tokens.
///
/// A confirmation serves only the reads that had arrived before it was issued. At most one is in flight;
/// reads that arrive meanwhile share the next. A read fails at its deadline, or as soon as its confirmation
/// fails.
#ifndef BADGERBRIDGE_WATCH_CACHE_READ_QUEUE_H_
#define BADGERBRIDGE_WATCH_CACHE_READ_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "etcd.pb.h"
#include "etcd/grpc.h"
#include "watch_cache/watch_cache.h"

namespace badgerbridge::watch_cache {

/// The history and the revision that the cache holds.
struct CachePosition {
  bool known = false;            ///< A snapshot has been applied.
  std::uint64_t cluster_id = 0;  ///< Of the source.
  std::int64_t revision = 0;     ///< The cache holds the state at this revision.
  std::uint64_t history = 0;     ///< Incremented whenever the history is replaced.
};

/// The queue. Not thread-safe.
class ReadQueue {
 public:
  /// The actions that the caller has to perform.
  using Actions = WatchCache::Actions;

  /// Copies the read timeout and the rate limit of lists from the settings.
  explicit ReadQueue(const Settings& settings);

  std::size_t waiting() const { return reads_.size(); }                ///< Reads not answered yet.
  std::uint64_t confirmations() const { return confirmation_count_; }  ///< Issued since the start.

  /// Adds a read, which must be valid.
  void Add(Time now, ReadId read, const etcdserverpb::RangeRequest& request, const CachePosition& position,
           Actions* actions);

  /// Removes a read. Unknown reads are ignored.
  void Cancel(ReadId read);

  /// Handles the result of a confirmation. Results of unknown and timed-out confirmations are ignored.
  void RevisionConfirmed(Time now, std::uint64_t confirmation, const etcd::Status& status,
                         const etcdserverpb::ResponseHeader& header, const CachePosition& position,
                         Actions* actions);

  /// The cache has reached a higher revision or, if `history_replaced`, holds another history, which
  /// invalidates confirmations of the old one.
  void CacheChanged(Time now, const CachePosition& position, bool history_replaced, Actions* actions);

  /// Fails expired reads, abandons a confirmation that has timed out, and repeats progress requests.
  /// `upstream_error` is added to the error text of reads that time out.
  void Tick(Time now, const CachePosition& position, const std::string& upstream_error, Actions* actions);

  /// When the earliest timer is due. Empty if there is none.
  std::optional<Time> NextWake() const;

  /// A read that can be answered from the cache now.
  struct ReadyRead {
    ReadId read;                         ///< As given to Add.
    etcdserverpb::RangeRequest request;  ///< As given to Add.
    bool is_list;                        ///< ConsumeListTokens must be called with the size of its response.
  };

  /// Removes and returns the next read that can be answered. Empty if there is none.
  std::optional<ReadyRead> NextReady(Time now);

  /// Takes tokens for the response to a list, which may leave the bucket negative.
  void ConsumeListTokens(std::size_t bytes) { list_tokens_ -= static_cast<double>(bytes); }

 private:
  // Reads are numbered in the order of arrival, which is also the order of their deadlines.
  using ArrivalNumber = std::uint64_t;

  // What the cache must have reached before a read is answered.
  struct Target {
    std::uint64_t cluster_id = 0;
    std::int64_t revision = 0;
    std::uint64_t min_history = 0;
  };

  struct WaitingRead {
    ReadId read;
    etcdserverpb::RangeRequest request;
    Time deadline;
    Target target;  // set once confirmed
  };

  struct Confirmation {
    std::uint64_t id;
    Time issued_at;
    CachePosition position;  // when it was issued
    std::vector<ArrivalNumber> reads;
  };

  static bool HasReached(const Target& target, const CachePosition& position);
  static bool IsList(const etcdserverpb::RangeRequest& request);
  static Target TargetOf(const etcdserverpb::ResponseHeader& header, const CachePosition& position_at_issue);
  void ConfirmRead(ArrivalNumber arrival, const Target& target, const CachePosition& position_at_issue,
                   const CachePosition& position);
  void AwaitTarget(ArrivalNumber arrival, const CachePosition& position);
  void MakeReady(ArrivalNumber arrival);
  void InvalidateReadyLists();
  void RecheckReadsAwaitingTarget(const CachePosition& position, bool history_replaced);
  void IssueConfirmation(Time now, const CachePosition& position, Actions* actions);
  void AbandonExpiredConfirmation(Time now);
  void FailExpiredReads(Time now, const std::string& upstream_error, Actions* actions);
  void RemoveAnsweredReads();
  void RequestProgress(Time now, Actions* actions);
  void Fail(ArrivalNumber arrival, etcd::Code code, std::string reason, Actions* actions);
  void RefillListTokens(Time now);
  std::optional<ReadyRead> PopReady(std::deque<ArrivalNumber>* queue, bool is_list);

  Time timeout_;
  double tokens_per_second_;  // a token is a byte of the response to a list
  double max_list_tokens_;
  double list_tokens_;
  Time refilled_at_{0};

  std::map<ArrivalNumber, WaitingRead> reads_;
  std::unordered_map<ReadId, ArrivalNumber> arrivals_;
  ArrivalNumber next_arrival_ = 0;
  // Each read of reads_ is in exactly one of the following. They may also hold numbers of reads that are no
  // longer in reads_; these are skipped.
  std::vector<ArrivalNumber> awaiting_snapshot_;  // serializable, before the first snapshot
  std::vector<ArrivalNumber> unconfirmed_;        // wait for the next confirmation to be issued
  std::optional<Confirmation> confirmation_;      // in flight
  std::vector<ArrivalNumber> awaiting_target_;    // wait for the cache to reach their target
  std::deque<ArrivalNumber> ready_;
  std::deque<ArrivalNumber> ready_lists_;  // wait for tokens
  std::uint64_t next_confirmation_ = 1;
  std::uint64_t confirmation_count_ = 0;
  Time progress_requested_at_{0};
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_READ_QUEUE_H_
