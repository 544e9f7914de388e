// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The core of the watch cache between etcd and its readers: a sans-I/O state machine. It holds the state of
/// one key prefix at one revision, a bounded window of past events, and one cursor per subscriber. Events and
/// the time go in, actions come out; it uses no socket, clock, thread or global state. The invariants are
/// documented on the watch cache's design page.
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
  std::uint64_t member_id = 0;  ///< In response headers: which cache answered.

  std::size_t max_window_bytes = 16 << 20;  ///< Past events from which a returning watch may resume.
  std::size_t max_window_events = 100000;   ///< Past events from which a returning watch may resume.
  std::size_t max_backlog_bytes = 1 << 20;  ///< Of a subscriber; beyond it, its backlog is merged by key.
  std::size_t max_merged_events = 20000;  ///< Of a subscriber; beyond it, its watch is canceled as compacted.
  std::size_t max_subscribers = 20000;    ///< Further watches are rejected.
  std::size_t max_waiting_reads = 20000;  ///< Further reads are rejected.
  Time read_timeout{1000};                ///< A read that waits longer fails.
  Time progress_interval{500};            ///< Between notifications of watches with progress_notify.
  double list_bytes_per_second = 200e6;   ///< Rate of answers to reads of more than one key.
  std::size_t list_burst_bytes = 64 << 20;  ///< Token bucket size of that rate.
  Time drain_period{3000};                  ///< Over which Drain ends all subscribers.

  /// Once the upstream has been lost for this long, all watches are ended (UNAVAILABLE) and none is accepted
  /// until it is followed again, because another cache may have newer events. Longer than a follower needs to
  /// reach another endpoint.
  Time upstream_grace{100};

  /// Returns true for a put that every subscriber must see even if a newer put replaces it, such as the
  /// drain of a backend. Deletions always must be seen. Null: no put must.
  std::function<bool(const etcdserverpb::KeyValue&)> must_deliver;
};

/// The cache. Not thread-safe. Every call appends what has to be done to `actions`, which the caller owns.
class WatchCache {
 public:
  // ---- actions

  /// Answer a read; it is forgotten here.
  struct AnswerRead {
    ReadId read;                           ///< As given to Read.
    etcd::Status status;                   ///< The status of the call.
    etcdserverpb::RangeResponse response;  ///< Valid if status.ok().
  };

  /// Issue one linearizable read of one key upstream, and report its result to RevisionConfirmed. At most one
  /// is in flight.
  struct ConfirmRevision {
    std::uint64_t confirmation;  ///< To be handed to RevisionConfirmed.
  };

  /// NextMessage(subscriber) has something to send. Given once, and again only after NextMessage returned
  /// nothing.
  struct WakeSubscriber {
    SubscriberId subscriber;  ///< As given to Subscribe.
  };

  /// End the subscriber's stream; it is forgotten here.
  struct EndSubscriber {
    SubscriberId subscriber;  ///< As given to Subscribe.
    etcd::Status status;      ///< The status of the stream.
  };

  /// Reads wait for the cache to reach a confirmed revision: request a progress notification from the
  /// upstream's watch. Without it, writes outside the prefix would move the source's revision unnoticed.
  struct RequestUpstreamProgress {};

  /// Data from upstream contradicts itself or earlier data; nothing of it was applied. Drop that connection
  /// and list again, at another endpoint if there is one. Until the next UpstreamSnapshot, events and
  /// progress are ignored.
  struct RejectUpstream {
    std::string reason;  ///< For people.
  };

  /// What the caller has to do.
  using Action = std::variant<AnswerRead, ConfirmRevision, WakeSubscriber, EndSubscriber,
                              RequestUpstreamProgress, RejectUpstream>;
  /// In the order in which they have to be done.
  using Actions = std::vector<Action>;

  /// Starts without state, until the first UpstreamSnapshot.
  explicit WatchCache(Settings settings);
  ~WatchCache();
  WatchCache(const WatchCache&) = delete;
  WatchCache& operator=(const WatchCache&) = delete;

  // ---- the upstream

  /// The complete state of the prefix at `revision`. If the cluster id differs or the revision is lower than
  /// before, history was replaced, and all subscribers are ended. If the history is the same and the revision
  /// is higher, the events between are unknown, and watches from before are canceled with the revision as
  /// compacted, as etcd does.
  void UpstreamSnapshot(Time now, std::uint64_t cluster_id, std::int64_t revision,
                        std::vector<etcdserverpb::KeyValue> kvs, Actions* actions);

  /// All events in (the revision so far, `revision`], in order, every revision complete.
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

  /// The reader does not wait any longer. Unknown reads are ignored.
  void CancelRead(ReadId read);

  // ---- subscribers, one for each watch

  /// Starts a watch. The subscriber is ended at once by EndSubscriber if a bound is reached, during a drain,
  /// and without a current state.
  void Subscribe(Time now, SubscriberId subscriber, const etcdserverpb::WatchCreateRequest& request,
                 Actions* actions);

  /// The watch is over. Unknown subscribers are ignored.
  void Unsubscribe(SubscriberId subscriber);

  /// The subscriber requested a progress notification.
  void RequestProgress(Time now, SubscriberId subscriber, Actions* actions);

  /// The next message of a subscriber whose transport can take one, with watch_id left 0. Empty if there is
  /// none. The first message has `created` set; a watch that is rejected for its range gets one with
  /// `created` and `canceled`. The events are those of complete revisions, or a fragment if the watch asked
  /// for fragments and `max_bytes` would be exceeded. A message with `canceled` set is the last: the
  /// subscriber is forgotten here.
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
    Time last_upstream_message{0};      ///< When the upstream was last heard from; 0: never.
    std::size_t keys = 0;               ///< In the cache.
    std::size_t state_bytes = 0;        ///< Of those keys with their values, as encoded.
    std::size_t window_events = 0;      ///< Past events held.
    std::size_t window_bytes = 0;       ///< Past events held.
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
    std::string last_upstream_error;        ///< Of UpstreamLost or RejectUpstream; for people.
  };
  Status status() const;  ///< The current values.

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_WATCH_CACHE_H_
