// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The core of the watch cache between etcd and its readers: a sans-I/O state machine. It holds the state of
/// one key prefix at one revision, a bounded window of past events, and one cursor per subscriber. Its
/// inputs are events and the time, its outputs are actions; it uses no socket, clock, thread or global state.
/// The invariants are documented on the watch cache's design page.
///
/// Revisions, cluster ids and error texts are those of the source (etcd's v3 API, "KV" and "Watch"). A
/// linearizable read is answered after the upstream has confirmed a committed revision by a read that began
/// after this one arrived, and once the cache has reached that revision (the read-index technique of the Raft
/// dissertation, section 6.4). One confirmation serves all reads that wait for it.
#ifndef BADGERBRIDGE_WATCH_CACHE_WATCH_CACHE_H_
#define BADGERBRIDGE_WATCH_CACHE_WATCH_CACHE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "etcd.pb.h"
#include "etcd/grpc.h"

namespace badgerbridge::watch_cache {

/// Monotonic time, in milliseconds since an arbitrary start.
using Time = std::chrono::milliseconds;
/// Identifies a watch. Chosen by the caller, never used twice.
using SubscriberId = std::uint64_t;
/// Identifies a read. Chosen by the caller, never used twice.
using ReadId = std::uint64_t;

/// Configuration of the core.
struct Settings {
  std::string prefix;           ///< Keys outside this prefix are rejected.
  std::uint64_t member_id = 0;  ///< Identifies this cache in response headers.

  std::size_t max_window_bytes = 16 << 20;  ///< Size of the past events from which a watch may resume.
  std::size_t max_window_events = 100000;   ///< Number of those past events.
  std::size_t max_backlog_bytes = 1 << 20;  ///< Of a subscriber; beyond it, its backlog is merged by key.
  std::size_t max_merged_events = 20000;  ///< Of a subscriber; beyond it, its watch is canceled as compacted.
  std::size_t max_subscribers = 20000;    ///< Further watches are rejected.
  std::size_t max_waiting_reads = 20000;  ///< Further reads are rejected.
  Time read_timeout{1000};                ///< A read that waits longer fails.
  Time progress_interval{500};            ///< Interval of watches with progress_notify.
  double list_bytes_per_second = 200e6;   ///< Rate limit of responses to reads of a range.
  std::size_t list_burst_bytes = 64 << 20;  ///< Token bucket size of that rate limit.
  Time drain_period{3000};                  ///< The time over which Drain ends all subscribers.

  /// Once the upstream has been lost for this long, all watches are ended (UNAVAILABLE) and none is accepted
  /// until the upstream is followed again, because another cache may have newer events. The time must be
  /// longer than a follower needs to reach another endpoint.
  Time upstream_grace{100};

  /// Returns true for a put that must be delivered to every subscriber even if a newer put replaces it, such
  /// as the drain of a backend. Deletions must always be delivered. Null: no put must be.
  std::function<bool(const etcdserverpb::KeyValue&)> must_deliver;
};

/// The cache. Not thread-safe. Calls append the actions that the caller has to perform to `actions`, which
/// the caller owns.
class WatchCache {
 public:
  // ---- actions

  /// Answer a read. The cache has removed it.
  struct AnswerRead {
    ReadId read;                           ///< As given to Read.
    etcd::Status status;                   ///< The status of the call.
    etcdserverpb::RangeResponse response;  ///< Valid if status.ok().
  };

  /// Issue one linearizable read of one key upstream, and report its result to RevisionConfirmed. At most one
  /// is in flight.
  struct ConfirmRevision {
    std::uint64_t confirmation;  ///< To be passed to RevisionConfirmed.
  };

  /// NextMessage(subscriber) has a message to send. Issued once, and again only after NextMessage has
  /// returned an empty result.
  struct WakeSubscriber {
    SubscriberId subscriber;  ///< As given to Subscribe.
  };

  /// End the subscriber's stream. The cache has removed the subscriber.
  struct EndSubscriber {
    SubscriberId subscriber;  ///< As given to Subscribe.
    etcd::Status status;      ///< The status of the stream.
  };

  /// Reads wait for the cache to reach a confirmed revision: request a progress notification from the
  /// upstream's watch. Without it, writes outside the prefix would move the source's revision unnoticed.
  struct RequestUpstreamProgress {};

  /// Data from upstream contradicts itself or earlier data; nothing of it was applied. Close that connection
  /// and list again, at another endpoint if there is one. Until the next UpstreamSnapshot, events and
  /// progress are ignored.
  struct RejectUpstream {
    std::string reason;  ///< For operators.
  };

  /// An action that the caller has to perform.
  using Action = std::variant<AnswerRead, ConfirmRevision, WakeSubscriber, EndSubscriber,
                              RequestUpstreamProgress, RejectUpstream>;
  /// In the order in which they have to be performed.
  using Actions = std::vector<Action>;

  /// Has no state until the first UpstreamSnapshot.
  explicit WatchCache(Settings settings);
  ~WatchCache();
  WatchCache(const WatchCache&) = delete;
  WatchCache& operator=(const WatchCache&) = delete;

