// SPDX-License-Identifier: Apache-2.0
//
// What the relay's core makes of its upstream: snapshots again, history replaced, and one that lies.
#include "watch_cache/harness.h"

namespace badgerbridge::watch_cache {
namespace {

using Strings = std::vector<std::string>;
using Messages = std::vector<Strings>;

class RelayUpstreamTest : public ::testing::Test {
 protected:
  void SetUp() override {
    relay_.Snapshot(10, {Kv("/p/a", "1", 3), Kv("/p/b", "2", 10)});
    relay_.Established(1, WatchAll());
    ASSERT_FALSE(relay_.Take(1));
  }
  void ExpectToldToReread(SubscriberId subscriber, std::int64_t compact_revision) {
    const auto message = relay_.Take(subscriber);
    ASSERT_TRUE(message);
    EXPECT_TRUE(message->canceled());
    EXPECT_EQ(message->compact_revision(), compact_revision);
    EXPECT_EQ(message->events_size(), 0);
    EXPECT_FALSE(relay_.Take(subscriber));
  }
  void ExpectRejected(const std::string& why) {
    ASSERT_EQ(relay_.rejected, Strings{why});
    EXPECT_FALSE(relay_.relay().status().connected);
    EXPECT_EQ(relay_.relay().status().upstream_rejected, 1u);
    EXPECT_EQ(relay_.relay().status().last_upstream_error, why);
    // Nothing of it is served, nor what comes after it.
    EXPECT_EQ(relay_.StateNow(), "a=1 b=2");
    EXPECT_FALSE(relay_.Take(1));
    relay_.Event(Put("/p/a", "after the hole", 20));
    relay_.Progress(30);
    EXPECT_EQ(relay_.StateNow(), "a=1 b=2");
    EXPECT_FALSE(relay_.Take(1));
    EXPECT_EQ(relay_.rejected.size(), 1u);
    // A new list mends it: who watches is told to read again.
    relay_.Snapshot(30, {Kv("/p/a", "now", 20, 3)});
    ExpectToldToReread(1, 30);
    EXPECT_EQ(relay_.StateNow(), "a=now");
    EXPECT_TRUE(relay_.relay().status().connected);
  }

