// SPDX-License-Identifier: Apache-2.0
//
// The core of the relay: a watch cache between etcd and its readers. It holds the state of one key prefix at
// one revision, a bounded window of past events, and one cursor per subscriber. Pure: events and the time go
// in, actions come out; no socket, clock, thread or global. docs/watch_cache.md has the invariants.
//
// Revisions, cluster ids and error texts are the source's (etcd's v3 API, "KV" and "Watch"). A linearizable
// read is answered only after the upstream has confirmed a committed revision by a read that began after this
// one arrived, and once the cache has reached that revision (the read-index technique); one confirmation
// serves all reads that wait.
#ifndef BADGERBRIDGE_WATCH_CACHE_RELAY_H_
#define BADGERBRIDGE_WATCH_CACHE_RELAY_H_

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

using Time = std::chrono::milliseconds;  // monotonic
using SubscriberId = std::uint64_t;      // chosen by the caller, never used twice
using ReadId = std::uint64_t;            // likewise

struct Settings {
  std::string prefix;                   // keys outside it are refused
  std::uint64_t member_id = 0;          // in response headers: which relay answered
  std::size_t window_bytes = 16 << 20;  // of past events that a returning watch may resume from
  std::size_t window_events = 100000;   // likewise
  std::size_t backlog_bytes = 1 << 20;  // of a subscriber: beyond it, its backlog is merged by key
  std::size_t merged_events = 20000;    // of a subscriber: beyond it, it is told to read again
  std::size_t max_subscribers = 20000;
  std::size_t max_waiting_reads = 20000;
  Time read_timeout{1000};               // of a read that waits for the upstream
  Time progress_interval{500};           // for subscribers that asked to be notified
  double list_bytes_per_second = 200e6;  // of answers to reads of more than one key: bounds restarts
  std::size_t list_burst_bytes = 64 << 20;
  Time drain_period{3000};  // over which subscribers are sent elsewhere at a shutdown
  // Once the upstream is lost for so long, watches are ended (UNAVAILABLE) and none is taken, until it is
  // followed again: a reader that stayed would hear of nothing while another relay may know. Longer than a
  // follower needs to be at another endpoint.
  Time upstream_grace{100};
  // True for a put that every subscriber must see even where a newer one replaces it, such as a drain.
  // Deletions always are. Null: no put is.
  std::function<bool(const etcdserverpb::KeyValue&)> must_deliver;
};

class Relay {
 public:
  // ---- actions
  struct AnswerRead {
    ReadId read;
    etcd::Status status;
    etcdserverpb::RangeResponse response;  // valid if status.ok()
  };
  // One linearizable read of one key upstream; at most one is under way. Its result goes to
  // RevisionConfirmed.
  struct ConfirmRevision {
    std::uint64_t confirmation;
  };
  // Take(subscriber) has something to send. Given once; again only after a Take returned false.
  struct WakeSubscriber {
    SubscriberId subscriber;
  };
  // End the subscriber's stream; it is forgotten here.
  struct EndSubscriber {
    SubscriberId subscriber;
    etcd::Status status;
  };
  // Reads wait for the cache to reach a confirmed revision: ask the upstream's watch for its progress.
  // Without it, writes outside the prefix would move the source's revision and nothing would tell the cache.
  struct RequestUpstreamProgress {};
  // What came from upstream contradicts itself or what came before; nothing of it was taken. Drop that
  // connection and list again, elsewhere if there is another: until the next UpstreamSnapshot, events and
  // progress are not taken.
  struct RejectUpstream {
    std::string why;
  };
  using Action = std::variant<AnswerRead, ConfirmRevision, WakeSubscriber, EndSubscriber,
                              RequestUpstreamProgress, RejectUpstream>;
  using Actions = std::vector<Action>;

  explicit Relay(Settings settings);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // ---- the upstream
  // The whole state of the prefix at `revision`. Another cluster id or a lower revision than before: history
  // was replaced, all subscribers are told to read again. Same history and a higher revision: what lay
  // between is not known; watches from there are canceled with the revision as compacted, as etcd does.
  void UpstreamSnapshot(Time now, std::uint64_t cluster_id, std::int64_t revision,
                        std::vector<etcdserverpb::KeyValue> kvs, Actions* actions);
  // Events in (the revision so far, `revision`], in order, every revision whole.
  void UpstreamEvents(Time now, std::int64_t revision, std::vector<etcdserverpb::Event> events,
                      Actions* actions);
  // Nothing more is under way up to `revision`.
  void UpstreamProgress(Time now, std::int64_t revision, Actions* actions);
  // The way up is lost: serializable reads and watches go on at the last state, linearizable reads fail in
  // time.
  void UpstreamLost(Time now, const std::string& why, Actions* actions);
  void RevisionConfirmed(Time now, std::uint64_t confirmation, const etcd::Status& status,
                         const etcdserverpb::ResponseHeader& header, Actions* actions);

  // ---- readers
  void Read(Time now, ReadId read, const etcdserverpb::RangeRequest& request, Actions* actions);
  void CancelRead(ReadId read);  // nobody waits for it any more

  // ---- subscribers: one watch each
  void Subscribe(Time now, SubscriberId subscriber, const etcdserverpb::WatchCreateRequest& request,
                 Actions* actions);
  void Unsubscribe(SubscriberId subscriber);
  void RequestProgress(Time now, SubscriberId subscriber, Actions* actions);
  // The next message for a subscriber whose transport has room, its watch_id left 0; false if there is none.
  // The first has `created` set; a watch that is refused for its range gets one with `created` and
  // `canceled`. (One that is refused for a bound, a shutdown or the lack of a state is ended by
  // EndSubscriber.) Its events hold whole revisions, or a fragment where the watch asked for fragments and
  // `max_bytes` would be passed. A message with `canceled` set is the subscriber's last: it is forgotten
  // here.
  bool Take(Time now, SubscriberId subscriber, std::size_t max_bytes, etcdserverpb::WatchResponse* response);

  // ---- time and the end
  // Sends all subscribers elsewhere (UNAVAILABLE), spread over drain_period; new reads and watches are
  // refused.
  void Drain(Time now, Actions* actions);
  bool drained() const;  // after Drain: no subscriber and no read is left
  void Tick(Time now, Actions* actions);
  std::optional<Time> NextWake() const;

  // ---- what it holds
  struct Status {
    bool connected = false;  // to the upstream, and followed
    std::uint64_t cluster_id = 0;
    std::int64_t revision = 0;          // all up to it is in the cache
    std::int64_t compact_revision = 0;  // a watch from it or before can't be served
    Time last_heard{0};                 // from the upstream
    std::size_t keys = 0, state_bytes = 0, window_events = 0, window_bytes = 0;
    std::size_t subscribers = 0, slow_subscribers = 0, merged_events = 0, waiting_reads = 0;
    std::uint64_t reads = 0, lists = 0, confirmations = 0, snapshots = 0, resumed = 0, told_to_reread = 0,
                  refused = 0, upstream_rejected = 0;
    std::string last_upstream_error;  // of UpstreamLost or RejectUpstream
  };
  Status status() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_RELAY_H_
