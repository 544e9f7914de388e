// SPDX-License-Identifier: Apache-2.0
//
// Follower, Feed and Ledger against the store of the fake etcd, in virtual time with fixed seeds: connections
// that break, hang or lose responses, lagging members, compactions, restores from backups, fragmented watch
// responses. At every report, the view equals the store at the revision of the report. After the faults end,
// it equals the current store.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>

#include "etcd/follower.h"
#include "etcd/key_range.h"
#include "membership/feed.h"
#include "membership/ledger.h"
#include "standins/etcd_store.h"

namespace badgerbridge::membership {
namespace {

namespace pb = etcdserverpb;
using etcd::Code;
using etcd::Ending;
using etcd::Follower;
using etcd::Status;
using standins::EtcdStore;

const std::string kPrefix = "/badgerbridge/converters/";
const std::string kRangeEnd = etcd::PrefixRangeEnd(kPrefix);

/// A follower with feed and ledger, the etcd store, and the simulated network between them, in virtual time.
class FeedSimulation {
 public:
  explicit FeedSimulation(std::uint64_t seed)
      : random_(seed), follower_(MakeSettings(), seed), feed_(kPrefix), ledger_([] {
          LedgerSettings settings;
          settings.sources = {{"etcd", true, Time(5000), Time(60000)}};
          settings.mass_departure.max_share = 1;
          return settings;
        }()) {
    RecordStore();
  }

  /// Makes one random step: a write, an advance of the time, or a fault.
  void Step() {
    const unsigned choice = Draw(100);
    if (choice < 35) {
      Write();
    } else if (choice < 75) {
      Advance(Time(Draw(choice < 65 ? 20 : 1500)));
    } else if (choice < 85) {
      DeliverEvents();
    } else if (choice < 88) {
      BreakConnection();
    } else if (choice < 90) {
      is_hung_ = !is_hung_ && Draw(2);
      loses_responses_ |= is_hung_;  // responses lost in a hang stay lost when it ends
    } else if (choice < 92) {
      lagging_revision_ = lagging_revision_ || Draw(3) ? 0 : store_.revision();
    } else if (choice < 93 && store_.revision() > store_.compacted() + 1) {
      store_.Compact(store_.compacted() + 1 +
                     Draw(static_cast<unsigned>(store_.revision() - store_.compacted())));
      ++compactions_;
    } else if (choice < 94) {
      Restore();
    }
  }

  /// Ends all faults and advances the time until the view equals the store.
  void EndFaultsAndSettle() {
    has_faults_ = is_hung_ = false;
    lagging_revision_ = 0;
    for (int i = 0; i < 4000 && !ViewEqualsStore(); ++i) {
      Advance(Time(10));
      DeliverEvents();
    }
  }
  /// Whether the follower is at the revision of the store and the current view equals it.
  bool ViewEqualsStore() const {
    return follower_.revision() == store_.revision() &&
           CurrentView() == states_.at({epoch_, store_.revision()});
  }

  std::uint64_t reports() const { return reports_; }
  std::uint64_t disconnects() const { return disconnects_; }
  std::uint64_t invalid_keys() const { return invalid_keys_; }
  std::uint64_t compactions() const { return compactions_; }
  std::uint64_t restores() const { return epoch_ - 1; }
  const Follower& follower() const { return follower_; }

 private:
  using Members = std::map<std::string, std::string>;  // state and start time by name

  static etcd::FollowerSettings MakeSettings() {
    etcd::FollowerSettings settings;
    settings.prefix = kPrefix;
    settings.endpoints = 3;
    settings.page_size = 3;
    return settings;
  }
  /// A random number from 0 to n - 1.
  unsigned Draw(unsigned n) { return static_cast<unsigned>(random_() % n); }
  /// Draws whether a fault occurs, with this probability. Always false after EndFaultsAndSettle.
  bool DrawFault(unsigned percent) { return has_faults_ && Draw(100) < percent; }

