// SPDX-License-Identifier: Apache-2.0
//
// A follower step by step, without a socket: how long it waits for an endpoint, and what it makes of answers.
#include "etcd/follower.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>

namespace badgerbridge::etcd {
namespace {

namespace pb = etcdserverpb;

const std::string kPrefix = "/members/";
using Time = Follower::Time;

class FollowerTest : public ::testing::Test {
 protected:
  FollowerTest()
      : follower(
            [] {
              FollowerSettings settings;
              settings.prefix = kPrefix;
              settings.endpoints = 3;
              return settings;
            }(),
            1) {}
  template <typename Action>
  const Action* Find() const {
    for (const auto& action : actions) {
      if (const auto* found = std::get_if<Action>(&action)) return found;
    }
    return nullptr;
  }
  void Tick() {
    now = std::max(now, follower.NextWake());
    actions.clear();
    follower.Tick(now, &actions);
  }
  // From a connection on, each step answered after `step`; until the watch is there.
  void Follow(Time step) {
    while (!Find<Follower::Connect>()) Tick();
    now += step;
    actions.clear();
    follower.Opened(now, &actions);
    pb::RangeResponse response;
    response.mutable_header()->set_cluster_id(1);
    response.mutable_header()->set_revision(7);
    while (Find<Follower::Range>()) {
      now += step;
      actions.clear();
      follower.RangeCompleted(now, {}, response, &actions);
    }
    ASSERT_TRUE(Find<Follower::Watch>());
    pb::WatchResponse created;
    created.mutable_header()->set_cluster_id(1);
    created.set_created(true);
    follower.WatchReceived(now, created, &actions);
    actions.clear();
  }
  // How long the next connection is given before another is tried.
  Time GivenUpAfter() {
    while (!Find<Follower::Connect>()) Tick();
    const Time began = now;
    actions.clear();
    Tick();
    EXPECT_EQ(follower.last_error(), "no answer in time");
    return now - began;
  }