  // ---- the upstream

  /// The complete state of the prefix at `revision`. If the cluster id differs or the revision is lower than
  /// before, history was replaced, and all subscribers are ended. If the history is the same and the revision
  /// is higher, the events in between are unknown, and watches from lower revisions are canceled with
  /// `revision` as the compact revision, as etcd does.
  void UpstreamSnapshot(Time now, std::uint64_t cluster_id, std::int64_t revision,
                        std::vector<etcdserverpb::KeyValue> kvs, Actions* actions);

  /// All events after the cache's revision up to `revision`, in order, every revision complete.
  void UpstreamEvents(Time now, std::int64_t revision, std::vector<etcdserverpb::Event> events,
                      Actions* actions);

  /// No further events exist up to `revision`.
  void UpstreamProgress(Time now, std::int64_t revision, Actions* actions);

  /// The connection to the upstream is lost. Serializable reads and watches continue at the last state;
  /// linearizable reads fail by their timeout.
  void UpstreamLost(Time now, const std::string& reason, Actions* actions);

  /// The result of ConfirmRevision. `header` is valid if status.ok().
  void RevisionConfirmed(Time now, std::uint64_t confirmation, const etcd::Status& status,
                         const etcdserverpb::ResponseHeader& header, Actions* actions);

  // ---- readers

  /// A range read. It is answered by exactly one AnswerRead, now or later, unless it is canceled.
  void Read(Time now, ReadId read, const etcdserverpb::RangeRequest& request, Actions* actions);

  /// Cancels a read whose reader no longer waits. Unknown reads are ignored.
  void CancelRead(ReadId read);

  // ---- subscribers, one for each watch

  /// Starts a watch. The subscriber is ended at once by EndSubscriber if a bound is reached, during a drain,
  /// and if the cache has no current state.
  void Subscribe(Time now, SubscriberId subscriber, const etcdserverpb::WatchCreateRequest& request,
                 Actions* actions);

  /// Ends a watch at its reader's request. Unknown subscribers are ignored.
  void Unsubscribe(SubscriberId subscriber);

  /// Requests a progress notification for a subscriber. Unknown subscribers are ignored.
  void RequestProgress(Time now, SubscriberId subscriber, Actions* actions);

  /// The next message of a subscriber whose transport accepts one, with watch_id left 0. Empty if there is
  /// none. The first message has `created` set; that of a watch which is rejected for its range has
  /// `created` and `canceled`. The events are those of complete revisions, or a fragment if the watch asked
  /// for fragments and `max_bytes` would be exceeded. A message with `canceled` set is the last: the
  /// cache has removed the subscriber.
  std::optional<etcdserverpb::WatchResponse> NextMessage(Time now, SubscriberId subscriber,
                                                         std::size_t max_bytes);

  // ---- shutdown and timers

  /// Ends all subscribers (UNAVAILABLE), spread over drain_period. New reads and watches are rejected.
  void Drain(Time now, Actions* actions);

  /// After Drain: whether no subscriber and no read is left.
  bool drained() const;

  /// Handles all timers that are due. To be called at NextWake() or later.
  void Tick(Time now, Actions* actions);

  /// When the earliest timer is due. Empty if there is none until another call.
  std::optional<Time> NextWake() const;

  // ---- introspection

  /// A snapshot of state and counters.
  struct Status {
    bool connected = false;             ///< The upstream is being followed.
    std::uint64_t cluster_id = 0;       ///< Of the source; 0 before the first snapshot.
    std::int64_t revision = 0;          ///< The cache holds the state at this revision.
    std::int64_t compact_revision = 0;  ///< A watch that starts at or before it cannot be served.
    Time last_upstream_message{0};      ///< When the last valid message arrived; 0: never.
    std::size_t keys = 0;               ///< In the cache.
    std::size_t state_bytes = 0;        ///< Encoded size of those keys with their values.
    std::size_t window_events = 0;      ///< Number of past events held.
    std::size_t window_bytes = 0;       ///< Size of the past events held.
    std::size_t subscribers = 0;        ///< Current watches.
    std::size_t slow_subscribers = 0;   ///< Those with a merged backlog.
    std::size_t merged_events = 0;      ///< In all merged backlogs.
    std::size_t waiting_reads = 0;      ///< Reads not answered yet.
    // Counters since the start.
    std::uint64_t reads = 0;                ///< All reads.
    std::uint64_t lists = 0;                ///< Reads of a range.
    std::uint64_t confirmations = 0;        ///< ConfirmRevision actions.
    std::uint64_t snapshots = 0;            ///< Snapshots applied.
    std::uint64_t resumed = 0;              ///< Watches that started at a past revision held in the window.
    std::uint64_t compacted = 0;            ///< Watches canceled because their revision is not held.
    std::uint64_t rejected = 0;             ///< Reads and watches rejected.
    std::uint64_t upstream_rejections = 0;  ///< RejectUpstream actions.
    std::string last_upstream_error;        ///< From UpstreamLost or RejectUpstream; for operators.
  };
  Status status() const;  ///< State and counters at the time of the call.

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_WATCH_CACHE_H_
