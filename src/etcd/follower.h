// SPDX-License-Identifier: Apache-2.0

/// \file
/// Follows one prefix of etcd's keys (etcd's v3 API, services KV and Watch: etcd.proto) at one of several
/// endpoints. A pure state machine: events and the monotonic time go in, actions come out. FollowerLink
/// carries the actions out. docs/etcd.md weighs the alternatives.
///
/// The first connection reads a snapshot of the prefix, in pages at one revision, by a linearizable read, and
/// watches from the revision after it. A later one first probes, by a linearizable read of one key, what is
/// committed: another cluster id or a lower revision means that history was replaced, and a new snapshot is
/// read; otherwise the watch resumes after the last revision applied. A watch that is cancelled because its
/// start revision was compacted leads to a new snapshot. Events are delivered in complete revisions, in
/// order, their fragments joined, none twice.
///
/// Of a prefix with sections only these are followed: read one after the other at one revision, and watched
/// by one watch each on one stream. Order holds within a section; etcd guarantees none between watches.
#ifndef BADGERBRIDGE_ETCD_FOLLOWER_H_
#define BADGERBRIDGE_ETCD_FOLLOWER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "etcd.pb.h"
#include "etcd/error.h"
#include "etcd/follower_error.h"
#include "etcd/status.h"

namespace badgerbridge::etcd {

/// Configuration of a follower.
struct FollowerSettings {
  /// A duration.
  using Time = std::chrono::milliseconds;

  std::string prefix;  ///< Of the keys that are followed.
  /// Only the keys under prefix + section, for each of these; empty: all under the prefix. None may be the
  /// beginning of another.
  std::vector<std::string> sections;
  std::size_t endpoints = 1;     ///< How many there are; the first one is drawn at random.
  std::int64_t page_size = 250;  ///< Keys of a page.
  bool authenticate = false;     ///< Whether a connection must authenticate first.
  /// After the loss of an established watch the next attempt follows within this time, drawn at random, since
  /// all clients of a server that ended lose their watches at the same instant.
  Time reconnect_spread{80};
  /// The pause after another failure is drawn from the upper half of the backoff, which doubles with each.
  Time first_backoff{20};
  Time max_backoff{2000};      ///< The largest backoff.
  Time overload_backoff{500};  ///< The smallest backoff after RESOURCE_EXHAUSTED.
  Time max_silence{1500};      ///< After this time without a message of the watch, its progress is requested.
  Time call_timeout{1000};     ///< Of each step, at most.
  Time min_step_timeout{100};  ///< Of each step towards a watch, at least, once a watch was established.
  std::size_t max_snapshot_bytes = 256 << 20;  ///< Keys and values; a larger snapshot is an error.
  std::size_t max_buffered_events = 200000;    ///< Of fragments that wait for the end of their revision.
};

/// See the top of the file. Not thread-safe.
class Follower {
 public:
  /// Monotonic time, or a duration.
  using Time = std::chrono::milliseconds;

  // ---- actions: input and output

  /// Connect to an endpoint, in place of the current connection.
  struct Connect {
    std::size_t endpoint;  ///< Its index.
  };
  /// Request a token for the calls on this connection.
  struct Authenticate {};
  /// Call KV.Range.
  struct Range {
    etcdserverpb::RangeRequest request;  ///< The request.
  };
  /// Open a watch stream, in place of the current one.
  struct Watch {
    etcdserverpb::WatchRequest request;  ///< Its first request.
  };
  /// Create a further watch on the stream of Watch.
  struct AddWatch {
    etcdserverpb::WatchRequest request;  ///< The request.
  };
  /// Request a progress notification on the stream of Watch.
  struct RequestProgress {};
  /// Close the current connection.
  struct Close {
    FollowerError error;  ///< The cause.
  };

  // ---- actions: results for the owner

  /// A part of the state of the prefix at `revision`.
  struct SnapshotPage {
    std::uint64_t cluster_id;                 ///< Of the cluster that was read.
    std::int64_t revision;                    ///< Of the snapshot.
    bool first;                               ///< Discards the pages of an incomplete snapshot.
    bool last;                                ///< Completes the snapshot, which replaces all earlier state.
    std::vector<etcdserverpb::KeyValue> kvs;  ///< The keys of the page, in order.
    std::size_t section = 0;                  ///< Index in the settings' sections; 0 without sections.
    bool ends_section = false;                ///< The last page of its section.
  };
  /// All events of a section after its revision so far, up to and including `revision`.
  struct Events {
    std::uint64_t cluster_id;                 ///< Of the cluster that is watched.
    std::int64_t revision;                    ///< The section's revision now.
    std::vector<etcdserverpb::Event> events;  ///< In order of revision.
    std::size_t section = 0;                  ///< Index in the settings' sections; 0 without sections.
  };
  /// The watch is alive, and all events up to `revision` were delivered.
  struct Progress {
    std::int64_t revision;  ///< The lowest of all sections.
  };
  /// The connection was lost or an attempt failed; another attempt follows.
  struct Disconnected {
    FollowerError error;  ///< The cause.
  };
  /// One action.
  using Action = std::variant<Connect, Authenticate, Range, Watch, AddWatch, RequestProgress, Close,
                              SnapshotPage, Events, Progress, Disconnected>;
  /// Actions, in order. Every input below appends to its `actions`.
  using Actions = std::vector<Action>;