  Harness relay_;
};

// Keys that came and went between two lists are in neither: nobody is carried over the gap by events, also
// not one who was current, since a relay below would let others resume inside what looks like events.
TEST_F(RelayUpstreamTest, ANewListTellsWatchesToReadAgain) {
  relay_.Event(Put("/p/a", "11", 11));
  relay_.Established(2, WatchAll(11));
  relay_.Snapshot(20, {Kv("/p/a", "new", 15, 3), Kv("/p/c", "3", 12)});
  EXPECT_EQ(relay_.StateNow(), "a=new c=3");
  ExpectToldToReread(1, 20);
  ExpectToldToReread(2, 20);
  EXPECT_TRUE(relay_.ended.empty()) << "etcd's way: canceled with the compacted revision";
  for (std::int64_t start = 10; start <= 20; ++start) {
    const auto id = static_cast<SubscriberId>(100 + start);
    relay_.Established(id, WatchAll(start));
    ExpectToldToReread(id, 20);
  }
  relay_.Established(4, WatchAll(21));
  relay_.Event(Put("/p/a", "21", 21));
  EXPECT_EQ(relay_.Messages(4), (Messages{{"PUT a=21@21"}}));
  pb::RangeRequest old = ListAll();
  old.set_revision(11);
  EXPECT_EQ(relay_.ReadNow(old).status.code, Code::kOutOfRange);
}

TEST_F(RelayUpstreamTest, AnEqualListAtAHigherRevisionHidesWhatCameAndWent) {
  relay_.Snapshot(20, {Kv("/p/a", "1", 3), Kv("/p/b", "2", 10)});
  ExpectToldToReread(1, 20);
}

TEST_F(RelayUpstreamTest, AStartInTheFutureIsToldOnlyOnceItIsPassed) {
  relay_.Established(2, WatchAll(15));
  relay_.Established(3, WatchAll(21));
  ASSERT_FALSE(relay_.Take(2));
  ASSERT_FALSE(relay_.Take(3));
  relay_.Snapshot(20, {Kv("/p/a", "1", 3)});
  ExpectToldToReread(2, 20);
  EXPECT_FALSE(relay_.Take(3));
  relay_.Event(Put("/p/a", "21", 21));
  EXPECT_EQ(relay_.Messages(3), (Messages{{"PUT a=21@21"}}));
}

TEST_F(RelayUpstreamTest, ARevisionThatGoesBackReplacesHistory) {
  relay_.Event(Put("/p/c", "3", 11));
  relay_.Snapshot(6, {Kv("/p/a", "1", 3)});
  ASSERT_EQ(relay_.ended.size(), 1u);
  EXPECT_EQ(relay_.ended.at(1).code, Code::kUnavailable);
  EXPECT_EQ(relay_.ended.at(1).message, "the source's history was replaced: read it again");
  EXPECT_FALSE(relay_.Take(1)) << "nothing of the old history";
  EXPECT_EQ(relay_.StateNow(), "a=1");
  const auto status = relay_.relay().status();
  EXPECT_EQ(status.revision, 6);
  EXPECT_EQ(status.window_events, 0u);
  EXPECT_EQ(status.compact_revision, 6);
  EXPECT_EQ(status.subscribers, 0u);
  relay_.Established(2, WatchAll(7));
  relay_.Event(Put("/p/b", "2", 7));
  EXPECT_EQ(relay_.Messages(2), (Messages{{"PUT b=2@7"}}));
}

TEST_F(RelayUpstreamTest, AnotherClusterIdReplacesHistoryWhateverItsRevision) {
  relay_.Snapshot(50, {Kv("/p/a", "another", 40)}, 78);
  EXPECT_EQ(relay_.ended.size(), 1u);
  EXPECT_EQ(relay_.StateNow(), "a=another");
  EXPECT_EQ(relay_.relay().status().cluster_id, 78u);
  relay_.Established(2, WatchAll(11));
  const auto message = relay_.Take(2);
  ASSERT_TRUE(message && message->canceled()) << "that revision was of the old history";
  EXPECT_EQ(message->compact_revision(), 50);
}

// Restored under the same id, and written to until the revision was higher: told by keys that the cache would
// have to know.
TEST_F(RelayUpstreamTest, ASnapshotThatContradictsTheCachesPastReplacesHistory) {
  relay_.Snapshot(12, {Kv("/p/a", "other", 9, 3), Kv("/p/b", "2", 12)});
  EXPECT_EQ(relay_.ended.size(), 1u);
  EXPECT_EQ(relay_.relay().status().compact_revision, 12);
}

TEST_F(RelayUpstreamTest, TheSameSnapshotAgainChangesNothing) {
  relay_.Lost();
  relay_.Snapshot(10, {Kv("/p/a", "1", 3), Kv("/p/b", "2", 10)});
  EXPECT_TRUE(relay_.ended.empty());
  EXPECT_FALSE(relay_.Take(1));
  EXPECT_TRUE(relay_.relay().status().connected);
  relay_.Snapshot(10, {Kv("/p/a", "1", 3)});
  EXPECT_EQ(relay_.ended.size(), 1u) << "another state at the same revision is another history";
}

// The upstream has compacted what this relay needs to resume: its readers are told the same, and what had not
// been given yet is not given in part.
TEST_F(RelayUpstreamTest, CompactionUpstreamWhileASubscriberCatchesUp) {
  relay_.Event(Put("/p/a", "11", 11));
  relay_.Event(Put("/p/b", "12", 12));
  relay_.Established(2, WatchAll(11));
  EXPECT_EQ(Text(*relay_.Take(2)), Strings{"PUT a=11@11"});
  relay_.Lost();
  relay_.Snapshot(40, {Kv("/p/a", "33", 33, 3), Kv("/p/c", "3", 35)});
  ExpectToldToReread(2, 40);
  EXPECT_TRUE(relay_.ended.empty());
  EXPECT_EQ(relay_.StateNow(), "a=33 c=3");
}

TEST_F(RelayUpstreamTest, RejectsEventsOutOfTheirOrder) {
  relay_.Events(14, {Put("/p/a", "2", 13), Put("/p/b", "3", 12)});
  ExpectRejected("an event of revision 12 where one of 13 or later is due");
}

TEST_F(RelayUpstreamTest, RejectsEventsThatItHasHad) {
  relay_.Events(14, {Put("/p/a", "2", 10)});
  ExpectRejected("an event of revision 10 where one of 11 or later is due");
}

TEST_F(RelayUpstreamTest, RejectsAnEventAfterItsHeadersRevision) {
  relay_.Events(14, {Put("/p/a", "2", 15)});
  ExpectRejected("an event: the key /p/a is of revision 15, after the answer's 14");
}

TEST_F(RelayUpstreamTest, RejectsAnEventOutsideThePrefix) {
  relay_.Events(14, {Put("/p/a", "2", 13), Put("/other", "3", 14)});
  ExpectRejected("an event: the key /other is outside the prefix /p/");
}

TEST_F(RelayUpstreamTest, RejectsAnEventOfNoKnownType) {
  pb::Event event = Put("/p/a", "2", 13);
  event.set_type(static_cast<pb::Event::EventType>(7));
  relay_.Events(14, {event});
  ExpectRejected("an event of an unknown type");
}

TEST_F(RelayUpstreamTest, RejectsAnEventWithoutARevision) {
  relay_.Events(14, {Deleted("/p/a", 0)});
  ExpectRejected("an event: the key /p/a has no revision");
}

TEST_F(RelayUpstreamTest, RejectsProgressThatGoesBack) {
  relay_.Progress(9);
  ExpectRejected("progress at revision 9 after 10");
}

TEST_F(RelayUpstreamTest, RejectsASnapshotThatHasAKeyTwice) {
  relay_.Snapshot(14, {Kv("/p/a", "2", 13), Kv("/p/a", "3", 14)});
  ExpectRejected("a list: the key /p/a is there twice");
}

TEST_F(RelayUpstreamTest, RejectsASnapshotWithKeysAfterItOrOutsideThePrefix) {
  relay_.Snapshot(14, {Kv("/p/a", "2", 15)});
  ExpectRejected("a list: the key /p/a is of revision 15, after the answer's 14");
}

TEST(RelayUpstreamStartTest, RejectsWhatComesBeforeAListAndServesNothing) {
  Harness relay;
  relay.Event(Put("/p/a", "2", 13));
  EXPECT_EQ(relay.rejected, Strings{"events before a list"});
  relay.Subscribe(1, WatchAll());
  EXPECT_EQ(relay.ended.at(1).code, Code::kUnavailable);
  EXPECT_EQ(relay.ended.at(1).message, "the relay has not read its prefix yet");
  Harness other;
  other.Progress(13);
  EXPECT_EQ(other.rejected, Strings{"progress before a list"});
  Harness lied_to;
  lied_to.Snapshot(14, {Kv("/q", "2", 13)});
  EXPECT_EQ(lied_to.rejected, Strings{"a list: the key /q is outside the prefix /p/"});
  EXPECT_FALSE(lied_to.relay().status().connected);
  EXPECT_EQ(lied_to.ReadNow(ListAll()).status.message, "not answered");
}

}  // namespace
}  // namespace badgerbridge::watch_cache