  /// The ledger's view in the format of `states_`.
  Members CurrentView() const {
    Members members;
    for (const auto& [name, entry] : ledger_.current_view())
      members[std::string(name)] =
          std::string(Name(entry.member->state)) + std::to_string(entry.member->start_time_ms);
    return members;
  }
  /// Records the contents of the store under its revision.
  void RecordStore() {
    pb::RangeRequest all;
    all.set_key(kPrefix);
    all.set_range_end(kRangeEnd);
    pb::RangeResponse response;
    ASSERT_TRUE(store_.Range(all, &response).ok());
    Members members;
    for (const auto& kv : response.kvs()) {
      if (const auto member = ParseMember(kv.key().substr(kPrefix.size()), kv.value()))
        members[member->name] = std::string(Name(member->state)) + std::to_string(member->start_time_ms);
    }
    states_[{epoch_, store_.revision()}] = std::move(members);
  }
  /// Writes one or several keys in a transaction, deletes keys, or writes outside of the prefix.
  void Write() {
    const auto put = [&](pb::TxnRequest* txn, unsigned i) {
      auto* request = txn->add_success()->mutable_request_put();
      Member member;
      member.name = "m" + std::to_string(i);
      member.address = "127.0.0.1:1";
      member.start_time_ms = Draw(3);
      member.state = Draw(2) ? MemberState::kReady : MemberState::kDraining;
      request->set_key(kPrefix + member.name);
      request->set_value(SerializeMember(member));
      if (Draw(20) == 0) {  // a backend that has never had a valid value
        request->set_key(kPrefix + "bad" + std::to_string(i));
        request->set_value("not JSON");
      }
    };
    pb::TxnRequest txn;
    pb::TxnResponse response;
    switch (Draw(6)) {
      case 0: {
        auto* request = txn.add_success()->mutable_request_delete_range();
        request->set_key(kPrefix + "m" + std::to_string(Draw(15)));
        if (Draw(4) == 0) request->set_range_end(kPrefix + "m5");  // several keys at once
        break;
      }
      case 1:
        for (unsigned i = 0; i < 15; ++i) put(&txn, i);  // all in one revision
        break;
      case 2:  // outside of the prefix
        txn.add_success()->mutable_request_put()->set_key("/other");
        break;
      default:
        put(&txn, Draw(15));
    }
    ASSERT_TRUE(store_.Txn(txn, &response).ok());
    RecordStore();
  }
  /// Replaces the store with a backup.
  void Restore() {
    // The backup is older than the store; its revisions continue with another cluster id.
    EtcdStore backup;
    const unsigned count = Draw(4);
    for (unsigned i = 0; i < count; ++i) {
      pb::PutRequest request;
      Member member;
      member.name = "m" + std::to_string(i);
      member.address = "127.0.0.1:1";
      request.set_key(kPrefix + member.name);
      request.set_value(SerializeMember(member));
      pb::PutResponse ignored;
      ASSERT_TRUE(backup.Put(request, &ignored).ok());
    }
    store_ = backup;
    ++epoch_;
    lagging_revision_ = 0;
    RecordStore();
    BreakConnection();
  }

  /// Breaks the connection and notifies the follower.
  void BreakConnection() {
    if (!is_open_) return;
    ++disconnects_;
    DropConnection();
    RunFollowerStep([&](Follower::Actions* actions) {
      follower_.Closed(now_, {etcd::ConnectionErrorCode::kClosed, "cut"}, actions);
    });
  }
  /// Drops the connection and the responses in flight.
  void DropConnection() {
    is_open_ = is_watching_ = false;
    pending_responses_.clear();
    ++connection_number_;
  }

  /// Runs a step of the follower and executes the returned actions.
  template <typename Step>
  void RunFollowerStep(Step step) {
    Follower::Actions actions;
    step(&actions);
    for (const Follower::Action& action : actions)
      std::visit([this](const auto& one) { Execute(one); }, action);
  }
  /// Schedules a response on this connection, in order. On a hung connection it is lost.
  void ScheduleResponse(std::function<void()> deliver) {
    loses_responses_ |= DrawFault(3);
    if (!loses_responses_) pending_responses_.emplace_back(now_ + Time(Draw(6)), std::move(deliver));
  }
  /// Advances the time, and delivers responses and runs timers when they are due.
  void Advance(Time by) {
    const Time until = now_ + by;
    for (;;) {
      std::optional<Time> next = follower_.NextWake();
      if (next && *next < now_) next = now_;
      const bool is_response_next =
          !pending_responses_.empty() && (!next || pending_responses_.front().first <= *next);
      const Time at = is_response_next ? std::max(now_, pending_responses_.front().first)
                                       : next.value_or(until + Time(1));
      if (at > until) break;
      now_ = at;
      if (is_response_next) {
        const auto deliver = std::move(pending_responses_.front().second);
        pending_responses_.pop_front();
        deliver();
      } else {
        RunFollowerStep([&](Follower::Actions* actions) { follower_.Tick(now_, actions); });
      }
    }
    now_ = until;
  }

