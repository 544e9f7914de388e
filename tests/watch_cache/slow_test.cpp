// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Slow subscribers: the backlog merged by key, events that must be delivered, and bounds.
#include <random>
#include <set>

#include "watch_cache/harness.h"
#include "watch_cache/merged_backlog.h"

namespace badgerbridge::watch_cache {
namespace {

using Strings = std::vector<std::string>;
using Messages = std::vector<Strings>;

/// Settings with which a subscriber is slow as soon as two events are pending.
Settings SlowSettings() {
  Settings settings = TestSettings();
  settings.max_backlog_bytes = 1;
  return settings;
}

class WatchCacheSlowTest : public ::testing::Test {
 protected:
  void SetUp() override {
    harness_.Snapshot(10, {MakeKeyValue("/p/a", "1", 3), MakeKeyValue("/p/b", "2", 10)});
    harness_.Watch(1, WatchAll());
    ASSERT_FALSE(harness_.NextMessage(1));
  }
  WatchCache::Status status() { return harness_.cache().status(); }

  Harness harness_{SlowSettings()};
};

TEST_F(WatchCacheSlowTest, SlowSubscriberGetsNewestEventOfEachKey) {
  for (std::int64_t revision = 11; revision <= 20; ++revision)
    harness_.Event(Put(revision % 2 ? "/p/a" : "/p/c", std::to_string(revision), revision));
  EXPECT_EQ(status().slow_subscribers, 1u);
  EXPECT_EQ(status().merged_events, 2u);
  const auto messages = harness_.AllMessages(1);
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(Text(messages[0]), (Strings{"PUT a=19@19", "PUT c=20@20"}));
  EXPECT_EQ(messages[0].header().revision(), 20);
  EXPECT_EQ(status().slow_subscribers, 0u) << "the subscriber has caught up";
  EXPECT_EQ(status().merged_events, 0u);
  harness_.Event(Put("/p/a", "next", 21));
  EXPECT_EQ(harness_.EventTexts(1), (Messages{{"PUT a=next@21"}}));
}

TEST_F(WatchCacheSlowTest, MergedDeletionBeforePutComesInEarlierMessage) {
  harness_.Event(Put("/p/a", "first", 11));
  harness_.Event(Deletion("/p/a", 12));
  harness_.Event(Put("/p/a", "second", 13));
  harness_.Event(Put("/p/a", "third", 14));
  const auto messages = harness_.AllMessages(1);
  ASSERT_EQ(messages.size(), 2u);
  EXPECT_EQ(Text(messages[0]), Strings{"DELETE a@12"});
  EXPECT_EQ(messages[0].header().revision(), 12);
  EXPECT_FALSE(messages[0].fragment());
  EXPECT_EQ(Text(messages[1]), Strings{"PUT a=third@14"});
  EXPECT_EQ(messages[1].header().revision(), 14);
}

TEST_F(WatchCacheSlowTest, MergedDrainAndItsEndAreTwoMessages) {
  harness_.Event(Put("/p/c", "early", 11));
  harness_.Event(Put("/p/a", "drain", 12));
  harness_.Event(Put("/p/b", "between", 13));
  harness_.Event(Put("/p/a", "ready", 14));
  harness_.Event(Put("/p/c", "late", 15));
  const auto messages = harness_.AllMessages(1);
  ASSERT_EQ(messages.size(), 2u);
  EXPECT_EQ(Text(messages[0]), (Strings{"PUT c=early@11", "PUT a=drain@12", "PUT b=between@13"}))
      << "the complete state at revision 13";
  EXPECT_EQ(messages[0].header().revision(), 13);
  EXPECT_EQ(Text(messages[1]), (Strings{"PUT a=ready@14", "PUT c=late@15"}));
  EXPECT_EQ(messages[1].header().revision(), 15);
}

TEST_F(WatchCacheSlowTest, NewerDrainReplacesOlderDrain) {
  for (std::int64_t revision = 11; revision < 1011; revision += 2) {
    harness_.Event(Put("/p/a", "drain", revision));
    harness_.Event(Put("/p/a", "ready", revision + 1));
    ASSERT_LE(status().merged_events, 4u) << "repeated drains of a backend must not grow the backlog";
  }
  EXPECT_EQ(harness_.EventTexts(1), (Messages{{"PUT a=drain@1009"}, {"PUT a=ready@1010"}}));
}

TEST_F(WatchCacheSlowTest, DrainsOfDifferentKeysAreAllDelivered) {
  harness_.Event(Put("/p/a", "drain", 11));
  harness_.Event(Put("/p/a", "ready", 12));
  harness_.Event(Put("/p/b", "drain", 13));
  harness_.Event(Put("/p/b", "ready", 14));
  harness_.Event(Deletion("/p/a", 15));
  harness_.Event(Put("/p/a", "again", 16));
  // The deletion of "a" replaces its drain, so two messages remain before the last.
  EXPECT_EQ(harness_.EventTexts(1), (Messages{{"PUT a=ready@12", "PUT b=drain@13"},
                                              {"PUT b=ready@14", "DELETE a@15"},
                                              {"PUT a=again@16"}}));
}

TEST_F(WatchCacheSlowTest, MergedResponseIsSplitIntoFragmentsOfOneRevision) {
  pb::WatchCreateRequest request = WatchAll();
  request.set_fragment(true);
  harness_.Watch(2, request);
  ASSERT_FALSE(harness_.NextMessage(2));
  for (std::int64_t revision = 11; revision <= 40; ++revision)
    harness_.Event(Put("/p/k" + std::to_string(revision % 10), std::string(1000, 'x'), revision));
  const auto fragments = harness_.AllMessages(2, 2500);
  ASSERT_EQ(fragments.size(), 5u);
  std::int64_t last = 0;
  for (std::size_t i = 0; i < fragments.size(); ++i) {
    EXPECT_EQ(fragments[i].fragment(), i + 1 < fragments.size());
    EXPECT_EQ(fragments[i].header().revision(), 40);
    for (const auto& event : fragments[i].events()) {
      EXPECT_GT(event.kv().mod_revision(), last);
      last = event.kv().mod_revision();
    }
  }
  EXPECT_EQ(harness_.AllMessages(1, 2500).size(), 1u) << "a watch without fragments gets one message";
}

// Events that arrive while a merged response is being sent belong to the next response.
TEST_F(WatchCacheSlowTest, EventBetweenFragmentsComesInNextResponse) {
  pb::WatchCreateRequest request = WatchAll();
  request.set_fragment(true);
  harness_.Watch(2, request);
  for (std::int64_t revision = 11; revision <= 14; ++revision)
    harness_.Event(Put("/p/k" + std::to_string(revision), std::string(1000, 'x'), revision));
  auto first = harness_.NextMessage(2, 1500);
  ASSERT_TRUE(first && first->fragment());
  harness_.Event(Put("/p/k14", "newer", 15));
  std::vector<pb::WatchResponse> rest = harness_.AllMessages(2, 1500);
  ASSERT_EQ(rest.size(), 4u);
  EXPECT_FALSE(rest[2].fragment());
  EXPECT_EQ(rest[2].header().revision(), 14);
  EXPECT_EQ(rest[2].events(0).kv().value(), std::string(1000, 'x'));
  EXPECT_EQ(Text(rest[3]), Strings{"PUT k14=newer@15"});
}

TEST_F(WatchCacheSlowTest, MergedEventHasPreviousValueFromBeforeMerge) {
  pb::WatchCreateRequest request = WatchAll();
  request.set_prev_kv(true);
  harness_.Watch(2, request);
  harness_.Event(Put("/p/a", "x", 11));
  harness_.Event(Put("/p/a", "y", 12));
  harness_.Event(Put("/p/a", "z", 13));
  const auto messages = harness_.AllMessages(2);
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].events(0).prev_kv().value(), "1");
}

