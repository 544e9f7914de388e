// SPDX-License-Identifier: Apache-2.0
//
// The watches on the cache. One that keeps up has a sequence number in the shared window and nothing else of
// its own; one that is too far behind has a backlog merged by key (merged_backlog.h) until it has caught up.
// Pure.
//
// Invariant, for a subscriber that has applied its messages in order: after each whole response (the last of
// its fragments) it holds the source's state, of its range and filters, at the header's revision.
#ifndef BADGERBRIDGE_WATCH_CACHE_SUBSCRIBERS_H_
#define BADGERBRIDGE_WATCH_CACHE_SUBSCRIBERS_H_

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
#include "watch_cache/reads.h"
#include "watch_cache/relay.h"
#include "watch_cache/window.h"

namespace badgerbridge::watch_cache {

class Subscribers {
 public:
  using Actions = Relay::Actions;

  Subscribers(const Settings& settings, const Window& window) : settings_(settings), window_(window) {}

  std::size_t size() const { return subscribers_.size(); }
  std::size_t slow() const { return slow_.size(); }
  std::size_t merged_events() const { return merged_events_; }
  std::uint64_t resumed() const { return resumed_; }
  std::uint64_t told_to_reread() const { return told_to_reread_; }

  // There must be room and a snapshot. `refusal`, if not empty, is why its range can't be watched.
  void Add(Time now, SubscriberId id, const etcdserverpb::WatchCreateRequest& request, std::string refusal,
           const CachePosition& position, Actions* actions);
  void Remove(SubscriberId id);
  void RequestProgress(SubscriberId id, Actions* actions);
  // The window's newest batch was appended, and nothing trimmed for it yet.
  void BatchAppended(const CachePosition& position, Actions* actions);
  // The window was reset: what lies before `revision` can't be given any more.
  void TellAllToReread(std::int64_t revision, Actions* actions);
  // `may_report_progress`: the upstream is followed, so that the cache's revision says something of now.
  bool Take(Time now, SubscriberId id, std::size_t max_bytes, const CachePosition& position,
            bool may_report_progress, etcdserverpb::WatchResponse* response);
  // Wakes those whose progress notification is due.
  void Tick(Time now, Actions* actions);
  std::optional<Time> NextWake() const;
  // The upstream is followed again: those who asked for progress meanwhile can have it.
  void WakeForProgress(Actions* actions);
  // Ends the `count` longest here.
  void End(std::size_t count, const etcd::Status& status, Actions* actions);

 private:
  struct Subscriber {
    KeyRange range;
    bool puts = true, deletions = true, prev_kv = false, fragment = false, progress_notify = false;
    std::int64_t next_revision = 0;  // events before it are not wanted
    bool created = false;            // the first message was given
    std::string refusal;             // why it is canceled once created
    std::int64_t compacted = 0;      // not 0: canceled, this revision and all before are compacted
    bool awake = false;              // has something to send; if not, it has been given all there was
    bool progress_due = false;
    Time last_message{0};
    std::uint64_t cursor = 0;                // while awake and not slow: the next batch in the window
    std::unique_ptr<MergedBacklog> backlog;  // while slow
    // The response that is being given, in fragments or at once: a batch of the window, or merged events.
    BatchPtr batch;
    std::vector<MergedBacklog::Entry> merged;
    std::size_t sent = 0;  // of either's events
    std::int64_t sending_revision = 0;
    std::size_t counted = 0;  // its share of merged_events_
    Time notify_at{0};        // its place in notify_
  };
  using ByRange = std::map<KeyRange, std::unordered_set<SubscriberId>>;

  static bool Wants(const Subscriber& subscriber, const StoredEvent& event);
  static std::vector<StoredEventPtr> Wanted(const Subscriber& subscriber, const Batch& batch);
  void Wake(SubscriberId id, Subscriber* subscriber, Actions* actions);
  void Merge(SubscriberId id, Subscriber* subscriber, const CachePosition& position);
  void AddToBacklog(SubscriberId id, Subscriber* subscriber, const Batch& batch,
                    const CachePosition& position);
  void TellToReread(SubscriberId id, Subscriber* subscriber, std::int64_t compacted);
  void DropBacklog(SubscriberId id, Subscriber* subscriber);
  static void FinishSending(Subscriber* subscriber);
  void CountMerged(Subscriber* subscriber);
  void Notify(SubscriberId id, Subscriber* subscriber, Time at);
  bool Lags(const Subscriber& subscriber) const;
  bool Load(SubscriberId id, Subscriber* subscriber);
  // The event at `sent` or the next one that is wanted; null at the end.
  static const StoredEvent* NextToSend(Subscriber* subscriber, KeyValuePtr* previous);
  static void GiveEvents(Subscriber* subscriber, std::size_t max_bytes,
                         etcdserverpb::WatchResponse* response);

  const Settings& settings_;
  const Window& window_;
  std::map<SubscriberId, Subscriber> subscribers_;
  ByRange by_range_;                              // many watch the same
  std::unordered_set<SubscriberId> catching_up_;  // awake and not slow: they need the window
  std::unordered_set<SubscriberId> slow_;
  std::set<std::pair<Time, SubscriberId>> notify_;  // by when they are due
  std::size_t merged_events_ = 0;
  std::uint64_t resumed_ = 0, told_to_reread_ = 0;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_SUBSCRIBERS_H_
