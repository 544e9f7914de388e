// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Watches that keep up: resuming, the window's floor, filters, fragments, progress and termination.
#include <limits>

#include "watch_cache/harness.h"

namespace badgerbridge::watch_cache {
namespace {

using Strings = std::vector<std::string>;
using Messages = std::vector<Strings>;

const Time kUpstreamGrace = Settings().upstream_grace;

class WatchCacheWatchTest : public ::testing::Test {
 protected:
  void LoadSnapshot() {
    harness_.Snapshot(10, {MakeKeyValue("/p/a", "1", 3), MakeKeyValue("/p/b", "2", 10)});
  }
  /// The watch is canceled with the compacted revision.
  void ExpectCompacted(SubscriberId subscriber, std::int64_t compact_revision) {
    const auto message = harness_.NextMessage(subscriber);
    ASSERT_TRUE(message);
    EXPECT_TRUE(message->canceled());
    EXPECT_EQ(message->compact_revision(), compact_revision);
    EXPECT_FALSE(harness_.NextMessage(subscriber)) << "it was the last message";
  }

  Harness harness_;
};

TEST_F(WatchCacheWatchTest, WatchFromNowGetsNewEvents) {
  LoadSnapshot();
  harness_.Watch(1, WatchAll());
  EXPECT_FALSE(harness_.NextMessage(1));
  harness_.Event(Put("/p/c", "3", 11));
  EXPECT_EQ(harness_.woken, (std::vector<SubscriberId>{1, 1}));
  const auto message = harness_.NextMessage(1);
  ASSERT_TRUE(message);
  EXPECT_EQ(Text(*message), Strings{"PUT c=3@11"});
  EXPECT_EQ(message->header().revision(), 11);
  EXPECT_EQ(message->header().cluster_id(), kCluster);
  EXPECT_EQ(message->header().member_id(), 5u);
}

TEST_F(WatchCacheWatchTest, SubscriberIsWokenOnceUntilItHasTakenAllMessages) {
  LoadSnapshot();
  harness_.Watch(1, WatchAll());
  ASSERT_FALSE(harness_.NextMessage(1));
  harness_.woken.clear();
  harness_.Event(Put("/p/c", "3", 11));
  harness_.Event(Put("/p/c", "4", 12));
  EXPECT_EQ(harness_.woken.size(), 1u);
  EXPECT_EQ(harness_.EventTexts(1), (Messages{{"PUT c=3@11"}, {"PUT c=4@12"}}));
  harness_.Event(Put("/p/c", "5", 13));
  EXPECT_EQ(harness_.woken.size(), 2u);
}

TEST_F(WatchCacheWatchTest, WatchFromPastRevisionGetsMissedEvents) {
  LoadSnapshot();
  harness_.Event(Put("/p/c", "3", 11));
  harness_.Event(Put("/p/c", "4", 12));
  harness_.Event(Deletion("/p/a", 13));
  harness_.Watch(1, WatchAll(12));
  EXPECT_EQ(harness_.EventTexts(1), (Messages{{"PUT c=4@12"}, {"DELETE a@13"}}));
  EXPECT_EQ(harness_.cache().status().resumed, 1u);
}

TEST_F(WatchCacheWatchTest, WatchFromWithinBatchGetsRestOfBatch) {
  LoadSnapshot();
  harness_.Events(20, {Put("/p/a", "new", 12), Deletion("/p/b", 15), Put("/p/d", "4", 18)});
  harness_.Watch(1, WatchAll(14));
  EXPECT_EQ(harness_.EventTexts(1), (Messages{{"DELETE b@15", "PUT d=4@18"}}));
}

TEST_F(WatchCacheWatchTest, WatchAtCompactRevisionIsCanceledAndNextIsServed) {
  Settings settings = TestSettings();
  settings.max_window_events = 2;
  Harness harness(settings);
  harness.Snapshot(10, {});
  for (std::int64_t revision = 11; revision <= 15; ++revision)
    harness.Event(Put("/p/a", std::to_string(revision), revision));
  EXPECT_EQ(harness.cache().status().compact_revision, 13);
  EXPECT_EQ(harness.cache().status().window_events, 2u);
  harness.Watch(1, WatchAll(14));
  EXPECT_EQ(harness.EventTexts(1), (Messages{{"PUT a=14@14"}, {"PUT a=15@15"}}));
  harness.Watch(2, WatchAll(13));
  const auto message = harness.NextMessage(2);
  ASSERT_TRUE(message && message->canceled());
  EXPECT_EQ(message->compact_revision(), 13);
  EXPECT_EQ(message->cancel_reason(), "etcdserver: mvcc: required revision has been compacted");
  pb::RangeRequest request = ListAll();
  request.set_revision(13);
  EXPECT_EQ(Text(harness.ReadNow(request).response), "a=13");
  request.set_revision(12);
  EXPECT_EQ(harness.ReadNow(request).status.code, Code::kOutOfRange);
}

TEST_F(WatchCacheWatchTest, WindowIsBoundedByBytes) {
  Settings settings = TestSettings();
  settings.max_window_bytes = 10000;
  Harness harness(settings);
  harness.Snapshot(10, {});
  for (std::int64_t revision = 11; revision <= 100; ++revision) {
    harness.Event(Put("/p/a", std::string(1000, 'x'), revision));
    ASSERT_LE(harness.cache().status().window_bytes, 10000u);
  }
  EXPECT_GE(harness.cache().status().window_events, 7u);
  // A batch that is larger than the window is applied to the state, but not kept in the window.
  harness.Event(Put("/p/b", std::string(20000, 'y'), 101));
  EXPECT_EQ(harness.cache().status().window_bytes, 0u);
  EXPECT_EQ(harness.cache().status().compact_revision, 101);
}

TEST_F(WatchCacheWatchTest, BatchLargerThanWindowReachesCurrentSubscriber) {
  Settings settings = TestSettings();
  settings.max_window_bytes = 10000;
  Harness harness(settings);
  harness.Snapshot(10, {});
  harness.Watch(1, WatchAll());
  ASSERT_FALSE(harness.NextMessage(1));
  harness.Event(Put("/p/b", std::string(20000, 'y'), 11));
  EXPECT_EQ(harness.AllMessages(1).size(), 1u);
}

// As in etcd, a watch sends nothing until its start revision is reached.
TEST_F(WatchCacheWatchTest, WatchFromFutureIsSilentUntilItsRevision) {
  LoadSnapshot();
  pb::WatchCreateRequest request = WatchAll(13);
  request.set_progress_notify(true);
  harness_.Watch(1, request);
  harness_.Event(Put("/p/c", "3", 11));
  harness_.Advance(Time(600));
  EXPECT_FALSE(harness_.NextMessage(1));
  harness_.Event(Put("/p/c", "4", 12));
  harness_.Event(Put("/p/c", "5", 13));
  EXPECT_EQ(Text(*harness_.NextMessage(1)), Strings{"PUT c=5@13"});
}

TEST_F(WatchCacheWatchTest, WatchRespectsKeyRangeAndFilters) {
  LoadSnapshot();
  pb::WatchCreateRequest key = WatchAll();
  key.set_key("/p/a");
  key.clear_range_end();
  pb::WatchCreateRequest range = WatchAll();
  range.set_key("/p/b");
  range.set_range_end("/p/d");
  pb::WatchCreateRequest puts = WatchAll(), deletions = WatchAll();
  puts.add_filters(pb::WatchCreateRequest::NODELETE);
  deletions.add_filters(pb::WatchCreateRequest::NOPUT);
  SubscriberId id = 0;
  for (const auto& request : {key, range, puts, deletions}) harness_.Watch(++id, request);
  harness_.Events(13, {Put("/p/a", "2", 11), Deletion("/p/b", 12), Put("/p/d", "9", 13)});
  EXPECT_EQ(harness_.EventTexts(1), (Messages{{"PUT a=2@11"}}));
  EXPECT_EQ(harness_.EventTexts(2), (Messages{{"DELETE b@12"}}));
  EXPECT_EQ(harness_.EventTexts(3), (Messages{{"PUT a=2@11", "PUT d=9@13"}}));
  EXPECT_EQ(harness_.EventTexts(4), (Messages{{"DELETE b@12"}}));
}

TEST_F(WatchCacheWatchTest, PreviousValueIsSentOnlyIfRequested) {
  LoadSnapshot();
  pb::WatchCreateRequest request = WatchAll();
  request.set_prev_kv(true);
  harness_.Watch(1, request);
  harness_.Watch(2, WatchAll());
  harness_.Event(Put("/p/a", "2", 11));
  harness_.Event(Deletion("/p/a", 12));
  harness_.Event(Put("/p/a", "3", 13));
  const auto messages = harness_.AllMessages(1);
  ASSERT_EQ(messages.size(), 3u);
  EXPECT_EQ(messages[0].events(0).prev_kv().value(), "1");
  EXPECT_EQ(messages[1].events(0).prev_kv().value(), "2");
  EXPECT_FALSE(messages[2].events(0).has_prev_kv());
  EXPECT_FALSE(harness_.NextMessage(2)->events(0).has_prev_kv());
}

TEST_F(WatchCacheWatchTest, WatchOutsidePrefixIsRejectedWithPrefixInText) {
  LoadSnapshot();
  pb::WatchCreateRequest all;
  pb::WatchCreateRequest beyond = WatchAll();
  beyond.set_range_end("/q");
  SubscriberId id = 0;
  for (const auto& request : {all, beyond}) {
    harness_.Subscribe(++id, request);
    const auto message = harness_.NextMessage(id);
    ASSERT_TRUE(message);
    EXPECT_TRUE(message->created() && message->canceled());
    EXPECT_EQ(message->cancel_reason(), "only keys under /p/ are served here");
    EXPECT_EQ(message->compact_revision(), 0);
    EXPECT_FALSE(harness_.NextMessage(id));
  }
  EXPECT_EQ(harness_.cache().status().subscribers, 0u);
  EXPECT_EQ(harness_.cache().status().rejected, 2u);
}

TEST_F(WatchCacheWatchTest, LargeBatchIsSplitIntoFragmentsOfOneRevision) {
  LoadSnapshot();
  std::vector<pb::Event> events;
  for (int i = 0; i < 10; ++i) events.push_back(Put("/p/" + std::to_string(i), std::string(1000, 'x'), 11));
  pb::WatchCreateRequest request = WatchAll();
  harness_.Watch(1, request);
  request.set_fragment(true);
  harness_.Watch(2, request);
  harness_.Events(11, events);
  harness_.Event(Put("/p/a", "after", 12));
  auto whole = harness_.AllMessages(1, 3000);
  ASSERT_EQ(whole.size(), 2u) << "a watch without fragments gets the revision in one message";
  EXPECT_EQ(whole[0].events_size(), 10);
  const auto fragments = harness_.AllMessages(2, 3000);
  ASSERT_GE(fragments.size(), 5u);
  int given = 0;
  for (std::size_t i = 0; i + 1 < fragments.size(); ++i) {
    EXPECT_EQ(fragments[i].fragment(), i + 2 < fragments.size()) << "all fragments but the last";
    EXPECT_EQ(fragments[i].header().revision(), 11);
    EXPECT_LT(fragments[i].ByteSizeLong(), 4500u);
    given += fragments[i].events_size();
  }
  EXPECT_EQ(given, 10);
  EXPECT_EQ(Text(fragments.back()), Strings{"PUT a=after@12"});
}

// etcd may send a key more than once in one message to a watch that catches up.
TEST_F(WatchCacheWatchTest, ResponseWithRepeatedKeyIsSplitByRevision) {
  LoadSnapshot();
  harness_.Watch(1, WatchAll());
  harness_.Events(14, {Put("/p/a", "drain", 11), Put("/p/b", "3", 11), Put("/p/a", "back", 13)});
  const auto messages = harness_.AllMessages(1);
  ASSERT_EQ(messages.size(), 2u);
  EXPECT_EQ(Text(messages[0]), (Strings{"PUT a=drain@11", "PUT b=3@11"}));
  EXPECT_EQ(messages[0].header().revision(), 11);
  EXPECT_EQ(Text(messages[1]), Strings{"PUT a=back@13"});
  EXPECT_EQ(messages[1].header().revision(), 14);
}

TEST_F(WatchCacheWatchTest, ProgressIsNotifiedOnlyAfterAllEvents) {
  LoadSnapshot();
  pb::WatchCreateRequest request = WatchAll();
  request.set_progress_notify(true);
  harness_.Watch(1, request);
  harness_.Watch(2, WatchAll());
  ASSERT_FALSE(harness_.NextMessage(1));
  harness_.Progress(30);
  harness_.Advance(Time(500));
  auto message = harness_.NextMessage(1);
  ASSERT_TRUE(message);
  EXPECT_EQ(message->events_size(), 0);
  EXPECT_EQ(message->header().revision(), 30);
  EXPECT_FALSE(harness_.NextMessage(1));
  EXPECT_FALSE(harness_.NextMessage(2)) << "progress_notify is not set";
  harness_.Event(Put("/p/a", "2", 31));
  harness_.Advance(Time(500));
  EXPECT_EQ(Text(*harness_.NextMessage(1)), Strings{"PUT a=2@31"});
  message = harness_.NextMessage(1);
  ASSERT_TRUE(message);
  EXPECT_EQ(message->header().revision(), 31);
}

TEST_F(WatchCacheWatchTest, ProgressRequestIsAnswered) {
  LoadSnapshot();
  harness_.Watch(1, WatchAll());
  ASSERT_FALSE(harness_.NextMessage(1));
  harness_.RequestProgress(1);
  EXPECT_EQ(harness_.woken.back(), 1u);
  const auto message = harness_.NextMessage(1);
  ASSERT_TRUE(message);
  EXPECT_EQ(message->header().revision(), 10);
  EXPECT_EQ(message->events_size(), 0);
}

// A progress notification states that the revision is current. A relay without its upstream must not send
// one, so that its readers switch to another relay.
TEST_F(WatchCacheWatchTest, ProgressIsNotNotifiedWhileUpstreamIsLost) {
  LoadSnapshot();
  pb::WatchCreateRequest request = WatchAll();
  request.set_progress_notify(true);
  harness_.Watch(1, request);
  ASSERT_FALSE(harness_.NextMessage(1));
  harness_.Lost();
  harness_.Advance(kUpstreamGrace - Time(1));
  harness_.RequestProgress(1);
  EXPECT_FALSE(harness_.NextMessage(1));
  EXPECT_FALSE(harness_.cache().status().connected);
  EXPECT_EQ(harness_.StateNow(), "a=1 b=2") << "the last known state is still served";
  harness_.woken.clear();
  harness_.Progress(10);
  EXPECT_EQ(harness_.woken, std::vector<SubscriberId>{1});
  EXPECT_TRUE(harness_.NextMessage(1));
}

TEST_F(WatchCacheWatchTest, WatchesAreEndedAndRejectedAfterUpstreamGrace) {
  LoadSnapshot();
  harness_.Watch(1, WatchAll());
  harness_.Watch(2, WatchAll());
  harness_.Lost();
  harness_.Advance(kUpstreamGrace / 2);
  harness_.Lost();  // the next endpoint fails, too; the grace period counts from the first loss
  harness_.Advance(kUpstreamGrace - kUpstreamGrace / 2 - Time(1));
  EXPECT_TRUE(harness_.ended.empty());
  harness_.Subscribe(3, WatchAll());
  EXPECT_TRUE(harness_.NextMessage(3)) << "a loss shorter than the grace period rejects no watch";
  harness_.Advance(Time(1));
  ASSERT_EQ(harness_.ended.size(), 3u);
  for (const auto& [subscriber, status] : harness_.ended) {
    EXPECT_EQ(status.code, etcd::Code::kUnavailable) << subscriber;
    EXPECT_NE(status.message.find("lost its upstream"), std::string::npos) << status.message;
  }
  EXPECT_EQ(harness_.cache().status().subscribers, 0u);
  harness_.Subscribe(4, WatchAll());
  EXPECT_EQ(harness_.ended.count(4), 1u);
  EXPECT_EQ(harness_.cache().status().rejected, 1u);
  EXPECT_EQ(harness_.StateNow(), "a=1 b=2") << "the last known state can still be read";
  harness_.Progress(10);
  harness_.Watch(5, WatchAll(11));
  harness_.Event(Put("/p/c", "3", 11));
  EXPECT_EQ(harness_.EventTexts(5), (Messages{{"PUT c=3@11"}}));
}

TEST_F(WatchCacheWatchTest, ShortUpstreamLossEndsNoWatch) {
  LoadSnapshot();
  harness_.Watch(1, WatchAll());
  for (int i = 0; i < 3; ++i) {
    harness_.Lost();
    harness_.Advance(kUpstreamGrace - Time(1));
    harness_.Progress(10);
    harness_.Advance(kUpstreamGrace);
  }
  EXPECT_TRUE(harness_.ended.empty());
}

TEST_F(WatchCacheWatchTest, ThousandSubscribersAtOnceShareOneConfirmation) {
  LoadSnapshot();
  for (std::int64_t revision = 11; revision <= 60; ++revision)
    harness_.Event(Put("/p/k" + std::to_string(revision % 7), std::to_string(revision), revision));
  for (SubscriberId id = 1; id <= 1000; ++id)
    harness_.Subscribe(id, WatchAll(11 + static_cast<std::int64_t>(id % 50)));
  EXPECT_EQ(harness_.woken.size(), 1000u);
  const auto status = harness_.cache().status();
  EXPECT_EQ(status.subscribers, 1000u);
  EXPECT_EQ(status.resumed, 1000u);
  EXPECT_EQ(status.merged_events, 0u) << "the subscribers share the window";
  EXPECT_EQ(harness_.confirmations.size(), 0u);
  for (SubscriberId id = 1; id <= 1000; ++id) {
    ASSERT_TRUE(harness_.NextMessage(id)->created());
    ASSERT_EQ(harness_.EventTexts(id).size(), 50 - id % 50) << id;
  }
  // A thousand linearizable reads need two confirmations.
  for (ReadId read = 1; read <= 1000; ++read) harness_.Read(read, Get("/p/a"));
  harness_.Confirm(harness_.confirmations[0], Header(60));
  harness_.Confirm(harness_.confirmations[1], Header(60));
  EXPECT_EQ(harness_.answers.size(), 1000u);
  EXPECT_EQ(harness_.confirmations.size(), 2u);
}

TEST_F(WatchCacheWatchTest, SubscriberBeyondBoundIsRejected) {
  Settings settings = TestSettings();
  settings.max_subscribers = 2;
  Harness harness(settings);
  harness.Snapshot(10, {});
  for (SubscriberId id = 1; id <= 3; ++id) harness.Subscribe(id, WatchAll());
  ASSERT_EQ(harness.ended.size(), 1u);
  EXPECT_EQ(harness.ended.at(3).code, Code::kResourceExhausted);
  EXPECT_EQ(harness.ended.at(3).message, "2 watches are served already: use another relay");
  harness.cache().Unsubscribe(1);
  harness.Watch(4, WatchAll());
  EXPECT_EQ(harness.cache().status().subscribers, 2u);
  EXPECT_EQ(harness.cache().status().rejected, 1u);
}

TEST_F(WatchCacheWatchTest, DrainEndsSubscribersEvenlyOverItsPeriod) {
  LoadSnapshot();
  for (SubscriberId id = 1; id <= 30; ++id) harness_.Watch(id, WatchAll());
  harness_.Read(1, Get("/p/a"));
  harness_.Drain();
  EXPECT_TRUE(harness_.ended.empty()) << "no subscriber is ended at once";
  EXPECT_FALSE(harness_.cache().drained());
  harness_.Subscribe(31, WatchAll());
  EXPECT_EQ(harness_.ended.at(31).code, Code::kUnavailable);
  harness_.Read(2, Get("/p/a"));
  EXPECT_EQ(harness_.answers.at(2).status.code, Code::kUnavailable);
  harness_.Event(Put("/p/a", "still served", 11));
  EXPECT_EQ(Text(*harness_.NextMessage(30)), Strings{"PUT a=still served@11"});
  std::size_t before = harness_.ended.size();
  for (int step = 1; step <= 30; ++step) {
    harness_.Advance(Time(100));
    EXPECT_EQ(harness_.ended.size() - before, 1u) << step;
    before = harness_.ended.size();
  }
  EXPECT_TRUE(harness_.cache().drained()) << "the read has failed, too";
  for (const auto& [id, status] : harness_.ended) EXPECT_EQ(status.code, Code::kUnavailable) << id;
  EXPECT_EQ(harness_.ended.at(1).message, "the relay is shutting down: use another");
}

}  // namespace
}  // namespace badgerbridge::watch_cache
