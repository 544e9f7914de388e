// SPDX-License-Identifier: Apache-2.0
//
// A follower step by step, without a socket: how long it waits for an endpoint, and what it makes of answers.
#include "etcd/follower.h"

#include <gtest/gtest.h>

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

}  // namespace
}  // namespace badgerbridge::etcd
