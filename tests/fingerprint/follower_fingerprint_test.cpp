// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The follower of a prefix of etcd's keys: connections that fail, fall silent or lose answers, pages,
/// fragments, compactions, another history, answers that contradict themselves; and what the feed makes of it
/// for the ledger.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "etcd/follower.h"
#include "etcd/key_range.h"
#include "fingerprint/fingerprint.h"
#include "fingerprint/random.h"
#include "membership/feed.h"
#include "membership/member_codec.h"
#include "standins/etcd_store.h"

namespace badgerbridge::fingerprint {
namespace {

namespace pb = etcdserverpb;
using etcd::Code;
using etcd::Ending;
using etcd::Follower;
using etcd::Status;
using standins::EtcdStore;
using Time = Follower::Time;

constexpr std::uint64_t kSeeds = 16;
constexpr int kSteps = 4000;
constexpr int kKeys = 12;
constexpr char kPrefix[] = "/badgerbridge/converters/";

/// How often the runs met what they must meet, summed over the seeds.
struct Coverage {
  std::uint64_t connects = 0, authentications = 0, ranges = 0, watches = 0, added_watches = 0;
  std::uint64_t progress_requests = 0, closes = 0, pages = 0, events = 0, progress = 0, disconnects = 0;
  std::uint64_t snapshots = 0, resumes = 0, rejections = 0, reported_members = 0, unreadable = 0;
};

/// An etcd behind connections with faults, and the follower that reads it.
class SimulatedEtcd {
 public:
  SimulatedEtcd(std::uint64_t seed, Coverage* coverage)
      : random_(seed),
        settings_(DrawSettings()),
        services_(DrawServices()),
        follower_(settings_, random_.Next()),
        feed_(kPrefix, services_, 0),
        longest_delay_ms_(random_.Chance(0.5) ? 6 : random_.Integer(20, 120)),
        fingerprint_("follower", seed),
        coverage_(coverage) {}

  void Execute() {
    for (int step = 1; step <= kSteps; ++step) {
      TakeStep();
      AddState();
      fingerprint_.EndStep();
      if (step % (kSteps / static_cast<int>(Fingerprint::kParts)) == 0) fingerprint_.EndPart();
    }
    coverage_->snapshots += follower_.snapshots();
    coverage_->resumes += follower_.resumes();
    fingerprint_.Check();
  }

 private:
  /// A watch on the stream of the connection.
  struct Watch {
    std::string key, end;
    std::int64_t id = 0, next_revision = 0;
  };

  etcd::FollowerSettings DrawSettings() {
    etcd::FollowerSettings settings;
    settings.prefix = kPrefix;
    if (random_.Chance(0.4)) settings.sections = {"a/", "b/", "c/"};
    settings.endpoints = static_cast<std::size_t>(random_.Integer(1, 4));
    settings.page_size = random_.Integer(2, 8);
    settings.authenticate = random_.Chance(0.4);
    settings.reconnect_spread = Time(random_.Integer(10, 150));
    settings.first_backoff = Time(random_.Integer(5, 50));
    settings.max_backoff = Time(random_.Integer(200, 2500));
    settings.overload_backoff = Time(random_.Integer(200, 800));
    settings.watch_idle_timeout = Time(random_.Integer(500, 2000));
    settings.call_timeout = Time(random_.Integer(300, 1500));
    settings.min_step_timeout = Time(random_.Integer(30, 200));
    if (random_.Chance(0.2))
      settings.max_snapshot_bytes = static_cast<std::size_t>(random_.Integer(800, 2000));
    if (random_.Chance(0.2)) settings.max_buffered_events = static_cast<std::size_t>(random_.Integer(6, 12));
    return settings;
  }
  std::vector<std::string> DrawServices() {
    if (settings_.sections.empty()) return {};
    return {"a", "b", "c"};
  }

  // ---- what happens ----

  void TakeStep() {
    const double draw = random_.Unit();
    if (draw < 0.33) {
      WriteKeys();
    } else if (draw < 0.73) {
      Advance(Time(random_.Integer(0, draw < 0.60 ? 20 : 1500)));
    } else if (draw < 0.83) {
      DeliverEvents();
    } else if (draw < 0.86) {
      Cut("cut");
    } else if (draw < 0.88) {
      silent_ = !silent_ && random_.Chance(0.5);
      dead_ |= silent_;
    } else if (draw < 0.90) {
      Disturb();
    } else if (draw < 0.905) {
      if (store_.revision() > store_.compacted() + 1) Compact();
    } else if (draw < 0.91) {
      ReplaceHistory();
    } else if (draw < 0.92) {
      SendProgress();
    } else if (draw < 0.923) {
      ++coverage_->rejections;
      Act([this](Follower::Actions* actions) { follower_.Reject(now_, "rejected", actions); });
    }
  }

