// SPDX-License-Identifier: Apache-2.0
//
// A follower step by step, without a socket: its timeouts, snapshots, watches and sections.
#include "etcd/follower.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <variant>
#include <vector>

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
  /// The first action of this type; null if there is none.
  template <typename Action>
  const Action* Find() const {
    for (const auto& action : actions) {
      if (const auto* found = std::get_if<Action>(&action)) return found;
    }
    return nullptr;
  }
  /// Advances to the next wake-up.
  void Tick() {
    now = std::max(now, follower.NextWake());
    actions.clear();
    follower.Tick(now, &actions);
  }
  /// From a connection to an established watch, each step answered after `step`.
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
  void LoseConnection() { follower.Closed(now, {ConnectionErrorCode::kTransportFailed, "cut"}, &actions); }
  /// How long the next connection is given before another is tried.
  Time GivenUpAfter() {
    while (!Find<Follower::Connect>()) Tick();
    const Time began = now;
    actions.clear();
    Tick();
    EXPECT_EQ(follower.last_error_message(), "no answer in time");
    return now - began;
  }

  Follower follower;
  Follower::Actions actions;
  Time now{1000};
};

TEST_F(FollowerTest, UnresponsiveMember_IsLeftSoonAndTimeoutGrowsWhileAllFail) {
  EXPECT_EQ(GivenUpAfter(), Time(1000)) << "at the start nothing is known of how long it takes";
  Follow(Time(5));
  LoseConnection();  // the one in use: a failure as well
  for (const int expected : {100, 100, 200, 200, 200, 400, 400, 400, 800, 800, 800, 1000, 1000, 1000, 1000})
    EXPECT_EQ(GivenUpAfter(), Time(expected));
}

TEST_F(FollowerTest, SlowSteps_AreGivenTwiceTheirTime) {
  Follow(Time(180));
  LoseConnection();
  EXPECT_EQ(GivenUpAfter(), Time(360));
  Follow(Time(5));
  LoseConnection();
  EXPECT_EQ(GivenUpAfter(), Time(100)) << "and no more once they don't";
}

pb::KeyValue KeyAt(const std::string& key, std::int64_t revision) {
  pb::KeyValue kv;
  kv.set_key(key);
  kv.set_mod_revision(revision);
  return kv;
}

TEST_F(FollowerTest, Snapshot_IsReadInPagesAtOneRevision) {
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

TEST_F(FollowerTest, Fragments_AreJoinedAndKnownRevisionsDropped) {
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
  EXPECT_TRUE(actions.empty()) << "the revision is incomplete";
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

TEST_F(FollowerTest, SnapshotBeyondLimit_Fails) {
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
  ASSERT_TRUE(bounded.last_error().has_value());
  EXPECT_EQ(bounded.last_error()->code, FollowerErrorCode::kSnapshotTooLarge);
  const std::string message = bounded.last_error_message();
  EXPECT_NE(message.find("100 bytes"), std::string::npos) << message;
}

TEST_F(FollowerTest, PageWithoutRevision_Fails) {
  while (!Find<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  actions.clear();
  follower.RangeCompleted(now, {}, pb::RangeResponse(), &actions);
  EXPECT_FALSE(Find<Follower::SnapshotPage>());
  EXPECT_TRUE(Find<Follower::Disconnected>());
  EXPECT_NE(follower.last_error_message().find("without a revision"), std::string::npos);
}

TEST_F(FollowerTest, LaggingServer_RevertsNothing) {
  Follow(Time(1));
  pb::WatchResponse ahead;
  ahead.mutable_header()->set_cluster_id(1);
  ahead.mutable_header()->set_revision(30);
  follower.WatchReceived(now, ahead, &actions);
  EXPECT_EQ(follower.revision(), 30);
  LoseConnection();
  actions.clear();
  while (!Find<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  // The probe is a linearizable read, which a lagging server cannot answer.
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
  // Its watch still lags: messages of older revisions change nothing.
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

TEST_F(FollowerTest, InterruptedSnapshot_IsReadAgain) {
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
  LoseConnection();
  actions.clear();
  while (!Find<Follower::Connect>()) Tick();
  actions.clear();
  follower.Opened(now, &actions);
  ASSERT_TRUE(Find<Follower::Range>());
  EXPECT_GT(Find<Follower::Range>()->request.limit(), 1) << "a page, and not a probe";
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
  /// Answers a page.
  void Answer(const std::vector<std::string>& keys, bool more, std::int64_t revision = 7) {
    pb::RangeResponse page;
    page.mutable_header()->set_cluster_id(1);
    page.mutable_header()->set_revision(revision);
    for (const std::string& key : keys) *page.add_kvs() = KeyAt(kPrefix + key, 3);
    page.set_more(more);
    actions.clear();
    follower.RangeCompleted(now, {}, page, &actions);
  }
  /// A message of a watch.
  void Receive(std::int64_t watch_id, std::int64_t header, const std::vector<std::int64_t>& revisions,
               bool created = false) {
    pb::WatchResponse response;
    response.mutable_header()->set_cluster_id(1);
    response.mutable_header()->set_revision(header);
    response.set_watch_id(watch_id);
    response.set_created(created);
    const std::map<std::int64_t, std::string> sections = {{1, "x/"}, {2, "y/"}};
    const auto found = sections.find(watch_id);
    const std::string section = found == sections.end() ? "z/" : found->second;
    for (const std::int64_t revision : revisions)
      *response.add_events()->mutable_kv() = KeyAt(kPrefix + section + "k", revision);
    actions.clear();
    follower.WatchReceived(now, response, &actions);
  }
  /// Where the watch of each section starts, from the actions.
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
  /// Up to an established watch of each section.
  void FollowAll() {
    while (!Find<Follower::Connect>()) Tick();
    actions.clear();
    follower.Opened(now, &actions);
    for (int i = 0; i < 3; ++i) Answer({}, false);
    for (int i = 1; i <= 3; ++i) Receive(i, 7, {}, true);
  }
};

TEST_F(SectionsTest, Snapshot_ReadsSectionsInOrderAtOneRevision) {
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

TEST_F(SectionsTest, RevisionBehindOneSection_ReadsSnapshot) {
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
  LoseConnection();
  actions.clear();
  while (!Find<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  Answer({}, false, 29);  // behind one of them: replaced
  EXPECT_TRUE(Find<Follower::Range>());
  EXPECT_GT(Find<Follower::Range>()->request.limit(), 1);
}

TEST_F(SectionsTest, Reconnect_ResumesEachSectionAfterItsRevision) {
  FollowAll();
  Receive(2, 30, {30});
  Receive(1, 30, {25});
  Receive(-1, 40, {});  // progress of all
  EXPECT_EQ(follower.revision(), 40);
  Receive(3, 41, {41});
  LoseConnection();
  actions.clear();
  while (!Find<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  Answer({}, false, 45);
  EXPECT_EQ(Starts(), (std::map<std::string, std::int64_t>{{"x/", 41}, {"y/", 41}, {"z/", 42}}));
  EXPECT_EQ(follower.snapshots(), 1u);
}

TEST_F(SectionsTest, EventsOfUnknownWatch_Fail) {
  FollowAll();
  Receive(9, 30, {30});
  EXPECT_FALSE(Find<Follower::Events>());
  EXPECT_TRUE(Find<Follower::Disconnected>());
}

}  // namespace
}  // namespace badgerbridge::etcd
