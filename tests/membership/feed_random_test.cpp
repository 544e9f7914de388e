// SPDX-License-Identifier: Apache-2.0
//
// The follower, the feed and the ledger alone against the stand-in's store, in virtual time from fixed seeds:
// links that are cut, fall silent or lose answers, members that lag, compactions, restores, fragments. At
// every report, what the ledger believes is what the store held at exactly that revision; once all is quiet,
// it is what the store holds.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>

#include "etcd/follower.h"
#include "etcd/key_range.h"
#include "membership/feed.h"
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
const std::string kEnd = etcd::PrefixRangeEnd(kPrefix);

class World {
 public:
  explicit World(std::uint64_t seed)
      : random_(seed), follower_(Settings_(), seed), feed_(kPrefix), ledger_([] {
          Settings settings;
          settings.sources = {{"etcd", true, Time(5000), Time(60000)}};
          settings.most_departures = 1;
          return settings;
        }()) {
    Note();
  }

  void Step() {
    const unsigned what = Draw(100);
    if (what < 35) {
      Write();
    } else if (what < 75) {
      Advance(Time(Draw(what < 65 ? 20 : 1500)));
    } else if (what < 85) {
      Deliver();
    } else if (what < 88) {
      Cut();
    } else if (what < 90) {
      silent_ = !silent_ && Draw(2);
      dead_ |= silent_;  // what hung on the link stays lost, also once new ones speak
    } else if (what < 92) {
      lag_ = lag_ || Draw(3) ? 0 : store_.revision();
    } else if (what < 93 && store_.revision() > store_.compacted() + 1) {
      store_.Compact(store_.compacted() + 1 +
                     Draw(static_cast<unsigned>(store_.revision() - store_.compacted())));
      ++compactions_;
    } else if (what < 94) {
      Restore();
    }
  }

  // No more faults, and time enough.
  void Quiet() {
    faults_ = silent_ = false;
    lag_ = 0;
    for (int i = 0; i < 4000 && !Equal(); ++i) {
      Advance(Time(10));
      Deliver();
    }
  }
  bool Equal() const {
    return follower_.revision() == store_.revision() && Believed() == states_.at({epoch_, store_.revision()});
  }

  std::uint64_t reports() const { return reports_; }
  std::uint64_t cuts() const { return cuts_; }
  std::uint64_t bad_keys() const { return bad_keys_; }
  std::uint64_t compactions() const { return compactions_; }
  std::uint64_t restores() const { return epoch_ - 1; }
  const Follower& follower() const { return follower_; }

 private:
  using Members = std::map<std::string, std::string>;  // the state, by name

  static etcd::FollowerSettings Settings_() {
    etcd::FollowerSettings settings;
    settings.prefix = kPrefix;
    settings.endpoints = 3;
    settings.page_size = 3;
    return settings;
  }
  unsigned Draw(unsigned n) { return static_cast<unsigned>(random_() % n); }
  bool Faulty(unsigned percent) { return faults_ && Draw(100) < percent; }

  Members Believed() const {
    Members members;
    for (const auto& [name, believed] : ledger_.believed())
      members[std::string(name)] =
          std::string(Name(believed.member->state)) + std::to_string(believed.member->since_ms);
    return members;
  }
  // What the store holds now, under its revision.
  void Note() {
    pb::RangeRequest all;
    all.set_key(kPrefix);
    all.set_range_end(kEnd);
    pb::RangeResponse response;
    ASSERT_TRUE(store_.Range(all, &response).ok());
    Members members;
    for (const auto& kv : response.kvs()) {
      Member member;
      if (!ReadMember(kv.key().substr(kPrefix.size()), kv.value(), &member))
        members[member.name] = std::string(Name(member.state)) + std::to_string(member.since_ms);
    }
    states_[{epoch_, store_.revision()}] = std::move(members);
  }
  void Write() {
    const auto put = [&](pb::TxnRequest* txn, unsigned i) {
      auto* request = txn->add_success()->mutable_request_put();
      Member member;
      member.name = "m" + std::to_string(i);
      member.address = "127.0.0.1:1";
      member.since_ms = Draw(3);
      member.state = Draw(2) ? State::kReady : State::kDraining;
      request->set_key(kPrefix + member.name);
      request->set_value(ValueOf(member));
      if (Draw(20) == 0) {  // of a backend that never had a value that can be read
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
        if (Draw(4) == 0) request->set_range_end(kPrefix + "m5");  // several at once
        break;
      }
      case 1:
        for (unsigned i = 0; i < 15; ++i) put(&txn, i);  // all in one revision
        break;
      case 2:  // elsewhere
        txn.add_success()->mutable_request_put()->set_key("/other");
        break;
      default:
        put(&txn, Draw(15));
    }
    ASSERT_TRUE(store_.Txn(txn, &response).ok());
    Note();
  }
  void Restore() {
    // From some time ago; history goes on from there under another cluster id.
    EtcdStore backup;
    const unsigned n = Draw(4);
    for (unsigned i = 0; i < n; ++i) {
      pb::PutRequest request;
      Member member;
      member.name = "m" + std::to_string(i);
      member.address = "127.0.0.1:1";
      request.set_key(kPrefix + member.name);
      request.set_value(ValueOf(member));
      pb::PutResponse ignored;
      ASSERT_TRUE(backup.Put(request, &ignored).ok());
    }
    store_ = backup;
    ++epoch_;
    lag_ = 0;
    Note();
    Cut();
  }

