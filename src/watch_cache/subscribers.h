// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The watches on the cache. A subscriber that keeps up has only a position in the shared window. A
/// subscriber that lags too far behind has a backlog merged by key (merged_backlog.h) until it has caught up.
///
/// Invariant, for a subscriber that has applied its messages in order: after each complete response (the last
/// of its fragments) it holds the source's state, of its range and filters, at the header's revision.
#ifndef BADGERBRIDGE_WATCH_CACHE_SUBSCRIBERS_H_
#define BADGERBRIDGE_WATCH_CACHE_SUBSCRIBERS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "etcd.pb.h"
#include "watch_cache/key_range.h"
#include "watch_cache/merged_backlog.h"
#include "watch_cache/read_queue.h"
#include "watch_cache/watch_cache.h"
#include "watch_cache/window.h"

namespace badgerbridge::watch_cache {

/// All subscribers of a watch cache. Not thread-safe.
class Subscribers {
 public:
  /// The actions that the caller has to perform.
  using Actions = WatchCache::Actions;

  /// Keeps references to both, which must outlive this.
  Subscribers(const Settings& settings, const Window& window) : settings_(settings), window_(window) {}

  std::size_t size() const { return subscribers_.size(); }           ///< Current watches.
  std::size_t slow() const { return slow_.size(); }                  ///< Those with a merged backlog.
  std::size_t merged_events() const { return merged_event_count_; }  ///< In all backlogs.
  std::uint64_t resumed() const { return resumed_count_; }      ///< Started at a past revision, in total.
  std::uint64_t compacted() const { return compacted_count_; }  ///< Canceled as compacted, in total.

  /// Adds a watch. `rejection`, if not empty, is the reason why its range cannot be watched.
  void Add(Time now, SubscriberId id, const etcdserverpb::WatchCreateRequest& request, std::string rejection,
           const CachePosition& position, Actions* actions);

  /// Removes a watch. Unknown ids are ignored.
  void Remove(SubscriberId id);

  /// Requests a progress notification, which is sent after all pending events. Unknown ids are ignored.
  void RequestProgress(SubscriberId id, Actions* actions);

  /// To be called after a batch was appended to the window and before the window is trimmed.
  void BatchAppended(const CachePosition& position, Actions* actions);

  /// The window was reset: cancels all watches that have not reached `revision`.
  void CancelAllAsCompacted(std::int64_t revision, Actions* actions);

  /// See WatchCache::NextMessage. `may_report_progress`: the upstream is followed, so that the cache's
  /// revision is current.
  std::optional<etcdserverpb::WatchResponse> NextMessage(Time now, SubscriberId id, std::size_t max_bytes,
                                                         const CachePosition& position,
                                                         bool may_report_progress);

  /// Wakes the subscribers whose progress notification is due.
  void Tick(Time now, Actions* actions);

  /// When the next progress notification is due. Empty if there is none.
  std::optional<Time> NextWake() const;

  /// To be called once the upstream is followed again: wakes the subscribers whose progress notification is
  /// due.
  void WakeForProgress(Actions* actions);

  /// Ends the `count` subscribers with the lowest ids.
  void End(std::size_t count, const etcd::Status& status, Actions* actions);

 private:
  struct Subscriber {
    KeyRange range;
    bool wants_puts = true;
    bool wants_deletions = true;
    bool wants_previous = false;
    bool accepts_fragments = false;
    bool progress_notify = false;
    std::int64_t next_revision = 0;  // events before it are not wanted
    bool created = false;            // the first message was returned
    std::string rejection;           // why it is canceled once created; empty: it is not canceled
    std::int64_t compacted = 0;      // compact_revision of its cancellation; 0: not canceled
    bool awake = false;              // has been woken and may have messages; if not, all were returned
    bool progress_due = false;
    Time last_message{0};
    std::uint64_t cursor = 0;                // while awake and not slow: the next batch in the window
    std::unique_ptr<MergedBacklog> backlog;  // while slow
    // The response that is being sent, as a whole or in fragments: a batch of the window, or merged events.
    BatchPtr batch;
    std::vector<MergedBacklog::Entry> merged;
    std::size_t sent_events = 0;  // of either
    std::int64_t sending_revision = 0;
    std::size_t counted_events = 0;  // included in merged_event_count_
    Time notification_due{0};        // its key in notifications_
  };

  // When a progress notification is due.
  struct Notification {
    Time due;
    SubscriberId subscriber;
    auto operator<=>(const Notification&) const = default;
  };

  // An event that is to be sent.
  struct PendingEvent {
    const StoredEvent* event = nullptr;  // null: there is none
    KeyValuePtr previous;
  };

  static bool IsWanted(const Subscriber& subscriber, const StoredEvent& event);
  static std::vector<StoredEventPtr> WantedEvents(const Subscriber& subscriber, const Batch& batch);
  static Subscriber MakeSubscriber(const etcdserverpb::WatchCreateRequest& request);
  void Wake(SubscriberId id, Subscriber* subscriber, Actions* actions);
  void NotifySubscribers(std::uint64_t sequence, const CachePosition& position, Actions* actions);
  void SwitchToBacklog(SubscriberId id, Subscriber* subscriber, const CachePosition& position);
  static void DetachFromBatch(Subscriber* subscriber);
  void AddToBacklog(SubscriberId id, Subscriber* subscriber, const Batch& batch,
                    const CachePosition& position);
  void CancelAsCompacted(SubscriberId id, Subscriber* subscriber, std::int64_t compact_revision);
  void DropBacklog(SubscriberId id, Subscriber* subscriber);
  static void ClearResponse(Subscriber* subscriber);
  void RecountMergedEvents(Subscriber* subscriber);
  void ScheduleNotification(SubscriberId id, Subscriber* subscriber, Time due);
  bool IsLagging(const Subscriber& subscriber) const;
  bool LoadNextResponse(SubscriberId id, Subscriber* subscriber);
  static PendingEvent NextEvent(Subscriber* subscriber);
  static void AppendEvents(Subscriber* subscriber, std::size_t max_bytes,
                           etcdserverpb::WatchResponse* response);
  etcdserverpb::WatchResponse EmptyMessage(const CachePosition& position) const;
  etcdserverpb::WatchResponse CreatedMessage(SubscriberId id, Subscriber* subscriber,
                                             const CachePosition& position);
  etcdserverpb::WatchResponse CompactedMessage(SubscriberId id, const Subscriber& subscriber,
                                               const CachePosition& position);

  const Settings& settings_;
  const Window& window_;
  std::map<SubscriberId, Subscriber> subscribers_;
  // Many subscribers watch the same range.
  std::map<KeyRange, std::unordered_set<SubscriberId>> by_range_;
  std::unordered_set<SubscriberId> catching_up_;  // awake and not slow: they need batches of the window
  std::unordered_set<SubscriberId> slow_;
  std::set<Notification> notifications_;  // the earliest first
  std::size_t merged_event_count_ = 0;
  std::uint64_t resumed_count_ = 0;
  std::uint64_t compacted_count_ = 0;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_SUBSCRIBERS_H_