  Follower follower;
  Follower::Actions actions;
  Time now{1000};
};

TEST_F(FollowerTest, AMemberThatSaysNothingIsLeftSoonAndMoreTimeIsGivenWhileAllFail) {
  EXPECT_EQ(GivenUpAfter(), Time(1000)) << "at the start nothing is known of how long it takes";
  Follow(Time(5));
  follower.Closed(now, "cut", &actions);  // the one in use: a failure as well
  for (const int expected : {100, 100, 200, 200, 200, 400, 400, 400, 800, 800, 800, 1000, 1000, 1000, 1000})
    EXPECT_EQ(GivenUpAfter(), Time(expected));
}

TEST_F(FollowerTest, WhereStepsTakeLongTheyAreGivenTwiceThat) {
  Follow(Time(180));
  follower.Closed(now, "cut", &actions);
  EXPECT_EQ(GivenUpAfter(), Time(360));
  Follow(Time(5));
  follower.Closed(now, "cut", &actions);
  EXPECT_EQ(GivenUpAfter(), Time(100)) << "and no more once they don't";
}

pb::KeyValue KeyAt(const std::string& key, std::int64_t revision) {
  pb::KeyValue kv;
  kv.set_key(key);
  kv.set_mod_revision(revision);
  return kv;
}

TEST_F(FollowerTest, ASnapshotComesInPagesAtOneRevision) {
  while (!Find<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  pb::RangeResponse page;
  page.mutable_header()->set_cluster_id(1);
  page.mutable_header()->set_revision(7);
  *page.add_kvs() = KeyAt(kPrefix + "a", 3);
  *page.add_kvs() = KeyAt("/elsewhere", 3);
  page.set_more(true);
  actions.clear();
  follower.RangeCompleted(now, {}, page, &actions);
  const auto* first = Find<Follower::SnapshotPage>();
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->first);
  EXPECT_FALSE(first->last);
  EXPECT_EQ(first->kvs.size(), 1u) << "a key outside the prefix is ignored";
  ASSERT_TRUE(Find<Follower::Range>());
  EXPECT_EQ(Find<Follower::Range>()->request.revision(), 7);
  page.mutable_header()->set_revision(9);  // others have written meanwhile
  page.set_more(false);
  actions.clear();
  follower.RangeCompleted(now, {}, page, &actions);
  const auto* last = Find<Follower::SnapshotPage>();
  ASSERT_TRUE(last);
  EXPECT_FALSE(last->first);
  EXPECT_TRUE(last->last);
  EXPECT_EQ(last->revision, 7);
  ASSERT_TRUE(Find<Follower::Watch>());
  EXPECT_EQ(Find<Follower::Watch>()->request.create_request().start_revision(), 8);
}

TEST_F(FollowerTest, FragmentsAreJoinedAndKnownRevisionsDropped) {
  Follow(Time(1));
  const auto receive = [&](std::vector<std::int64_t> revisions, bool fragment) {
    pb::WatchResponse response;
    response.mutable_header()->set_cluster_id(1);
    response.mutable_header()->set_revision(20);
    response.set_fragment(fragment);
    for (const std::int64_t revision : revisions)
      *response.add_events()->mutable_kv() = KeyAt(kPrefix + "k", revision);
    actions.clear();
    follower.WatchReceived(now, response, &actions);
  };
  receive({7, 8}, true);
  EXPECT_TRUE(actions.empty()) << "a revision that is not whole";
  receive({8, 9}, false);
  const auto* events = Find<Follower::Events>();
  ASSERT_TRUE(events);
  EXPECT_EQ(events->events.size(), 3u);
  EXPECT_EQ(events->revision, 9);
  EXPECT_EQ(follower.revision(), 9) << "and not the header's: later ones may be under way";
  receive({9}, false);
  EXPECT_FALSE(Find<Follower::Events>());
  EXPECT_TRUE(Find<Follower::Progress>());
  receive({}, false);
  ASSERT_TRUE(Find<Follower::Progress>());
  EXPECT_EQ(Find<Follower::Progress>()->revision, 20);
  receive({22, 21}, false);
  EXPECT_TRUE(Find<Follower::Disconnected>()) << "out of order";
  EXPECT_EQ(follower.revision(), 20);
}

TEST_F(FollowerTest, AListBeyondItsBoundIsRefused) {
  FollowerSettings settings;
  settings.prefix = kPrefix;
  settings.max_snapshot_bytes = 100;
  Follower bounded(settings, 1);
  bounded.Tick(now, &actions);
  bounded.Opened(now, &actions);
  pb::RangeResponse page;
  page.mutable_header()->set_revision(7);
  pb::KeyValue* kv = page.add_kvs();
  kv->set_key(kPrefix + "a");
  kv->set_value(std::string(60, 'x'));
  page.set_more(true);
  bounded.RangeCompleted(now, {}, page, &actions);
  EXPECT_EQ(bounded.state(), "listing");
  actions.clear();
  bounded.RangeCompleted(now, {}, page, &actions);
  EXPECT_FALSE(Find<Follower::SnapshotPage>());
  EXPECT_TRUE(Find<Follower::Disconnected>());
  EXPECT_NE(bounded.last_error().find("100 bytes"), std::string::npos) << bounded.last_error();
}

TEST_F(FollowerTest, AListWithoutARevisionIsRefused) {
  while (!Find<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  actions.clear();
  follower.RangeCompleted(now, {}, pb::RangeResponse(), &actions);
  EXPECT_FALSE(Find<Follower::SnapshotPage>());
  EXPECT_TRUE(Find<Follower::Disconnected>());
  EXPECT_NE(follower.last_error().find("without a revision"), std::string::npos);
}

// One of many readers, driven up to an established watch.
class Reader {
 public:
  explicit Reader(std::uint64_t seed) : follower_(SettingsOfReader(), seed) {
    Follower::Actions actions;
    follower_.Tick(Time(0), &actions);
    endpoint_ = std::get<Follower::Connect>(actions.at(0)).endpoint;
  }
  void Establish() {
    Follower::Actions actions;
    follower_.Opened(Time(1), &actions);
    pb::RangeResponse list;
    list.mutable_header()->set_cluster_id(1);
    list.mutable_header()->set_revision(7);
    follower_.RangeCompleted(Time(1), {}, list, &actions);
    pb::WatchResponse created;
    created.mutable_header()->set_cluster_id(1);
    created.set_created(true);
    follower_.WatchReceived(Time(1), created, &actions);
    ASSERT_TRUE(follower_.watching());
  }
  // When and where it connects next.
  std::pair<Time, std::size_t> NextConnect() {
    const Time at = follower_.NextWake();
    Follower::Actions actions;
    follower_.Tick(at, &actions);
    return {at, std::get<Follower::Connect>(actions.at(0)).endpoint};
  }
  std::size_t endpoint() const { return endpoint_; }
  Follower& follower() { return follower_; }

 private:
  static FollowerSettings SettingsOfReader() {
    FollowerSettings settings;
    settings.prefix = kPrefix;
    settings.endpoints = 5;
    return settings;
  }
  Follower follower_;
  std::size_t endpoint_;
};

// The readers of endpoint 0 all lose their watch at `at`, in the way of `lose`; counts their next attempts by
// 10 ms and by endpoint.
struct Herd {
  std::map<std::int64_t, int> by_time;
  std::map<std::size_t, int> by_endpoint;
};
Herd LoseAll(int readers, const std::function<void(Follower&, Follower::Actions*)>& lose) {
  Herd herd;
  for (std::uint64_t seed = 1; readers > 0; ++seed) {
    Reader reader(seed);
    if (reader.endpoint() != 0) continue;
    --readers;
    reader.Establish();
    Follower::Actions actions;
    lose(reader.follower(), &actions);
    const auto [at, endpoint] = reader.NextConnect();
    ++herd.by_time[(at - Time(1000)) / Time(10)];
    ++herd.by_endpoint[endpoint];
  }
  return herd;
}

void ExpectSpread(const Herd& herd) {
  EXPECT_GE(herd.by_time.size(), 8u) << "over 80 ms";
  EXPECT_LE(herd.by_time.rbegin()->first, 8) << "and no more: a drain may be waiting";
  for (const auto& [tens, count] : herd.by_time) EXPECT_LE(count, 170) << "from " << tens * 10 << " ms on";
  EXPECT_EQ(herd.by_endpoint.count(0), 0u) << "another endpoint";
  EXPECT_EQ(herd.by_endpoint.size(), 4u);
  for (const auto& [endpoint, count] : herd.by_endpoint) EXPECT_LE(count, 320) << endpoint;
}

TEST(FollowerHerdTest, AThousandReadersOfAServerThatEndedSpreadOverTimeAndServers) {
  ExpectSpread(LoseAll(1000, [](Follower& follower, Follower::Actions* actions) {
    follower.Closed(Time(1000), "the connection ended", actions);
  }));
}

TEST(FollowerHerdTest, ReadersOfAServerThatDrainsGoToAnotherAtOnceWithJitter) {
  ExpectSpread(LoseAll(1000, [](Follower& follower, Follower::Actions* actions) {
    follower.WatchEnded(Time(1000), {Code::kUnavailable, Ending::kStatus, "draining"}, actions);
  }));
}

TEST(FollowerHerdTest, AServerThatIsOverloadedIsGivenTime) {
  Herd herd = LoseAll(200, [](Follower& follower, Follower::Actions* actions) {
    follower.WatchEnded(Time(1000), {Code::kResourceExhausted, Ending::kStatus, "too many"}, actions);
  });
  EXPECT_GE(herd.by_time.begin()->first, 25) << "from 250 ms on";
  EXPECT_LE(herd.by_time.rbegin()->first, 50);
  // Also where a list is refused; then twice as long.
  Reader reader(1);
  Follower::Actions actions;
  Time now{1000};
  for (const int at_least : {250, 500, 1000, 1000}) {
    reader.follower().Opened(now, &actions);
    reader.follower().RangeCompleted(now, {Code::kResourceExhausted, Ending::kStatus, "lists"}, {}, &actions);
    EXPECT_GE(reader.follower().NextWake() - now, Time(at_least));
    EXPECT_LE(reader.follower().NextWake() - now, Time(std::min(2000, 2 * at_least)));
    now = reader.NextConnect().first;
  }
}

TEST_F(FollowerTest, AServerThatIsBehindTakesNothingBack) {
  Follow(Time(1));
  pb::WatchResponse ahead;
  ahead.mutable_header()->set_cluster_id(1);
  ahead.mutable_header()->set_revision(30);
  follower.WatchReceived(now, ahead, &actions);
  EXPECT_EQ(follower.revision(), 30);
  follower.Closed(now, "cut", &actions);
  actions.clear();
  while (!Find<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  // The probe can't be answered by one that is behind; it asks for a linearizable read.
  ASSERT_TRUE(Find<Follower::Range>());
  EXPECT_FALSE(Find<Follower::Range>()->request.serializable());
  EXPECT_EQ(Find<Follower::Range>()->request.limit(), 1);
  pb::RangeResponse committed;
  committed.mutable_header()->set_cluster_id(1);
  committed.mutable_header()->set_revision(33);
  actions.clear();
  follower.RangeCompleted(now, {}, committed, &actions);
  ASSERT_TRUE(Find<Follower::Watch>());
  EXPECT_EQ(Find<Follower::Watch>()->request.create_request().start_revision(), 31);
  // Its watch still is behind: what it says of older revisions changes nothing.
  pb::WatchResponse behind = ahead;
  behind.mutable_header()->set_revision(12);
  actions.clear();
  follower.WatchReceived(now, behind, &actions);
  EXPECT_EQ(follower.revision(), 30);
  EXPECT_FALSE(Find<Follower::Events>());
  EXPECT_FALSE(Find<Follower::SnapshotPage>());
  *behind.add_events()->mutable_kv() = KeyAt(kPrefix + "a", 12);
  actions.clear();
  follower.WatchReceived(now, behind, &actions);
  EXPECT_EQ(follower.revision(), 30);
  EXPECT_FALSE(Find<Follower::Events>());
}

TEST_F(FollowerTest, ASnapshotThatIsBrokenOffIsReadAgainAndNotResumedFrom) {
  Follow(Time(1));
  pb::WatchResponse compacted;
  compacted.mutable_header()->set_cluster_id(1);
  compacted.set_canceled(true);
  compacted.set_compact_revision(9);
  actions.clear();
  follower.WatchReceived(now, compacted, &actions);
  ASSERT_TRUE(Find<Follower::Range>());
  pb::RangeResponse page;
  page.mutable_header()->set_cluster_id(1);
  page.mutable_header()->set_revision(12);
  *page.add_kvs() = KeyAt(kPrefix + "a", 3);
  page.set_more(true);
  follower.RangeCompleted(now, {}, page, &actions);
  follower.Closed(now, "cut", &actions);
  actions.clear();
  while (!Find<Follower::Connect>()) Tick();
  actions.clear();
  follower.Opened(now, &actions);
  ASSERT_TRUE(Find<Follower::Range>());
  EXPECT_GT(Find<Follower::Range>()->request.limit(), 1) << "a list, and no probe";
  EXPECT_EQ(Find<Follower::Range>()->request.revision(), 0);
}

class SectionsTest : public FollowerTest {
 protected:
  SectionsTest() {
    FollowerSettings settings;
    settings.prefix = kPrefix;
    settings.sections = {"x/", "y/", "z/"};
    follower = Follower(settings, 1);
  }
  void Answer(const std::vector<std::string>& keys, bool more, std::int64_t revision = 7) {
    pb::RangeResponse page;
    page.mutable_header()->set_cluster_id(1);
    page.mutable_header()->set_revision(revision);
    for (const std::string& key : keys) *page.add_kvs() = KeyAt(kPrefix + key, 3);
    page.set_more(more);
    actions.clear();
    follower.RangeCompleted(now, {}, page, &actions);
  }
  void Receive(std::int64_t watch_id, std::int64_t header, const std::vector<std::int64_t>& revisions,
               bool created = false) {
    pb::WatchResponse response;
    response.mutable_header()->set_cluster_id(1);
    response.mutable_header()->set_revision(header);
    response.set_watch_id(watch_id);
    response.set_created(created);
    const std::string section = watch_id == 1 ? "x/" : watch_id == 2 ? "y/" : "z/";
    for (const std::int64_t revision : revisions)
      *response.add_events()->mutable_kv() = KeyAt(kPrefix + section + "k", revision);
    actions.clear();
    follower.WatchReceived(now, response, &actions);
  }
  // Each section's watch, from the actions: where it starts.
  std::map<std::string, std::int64_t> Starts() const {
    std::map<std::string, std::int64_t> starts;
    for (const auto& action : actions) {
      const pb::WatchRequest* request = nullptr;
      if (const auto* first = std::get_if<Follower::Watch>(&action)) request = &first->request;
      if (const auto* other = std::get_if<Follower::AddWatch>(&action)) request = &other->request;
      if (!request) continue;
      const auto& create = request->create_request();
      EXPECT_EQ(create.watch_id(), static_cast<std::int64_t>(starts.size()) + 1);
      starts[create.key().substr(kPrefix.size())] = create.start_revision();
    }
    return starts;
  }
  void FollowAll() {
    while (!Find<Follower::Connect>()) Tick();
    actions.clear();
    follower.Opened(now, &actions);
    for (int i = 0; i < 3; ++i) Answer({}, false);
    for (int i = 1; i <= 3; ++i) Receive(i, 7, {}, true);
  }
};

TEST_F(SectionsTest, AreListedOneAfterTheOtherAtOneRevision) {
  while (!Find<Follower::Connect>()) Tick();
  actions.clear();
  follower.Opened(now, &actions);
  EXPECT_EQ(Find<Follower::Range>()->request.key(), kPrefix + "x/");
  EXPECT_EQ(Find<Follower::Range>()->request.range_end(), kPrefix + "x0");
  Answer({"x/a"}, true);
  EXPECT_TRUE(Find<Follower::SnapshotPage>()->first);
  EXPECT_FALSE(Find<Follower::SnapshotPage>()->ends_section);
  Answer({"x/b", "y/none"}, false, 9);
  const auto* page = Find<Follower::SnapshotPage>();
  EXPECT_EQ(page->kvs.size(), 1u) << "of this section alone";
  EXPECT_TRUE(page->ends_section);
  EXPECT_FALSE(page->first || page->last);
  EXPECT_EQ(page->revision, 7);
  EXPECT_EQ(Find<Follower::Range>()->request.key(), kPrefix + "y/");
  EXPECT_EQ(Find<Follower::Range>()->request.revision(), 7);
  Answer({}, false, 9);
  EXPECT_EQ(Find<Follower::SnapshotPage>()->section, 1u);
  Answer({"z/a"}, false, 9);
  EXPECT_TRUE(Find<Follower::SnapshotPage>()->last);
  EXPECT_EQ(Find<Follower::SnapshotPage>()->section, 2u);
  EXPECT_EQ(Starts(), (std::map<std::string, std::int64_t>{{"x/", 8}, {"y/", 8}, {"z/", 8}}));
}

TEST_F(SectionsTest, EachResumesAfterItsOwnRevision) {
  FollowAll();
  EXPECT_TRUE(Find<Follower::Progress>()) << "established with the last of them";
  Receive(2, 30, {20, 30});
  ASSERT_TRUE(Find<Follower::Events>());
  EXPECT_EQ(Find<Follower::Events>()->section, 1u);
  EXPECT_EQ(Find<Follower::Events>()->revision, 30);
  EXPECT_EQ(follower.revision(), 7) << "of all of them together";
  Receive(1, 30, {25});
  EXPECT_TRUE(Find<Follower::Events>()) << "older than what another watch has given";
  Receive(3, 28, {});  // progress of one
  follower.Closed(now, "cut", &actions);
  actions.clear();
  while (!Find<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  Answer({}, false, 29);  // behind one of them: replaced
  EXPECT_TRUE(Find<Follower::Range>());
  EXPECT_GT(Find<Follower::Range>()->request.limit(), 1);
}

TEST_F(SectionsTest, ResumeWithoutAListWhereHistoryGoesOn) {
  FollowAll();
  Receive(2, 30, {30});
  Receive(1, 30, {25});
  Receive(-1, 40, {});  // progress of all
  EXPECT_EQ(follower.revision(), 40);
  Receive(3, 41, {41});
  follower.Closed(now, "cut", &actions);
  actions.clear();
  while (!Find<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  Answer({}, false, 45);
  EXPECT_EQ(Starts(), (std::map<std::string, std::int64_t>{{"x/", 41}, {"y/", 41}, {"z/", 42}}));
  EXPECT_EQ(follower.snapshots(), 1u);
}

TEST_F(SectionsTest, EventsOfAnUnknownWatchAreNotTaken) {
  FollowAll();
  Receive(9, 30, {30});
  EXPECT_FALSE(Find<Follower::Events>());
  EXPECT_TRUE(Find<Follower::Disconnected>());
}

}  // namespace
}  // namespace badgerbridge::etcd