  /// Fills the header of a response from the connected member, which may lag.
  void FillHeader(pb::ResponseHeader* header) const {
    header->set_cluster_id(epoch_);
    header->set_revision(lagging_revision_ ? lagging_revision_ : store_.revision());
  }
  void Execute(const Follower::Connect&) {
    DropConnection();
    loses_responses_ = is_hung_;
    const bool refused = DrawFault(15);
    is_open_ = !refused;
    ScheduleResponse([this, refused] {
      if (refused) {
        DropConnection();
        RunFollowerStep([&](Follower::Actions* actions) {
          follower_.Closed(now_, {etcd::ConnectionErrorCode::kClosed, "refused"}, actions);
        });
      } else {
        RunFollowerStep([&](Follower::Actions* actions) { follower_.Opened(now_, actions); });
      }
    });
  }
  void Execute(const Follower::Authenticate&) { FAIL(); }
  void Execute(const Follower::Range& action) {
    EXPECT_FALSE(action.request.serializable());
    if (lagging_revision_) return;  // a linearizable read waits until the member has caught up
    pb::RangeResponse response;
    Status status = store_.Range(action.request, &response);
    FillHeader(response.mutable_header());
    if (DrawFault(5)) status = {Code::kUnavailable, Ending::kStatus, "no leader"};
    ScheduleResponse([this, status, response] {
      RunFollowerStep(
          [&](Follower::Actions* actions) { follower_.RangeCompleted(now_, status, response, actions); });
    });
  }
  void Execute(const Follower::Watch& action) {
    const auto& create = action.request.create_request();
    EXPECT_EQ(create.key(), kPrefix);
    EXPECT_EQ(create.range_end(), kRangeEnd);
    next_revision_ = create.start_revision();
    is_watching_ = true;
    pb::WatchResponse response;
    FillHeader(response.mutable_header());
    response.set_created(true);
    SendWatchResponse(response);
    if (next_revision_ <= store_.compacted()) {
      is_watching_ = false;
      response.set_created(false);
      response.set_canceled(true);
      response.set_compact_revision(store_.compacted());
      SendWatchResponse(response);
    }
  }
  /// Schedules a watch response on this connection.
  void SendWatchResponse(const pb::WatchResponse& response) {
    ScheduleResponse([this, response, connection_number = connection_number_] {
      if (connection_number == connection_number_)
        RunFollowerStep(
            [&](Follower::Actions* actions) { follower_.WatchReceived(now_, response, actions); });
    });
  }
  void Execute(const Follower::AddWatch&) { FAIL(); }
  void Execute(const Follower::RequestProgress&) {
    if (!is_watching_ || next_revision_ <= (lagging_revision_ ? lagging_revision_ : store_.revision()))
      return;  // etcd reports progress only when the watch has caught up
    pb::WatchResponse response;
    FillHeader(response.mutable_header());
    SendWatchResponse(response);
  }
  /// Sends the new events to the watch, fragmented or not. A lost fragment breaks the connection.
  void DeliverEvents() {
    const std::int64_t until = lagging_revision_ ? lagging_revision_ : store_.revision();
    if (!is_open_ || !is_watching_ || next_revision_ > until) return;
    if (next_revision_ <= store_.compacted()) return BreakConnection();
    std::vector<pb::Event> events = store_.Events(kPrefix, kRangeEnd, next_revision_, false);
    std::erase_if(events, [&](const pb::Event& event) { return event.kv().mod_revision() > until; });
    next_revision_ = until + 1;
    pb::WatchResponse response;
    FillHeader(response.mutable_header());
    const unsigned fragment_size = 1 + Draw(8);
    std::vector<pb::WatchResponse> fragments;
    for (std::size_t i = 0; i < events.size(); ++i) {
      *response.add_events() = events[i];
      if (response.events_size() < static_cast<int>(fragment_size) && i + 1 < events.size()) continue;
      response.set_fragment(i + 1 < events.size());
      fragments.push_back(response);
      response.clear_events();
    }
    for (const pb::WatchResponse& one : fragments) {
      if (loses_responses_) return;
      if (DrawFault(4)) return BreakConnection();
      pending_responses_.emplace_back(now_ + Time(Draw(3)), [this, one,
                                                             connection_number = connection_number_] {
        if (connection_number == connection_number_)
          RunFollowerStep([&](Follower::Actions* actions) { follower_.WatchReceived(now_, one, actions); });
      });
    }
  }
  void Execute(const Follower::Close&) { DropConnection(); }
  void Execute(const Follower::SnapshotPage& action) { ApplyOutput(feed_.Convert(action)); }
  void Execute(const Follower::Events& action) {
    ledger_.RecordContact(now_, 0);
    ApplyOutput(feed_.Convert(action));
  }
  void Execute(const Follower::Progress&) { ledger_.RecordContact(now_, 0); }
  void Execute(const Follower::Disconnected&) {}
  /// Applies a report and compares the view with the store at the revision of the report.
  void ApplyOutput(const Feed::Output& output) {
    for (const Feed::KeyProblem& key : output.keys) ApplyKey(key);
    const Report& report = output.report;
    EXPECT_TRUE(ledger_.ApplyReport(now_, report).has_value());
    if (report.complete && !report.EndsList()) return;  // a page before the last
    ++reports_;
    const auto expected = states_.find({report.epoch, static_cast<std::int64_t>(report.version)});
    ASSERT_NE(expected, states_.end());
    EXPECT_EQ(CurrentView(), expected->second) << "at revision " << report.version;
  }
  /// Checks and records whether the value of a key is valid.
  void ApplyKey(const Feed::KeyProblem& key) {
    const bool is_invalid = key.key.rfind(kPrefix + "bad", 0) == 0;
    if (!is_invalid) {
      EXPECT_EQ(key.reason, "") << key.key;
    }
    invalid_keys_ += is_invalid && !key.reason.empty();
    ledger_.RecordProblem(0, key.key, key.reason);
  }

