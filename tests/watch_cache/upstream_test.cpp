// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Data from upstream: repeated snapshots, replaced history, and contradictory data.
#include "watch_cache/harness.h"

namespace badgerbridge::watch_cache {
namespace {

using Strings = std::vector<std::string>;
using Messages = std::vector<Strings>;

class WatchCacheUpstreamTest : public ::testing::Test {
 protected:
  void SetUp() override {
    harness_.Snapshot(10, {MakeKeyValue("/p/a", "1", 3), MakeKeyValue("/p/b", "2", 10)});
    harness_.Watch(1, WatchAll());
    ASSERT_FALSE(harness_.NextMessage(1));
  }
  void ExpectCompacted(SubscriberId subscriber, std::int64_t compact_revision) {
    const auto message = harness_.NextMessage(subscriber);
    ASSERT_TRUE(message);
    EXPECT_TRUE(message->canceled());
    EXPECT_EQ(message->compact_revision(), compact_revision);
    EXPECT_EQ(message->events_size(), 0);
    EXPECT_FALSE(harness_.NextMessage(subscriber));
  }
  void ExpectRejected(const std::string& reason) {
    ASSERT_EQ(harness_.rejected, Strings{reason});
    EXPECT_FALSE(harness_.cache().status().connected);
    EXPECT_EQ(harness_.cache().status().upstream_rejections, 1u);
    EXPECT_EQ(harness_.cache().status().last_upstream_error, reason);
    // Neither the rejected data nor any later data is applied.
    EXPECT_EQ(harness_.StateNow(), "a=1 b=2");
    EXPECT_FALSE(harness_.NextMessage(1));
    harness_.Event(Put("/p/a", "after the hole", 20));
    harness_.Progress(30);
    EXPECT_EQ(harness_.StateNow(), "a=1 b=2");
    EXPECT_FALSE(harness_.NextMessage(1));
    EXPECT_EQ(harness_.rejected.size(), 1u);
    // A new list is accepted; watches are canceled.
    harness_.Snapshot(30, {MakeKeyValue("/p/a", "now", 20, 3)});
    ExpectCompacted(1, 30);
    EXPECT_EQ(harness_.StateNow(), "a=now");
    EXPECT_TRUE(harness_.cache().status().connected);
  }