  std::string DrawKey() {
    constexpr const char* kSections[] = {"", "a/", "b/", "c/", "d/"};
    const std::string section = settings_.sections.empty() ? "" : kSections[random_.Index(5)];
    return kPrefix + section + "m" + std::to_string(random_.Integer(0, kKeys - 1));
  }

  void WriteKeys() {
    pb::TxnRequest transaction;
    std::map<std::string, bool> written;
    for (int count = random_.Chance(0.1) ? kKeys : random_.Integer(1, 3); count > 0; --count) {
      const std::string key = random_.Chance(0.1) ? "/other" : DrawKey();
      if (!written.emplace(key, true).second) continue;
      if (random_.Chance(0.25)) {
        transaction.add_success()->mutable_request_delete_range()->set_key(key);
        continue;
      }
      pb::PutRequest* put = transaction.add_success()->mutable_request_put();
      put->set_key(key);
      put->set_value(DrawValue(key));
    }
    pb::TxnResponse response;
    EXPECT_TRUE(store_.Txn(transaction, &response).ok());
  }

  std::string DrawValue(const std::string& key) {
    if (random_.Chance(0.05)) return "not JSON";
    membership::Member member;
    member.name = key.substr(key.rfind('/') + 1);
    member.address = "127.0.0.1:1";
    member.start_time_ms = random_.Integer(0, 3);
    member.state = random_.Chance(0.7) ? membership::MemberState::kReady : membership::MemberState::kDraining;
    return membership::SerializeMember(member);
  }

  void Compact() {
    const std::int64_t span = store_.revision() - store_.compacted();
    store_.Compact(store_.compacted() + 1 +
                   static_cast<std::int64_t>(random_.Index(static_cast<std::size_t>(span))));
  }

  /// A backup is restored: another cluster id, or the same one with lower revisions.
  void ReplaceHistory() {
    store_ = EtcdStore();
    if (random_.Chance(0.6)) ++cluster_id_;
    for (int count = random_.Integer(0, 4); count > 0; --count) WriteKeys();
    Cut("restored");
  }

  /// The watch ends, is cancelled, or gives what no etcd would.
  void Disturb() {
    if (!open_ || watches_.empty()) return;
    const int kind = random_.Integer(0, 4);
    if (kind == 0) {
      const Code code = random_.Chance(0.5) ? Code::kResourceExhausted : Code::kUnavailable;
      watches_.clear();
      Act([this, code](Follower::Actions* actions) {
        follower_.WatchEnded(now_, {code, Ending::kStatus, "ended"}, actions);
      });
      return;
    }
    pb::WatchResponse response = NewResponse(watches_.front());
    if (kind == 1) response.set_canceled(true);
    if (kind == 2) response.set_watch_id(17);
    if (kind == 3) response.mutable_header()->set_cluster_id(999);
    if (kind != 1) {
      pb::Event* event = response.add_events();
      event->mutable_kv()->set_key(DrawKey());
      event->mutable_kv()->set_mod_revision(random_.Integer(1, 3));
    }
    SendToFollower(response);
  }

  // ---- the connection ----

  /// Runs answers and the follower's own timers until then.
  void Advance(Time by) {
    const Time until = now_ + by;
    for (;;) {
      const Time wake = std::max(now_, follower_.NextWake());
      const bool answer = !answers_.empty() && std::max(now_, answers_.begin()->first) <= wake;
      const Time next = answer ? std::max(now_, answers_.begin()->first) : wake;
      if (next > until) break;
      now_ = next;
      if (answer) {
        const auto first = answers_.extract(answers_.begin());
        first.mapped()();
      } else {
        Act([this](Follower::Actions* actions) { follower_.Tick(now_, actions); });
      }
    }
    now_ = until;
  }

  /// On the connection of now, in order; on one that is silent it never comes.
  void Answer(std::function<void()> answer) {
    dead_ |= random_.Chance(0.02);
    if (dead_) return;
    last_answer_ = std::max(last_answer_, now_ + Time(random_.Integer(0, longest_delay_ms_)));
    answers_.emplace(last_answer_, std::move(answer));
  }

  void LoseConnection() {
    open_ = false;
    watches_.clear();
    answers_.clear();
  }