  void Cut() {
    if (!open_) return;
    ++cuts_;
    Lose();
    Act([&](Follower::Actions* actions) { follower_.Closed(now_, "cut", actions); });
  }
  void Lose() {
    open_ = watching_ = false;
    coming_.clear();
    ++turn_;
  }

  template <typename Step>
  void Act(Step step) {
    Follower::Actions actions;
    step(&actions);
    for (const Follower::Action& action : actions) std::visit([this](const auto& one) { Do(one); }, action);
  }
  // Answers come later, in order, on the link of now; on one that is silent they never come.
  void Later(std::function<void()> what) {
    dead_ |= Faulty(3);
    if (!dead_) coming_.emplace_back(now_ + Time(Draw(6)), std::move(what));
  }
  void Advance(Time by) {
    const Time until = now_ + by;
    for (;;) {
      std::optional<Time> next = follower_.NextWake();
      if (next && *next < now_) next = now_;
      const bool answer = !coming_.empty() && (!next || coming_.front().first <= *next);
      const Time at = answer ? std::max(now_, coming_.front().first) : next.value_or(until + Time(1));
      if (at > until) break;
      now_ = at;
      if (answer) {
        const auto what = std::move(coming_.front().second);
        coming_.pop_front();
        what();
      } else {
        Act([&](Follower::Actions* actions) { follower_.Tick(now_, actions); });
      }
    }
    now_ = until;
  }