  /// Does nothing until the first Tick. `seed` seeds the order of endpoints and the jitter.
  Follower(FollowerSettings settings, std::uint64_t seed);

  // ---- inputs

  /// To be called at NextWake, and once to start.
  void Tick(Time now, Actions* actions);
  /// The connection is open.
  void Opened(Time now, Actions* actions);
  /// The answer to Authenticate.
  void Authenticated(Time now, const Status& status, Actions* actions);
  /// The answer to Range.
  void RangeCompleted(Time now, const Status& status, etcdserverpb::RangeResponse response, Actions* actions);
  /// A message of the watch stream.
  void WatchReceived(Time now, etcdserverpb::WatchResponse response, Actions* actions);
  /// The watch stream has ended.
  void WatchEnded(Time now, const Status& status, Actions* actions);
  /// The connection has ended, or could not be opened.
  void Closed(Time now, const ConnectionError& error, Actions* actions);
  /// The owner found that data contradicts itself or earlier data: gives up the connection, and the next one
  /// reads a snapshot, whatever its revision. `reason` is for people.
  void Reject(Time now, const std::string& reason, Actions* actions);

  // ---- state

  Time NextWake() const { return wake_at_; }                    ///< When Tick is due.
  std::uint64_t cluster_id() const { return cluster_id_; }      ///< Of the last complete snapshot.
  std::int64_t revision() const;                                ///< Everything up to it was delivered.
  std::uint64_t snapshots() const { return snapshots_; }        ///< How many were completed.
  std::uint64_t resumes() const { return resumes_; }            ///< Watches resumed without a snapshot.
  std::string_view state() const;                               ///< A word for operators.
  bool watching() const { return state_ == State::kWatching; }  ///< Whether a watch was requested.
  const std::optional<FollowerError>& last_error() const { return last_error_; }  ///< Nothing: none yet.
  std::string last_error_message() const;  ///< Of last_error(), for people; empty: none yet.

 private:
  enum class State { kWaiting, kConnecting, kAuthenticating, kProbing, kListing, kWatching };

  // The keys under one prefix, which have one watch.
  struct Section {
    bool Contains(const std::string& key) const { return key.rfind(prefix, 0) == 0; }

    std::string prefix;
    std::int64_t revision = 0;  // delivered up to it
    bool is_watched = false;    // the watch is established
    std::vector<etcdserverpb::Event> fragments = {};
  };

  // The snapshot that is being read.
  struct PendingSnapshot {
    std::size_t section = 0;    // whose pages are being read
    std::int64_t revision = 0;  // of all pages; 0: none was read yet
    std::uint64_t cluster_id = 0;
    std::size_t bytes = 0;  // of keys and values so far
  };

  // ---- connections
  void StartConnecting(Time now, Actions* actions);
  void EnterStep(Time now, State state);
  void CompleteStep(Time now);
  void Fail(Time now, FollowerError error, Actions* actions);
  Time DrawPause(Code code);
  std::uint64_t DrawUpTo(std::uint64_t limit) { return random_() % (limit + 1); }

  // ---- snapshots
  void StartProbe(Time now, Actions* actions);
  void ProbeCompleted(Time now, const etcdserverpb::ResponseHeader& header, Actions* actions);
  void StartSnapshot(Time now, Actions* actions);
  void RequestFirstPage(Time now, Actions* actions);
  void RequestPage(Time now, std::string first_key, Actions* actions);
  void RangeFailed(Time now, const Status& status, Actions* actions);
  std::optional<FollowerError> AddToSnapshot(const etcdserverpb::RangeResponse& response);
  void ApplyPage(Time now, etcdserverpb::RangeResponse response, Actions* actions);
  void CompleteSnapshot(Time now, Actions* actions);

  // ---- watches
  void StartWatch(Time now, Actions* actions);
  etcdserverpb::WatchRequest MakeCreateRequest(std::size_t section) const;
  Section* FindWatchedSection(std::int64_t watch_id);
  void WatchCancelled(Time now, const etcdserverpb::WatchResponse& response, Actions* actions);
  void WatchCreated(Section& section, Actions* actions);
  void ApplyProgress(std::int64_t watch_id, std::int64_t revision, Actions* actions);
  void BufferEvents(Time now, Section& section, etcdserverpb::WatchResponse response, Actions* actions);
  void ApplyEvents(Time now, Section& section, Actions* actions);

  FollowerSettings settings_;
  std::mt19937_64 random_;
  State state_ = State::kWaiting;
  // A random order, so that clients that lose the same endpoint together spread over all others.
  std::vector<std::size_t> endpoint_order_;
  std::size_t endpoint_ = 0;  // index in endpoint_order_
  Time wake_at_{0};
  Time backoff_;
  Time step_timeout_;
  Time step_began_at_{0};
  Time longest_step_{0};                // of this connection's steps up to the watch
  std::size_t failures_ = 0;            // since a watch was established
  bool is_progress_requested_ = false;  // and no message has come since
  bool is_established_ = false;         // a watch, on this connection
  bool has_snapshot_ = false;           // cluster_id_ and the sections' revisions are valid
  std::uint64_t cluster_id_ = 0;
  std::vector<Section> sections_;  // at least one
  PendingSnapshot pending_;
  std::uint64_t snapshots_ = 0;
  std::uint64_t resumes_ = 0;
  std::optional<FollowerError> last_error_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_FOLLOWER_H_
