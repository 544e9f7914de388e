// SPDX-License-Identifier: Apache-2.0

/// \file
/// Follows the keys under one etcd prefix (etcd's v3 API, services KV and Watch: etcd.proto) through one of
/// several endpoints. A state machine without I/O: its inputs are events and the monotonic time, its outputs
/// are actions, which FollowerLink performs. docs/etcd.md discusses the alternatives.
///
/// The first connection reads a snapshot of the prefix with linearizable reads, in pages at one revision, and
/// watches from the next revision. A later connection first probes the committed revision by a linearizable
/// read of one key. Another cluster id or a lower revision means that history was replaced, and a new
/// snapshot is read; otherwise the watch resumes after the last applied revision. If a watch is cancelled
/// because its start revision was compacted, a new snapshot is read. Events are delivered in order, in
/// complete revisions with their fragments joined, and never twice.
///
/// If sections are configured, only those parts of the prefix are followed. They are read one after the other
/// at one revision, and each has its own watch on a shared stream. Events are ordered within a section only,
/// because etcd guarantees no order between watches.
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

  std::string prefix;  ///< Prefix of the followed keys.
  /// If not empty, only keys that begin with prefix + section are followed. No section may be a prefix of
  /// another.
  std::vector<std::string> sections;
  std::size_t endpoints = 1;     ///< Number of endpoints; the order is random.
  std::int64_t page_size = 250;  ///< Keys per page of a snapshot.
  bool authenticate = false;     ///< Whether a connection must authenticate first.
  /// After an established watch is lost, the next attempt starts after a random delay of at most this time,
  /// because all clients of a terminated server lose their watches at the same instant.
  Time reconnect_spread{80};
  /// The delay after any other failure is random, from the upper half of the backoff. The backoff doubles
  /// with each failure.
  Time first_backoff{20};
  Time max_backoff{2000};         ///< The largest backoff.
  Time overload_backoff{500};     ///< The smallest backoff after RESOURCE_EXHAUSTED.
  Time watch_idle_timeout{1500};  ///< Without a watch response for this time, progress is requested.
  Time call_timeout{1000};        ///< Upper bound of the timeout of each step.
  Time min_step_timeout{100};     ///< Its lower bound, once a watch was established.
  std::size_t max_snapshot_bytes = 256 << 20;  ///< Of keys and values; a larger snapshot is an error.
  std::size_t max_buffered_events = 200000;    ///< Events held until their revision is complete.
};

/// See the file comment. Not thread-safe.
class Follower {
 public:
  /// Monotonic time, or a duration.
  using Time = std::chrono::milliseconds;

  // ---- actions: input and output

  /// Connect to an endpoint, replacing the current connection.
  struct Connect {
    std::size_t endpoint;  ///< Index of the endpoint.
  };
  /// Request a token for the calls on this connection.
  struct Authenticate {};
  /// Call KV.Range.
  struct Range {
    etcdserverpb::RangeRequest request;  ///< The request.
  };
  /// Open a watch stream, replacing the current one.
  struct Watch {
    etcdserverpb::WatchRequest request;  ///< The first request on the stream.
  };
  /// Create another watch on the stream opened by Watch.
  struct AddWatch {
    etcdserverpb::WatchRequest request;  ///< The request.
  };
  /// Request a progress notification on the stream opened by Watch.
  struct RequestProgress {};
  /// Close the current connection.
  struct Close {
    FollowerError error;  ///< The cause.
  };

  // ---- actions: results for the owner

  /// A part of the state of the prefix at `revision`.
  struct SnapshotPage {
    std::uint64_t cluster_id;                 ///< Cluster that was read.
    std::int64_t revision;                    ///< Revision of the snapshot.
    bool first;                               ///< Discards the pages of an incomplete snapshot.
    bool last;                                ///< Completes the snapshot, which replaces all earlier state.
    std::vector<etcdserverpb::KeyValue> kvs;  ///< Keys and values of the page, ordered by key.
    std::size_t section = 0;                  ///< Index in the settings' sections; 0 without sections.
    bool ends_section = false;                ///< Whether this is the last page of its section.
  };
  /// All events of a section after its previous revision, up to and including `revision`.
  struct Events {
    std::uint64_t cluster_id;                 ///< Cluster that is watched.
    std::int64_t revision;                    ///< New revision of the section.
    std::vector<etcdserverpb::Event> events;  ///< In order of revision.
    std::size_t section = 0;                  ///< Index in the settings' sections; 0 without sections.
  };
  /// The watch is alive and all events up to `revision` were delivered.
  struct Progress {
    std::int64_t revision;  ///< Lowest revision of all sections.
  };
  /// The connection was lost or an attempt failed; another attempt follows.
  struct Disconnected {
    FollowerError error;  ///< The cause.
  };
  /// An output of the follower.
  using Action = std::variant<Connect, Authenticate, Range, Watch, AddWatch, RequestProgress, Close,
                              SnapshotPage, Events, Progress, Disconnected>;
  /// Actions in the order to perform them. Every input below appends to its `actions`.
  using Actions = std::vector<Action>;