TEST_F(WatchCacheSlowTest, MergedEventsRespectFiltersAndRanges) {
  pb::WatchCreateRequest puts = WatchAll();
  puts.add_filters(pb::WatchCreateRequest::NODELETE);
  harness_.Watch(2, puts);
  pb::WatchCreateRequest key = WatchAll();
  key.set_key("/p/b");
  key.clear_range_end();
  harness_.Watch(3, key);
  ASSERT_FALSE(harness_.NextMessage(3));
  harness_.Event(Put("/p/a", "x", 11));
  harness_.Event(Deletion("/p/a", 12));
  harness_.Event(Put("/p/b", "y", 13));
  harness_.Event(Put("/p/b", "z", 14));
  EXPECT_EQ(harness_.EventTexts(2), (Messages{{"PUT a=x@11", "PUT b=z@14"}}));
  EXPECT_EQ(harness_.EventTexts(3), (Messages{{"PUT b=z@14"}}));
}

TEST(WatchCacheSlowBoundsTest, SubscriberThatNeverReadsIsCanceledAndOthersAreUnaffected) {
  Settings settings = TestSettings();
  settings.max_backlog_bytes = 20000;
  settings.max_merged_events = 50;
  settings.max_window_bytes = 100000;
  Harness harness(settings);
  harness.Snapshot(10, {});
  pb::WatchCreateRequest request = WatchAll();
  request.set_fragment(true);
  harness.Watch(1, request);
  harness.Watch(2, request);
  ASSERT_FALSE(harness.NextMessage(2));
  std::size_t most = 0;
  for (std::int64_t revision = 11; revision <= 1010; ++revision) {
    harness.Event(Put("/p/k" + std::to_string(revision % 200), std::string(1000, 'x'), revision));
    const auto status = harness.cache().status();
    ASSERT_LE(status.merged_events, 50u);
    ASSERT_LE(status.window_bytes, 100000u);
    most = std::max(most, status.merged_events);
    ASSERT_EQ(harness.EventTexts(2).size(), 1u) << "the other subscriber is unaffected";
  }
  EXPECT_EQ(most, 50u);
  EXPECT_EQ(harness.cache().status().compacted, 1u);
  EXPECT_EQ(harness.cache().status().slow_subscribers, 0u);
  const auto canceled = harness.NextMessage(1);
  ASSERT_TRUE(canceled);
  EXPECT_TRUE(canceled->canceled());
  EXPECT_GE(canceled->compact_revision(), 60)
      << "a watch from that revision was in the window at the time of the cancellation";
  EXPECT_FALSE(harness.NextMessage(1));
  EXPECT_EQ(harness.cache().status().subscribers, 1u);
}

