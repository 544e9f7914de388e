// SPDX-License-Identifier: Apache-2.0
//
// Follows a prefix of etcd's keys and turns it into reports for the ledger. The decisions alone: what
// happened goes in, what to ask next comes out; no socket, no clock. docs/etcd.md has the ways weighed.
//
// The first connection lists the prefix, in pages at one revision, by a read that can't be behind, and
// watches from the revision after it. A later one first asks what is committed: another cluster id or a lower
// revision means that history was replaced, and the prefix is listed again; else the watch goes on where it
// stopped. A watch that is cancelled for a compaction lists again. All events of one revision are taken
// together, fragments included.
#ifndef BADGERBRIDGE_MEMBERSHIP_FEED_H_
#define BADGERBRIDGE_MEMBERSHIP_FEED_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "etcd.pb.h"
#include "etcd/grpc.h"
#include "membership/ledger.h"
#include "membership/value.h"

namespace badgerbridge::membership {

struct FeedSettings {
  std::string prefix = "/badgerbridge/converters/";
  std::size_t endpoints = 1;
  std::size_t source = 0;  // in the ledger
  std::int64_t page = 1000;
  bool authenticate = false;
  Time first_backoff{20}, most_backoff{2000};
  Time silence{1500};  // a watch that says nothing for so long, not even of its progress, is asked
  Time call_timeout{1000};
  Time first_patience{100};          // for each of the first steps at a member, once one has been followed
  std::size_t most_events = 200000;  // of one revision, in fragments
};

class Feed {
 public:
  // ---- what to do
  // -------------------------------------------------------------------------------------------------
  struct Connect {  // in place of what there is
    std::size_t endpoint;
  };
  struct Authenticate {};
  struct Range {
    etcdserverpb::RangeRequest request;
  };
  struct Watch {
    etcdserverpb::WatchRequest request;
  };
  struct AskProgress {};
  struct Close {
    std::string why;
  };
  struct Tell {
    Report report;
  };
  struct Alive {};
  struct BadKey {  // an empty reason clears it
    std::string key, reason;
  };
  using Action = std::variant<Connect, Authenticate, Range, Watch, AskProgress, Close, Tell, Alive, BadKey>;
  using Actions = std::vector<Action>;

  Feed(FeedSettings settings, std::uint64_t seed);

  // ---- what happened
  // ----------------------------------------------------------------------------------------------
  void Tick(Time now, Actions* actions);  // also to begin
  void Opened(Time now, Actions* actions);
  void Authenticated(Time now, const etcd::Status& status, Actions* actions);
  void Ranged(Time now, const etcd::Status& status, const etcdserverpb::RangeResponse& response,
              Actions* actions);
  void Watched(Time now, const etcdserverpb::WatchResponse& response, Actions* actions);
  void WatchEnded(Time now, const etcd::Status& status, Actions* actions);
  void Closed(Time now, const std::string& why, Actions* actions);

  std::optional<Time> NextWake() const;
  std::int64_t revision() const { return revision_; }
  std::uint64_t lists() const { return lists_; }      // whole lists read
  std::uint64_t resumes() const { return resumes_; }  // watches that went on where they had stopped
  std::string_view state() const;
  const std::string& last_trouble() const { return trouble_; }

 private:
  enum class State { kWaiting, kConnecting, kAuthenticating, kProbing, kListing, kWatching };

  void Begin(Time now, Actions* actions);
  void Next(Time now, State state);
  void Took(Time now);
  void List(Time now, Actions* actions);
  void StartWatch(Time now, Actions* actions);
  void Fail(Time now, const std::string& why, Actions* actions);
  void Apply(Time now, std::int64_t header_revision, Actions* actions);
  // Nothing if its value can't be read: then the last good entry stays.
  std::optional<Member> ValueIn(const etcdserverpb::KeyValue& kv, Actions* actions) const;

  FeedSettings settings_;
  std::mt19937_64 random_;
  State state_ = State::kWaiting;
  std::size_t endpoint_ = 0;
  Time wake_{0}, backoff_, patience_;
  Time began_{0}, longest_{0};  // of the steps of this connection: when, and the longest
  std::size_t failures_ = 0;    // since the last watch
  bool asked_ = false;          // for progress, and no answer yet
  bool known_ = false;          // a list was read: cluster_ and revision_ mean something
  std::uint64_t cluster_ = 0;
  std::int64_t revision_ = 0;    // all up to it is applied
  std::int64_t listing_at_ = 0;  // of the pages that are being read
  std::uint64_t listing_cluster_ = 0;
  std::vector<Member> listing_;
  std::vector<std::string> unreadable_;      // of the same pages
  std::vector<etcdserverpb::Event> events_;  // of fragments
  std::uint64_t lists_ = 0, resumes_ = 0;
  std::string trouble_;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_FEED_H_
