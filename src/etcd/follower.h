// SPDX-License-Identifier: Apache-2.0
//
// Follows one prefix of etcd's keys (v3 API, "KV" and "Watch") at one of several endpoints. A pure state
// machine: what happened and the monotonic time go in, actions come out; no socket, no clock. FollowerLink
// carries the actions out. docs/etcd.md weighs the alternatives.
//
// The first connection reads a snapshot of the prefix, in pages at one revision, by a linearizable read, and
// watches from the revision after it. A later one first probes, by a linearizable read of one key, what is
// committed: another cluster id or a lower revision means that history was replaced, and a new snapshot is
// read; otherwise the watch resumes after the last revision applied. A watch that is cancelled because its
// start revision was compacted leads to a new snapshot. Events are given in whole revisions, in order, their
// fragments joined, none twice.
//
// Of a prefix with sections only these are followed: read one after the other at one revision, and watched by
// one watch each on one stream. Order holds within a section; etcd gives none between watches.
#ifndef BADGERBRIDGE_ETCD_FOLLOWER_H_
#define BADGERBRIDGE_ETCD_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "etcd.pb.h"
#include "etcd/grpc.h"

namespace badgerbridge::etcd {

struct FollowerSettings {
  using Time = std::chrono::milliseconds;

  std::string prefix;
  // Only the keys under prefix + section, for each of these; empty: all under the prefix. None may be the
  // beginning of another.
  std::vector<std::string> sections;
  std::size_t endpoints = 1;     // how many there are; the first is drawn at random
  std::int64_t page_size = 250;  // keys; one page is handled at a time
  bool authenticate = false;
  // After the loss of an established watch another endpoint is tried at a time drawn from this: all readers
  // of a server that ended lose theirs in the same instant.
  Time reconnect_spread{80};
  // The pause after another failure is drawn from the upper half of the back-off, which doubles with each.
  Time first_backoff{20}, max_backoff{2000};
  Time overload_backoff{500};  // at least, after RESOURCE_EXHAUSTED
  // A watch that sends nothing, not even progress, for so long is asked for its progress.
  Time max_silence{1500};
  Time call_timeout{1000};
  // How long each step up to the watch may take at least, once a watch has been established.
  Time min_step_timeout{100};
  std::size_t max_snapshot_bytes = 256 << 20;  // keys and values; a larger state is refused
  std::size_t max_buffered_events = 200000;    // of fragments that are being joined
};

class Follower {
 public:
  using Time = std::chrono::milliseconds;  // monotonic

  // ---- actions: input and output
  struct Connect {  // replaces the connection there is
    std::size_t endpoint;
  };
  struct Authenticate {};
  struct Range {
    etcdserverpb::RangeRequest request;
  };
  struct Watch {  // replaces the watch there is
    etcdserverpb::WatchRequest request;
  };
  struct AddWatch {  // another one on the stream of Watch
    etcdserverpb::WatchRequest request;
  };
  struct RequestProgress {};
  struct Close {
    std::string why;
  };

  // ---- actions: what the caller learns
  // A part of the state of the prefix at `revision`. A page that is `first` discards what an unfinished
  // snapshot had; with the `last` the snapshot is whole and replaces all that was known.
  struct SnapshotPage {
    std::uint64_t cluster_id;
    std::int64_t revision;
    bool first, last;
    std::vector<etcdserverpb::KeyValue> kvs;
    std::size_t section = 0;  // index in the settings' sections; 0 without sections
    bool ends_section = false;
  };
  // All events of the section after its revision so far, up to and including `revision`.
  struct Events {
    std::uint64_t cluster_id;
    std::int64_t revision;
    std::vector<etcdserverpb::Event> events;
    std::size_t section = 0;
  };
  // The watch is alive, and nothing up to `revision` is still under way.
  struct Progress {
    std::int64_t revision;
  };
  // The connection was lost or an attempt failed; another follows by itself.
  struct Disconnected {
    std::string why;
  };
  using Action = std::variant<Connect, Authenticate, Range, Watch, AddWatch, RequestProgress, Close,
                              SnapshotPage, Events, Progress, Disconnected>;
  using Actions = std::vector<Action>;