  /// Does nothing until the first Tick. `seed` determines the order of the endpoints and the jitter.
  Follower(FollowerSettings settings, std::uint64_t seed);

  // ---- inputs

  /// Must be called once to start, and then at NextWake.
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
  /// The connection has ended or could not be opened.
  void Closed(Time now, const ConnectionError& error, Actions* actions);
  /// The owner found data that is inconsistent in itself or with earlier data. Closes the connection; the
  /// next connection reads a snapshot, whatever its revision. `reason` is a human-readable text.
  void Reject(Time now, const std::string& reason, Actions* actions);

  // ---- state

  Time NextWake() const { return wake_at_; }                ///< Time of the next Tick.
  std::uint64_t cluster_id() const { return cluster_id_; }  ///< Cluster of the last complete snapshot.
  std::int64_t revision() const;                            ///< All events up to it were delivered.
  std::uint64_t snapshots() const { return snapshots_; }    ///< Number of completed snapshots.
  std::uint64_t resumes() const { return resumes_; }        ///< Number of watches resumed without a snapshot.
  std::string_view state() const;                           ///< State name for status pages.
  bool watching() const { return state_ == State::kWatching; }  ///< Whether a watch was requested.
  /// The last error; nullopt before the first error.
  const std::optional<FollowerError>& last_error() const { return last_error_; }
  /// A human-readable text of last_error(); empty before the first error.
  std::string last_error_message() const;

 private:
  enum class State { kWaiting, kConnecting, kAuthenticating, kProbing, kReadingSnapshot, kWatching };

  // The keys under one prefix, followed by one watch.
  struct Section {
    bool Contains(const std::string& key) const { return key.rfind(prefix, 0) == 0; }

    std::string prefix;
    std::int64_t revision = 0;  // all events up to it were delivered
    bool is_watched = false;    // whether the watch is established
    std::vector<etcdserverpb::Event> fragments = {};
  };

  // The snapshot that is being read.
  struct PendingSnapshot {
    std::size_t section = 0;    // section that is being read
    std::int64_t revision = 0;  // of all pages; 0 until the first page is read
    std::uint64_t cluster_id = 0;
    std::size_t bytes = 0;  // keys and values read so far
  };

  // ---- connections
  void StartConnecting(Time now, Actions* actions);
  void EnterStep(Time now, State state);
  void CompleteStep(Time now);
  void Fail(Time now, FollowerError error, Actions* actions);
  Time NextRetryDelay(Code code);
  std::uint64_t RandomUpTo(std::uint64_t limit) { return random_() % (limit + 1); }

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
  // Random order, so that clients that lose the same endpoint at once spread over all other endpoints.
  std::vector<std::size_t> endpoint_order_;
  std::size_t endpoint_ = 0;  // index in endpoint_order_
  Time wake_at_{0};
  Time backoff_;
  Time step_timeout_;
  Time step_began_at_{0};
  Time longest_step_{0};                // on this connection, until the watch is established
  std::size_t failures_ = 0;            // since a watch was last established
  bool is_progress_requested_ = false;  // and no response received since
  bool is_established_ = false;         // whether a watch is established on this connection
  bool has_snapshot_ = false;           // whether cluster_id_ and the sections' revisions are valid
  std::uint64_t cluster_id_ = 0;
  std::vector<Section> sections_;  // never empty
  PendingSnapshot pending_;
  std::uint64_t snapshots_ = 0;
  std::uint64_t resumes_ = 0;
  std::optional<FollowerError> last_error_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_FOLLOWER_H_