  Harness harness_;
};

// Keys that were added and deleted between two lists are in neither. So no subscriber may get events for the
// gap, not even a current one, because a downstream cache would let its own readers resume within them.
TEST_F(WatchCacheUpstreamTest, NewListCancelsWatchesAsCompacted) {
  harness_.Event(Put("/p/a", "11", 11));
  harness_.Watch(2, WatchAll(11));
  harness_.Snapshot(20, {MakeKeyValue("/p/a", "new", 15, 3), MakeKeyValue("/p/c", "3", 12)});
  EXPECT_EQ(harness_.StateNow(), "a=new c=3");
  ExpectCompacted(1, 20);
  ExpectCompacted(2, 20);
  EXPECT_TRUE(harness_.ended.empty()) << "as in etcd, watches are canceled with the compact revision";
  for (std::int64_t start = 10; start <= 20; ++start) {
    const auto id = static_cast<SubscriberId>(100 + start);
    harness_.Watch(id, WatchAll(start));
    ExpectCompacted(id, 20);
  }
  harness_.Watch(4, WatchAll(21));
  harness_.Event(Put("/p/a", "21", 21));
  EXPECT_EQ(harness_.EventTexts(4), (Messages{{"PUT a=21@21"}}));
  pb::RangeRequest old = ListAll();
  old.set_revision(11);
  EXPECT_EQ(harness_.ReadNow(old).status.code, Code::kOutOfRange);
}

TEST_F(WatchCacheUpstreamTest, EqualListAtHigherRevisionCancelsWatches) {
  harness_.Snapshot(20, {MakeKeyValue("/p/a", "1", 3), MakeKeyValue("/p/b", "2", 10)});
  ExpectCompacted(1, 20);
}

TEST_F(WatchCacheUpstreamTest, WatchFromFutureIsCanceledOnlyIfListPassesIt) {
  harness_.Watch(2, WatchAll(15));
  harness_.Watch(3, WatchAll(21));
  ASSERT_FALSE(harness_.NextMessage(2));
  ASSERT_FALSE(harness_.NextMessage(3));
  harness_.Snapshot(20, {MakeKeyValue("/p/a", "1", 3)});
  ExpectCompacted(2, 20);
  EXPECT_FALSE(harness_.NextMessage(3));
  harness_.Event(Put("/p/a", "21", 21));
  EXPECT_EQ(harness_.EventTexts(3), (Messages{{"PUT a=21@21"}}));
}

TEST_F(WatchCacheUpstreamTest, LowerRevisionReplacesHistory) {
  harness_.Event(Put("/p/c", "3", 11));
  harness_.Snapshot(6, {MakeKeyValue("/p/a", "1", 3)});
  ASSERT_EQ(harness_.ended.size(), 1u);
  EXPECT_EQ(harness_.ended.at(1).code, Code::kUnavailable);
  EXPECT_EQ(harness_.ended.at(1).message, "the source's history was replaced: read it again");
  EXPECT_FALSE(harness_.NextMessage(1)) << "no message of the old history";
  EXPECT_EQ(harness_.StateNow(), "a=1");
  const auto status = harness_.cache().status();
  EXPECT_EQ(status.revision, 6);
  EXPECT_EQ(status.window_events, 0u);
  EXPECT_EQ(status.compact_revision, 6);
  EXPECT_EQ(status.subscribers, 0u);
  harness_.Watch(2, WatchAll(7));
  harness_.Event(Put("/p/b", "2", 7));
  EXPECT_EQ(harness_.EventTexts(2), (Messages{{"PUT b=2@7"}}));
}

TEST_F(WatchCacheUpstreamTest, OtherClusterIdReplacesHistoryAtAnyRevision) {
  harness_.Snapshot(50, {MakeKeyValue("/p/a", "another", 40)}, 78);
  EXPECT_EQ(harness_.ended.size(), 1u);
  EXPECT_EQ(harness_.StateNow(), "a=another");
  EXPECT_EQ(harness_.cache().status().cluster_id, 78u);
  harness_.Watch(2, WatchAll(11));
  const auto message = harness_.NextMessage(2);
  ASSERT_TRUE(message && message->canceled()) << "the revision belongs to the old history";
  EXPECT_EQ(message->compact_revision(), 50);
}

// The source was restored under the same cluster id and written to until its revision was higher. The cache
// detects this by keys that it should already hold.
TEST_F(WatchCacheUpstreamTest, SnapshotContradictingCacheReplacesHistory) {
  harness_.Snapshot(12, {MakeKeyValue("/p/a", "other", 9, 3), MakeKeyValue("/p/b", "2", 12)});
  EXPECT_EQ(harness_.ended.size(), 1u);
  EXPECT_EQ(harness_.cache().status().compact_revision, 12);
}

TEST_F(WatchCacheUpstreamTest, SameSnapshotAgainChangesNothing) {
  harness_.Lost();
  harness_.Snapshot(10, {MakeKeyValue("/p/a", "1", 3), MakeKeyValue("/p/b", "2", 10)});
  EXPECT_TRUE(harness_.ended.empty());
  EXPECT_FALSE(harness_.NextMessage(1));
  EXPECT_TRUE(harness_.cache().status().connected);
  harness_.Snapshot(10, {MakeKeyValue("/p/a", "1", 3)});
  EXPECT_EQ(harness_.ended.size(), 1u) << "another state at the same revision is another history";
}

// The upstream has compacted the events that this cache needs to resume. Watches are canceled, and none of
// their pending events is sent.
TEST_F(WatchCacheUpstreamTest, UpstreamCompactionCancelsSubscriberThatCatchesUp) {
  harness_.Event(Put("/p/a", "11", 11));
  harness_.Event(Put("/p/b", "12", 12));
  harness_.Watch(2, WatchAll(11));
  EXPECT_EQ(Text(*harness_.NextMessage(2)), Strings{"PUT a=11@11"});
  harness_.Lost();
  harness_.Snapshot(40, {MakeKeyValue("/p/a", "33", 33, 3), MakeKeyValue("/p/c", "3", 35)});
  ExpectCompacted(2, 40);
  EXPECT_TRUE(harness_.ended.empty());
  EXPECT_EQ(harness_.StateNow(), "a=33 c=3");
}

TEST_F(WatchCacheUpstreamTest, EventsOutOfOrderAreRejected) {
  harness_.Events(14, {Put("/p/a", "2", 13), Put("/p/b", "3", 12)});
  ExpectRejected("an event of revision 12 where one of 13 or later is due");
}

TEST_F(WatchCacheUpstreamTest, RepeatedEventsAreRejected) {
  harness_.Events(14, {Put("/p/a", "2", 10)});
  ExpectRejected("an event of revision 10 where one of 11 or later is due");
}

TEST_F(WatchCacheUpstreamTest, EventAfterHeaderRevisionIsRejected) {
  harness_.Events(14, {Put("/p/a", "2", 15)});
  ExpectRejected("an event: the key /p/a is of revision 15, after the answer's 14");
}

TEST_F(WatchCacheUpstreamTest, EventOutsidePrefixIsRejected) {
  harness_.Events(14, {Put("/p/a", "2", 13), Put("/other", "3", 14)});
  ExpectRejected("an event: the key /other is outside the prefix /p/");
}

TEST_F(WatchCacheUpstreamTest, EventOfUnknownTypeIsRejected) {
  pb::Event event = Put("/p/a", "2", 13);
  event.set_type(static_cast<pb::Event::EventType>(7));
  harness_.Events(14, {event});
  ExpectRejected("an event of an unknown type");
}

TEST_F(WatchCacheUpstreamTest, EventWithoutRevisionIsRejected) {
  harness_.Events(14, {Deletion("/p/a", 0)});
  ExpectRejected("an event: the key /p/a has no revision");
}

TEST_F(WatchCacheUpstreamTest, LowerProgressIsRejected) {
  harness_.Progress(9);
  ExpectRejected("progress at revision 9 after 10");
}

TEST_F(WatchCacheUpstreamTest, SnapshotWithDuplicateKeyIsRejected) {
  harness_.Snapshot(14, {MakeKeyValue("/p/a", "2", 13), MakeKeyValue("/p/a", "3", 14)});
  ExpectRejected("a list: the key /p/a is there twice");
}

TEST_F(WatchCacheUpstreamTest, SnapshotWithKeyAfterItsRevisionIsRejected) {
  harness_.Snapshot(14, {MakeKeyValue("/p/a", "2", 15)});
  ExpectRejected("a list: the key /p/a is of revision 15, after the answer's 14");
}

TEST(WatchCacheUpstreamStartTest, DataBeforeFirstListIsRejectedAndNothingIsServed) {
  Harness harness;
  harness.Event(Put("/p/a", "2", 13));
  EXPECT_EQ(harness.rejected, Strings{"events before a list"});
  harness.Subscribe(1, WatchAll());
  EXPECT_EQ(harness.ended.at(1).code, Code::kUnavailable);
  EXPECT_EQ(harness.ended.at(1).message, "the relay has not read its prefix yet");
  Harness other;
  other.Progress(13);
  EXPECT_EQ(other.rejected, Strings{"progress before a list"});
  Harness invalid_list;
  invalid_list.Snapshot(14, {MakeKeyValue("/q", "2", 13)});
  EXPECT_EQ(invalid_list.rejected, Strings{"a list: the key /q is outside the prefix /p/"});
  EXPECT_FALSE(invalid_list.cache().status().connected);
  EXPECT_EQ(invalid_list.ReadNow(ListAll()).status.message, "not answered");
}

}  // namespace
}  // namespace badgerbridge::watch_cache