  Follower(FollowerSettings settings, std::uint64_t seed);

  // ---- what happened
  void Tick(Time now, Actions* actions);  // at NextWake, and once to start
  void Opened(Time now, Actions* actions);
  void Authenticated(Time now, const Status& status, Actions* actions);
  void RangeCompleted(Time now, const Status& status, etcdserverpb::RangeResponse response, Actions* actions);
  void WatchReceived(Time now, etcdserverpb::WatchResponse response, Actions* actions);
  void WatchEnded(Time now, const Status& status, Actions* actions);
  void Closed(Time now, const std::string& why, Actions* actions);
  // What was given contradicts itself or what came before: gives up the connection, and the next one reads a
  // snapshot, whatever its revision.
  void Reject(Time now, const std::string& why, Actions* actions);

  Time NextWake() const { return wake_; }
  std::uint64_t cluster_id() const { return cluster_id_; }
  std::int64_t revision() const;                          // all up to it was given
  std::uint64_t snapshots() const { return snapshots_; }  // read whole
  std::uint64_t resumes() const { return resumes_; }      // watches that went on after the last revision
  std::string_view state() const;
  bool watching() const { return state_ == State::kWatching; }
  const std::string& last_error() const { return last_error_; }  // empty: there was none yet

 private:
  enum class State { kWaiting, kConnecting, kAuthenticating, kProbing, kListing, kWatching };

  void StartConnecting(Time now, Actions* actions);
  void EnterStep(Time now, State state);
  void StepCompleted(Time now);
  void StartProbe(Time now, Actions* actions);
  void StartSnapshot(Time now, Actions* actions);
  void RequestPage(Time now, std::string key, Actions* actions);
  void TakePage(Time now, etcdserverpb::RangeResponse response, Actions* actions);
  void StartWatch(Time now, Actions* actions);
  void Fail(Time now, const std::string& why, Actions* actions, Code code = Code::kUnavailable);
  Time DrawPause(Code code);
  std::uint64_t DrawUpTo(std::uint64_t limit) { return random_() % (limit + 1); }
  struct Section {
    std::string prefix;
    std::int64_t revision = 0;
    bool watched = false;  // the watch is established
    std::vector<etcdserverpb::Event> fragments = {};

    bool Holds(const std::string& key) const { return key.rfind(prefix, 0) == 0; }
  };
  void RequestFirstPage(Time now, Actions* actions);
  Section* SectionOf(std::int64_t watch_id);
  void WatchCreated(Section& section, Actions* actions);
  void TakeProgress(std::int64_t watch_id, std::int64_t revision, Actions* actions);
  void ApplyEvents(Time now, Section& section, Actions* actions);
  etcdserverpb::WatchRequest CreateRequest(std::size_t section) const;

  FollowerSettings settings_;
  std::mt19937_64 random_;
  State state_ = State::kWaiting;
  // A random order: those who lose the same endpoint together spread over all others.
  std::vector<std::size_t> endpoint_order_;
  std::size_t endpoint_ = 0;  // index in it
  Time wake_{0}, backoff_, step_timeout_;
  Time step_began_{0}, longest_step_{0};  // of the steps of this connection up to the watch
  std::size_t failures_ = 0;              // since a watch was established
  bool progress_requested_ = false;       // and nothing has come since
  bool established_ = false;              // a watch, on this connection
  bool known_ = false;                    // a snapshot was read: cluster_id_ and the revisions mean something
  std::uint64_t cluster_id_ = 0;
  std::vector<Section> sections_;       // at least one
  std::size_t snapshot_section_ = 0;    // whose pages are being read
  std::int64_t snapshot_revision_ = 0;  // of the pages that are being read; 0: before the first
  std::uint64_t snapshot_cluster_id_ = 0;
  std::size_t snapshot_bytes_ = 0;
  std::uint64_t snapshots_ = 0, resumes_ = 0;
  std::string last_error_;
};

}  // namespace badgerbridge::etcd

#endif  // BADGERBRIDGE_ETCD_FOLLOWER_H_