// A subscriber that stops reading within a large response must be bounded, too.
TEST(WatchCacheSlowBoundsTest, SubscriberThatStopsBetweenFragmentsIsCanceled) {
  Settings settings = TestSettings();
  settings.max_merged_events = 50;
  settings.max_window_events = 300;
  Harness harness(settings);
  harness.Snapshot(10, {});
  pb::WatchCreateRequest request = WatchAll();
  request.set_fragment(true);
  harness.Watch(1, request);
  std::vector<pb::Event> events;
  for (int i = 0; i < 200; ++i) events.push_back(Put("/p/k" + std::to_string(i), "x", 11));
  harness.Events(11, events);
  auto message = harness.NextMessage(1, 1000);
  ASSERT_TRUE(message && message->fragment());
  // The batch is trimmed from the window, and its unsent events exceed max_merged_events.
  for (std::int64_t revision = 12; revision <= 200; ++revision) harness.Event(Put("/p/a", "y", revision));
  message = harness.NextMessage(1, 1000);
  ASSERT_TRUE(message);
  EXPECT_TRUE(message->canceled());
  EXPECT_EQ(harness.cache().status().merged_events, 0u);
}

TEST(WatchCacheSlowBoundsTest, SubscriberBehindWindowIsMergedBeforeTrim) {
  Settings settings = TestSettings();
  settings.max_window_events = 5;
  Harness harness(settings);
  harness.Snapshot(10, {});
  harness.Watch(1, WatchAll());
  ASSERT_FALSE(harness.NextMessage(1));
  for (std::int64_t revision = 11; revision <= 30; ++revision)
    harness.Event(Put("/p/k" + std::to_string(revision % 3), std::to_string(revision), revision));
  EXPECT_EQ(harness.cache().status().slow_subscribers, 1u);
  EXPECT_EQ(harness.EventTexts(1), (Messages{{"PUT k1=28@28", "PUT k2=29@29", "PUT k0=30@30"}}));
}

TEST(WatchCacheSlowBoundsTest, RemovedSlowSubscribersReleaseMergedEvents) {
  Harness harness(SlowSettings());
  harness.Snapshot(10, {});
  for (SubscriberId id = 1; id <= 3; ++id) harness.Watch(id, WatchAll());
  for (std::int64_t revision = 11; revision <= 30; ++revision)
    harness.Event(Put("/p/k" + std::to_string(revision), "x", revision));
  EXPECT_EQ(harness.cache().status().merged_events, 60u);
  harness.cache().Unsubscribe(1);
  EXPECT_EQ(harness.cache().status().merged_events, 40u);
  harness.Snapshot(5, {});
  EXPECT_EQ(harness.cache().status().merged_events, 0u);
  EXPECT_EQ(harness.cache().status().slow_subscribers, 0u);
  EXPECT_EQ(harness.ended.size(), 2u);
}

// The batch replaces the drain that blocked the join of two segments, while another key of the same revision
// still blocks it. The join must not happen.
TEST_F(WatchCacheSlowTest, DeletionIsNotMergedWhenBatchReplacesDrainOfOtherKey) {
  harness_.Event(Put("/p/b", "drain", 11));
  harness_.Event(Deletion("/p/c", 12));
  harness_.Events(13, {Put("/p/b", "drain again", 13), Put("/p/c", "back", 13)});
  EXPECT_EQ(harness_.EventTexts(1),
            (Messages{{"PUT b=drain@11", "DELETE c@12"}, {"PUT b=drain again@13", "PUT c=back@13"}}));
}

/// Compares a backlog with a state to which every event is applied: the state at each segment's end is exact,
/// events that must be delivered are delivered, and the size is bounded by the number of keys.
class BacklogComparison {
 public:
  explicit BacklogComparison(std::uint64_t seed) : random_(seed) {}

