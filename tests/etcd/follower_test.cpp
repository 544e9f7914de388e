// SPDX-License-Identifier: Apache-2.0
//
// Tests of the Follower state machine without sockets: timeouts, snapshots, watches and sections.
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
  /// Returns the first action of this type; null if there is none.
  template <typename Action>
  const Action* FindAction() const {
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
  /// Drives the follower from connecting to an established watch. Each step is answered after `step`.
  void EstablishWatch(Time step) {
    while (!FindAction<Follower::Connect>()) Tick();
    now += step;
    actions.clear();
    follower.Opened(now, &actions);
    pb::RangeResponse response;
    response.mutable_header()->set_cluster_id(1);
    response.mutable_header()->set_revision(7);
    while (FindAction<Follower::Range>()) {
      now += step;
      actions.clear();
      follower.RangeCompleted(now, {}, response, &actions);
    }
    ASSERT_TRUE(FindAction<Follower::Watch>());
    pb::WatchResponse created;
    created.mutable_header()->set_cluster_id(1);
    created.set_created(true);
    follower.WatchReceived(now, created, &actions);
    actions.clear();
  }
  void LoseConnection() { follower.Closed(now, {ConnectionErrorCode::kTransportFailed, "cut"}, &actions); }
  /// Returns the time after which the next unanswered connection attempt is abandoned.
  Time MeasureStepTimeout() {
    while (!FindAction<Follower::Connect>()) Tick();
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

TEST_F(FollowerTest, UnresponsiveMember_IsAbandonedSoonAndTimeoutGrowsWhileAllFail) {
  EXPECT_EQ(MeasureStepTimeout(), Time(1000)) << "the step timeout starts at its maximum";
  EstablishWatch(Time(5));
  LoseConnection();  // counts as a failure of the endpoint in use
  for (const int expected : {100, 100, 200, 200, 200, 400, 400, 400, 800, 800, 800, 1000, 1000, 1000, 1000})
    EXPECT_EQ(MeasureStepTimeout(), Time(expected));
}

TEST_F(FollowerTest, SlowSteps_SetTimeoutToTwiceTheirDuration) {
  EstablishWatch(Time(180));
  LoseConnection();
  EXPECT_EQ(MeasureStepTimeout(), Time(360));
  EstablishWatch(Time(5));
  LoseConnection();
  EXPECT_EQ(MeasureStepTimeout(), Time(100)) << "the timeout shrinks once steps are fast again";
}

pb::KeyValue KeyAt(const std::string& key, std::int64_t revision) {
  pb::KeyValue kv;
  kv.set_key(key);
  kv.set_mod_revision(revision);
  return kv;
}

TEST_F(FollowerTest, Snapshot_IsReadInPagesAtOneRevision) {
  while (!FindAction<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  pb::RangeResponse page;
  page.mutable_header()->set_cluster_id(1);
  page.mutable_header()->set_revision(7);
  *page.add_kvs() = KeyAt(kPrefix + "a", 3);
  *page.add_kvs() = KeyAt("/elsewhere", 3);
  page.set_more(true);
  actions.clear();
  follower.RangeCompleted(now, {}, page, &actions);
  const auto* first = FindAction<Follower::SnapshotPage>();
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->first);
  EXPECT_FALSE(first->last);
  EXPECT_EQ(first->kvs.size(), 1u) << "a key outside the prefix is ignored";
  ASSERT_TRUE(FindAction<Follower::Range>());
  EXPECT_EQ(FindAction<Follower::Range>()->request.revision(), 7);
  page.mutable_header()->set_revision(9);  // other clients have written since the first page
  page.set_more(false);
  actions.clear();
  follower.RangeCompleted(now, {}, page, &actions);
  const auto* last = FindAction<Follower::SnapshotPage>();
  ASSERT_TRUE(last);
  EXPECT_FALSE(last->first);
  EXPECT_TRUE(last->last);
  EXPECT_EQ(last->revision, 7);
  ASSERT_TRUE(FindAction<Follower::Watch>());
  EXPECT_EQ(FindAction<Follower::Watch>()->request.create_request().start_revision(), 8);
}

TEST_F(FollowerTest, Fragments_AreJoinedAndDeliveredRevisionsDropped) {
  EstablishWatch(Time(1));
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
  const auto* events = FindAction<Follower::Events>();
  ASSERT_TRUE(events);
  EXPECT_EQ(events->events.size(), 3u);
  EXPECT_EQ(events->revision, 9);
  EXPECT_EQ(follower.revision(), 9)
      << "not the revision of the header, because later events may still arrive";
  receive({9}, false);
  EXPECT_FALSE(FindAction<Follower::Events>());
  EXPECT_TRUE(FindAction<Follower::Progress>());
  receive({}, false);
  ASSERT_TRUE(FindAction<Follower::Progress>());
  EXPECT_EQ(FindAction<Follower::Progress>()->revision, 20);
  receive({22, 21}, false);
  EXPECT_TRUE(FindAction<Follower::Disconnected>()) << "events out of order";
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
  EXPECT_FALSE(FindAction<Follower::SnapshotPage>());
  EXPECT_TRUE(FindAction<Follower::Disconnected>());
  ASSERT_TRUE(bounded.last_error().has_value());
  EXPECT_EQ(bounded.last_error()->code, FollowerErrorCode::kSnapshotTooLarge);
  const std::string message = bounded.last_error_message();
  EXPECT_NE(message.find("100 bytes"), std::string::npos) << message;
}

TEST_F(FollowerTest, PageWithoutRevision_Fails) {
  while (!FindAction<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  actions.clear();
  follower.RangeCompleted(now, {}, pb::RangeResponse(), &actions);
  EXPECT_FALSE(FindAction<Follower::SnapshotPage>());
  EXPECT_TRUE(FindAction<Follower::Disconnected>());
  EXPECT_NE(follower.last_error_message().find("without a revision"), std::string::npos);
}

TEST_F(FollowerTest, LaggingServer_RevertsNothing) {
  EstablishWatch(Time(1));
  pb::WatchResponse ahead;
  ahead.mutable_header()->set_cluster_id(1);
  ahead.mutable_header()->set_revision(30);
  follower.WatchReceived(now, ahead, &actions);
  EXPECT_EQ(follower.revision(), 30);
  LoseConnection();
  actions.clear();
  while (!FindAction<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  // The probe is a linearizable read, which a lagging server cannot answer.
  ASSERT_TRUE(FindAction<Follower::Range>());
  EXPECT_FALSE(FindAction<Follower::Range>()->request.serializable());
  EXPECT_EQ(FindAction<Follower::Range>()->request.limit(), 1);
  pb::RangeResponse committed;
  committed.mutable_header()->set_cluster_id(1);
  committed.mutable_header()->set_revision(33);
  actions.clear();
  follower.RangeCompleted(now, {}, committed, &actions);
  ASSERT_TRUE(FindAction<Follower::Watch>());
  EXPECT_EQ(FindAction<Follower::Watch>()->request.create_request().start_revision(), 31);
  // The watch still lags; responses with older revisions must change nothing.
  pb::WatchResponse behind = ahead;
  behind.mutable_header()->set_revision(12);
  actions.clear();
  follower.WatchReceived(now, behind, &actions);
  EXPECT_EQ(follower.revision(), 30);
  EXPECT_FALSE(FindAction<Follower::Events>());
  EXPECT_FALSE(FindAction<Follower::SnapshotPage>());
  *behind.add_events()->mutable_kv() = KeyAt(kPrefix + "a", 12);
  actions.clear();
  follower.WatchReceived(now, behind, &actions);
  EXPECT_EQ(follower.revision(), 30);
  EXPECT_FALSE(FindAction<Follower::Events>());
}

TEST_F(FollowerTest, InterruptedSnapshot_IsReadAgain) {
  EstablishWatch(Time(1));
  pb::WatchResponse compacted;
  compacted.mutable_header()->set_cluster_id(1);
  compacted.set_canceled(true);
  compacted.set_compact_revision(9);
  actions.clear();
  follower.WatchReceived(now, compacted, &actions);
  ASSERT_TRUE(FindAction<Follower::Range>());
  pb::RangeResponse page;
  page.mutable_header()->set_cluster_id(1);
  page.mutable_header()->set_revision(12);
  *page.add_kvs() = KeyAt(kPrefix + "a", 3);
  page.set_more(true);
  follower.RangeCompleted(now, {}, page, &actions);
  LoseConnection();
  actions.clear();
  while (!FindAction<Follower::Connect>()) Tick();
  actions.clear();
  follower.Opened(now, &actions);
  ASSERT_TRUE(FindAction<Follower::Range>());
  EXPECT_GT(FindAction<Follower::Range>()->request.limit(), 1) << "must request a page, not a probe";
  EXPECT_EQ(FindAction<Follower::Range>()->request.revision(), 0);
}

class SectionsTest : public FollowerTest {
 protected:
  SectionsTest() {
    FollowerSettings settings;
    settings.prefix = kPrefix;
    settings.sections = {"x/", "y/", "z/"};
    follower = Follower(settings, 1);
  }
  /// Answers the pending range request.
  void AnswerRange(const std::vector<std::string>& keys, bool more, std::int64_t revision = 7) {
    pb::RangeResponse page;
    page.mutable_header()->set_cluster_id(1);
    page.mutable_header()->set_revision(revision);
    for (const std::string& key : keys) *page.add_kvs() = KeyAt(kPrefix + key, 3);
    page.set_more(more);
    actions.clear();
    follower.RangeCompleted(now, {}, page, &actions);
  }
  /// Delivers a watch response.
  void ReceiveWatchResponse(std::int64_t watch_id, std::int64_t header,
                            const std::vector<std::int64_t>& revisions, bool created = false) {
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
  /// Returns the start revision of each section's watch, from the actions.
  std::map<std::string, std::int64_t> StartRevisions() const {
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
  /// Drives the follower to an established watch of each section.
  void EstablishAllWatches() {
    while (!FindAction<Follower::Connect>()) Tick();
    actions.clear();
    follower.Opened(now, &actions);
    for (int i = 0; i < 3; ++i) AnswerRange({}, false);
    for (int i = 1; i <= 3; ++i) ReceiveWatchResponse(i, 7, {}, true);
  }
};

TEST_F(SectionsTest, Snapshot_ReadsSectionsInOrderAtOneRevision) {
  while (!FindAction<Follower::Connect>()) Tick();
  actions.clear();
  follower.Opened(now, &actions);
  EXPECT_EQ(FindAction<Follower::Range>()->request.key(), kPrefix + "x/");
  EXPECT_EQ(FindAction<Follower::Range>()->request.range_end(), kPrefix + "x0");
  AnswerRange({"x/a"}, true);
  EXPECT_TRUE(FindAction<Follower::SnapshotPage>()->first);
  EXPECT_FALSE(FindAction<Follower::SnapshotPage>()->ends_section);
  AnswerRange({"x/b", "y/none"}, false, 9);
  const auto* page = FindAction<Follower::SnapshotPage>();
  EXPECT_EQ(page->kvs.size(), 1u) << "keys of other sections are ignored";
  EXPECT_TRUE(page->ends_section);
  EXPECT_FALSE(page->first || page->last);
  EXPECT_EQ(page->revision, 7);
  EXPECT_EQ(FindAction<Follower::Range>()->request.key(), kPrefix + "y/");
  EXPECT_EQ(FindAction<Follower::Range>()->request.revision(), 7);
  AnswerRange({}, false, 9);
  EXPECT_EQ(FindAction<Follower::SnapshotPage>()->section, 1u);
  AnswerRange({"z/a"}, false, 9);
  EXPECT_TRUE(FindAction<Follower::SnapshotPage>()->last);
  EXPECT_EQ(FindAction<Follower::SnapshotPage>()->section, 2u);
  EXPECT_EQ(StartRevisions(), (std::map<std::string, std::int64_t>{{"x/", 8}, {"y/", 8}, {"z/", 8}}));
}

TEST_F(SectionsTest, RevisionBehindOneSection_ReadsSnapshot) {
  EstablishAllWatches();
  EXPECT_TRUE(FindAction<Follower::Progress>()) << "established once all watches are created";
  ReceiveWatchResponse(2, 30, {20, 30});
  ASSERT_TRUE(FindAction<Follower::Events>());
  EXPECT_EQ(FindAction<Follower::Events>()->section, 1u);
  EXPECT_EQ(FindAction<Follower::Events>()->revision, 30);
  EXPECT_EQ(follower.revision(), 7) << "the lowest revision of all sections";
  ReceiveWatchResponse(1, 30, {25});
  EXPECT_TRUE(FindAction<Follower::Events>()) << "order between watches is not required";
  ReceiveWatchResponse(3, 28, {});  // progress of one watch
  LoseConnection();
  actions.clear();
  while (!FindAction<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  AnswerRange({}, false, 29);  // below the revision of one section: history was replaced
  EXPECT_TRUE(FindAction<Follower::Range>());
  EXPECT_GT(FindAction<Follower::Range>()->request.limit(), 1);
}

TEST_F(SectionsTest, Reconnect_ResumesEachSectionAfterItsRevision) {
  EstablishAllWatches();
  ReceiveWatchResponse(2, 30, {30});
  ReceiveWatchResponse(1, 30, {25});
  ReceiveWatchResponse(-1, 40, {});  // progress of all watches
  EXPECT_EQ(follower.revision(), 40);
  ReceiveWatchResponse(3, 41, {41});
  LoseConnection();
  actions.clear();
  while (!FindAction<Follower::Connect>()) Tick();
  follower.Opened(now, &actions);
  AnswerRange({}, false, 45);
  EXPECT_EQ(StartRevisions(), (std::map<std::string, std::int64_t>{{"x/", 41}, {"y/", 41}, {"z/", 42}}));
  EXPECT_EQ(follower.snapshots(), 1u);
}

TEST_F(SectionsTest, EventsOfUnknownWatch_Fail) {
  EstablishAllWatches();
  ReceiveWatchResponse(9, 30, {30});
  EXPECT_FALSE(FindAction<Follower::Events>());
  EXPECT_TRUE(FindAction<Follower::Disconnected>());
}

}  // namespace
}  // namespace badgerbridge::etcd