  std::mt19937_64 random_;
  EtcdStore store_;
  std::uint64_t epoch_ = 1;
  std::map<std::pair<std::uint64_t, std::int64_t>, Members> states_;
  Follower follower_;
  Feed feed_;
  Ledger ledger_;
  Time now_{1000};
  std::deque<std::pair<Time, std::function<void()>>> pending_responses_;
  bool is_open_ = false, is_watching_ = false, is_hung_ = false, loses_responses_ = false, has_faults_ = true;
  std::int64_t next_revision_ = 0, lagging_revision_ = 0;
  std::uint64_t connection_number_ = 0, reports_ = 0, disconnects_ = 0, compactions_ = 0, invalid_keys_ = 0;
};

TEST(FeedRandomTest, ViewEqualsTheStoreAtEveryReportAndAfterFaultsEnd) {
  std::uint64_t reports = 0, disconnects = 0, compactions = 0, restores = 0, lists = 0, resumes = 0,
                invalid_keys = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FeedSimulation simulation(seed);
    for (int step = 0; step < 3000; ++step) {
      simulation.Step();
      if (step % 500 == 499 || ::testing::Test::HasFailure()) {
        ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed << ", step " << step;
      }
    }
    simulation.EndFaultsAndSettle();
    ASSERT_TRUE(simulation.ViewEqualsStore()) << "seed " << seed << ": " << simulation.follower().state()
                                              << ", " << simulation.follower().last_error_message();
    invalid_keys += simulation.invalid_keys();
    reports += simulation.reports(), disconnects += simulation.disconnects(),
        compactions += simulation.compactions();
    restores += simulation.restores(), lists += simulation.follower().snapshots(),
        resumes += simulation.follower().resumes();
  }
  // The random steps covered enough of each case.
  EXPECT_GT(reports, 1200u);
  EXPECT_GT(invalid_keys, 100u);
  EXPECT_GT(disconnects, 500u);
  EXPECT_GT(compactions, 200u);
  EXPECT_GT(restores, 200u);
  EXPECT_GT(lists, 300u);
  EXPECT_GT(resumes, 150u);
}

}  // namespace
}  // namespace badgerbridge::membership