  void Cut(const char* why) {
    if (!open_) return;
    LoseConnection();
    Act([this, why](Follower::Actions* actions) {
      follower_.Closed(now_, {etcd::ConnectionErrorCode::kClosed, why}, actions);
    });
  }

  pb::WatchResponse NewResponse(const Watch& watch) const {
    pb::WatchResponse response;
    response.mutable_header()->set_cluster_id(cluster_id_);
    response.mutable_header()->set_revision(store_.revision());
    response.set_watch_id(watch.id);
    return response;
  }

  void SendToFollower(const pb::WatchResponse& response) {
    Answer([this, response] {
      Act([&](Follower::Actions* actions) { follower_.WatchReceived(now_, response, actions); });
    });
  }

  void SendProgress() {
    if (!open_) return;
    for (const Watch& watch : watches_) {
      if (watch.next_revision > store_.revision()) SendToFollower(NewResponse(watch));
    }
  }

  /// What is new to the watches, whole or in fragments.
  void DeliverEvents() {
    if (!open_) return;
    for (Watch& watch : watches_) {
      if (watch.next_revision > store_.revision()) continue;
      if (watch.next_revision <= store_.compacted()) return Cut("compacted");
      const std::vector<pb::Event> events = store_.Events(watch.key, watch.end, watch.next_revision, false);
      watch.next_revision = store_.revision() + 1;
      const std::size_t most = 1 + random_.Index(8);
      pb::WatchResponse response = NewResponse(watch);
      for (std::size_t number = 0; number < events.size(); ++number) {
        *response.add_events() = events[number];
        const bool last = number + 1 == events.size();
        if (static_cast<std::size_t>(response.events_size()) < most && !last) continue;
        response.set_fragment(!last);
        SendToFollower(response);
        response.clear_events();
      }
    }
  }

  // ---- what the follower does; the first number that each adds stands for the kind of action ----

  template <typename Step>
  void Act(Step step) {
    Follower::Actions actions;
    step(&actions);
    fingerprint_.digest().Add(actions.size());
    for (const Follower::Action& action : actions)
      std::visit([this](const auto& act) { Perform(act); }, action);
  }

  void Perform(const Follower::Connect& action) {
    fingerprint_.digest().Add(1, action.endpoint);
    ++coverage_->connects;
    LoseConnection();
    open_ = true;
    dead_ = silent_;
    last_answer_ = now_;
    const bool refused = random_.Chance(0.15);
    Answer([this, refused] {
      if (refused) return Cut("refused");
      Act([this](Follower::Actions* actions) { follower_.Opened(now_, actions); });
    });
  }
  void Perform(const Follower::Authenticate&) {
    fingerprint_.digest().Add(2);
    ++coverage_->authentications;
    Status status;
    if (random_.Chance(0.1)) status = {Code::kUnauthenticated, Ending::kStatus, "no"};
    Answer([this, status] {
      Act([&](Follower::Actions* actions) { follower_.Authenticated(now_, status, actions); });
    });
  }
  void Perform(const Follower::Range& action) {
    fingerprint_.digest().Add(3, action.request.SerializeAsString());
    ++coverage_->ranges;
    pb::RangeResponse response;
    Status status = store_.Range(action.request, &response);
    response.mutable_header()->set_cluster_id(cluster_id_);
    response.mutable_header()->set_revision(store_.revision());
    const double draw = random_.Unit();
    if (draw < 0.03) status = {Code::kUnavailable, Ending::kStatus, "no leader"};
    if (draw > 0.98) status = {Code::kResourceExhausted, Ending::kStatus, "too many requests"};
    if (draw > 0.995) response.mutable_header()->set_revision(0);
    Answer([this, status, response] {
      Act([&](Follower::Actions* actions) { follower_.RangeCompleted(now_, status, response, actions); });
    });
  }
  void Perform(const Follower::Watch& action) {
    fingerprint_.digest().Add(4, action.request.SerializeAsString());
    ++coverage_->watches;
    watches_.clear();
    OpenWatch(action.request.create_request());
  }
  void Perform(const Follower::AddWatch& action) {
    fingerprint_.digest().Add(5, action.request.SerializeAsString());
    ++coverage_->added_watches;
    OpenWatch(action.request.create_request());
  }
  void OpenWatch(const pb::WatchCreateRequest& request) {
    const Watch watch{request.key(), request.range_end(), request.watch_id(), request.start_revision()};
    pb::WatchResponse response = NewResponse(watch);
    response.set_created(true);
    SendToFollower(response);
    if (watch.next_revision > store_.compacted()) {
      watches_.push_back(watch);
      return;
    }
    response.set_created(false);
    response.set_canceled(true);
    response.set_compact_revision(store_.compacted());
    SendToFollower(response);
  }
  void Perform(const Follower::RequestProgress&) {
    fingerprint_.digest().Add(6);
    ++coverage_->progress_requests;
    if (random_.Chance(0.9)) SendProgress();
  }
  void Perform(const Follower::Close& action) {
    fingerprint_.digest().Add(7, !Message(action.error).empty());
    ++coverage_->closes;
    LoseConnection();
  }
  void Perform(const Follower::SnapshotPage& action) {
    fingerprint_.digest().Add(8, action.cluster_id, action.revision, action.first, action.last);
    fingerprint_.digest().Add(action.section, action.ends_section, action.kvs.size());
    for (const pb::KeyValue& kv : action.kvs) fingerprint_.digest().Add(kv.SerializeAsString());
    ++coverage_->pages;
    AddReport(feed_.Convert(action));
  }
  void Perform(const Follower::Events& action) {
    fingerprint_.digest().Add(9, action.cluster_id, action.revision, action.section, action.events.size());
    for (const pb::Event& event : action.events) fingerprint_.digest().Add(event.SerializeAsString());
    ++coverage_->events;
    AddReport(feed_.Convert(action));
  }
  void Perform(const Follower::Progress& action) {
    fingerprint_.digest().Add(10, action.revision);
    ++coverage_->progress;
  }
  void Perform(const Follower::Disconnected& action) {
    fingerprint_.digest().Add(11, !Message(action.error).empty());
    ++coverage_->disconnects;
  }

