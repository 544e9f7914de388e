// SPDX-License-Identifier: Apache-2.0
//
// Watches on the relay's core that keep up: resume, the window's floor, filters, fragments, progress, the
// end.
#include <limits>

#include "watch_cache/harness.h"

namespace badgerbridge::watch_cache {
namespace {

using Strings = std::vector<std::string>;
using Messages = std::vector<Strings>;

const Time kGrace = Settings().upstream_grace;

class RelayWatchTest : public ::testing::Test {
 protected:
  void Fill() { relay_.Snapshot(10, {Kv("/p/a", "1", 3), Kv("/p/b", "2", 10)}); }
  // A watch that can't be had: told so, with the revision that is compacted.
  void ExpectCompacted(SubscriberId subscriber, std::int64_t compact_revision) {
    const auto message = relay_.Take(subscriber);
    ASSERT_TRUE(message);
    EXPECT_TRUE(message->canceled());
    EXPECT_EQ(message->compact_revision(), compact_revision);
    EXPECT_FALSE(relay_.Take(subscriber)) << "it was its last";
  }

  Harness relay_;
};

TEST_F(RelayWatchTest, FromNowGivesWhatComes) {
  Fill();
  relay_.Established(1, WatchAll());
  EXPECT_FALSE(relay_.Take(1));
  relay_.Event(Put("/p/c", "3", 11));
  EXPECT_EQ(relay_.woken, (std::vector<SubscriberId>{1, 1}));
  const auto message = relay_.Take(1);
  ASSERT_TRUE(message);
  EXPECT_EQ(Text(*message), Strings{"PUT c=3@11"});
  EXPECT_EQ(message->header().revision(), 11);
  EXPECT_EQ(message->header().cluster_id(), kCluster);
  EXPECT_EQ(message->header().member_id(), 5u);
}

TEST_F(RelayWatchTest, IsWokenOnceUntilItHasTakenAll) {
  Fill();
  relay_.Established(1, WatchAll());
  ASSERT_FALSE(relay_.Take(1));
  relay_.woken.clear();
  relay_.Event(Put("/p/c", "3", 11));
  relay_.Event(Put("/p/c", "4", 12));
  EXPECT_EQ(relay_.woken.size(), 1u);
  EXPECT_EQ(relay_.Messages(1), (Messages{{"PUT c=3@11"}, {"PUT c=4@12"}}));
  relay_.Event(Put("/p/c", "5", 13));
  EXPECT_EQ(relay_.woken.size(), 2u);
}

TEST_F(RelayWatchTest, ResumesWithTheDifference) {
  Fill();
  relay_.Event(Put("/p/c", "3", 11));
  relay_.Event(Put("/p/c", "4", 12));
  relay_.Event(Deleted("/p/a", 13));
  relay_.Established(1, WatchAll(12));
  EXPECT_EQ(relay_.Messages(1), (Messages{{"PUT c=4@12"}, {"DELETE a@13"}}));
  EXPECT_EQ(relay_.relay().status().resumed, 1u);
}

TEST_F(RelayWatchTest, ResumesInTheMidstOfABatch) {
  Fill();
  relay_.Events(20, {Put("/p/a", "new", 12), Deleted("/p/b", 15), Put("/p/d", "4", 18)});
  relay_.Established(1, WatchAll(14));
  EXPECT_EQ(relay_.Messages(1), (Messages{{"DELETE b@15", "PUT d=4@18"}}));
}

TEST_F(RelayWatchTest, TheWindowsFloorIsExact) {
  Settings settings = TestSettings();
  settings.window_events = 2;
  Harness relay(settings);
  relay.Snapshot(10, {});
  for (std::int64_t revision = 11; revision <= 15; ++revision)
    relay.Event(Put("/p/a", std::to_string(revision), revision));
  EXPECT_EQ(relay.relay().status().compact_revision, 13);
  EXPECT_EQ(relay.relay().status().window_events, 2u);
  relay.Established(1, WatchAll(14));
  EXPECT_EQ(relay.Messages(1), (Messages{{"PUT a=14@14"}, {"PUT a=15@15"}}));
  relay.Established(2, WatchAll(13));
  const auto message = relay.Take(2);
  ASSERT_TRUE(message && message->canceled());
  EXPECT_EQ(message->compact_revision(), 13);
  EXPECT_EQ(message->cancel_reason(), "etcdserver: mvcc: required revision has been compacted");
  pb::RangeRequest request = ListAll();
  request.set_revision(13);
  EXPECT_EQ(Text(relay.ReadNow(request).response), "a=13");
  request.set_revision(12);
  EXPECT_EQ(relay.ReadNow(request).status.code, Code::kOutOfRange);
}

TEST_F(RelayWatchTest, TheWindowIsBoundedByBytes) {
  Settings settings = TestSettings();
  settings.window_bytes = 10000;
  Harness relay(settings);
  relay.Snapshot(10, {});
  for (std::int64_t revision = 11; revision <= 100; ++revision) {
    relay.Event(Put("/p/a", std::string(1000, 'x'), revision));
    ASSERT_LE(relay.relay().status().window_bytes, 10000u);
  }
  EXPECT_GE(relay.relay().status().window_events, 7u);
  // A batch that is larger than the window is in the state, and in no window.
  relay.Event(Put("/p/b", std::string(20000, 'y'), 101));
  EXPECT_EQ(relay.relay().status().window_bytes, 0u);
  EXPECT_EQ(relay.relay().status().compact_revision, 101);
}

TEST_F(RelayWatchTest, ABatchLargerThanTheWindowReachesThoseWhoAreCurrent) {
  Settings settings = TestSettings();
  settings.window_bytes = 10000;
  Harness relay(settings);
  relay.Snapshot(10, {});
  relay.Established(1, WatchAll());
  ASSERT_FALSE(relay.Take(1));
  relay.Event(Put("/p/b", std::string(20000, 'y'), 11));
  EXPECT_EQ(relay.TakeAll(1).size(), 1u);
}

// As etcd does: it says nothing until the revision is there.
TEST_F(RelayWatchTest, AStartInTheFutureWaitsSilently) {
  Fill();
  pb::WatchCreateRequest request = WatchAll(13);
  request.set_progress_notify(true);
  relay_.Established(1, request);
  relay_.Event(Put("/p/c", "3", 11));
  relay_.Advance(Time(600));
  EXPECT_FALSE(relay_.Take(1));
  relay_.Event(Put("/p/c", "4", 12));
  relay_.Event(Put("/p/c", "5", 13));
  EXPECT_EQ(Text(*relay_.Take(1)), Strings{"PUT c=5@13"});
}

TEST_F(RelayWatchTest, WatchesAKeyARangeAndWithFilters) {
  Fill();
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
  for (const auto& request : {key, range, puts, deletions}) relay_.Established(++id, request);
  relay_.Events(13, {Put("/p/a", "2", 11), Deleted("/p/b", 12), Put("/p/d", "9", 13)});
  EXPECT_EQ(relay_.Messages(1), (Messages{{"PUT a=2@11"}}));
  EXPECT_EQ(relay_.Messages(2), (Messages{{"DELETE b@12"}}));
  EXPECT_EQ(relay_.Messages(3), (Messages{{"PUT a=2@11", "PUT d=9@13"}}));
  EXPECT_EQ(relay_.Messages(4), (Messages{{"DELETE b@12"}}));
}

TEST_F(RelayWatchTest, GivesThePreviousValueWhereItIsAskedFor) {
  Fill();
  pb::WatchCreateRequest request = WatchAll();
  request.set_prev_kv(true);
  relay_.Established(1, request);
  relay_.Established(2, WatchAll());
  relay_.Event(Put("/p/a", "2", 11));
  relay_.Event(Deleted("/p/a", 12));
  relay_.Event(Put("/p/a", "3", 13));
  const auto messages = relay_.TakeAll(1);
  ASSERT_EQ(messages.size(), 3u);
  EXPECT_EQ(messages[0].events(0).prev_kv().value(), "1");
  EXPECT_EQ(messages[1].events(0).prev_kv().value(), "2");
  EXPECT_FALSE(messages[2].events(0).has_prev_kv());
  EXPECT_FALSE(relay_.Take(2)->events(0).has_prev_kv());
}

TEST_F(RelayWatchTest, RefusesARangeOutsideThePrefixAndNamesIt) {
  Fill();
  pb::WatchCreateRequest all;
  pb::WatchCreateRequest beyond = WatchAll();
  beyond.set_range_end("/q");
  SubscriberId id = 0;
  for (const auto& request : {all, beyond}) {
    relay_.Subscribe(++id, request);
    const auto message = relay_.Take(id);
    ASSERT_TRUE(message);
    EXPECT_TRUE(message->created() && message->canceled());
    EXPECT_EQ(message->cancel_reason(), "only keys under /p/ are served here");
    EXPECT_EQ(message->compact_revision(), 0);
    EXPECT_FALSE(relay_.Take(id));
  }
  EXPECT_EQ(relay_.relay().status().subscribers, 0u);
  EXPECT_EQ(relay_.relay().status().refused, 2u);
}

TEST_F(RelayWatchTest, SplitsABatchIntoFragmentsOfOneRevision) {
  Fill();
  std::vector<pb::Event> events;
  for (int i = 0; i < 10; ++i) events.push_back(Put("/p/" + std::to_string(i), std::string(1000, 'x'), 11));
  pb::WatchCreateRequest request = WatchAll();
  relay_.Established(1, request);
  request.set_fragment(true);
  relay_.Established(2, request);
  relay_.Events(11, events);
  relay_.Event(Put("/p/a", "after", 12));
  auto whole = relay_.TakeAll(1, 3000);
  ASSERT_EQ(whole.size(), 2u) << "who did not ask for fragments gets the revision whole";
  EXPECT_EQ(whole[0].events_size(), 10);
  const auto fragments = relay_.TakeAll(2, 3000);
  ASSERT_GE(fragments.size(), 5u);
  int given = 0;
  for (std::size_t i = 0; i + 1 < fragments.size(); ++i) {
    EXPECT_EQ(fragments[i].fragment(), i + 2 < fragments.size()) << "all but the last of them";
    EXPECT_EQ(fragments[i].header().revision(), 11);
    EXPECT_LT(fragments[i].ByteSizeLong(), 4500u);
    given += fragments[i].events_size();
  }
  EXPECT_EQ(given, 10);
  EXPECT_EQ(Text(fragments.back()), Strings{"PUT a=after@12"});
}

// What etcd sends to one who catches up may name a key more than once in one message.
TEST_F(RelayWatchTest, SplitsABatchThatNamesAKeyTwice) {
  Fill();
  relay_.Established(1, WatchAll());
  relay_.Events(14, {Put("/p/a", "drain", 11), Put("/p/b", "3", 11), Put("/p/a", "back", 13)});
  const auto messages = relay_.TakeAll(1);
  ASSERT_EQ(messages.size(), 2u);
  EXPECT_EQ(Text(messages[0]), (Strings{"PUT a=drain@11", "PUT b=3@11"}));
  EXPECT_EQ(messages[0].header().revision(), 11);
  EXPECT_EQ(Text(messages[1]), Strings{"PUT a=back@13"});
  EXPECT_EQ(messages[1].header().revision(), 14);
}

TEST_F(RelayWatchTest, NotifiesOfProgressOnlyOnceAllIsGiven) {
  Fill();
  pb::WatchCreateRequest request = WatchAll();
  request.set_progress_notify(true);
  relay_.Established(1, request);
  relay_.Established(2, WatchAll());
  ASSERT_FALSE(relay_.Take(1));
  relay_.Progress(30);
  relay_.Advance(Time(500));
  auto message = relay_.Take(1);
  ASSERT_TRUE(message);
  EXPECT_EQ(message->events_size(), 0);
  EXPECT_EQ(message->header().revision(), 30);
  EXPECT_FALSE(relay_.Take(1));
  EXPECT_FALSE(relay_.Take(2)) << "did not ask";
  relay_.Event(Put("/p/a", "2", 31));
  relay_.Advance(Time(500));
  EXPECT_EQ(Text(*relay_.Take(1)), Strings{"PUT a=2@31"});
  message = relay_.Take(1);
  ASSERT_TRUE(message);
  EXPECT_EQ(message->header().revision(), 31);
}

TEST_F(RelayWatchTest, AnswersARequestForProgress) {
  Fill();
  relay_.Established(1, WatchAll());
  ASSERT_FALSE(relay_.Take(1));
  relay_.RequestProgress(1);
  EXPECT_EQ(relay_.woken.back(), 1u);
  const auto message = relay_.Take(1);
  ASSERT_TRUE(message);
  EXPECT_EQ(message->header().revision(), 10);
  EXPECT_EQ(message->events_size(), 0);
}

// Progress says "as of now": a relay that is cut off must not say it, so that its readers turn to another.
TEST_F(RelayWatchTest, SaysNothingOfProgressWhileTheUpstreamIsLost) {
  Fill();
  pb::WatchCreateRequest request = WatchAll();
  request.set_progress_notify(true);
  relay_.Established(1, request);
  ASSERT_FALSE(relay_.Take(1));
  relay_.Lost();
  relay_.Advance(kGrace - Time(1));
  relay_.RequestProgress(1);
  EXPECT_FALSE(relay_.Take(1));
  EXPECT_FALSE(relay_.relay().status().connected);
  EXPECT_EQ(relay_.StateNow(), "a=1 b=2") << "the last known state is served on";
  relay_.woken.clear();
  relay_.Progress(10);
  EXPECT_EQ(relay_.woken, std::vector<SubscriberId>{1});
  EXPECT_TRUE(relay_.Take(1));
}

TEST_F(RelayWatchTest, EndsWatchesOnceTheUpstreamIsLostForLongAndTakesNoneUntilItIsBack) {
  Fill();
  relay_.Established(1, WatchAll());
  relay_.Established(2, WatchAll());
  relay_.Lost();
  relay_.Advance(kGrace / 2);
  relay_.Lost();  // the next endpoint failed too: the time goes on from the first loss
  relay_.Advance(kGrace - kGrace / 2 - Time(1));
  EXPECT_TRUE(relay_.ended.empty());
  relay_.Subscribe(3, WatchAll());
  EXPECT_TRUE(relay_.Take(3)) << "a loss that may be over in a moment refuses nobody";
  relay_.Advance(Time(1));
  ASSERT_EQ(relay_.ended.size(), 3u);
  for (const auto& [subscriber, status] : relay_.ended) {
    EXPECT_EQ(status.code, etcd::Code::kUnavailable) << subscriber;
    EXPECT_NE(status.message.find("lost its upstream"), std::string::npos) << status.message;
  }
  EXPECT_EQ(relay_.relay().status().subscribers, 0u);
  relay_.Subscribe(4, WatchAll());
  EXPECT_EQ(relay_.ended.count(4), 1u);
  EXPECT_EQ(relay_.relay().status().refused, 1u);
  EXPECT_EQ(relay_.StateNow(), "a=1 b=2") << "what was last known can still be read";
  relay_.Progress(10);
  relay_.Established(5, WatchAll(11));
  relay_.Event(Put("/p/c", "3", 11));
  EXPECT_EQ(relay_.Messages(5), (Messages{{"PUT c=3@11"}}));
}

TEST_F(RelayWatchTest, ALossThatIsOverInTimeEndsNoWatch) {
  Fill();
  relay_.Established(1, WatchAll());
  for (int i = 0; i < 3; ++i) {
    relay_.Lost();
    relay_.Advance(kGrace - Time(1));
    relay_.Progress(10);
    relay_.Advance(kGrace);
  }
  EXPECT_TRUE(relay_.ended.empty());
}

TEST_F(RelayWatchTest, AThousandSubscribersInOneInstantAfterARestart) {
  Fill();
  for (std::int64_t revision = 11; revision <= 60; ++revision)
    relay_.Event(Put("/p/k" + std::to_string(revision % 7), std::to_string(revision), revision));
  for (SubscriberId id = 1; id <= 1000; ++id)
    relay_.Subscribe(id, WatchAll(11 + static_cast<std::int64_t>(id % 50)));
  EXPECT_EQ(relay_.woken.size(), 1000u);
  const auto status = relay_.relay().status();
  EXPECT_EQ(status.subscribers, 1000u);
  EXPECT_EQ(status.resumed, 1000u);
  EXPECT_EQ(status.merged_events, 0u) << "they share the window";
  EXPECT_EQ(relay_.confirmations.size(), 0u);
  for (SubscriberId id = 1; id <= 1000; ++id) {
    ASSERT_TRUE(relay_.Take(id)->created());
    ASSERT_EQ(relay_.Messages(id).size(), 50 - id % 50) << id;
  }
  // And a thousand linearizable reads take two confirmations.
  for (ReadId read = 1; read <= 1000; ++read) relay_.Read(read, Get("/p/a"));
  relay_.Confirm(relay_.confirmations[0], Header(60));
  relay_.Confirm(relay_.confirmations[1], Header(60));
  EXPECT_EQ(relay_.answers.size(), 1000u);
  EXPECT_EQ(relay_.confirmations.size(), 2u);
}

TEST_F(RelayWatchTest, RefusesSubscribersBeyondItsBound) {
  Settings settings = TestSettings();
  settings.max_subscribers = 2;
  Harness relay(settings);
  relay.Snapshot(10, {});
  for (SubscriberId id = 1; id <= 3; ++id) relay.Subscribe(id, WatchAll());
  ASSERT_EQ(relay.ended.size(), 1u);
  EXPECT_EQ(relay.ended.at(3).code, Code::kResourceExhausted);
  EXPECT_EQ(relay.ended.at(3).message, "2 watches are served already: use another relay");
  relay.relay().Unsubscribe(1);
  relay.Established(4, WatchAll());
  EXPECT_EQ(relay.relay().status().subscribers, 2u);
  EXPECT_EQ(relay.relay().status().refused, 1u);
}

TEST_F(RelayWatchTest, ADrainSendsSubscribersElsewhereSpreadOverItsPeriod) {
  Fill();
  for (SubscriberId id = 1; id <= 30; ++id) relay_.Established(id, WatchAll());
  relay_.Read(1, Get("/p/a"));
  relay_.Drain();
  EXPECT_TRUE(relay_.ended.empty()) << "not at once";
  EXPECT_FALSE(relay_.relay().drained());
  relay_.Subscribe(31, WatchAll());
  EXPECT_EQ(relay_.ended.at(31).code, Code::kUnavailable);
  relay_.Read(2, Get("/p/a"));
  EXPECT_EQ(relay_.answers.at(2).status.code, Code::kUnavailable);
  relay_.Event(Put("/p/a", "still served", 11));
  EXPECT_EQ(Text(*relay_.Take(30)), Strings{"PUT a=still served@11"});
  std::size_t before = relay_.ended.size();
  for (int step = 1; step <= 30; ++step) {
    relay_.Advance(Time(100));
    EXPECT_EQ(relay_.ended.size() - before, 1u) << step;
    before = relay_.ended.size();
  }
  EXPECT_TRUE(relay_.relay().drained()) << "the read has ended, too";
  for (const auto& [id, status] : relay_.ended) EXPECT_EQ(status.code, Code::kUnavailable) << id;
  EXPECT_EQ(relay_.ended.at(1).message, "the relay is shutting down: use another");
}

}  // namespace
}  // namespace badgerbridge::watch_cache