  void Head(pb::ResponseHeader* header) const {
    header->set_cluster_id(epoch_);
    header->set_revision(lag_ ? lag_ : store_.revision());
  }
  void Do(const Follower::Connect&) {
    Lose();
    dead_ = silent_;
    const bool refused = Faulty(15);
    open_ = !refused;
    Later([this, refused] {
      if (refused) {
        Lose();
        Act([&](Follower::Actions* actions) { follower_.Closed(now_, "refused", actions); });
      } else {
        Act([&](Follower::Actions* actions) { follower_.Opened(now_, actions); });
      }
    });
  }
  void Do(const Follower::Authenticate&) { FAIL(); }
  void Do(const Follower::Range& action) {
    EXPECT_FALSE(action.request.serializable());
    if (lag_) return;  // a read that must not be behind waits
    pb::RangeResponse response;
    Status status = store_.Range(action.request, &response);
    Head(response.mutable_header());
    if (Faulty(5)) status = {Code::kUnavailable, Ending::kStatus, "no leader"};
    Later([this, status, response] {
      Act([&](Follower::Actions* actions) { follower_.RangeCompleted(now_, status, response, actions); });
    });
  }
  void Do(const Follower::Watch& action) {
    const auto& create = action.request.create_request();
    EXPECT_EQ(create.key(), kPrefix);
    EXPECT_EQ(create.range_end(), kEnd);
    next_ = create.start_revision();
    watching_ = true;
    pb::WatchResponse response;
    Head(response.mutable_header());
    response.set_created(true);
    Tell(response);
    if (next_ <= store_.compacted()) {
      watching_ = false;
      response.set_created(false);
      response.set_canceled(true);
      response.set_compact_revision(store_.compacted());
      Tell(response);
    }
  }
  void Tell(const pb::WatchResponse& response) {
    Later([this, response, turn = turn_] {
      if (turn == turn_)
        Act([&](Follower::Actions* actions) { follower_.WatchReceived(now_, response, actions); });
    });
  }
  void Do(const Follower::AddWatch&) { FAIL(); }
  void Do(const Follower::RequestProgress&) {
    if (!watching_ || next_ <= (lag_ ? lag_ : store_.revision())) return;  // only when it has all
    pb::WatchResponse response;
    Head(response.mutable_header());
    Tell(response);
  }
  // What is new to the watch, in fragments or in one; a link that loses a piece of it is at its end.
  void Deliver() {
    const std::int64_t until = lag_ ? lag_ : store_.revision();
    if (!open_ || !watching_ || next_ > until) return;
    if (next_ <= store_.compacted()) return Cut();
    std::vector<pb::Event> events = store_.Events(kPrefix, kEnd, next_, false);
    std::erase_if(events, [&](const pb::Event& event) { return event.kv().mod_revision() > until; });
    next_ = until + 1;
    pb::WatchResponse response;
    Head(response.mutable_header());
    const unsigned piece = 1 + Draw(8);
    std::vector<pb::WatchResponse> pieces;
    for (std::size_t i = 0; i < events.size(); ++i) {
      *response.add_events() = events[i];
      if (response.events_size() < static_cast<int>(piece) && i + 1 < events.size()) continue;
      response.set_fragment(i + 1 < events.size());
      pieces.push_back(response);
      response.clear_events();
    }
    for (const pb::WatchResponse& one : pieces) {
      if (dead_) return;
      if (Faulty(4)) return Cut();
      coming_.emplace_back(now_ + Time(Draw(3)), [this, one, turn = turn_] {
        if (turn == turn_)
          Act([&](Follower::Actions* actions) { follower_.WatchReceived(now_, one, actions); });
      });
    }
  }
  void Do(const Follower::Close&) { Lose(); }
  void Do(const Follower::SnapshotPage& action) { Take(feed_.Convert(action)); }
  void Do(const Follower::Events& action) {
    ledger_.Heard(now_, 0);
    Take(feed_.Convert(action));
  }
  void Do(const Follower::Progress&) { ledger_.Heard(now_, 0); }
  void Do(const Follower::Disconnected&) {}
  void Take(const Feed::Output& output) {
    for (const Feed::KeyProblem& key : output.keys) TakeKey(key);
    const Report& report = output.report;
    std::vector<Member> changes;
    EXPECT_TRUE(ledger_.Take(now_, report, &changes));
    if (report.whole && !report.EndsList()) return;  // a page before the last
    ++reports_;
    const auto held = states_.find({report.epoch, static_cast<std::int64_t>(report.version)});
    ASSERT_NE(held, states_.end());
    EXPECT_EQ(Believed(), held->second) << "at revision " << report.version;
  }
  void TakeKey(const Feed::KeyProblem& key) {
    const bool bad = key.key.rfind(kPrefix + "bad", 0) == 0;
    if (!bad) {
      EXPECT_EQ(key.reason, "") << key.key;
    }
    bad_keys_ += bad && !key.reason.empty();
    ledger_.Problem(0, key.key, key.reason);
  }

  std::mt19937_64 random_;
  EtcdStore store_;
  std::uint64_t epoch_ = 1;
  std::map<std::pair<std::uint64_t, std::int64_t>, Members> states_;
  Follower follower_;
  Feed feed_;
  Ledger ledger_;
  Time now_{1000};
  std::deque<std::pair<Time, std::function<void()>>> coming_;
  bool open_ = false, watching_ = false, silent_ = false, dead_ = false, faults_ = true;
  std::int64_t next_ = 0, lag_ = 0;
  std::uint64_t turn_ = 0, reports_ = 0, cuts_ = 0, compactions_ = 0, bad_keys_ = 0;
};

TEST(FeedRandomTest, IsExactAtEveryReportAndEqualOnceAllIsQuiet) {
  std::uint64_t reports = 0, cuts = 0, compactions = 0, restores = 0, lists = 0, resumes = 0, bad_keys = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World world(seed);
    for (int step = 0; step < 3000; ++step) {
      world.Step();
      if (step % 500 == 499 || ::testing::Test::HasFailure()) {
        ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed << ", step " << step;
      }
    }
    world.Quiet();
    ASSERT_TRUE(world.Equal()) << "seed " << seed << ": " << world.follower().state() << ", "
                               << world.follower().last_error();
    bad_keys += world.bad_keys();
    reports += world.reports(), cuts += world.cuts(), compactions += world.compactions();
    restores += world.restores(), lists += world.follower().snapshots(),
        resumes += world.follower().resumes();
  }
  // It was about something.
  EXPECT_GT(reports, 1200u);
  EXPECT_GT(bad_keys, 100u);
  EXPECT_GT(cuts, 500u);
  EXPECT_GT(compactions, 200u);
  EXPECT_GT(restores, 200u);
  EXPECT_GT(lists, 300u);
  EXPECT_GT(resumes, 150u);
}

}  // namespace
}  // namespace badgerbridge::membership