  void AddReport(const membership::Feed::Output& output) {
    const membership::Report& report = output.report;
    Digest& digest = fingerprint_.digest();
    digest.Add(report.source, report.epoch, report.version, report.complete, report.linearizable,
               report.page);
    digest.Add(report.service, report.ends_service, report.members.size(), report.unreadable.size());
    for (const membership::Member& member : report.members)
      digest.Add(member.name, member.service, member.state, member.start_time_ms);
    for (const std::string& name : report.unreadable) digest.Add(name);
    for (const membership::Feed::KeyProblem& key : output.keys) {
      digest.Add(key.key, key.reason.empty());
      coverage_->unreadable += !key.reason.empty();
    }
    coverage_->reported_members += report.members.size();
  }

  void AddState() {
    fingerprint_.digest().Add(follower_.NextWake(), follower_.cluster_id(), follower_.revision());
    fingerprint_.digest().Add(follower_.snapshots(), follower_.resumes(), follower_.watching());
    fingerprint_.digest().Add(!follower_.last_error_message().empty());
  }

  Random random_;
  etcd::FollowerSettings settings_;
  std::vector<std::string> services_;  // of the sections
  EtcdStore store_;
  std::uint64_t cluster_id_ = 1;
  Follower follower_;
  membership::Feed feed_;
  Time now_{1000};
  bool open_ = false;                                   // the connection
  bool silent_ = false;                                 // new connections get no answer
  bool dead_ = false;                                   // this one gets none any more
  std::vector<Watch> watches_;                          // on this connection
  std::multimap<Time, std::function<void()>> answers_;  // on their way on this connection
  int longest_delay_ms_;                                // of an answer
  Time last_answer_{0};                                 // when the last of them arrives
  Fingerprint fingerprint_;
  Coverage* coverage_;
};

TEST(FollowerFingerprint, RandomFaults_SameActionsAsRecorded) {
  Coverage coverage;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) SimulatedEtcd(seed, &coverage).Execute();
  EXPECT_GT(coverage.connects, 200U);
  EXPECT_GT(coverage.authentications, 50U);
  EXPECT_GT(coverage.ranges, 500U);
  EXPECT_GT(coverage.watches, 200U);
  EXPECT_GT(coverage.added_watches, 100U);
  EXPECT_GT(coverage.progress_requests, 100U);
  EXPECT_GT(coverage.closes, 100U);
  EXPECT_GT(coverage.pages, 200U);
  EXPECT_GT(coverage.events, 200U);
  EXPECT_GT(coverage.progress, 500U);
  EXPECT_GT(coverage.disconnects, 200U);
  EXPECT_GT(coverage.snapshots, 50U);
  EXPECT_GT(coverage.resumes, 50U);
  EXPECT_GT(coverage.rejections, 20U);
  EXPECT_GT(coverage.reported_members, 500U);
  EXPECT_GT(coverage.unreadable, 20U);
}

}  // namespace
}  // namespace badgerbridge::fingerprint