  /// Adds a revision of up to four keys.
  void AddRevision() {
    ++revision_;
    std::set<std::string> keys;
    for (unsigned i = 0; i < 1 + Draw(4); ++i) keys.insert("k" + std::to_string(Draw(6)));
    std::vector<StoredEventPtr> batch;
    for (const std::string& key : keys) batch.push_back(RandomEvent(key));
    states_[revision_] = state_;
    backlog_.Add(revision_, batch);
    ASSERT_LE(backlog_.segments(), 7u);
    ASSERT_LE(backlog_.size(), 6u * 7);
  }

  /// Takes a segment and applies it to the subscriber's state.
  void TakeSegment() {
    const MergedBacklog::Segment segment = backlog_.TakeOldest();
    std::int64_t last_revision = 0;
    for (const MergedBacklog::Entry& entry : segment.entries) {
      ASSERT_GE(entry.event->revision(), last_revision);
      last_revision = entry.event->revision();
      ApplyEntry(entry);
      if (::testing::Test::HasFatalFailure()) return;
    }
    ASSERT_EQ(subscriber_state_, states_.at(segment.revision)) << "at " << segment.revision;
    ++taken_segments_;
  }

  void TakeAllSegments() {
    while (!backlog_.empty() && !::testing::Test::HasFatalFailure()) TakeSegment();
  }

  void ExpectCaughtUp() const {
    ASSERT_EQ(subscriber_state_, state_);
    ASSERT_EQ(delivered_, must_deliver_);
    ASSERT_EQ(backlog_.size(), 0u);
  }

  unsigned Draw(unsigned limit) { return static_cast<unsigned>(random_() % limit); }
  const MergedBacklog& backlog() const { return backlog_; }
  std::uint64_t taken_segments() const { return taken_segments_; }

 private:
  using Values = std::map<std::string, std::string>;

  StoredEventPtr RandomEvent(const std::string& key) {
    auto event = std::make_shared<StoredEvent>();
    event->deletion = state_.count(key) && Draw(5) == 0;
    event->must_deliver = event->deletion || Draw(4) == 0;
    if (state_.count(key))
      event->previous = std::make_shared<pb::KeyValue>(MakeKeyValue(key, state_[key], 1));
    const std::string value = "v" + std::to_string(revision_);
    if (event->deletion) {
      event->kv = std::make_shared<pb::KeyValue>(Deletion(key, revision_).kv());
      state_.erase(key);
    } else {
      event->kv = std::make_shared<pb::KeyValue>(MakeKeyValue(key, value, revision_));
      state_[key] = value;
    }
    if (event->must_deliver) must_deliver_[key] = revision_;
    return event;
  }

  void ApplyEntry(const MergedBacklog::Entry& entry) {
    const std::string& key = entry.event->kv->key();
    ASSERT_EQ(entry.previous != nullptr, subscriber_state_.count(key) > 0) << key;
    if (entry.previous) {
      ASSERT_EQ(entry.previous->value(), subscriber_state_[key]);
    }
    if (entry.event->deletion) {
      subscriber_state_.erase(key);
    } else {
      subscriber_state_[key] = entry.event->kv->value();
    }
    if (entry.event->must_deliver) delivered_[key] = entry.event->revision();
  }

  std::mt19937_64 random_;
  MergedBacklog backlog_;
  std::int64_t revision_ = 0;
  Values state_;
  Values subscriber_state_;
  std::map<std::int64_t, Values> states_;             // by revision
  std::map<std::string, std::int64_t> must_deliver_;  // by key, the newest revision that must be delivered
  std::map<std::string, std::int64_t> delivered_;     // by key, the newest such revision that was delivered
  std::uint64_t taken_segments_ = 0;
};

TEST(MergedBacklogTest, RandomEventsGiveExactStateAtEachSegmentEnd) {
  std::uint64_t taken_segments = 0;
  std::uint64_t min_segments_left = 1000;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SCOPED_TRACE(::testing::Message() << "seed " << seed);
    BacklogComparison comparison(seed);
    for (int step = 0; step < 400; ++step) {
      comparison.AddRevision();
      if (HasFatalFailure()) return;
      if (comparison.Draw(30) == 0) comparison.TakeSegment();
      if (HasFatalFailure()) return;
    }
    min_segments_left = std::min<std::uint64_t>(min_segments_left, comparison.backlog().segments());
    comparison.TakeAllSegments();
    comparison.ExpectCaughtUp();
    if (HasFatalFailure()) return;
    taken_segments += comparison.taken_segments();
  }
  EXPECT_GT(taken_segments, 2000u);
  EXPECT_LE(min_segments_left, 2u);
}

}  // namespace
}  // namespace badgerbridge::watch_cache
