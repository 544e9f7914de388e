// SPDX-License-Identifier: Apache-2.0
//
// Slow subscribers: their backlog merged by key, what must not be merged away, and its bounds.
#include <random>
#include <set>

#include "watch_cache/harness.h"
#include "watch_cache/merged_backlog.h"

namespace badgerbridge::watch_cache {
namespace {

using Strings = std::vector<std::string>;
using Messages = std::vector<Strings>;

// A subscriber that is slow as soon as two events wait for it.
Settings SlowSettings() {
  Settings settings = TestSettings();
  settings.backlog_bytes = 1;
  return settings;
}

class RelaySlowTest : public ::testing::Test {
 protected:
  void SetUp() override {
    relay_.Snapshot(10, {Kv("/p/a", "1", 3), Kv("/p/b", "2", 10)});
    relay_.Established(1, WatchAll());
    ASSERT_FALSE(relay_.Take(1));
  }
  Relay::Status status() { return relay_.relay().status(); }

  Harness relay_{SlowSettings()};
};

TEST_F(RelaySlowTest, MergesByKeyToTheNewest) {
  for (std::int64_t revision = 11; revision <= 20; ++revision)
    relay_.Event(Put(revision % 2 ? "/p/a" : "/p/c", std::to_string(revision), revision));
  EXPECT_EQ(status().slow_subscribers, 1u);
  EXPECT_EQ(status().merged_events, 2u);
  const auto messages = relay_.TakeAll(1);
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(Text(messages[0]), (Strings{"PUT a=19@19", "PUT c=20@20"}));
  EXPECT_EQ(messages[0].header().revision(), 20);
  EXPECT_EQ(status().slow_subscribers, 0u) << "it has caught up";
  EXPECT_EQ(status().merged_events, 0u);
  relay_.Event(Put("/p/a", "next", 21));
  EXPECT_EQ(relay_.Messages(1), (Messages{{"PUT a=next@21"}}));
}

TEST_F(RelaySlowTest, PutDeletedAndPutWithinOneMergeGivesTheDeletionInAMessageBefore) {
  relay_.Event(Put("/p/a", "first", 11));
  relay_.Event(Deleted("/p/a", 12));
  relay_.Event(Put("/p/a", "second", 13));
  relay_.Event(Put("/p/a", "third", 14));
  const auto messages = relay_.TakeAll(1);
  ASSERT_EQ(messages.size(), 2u);
  EXPECT_EQ(Text(messages[0]), Strings{"DELETE a@12"});
  EXPECT_EQ(messages[0].header().revision(), 12);
  EXPECT_FALSE(messages[0].fragment());
  EXPECT_EQ(Text(messages[1]), Strings{"PUT a=third@14"});
  EXPECT_EQ(messages[1].header().revision(), 14);
}

TEST_F(RelaySlowTest, ADrainAndItsEndWithinOneMergeAreTwoMessages) {
  relay_.Event(Put("/p/c", "early", 11));
  relay_.Event(Put("/p/a", "drain", 12));
  relay_.Event(Put("/p/b", "between", 13));
  relay_.Event(Put("/p/a", "ready", 14));
  relay_.Event(Put("/p/c", "late", 15));
  const auto messages = relay_.TakeAll(1);
  ASSERT_EQ(messages.size(), 2u);
  EXPECT_EQ(Text(messages[0]), (Strings{"PUT c=early@11", "PUT a=drain@12", "PUT b=between@13"}))
      << "all that makes the state at 13";
  EXPECT_EQ(messages[0].header().revision(), 13);
  EXPECT_EQ(Text(messages[1]), (Strings{"PUT a=ready@14", "PUT c=late@15"}));
  EXPECT_EQ(messages[1].header().revision(), 15);
}

TEST_F(RelaySlowTest, ANewerDrainStandsInForTheOlder) {
  for (std::int64_t revision = 11; revision < 1011; revision += 2) {
    relay_.Event(Put("/p/a", "drain", revision));
    relay_.Event(Put("/p/a", "ready", revision + 1));
    ASSERT_LE(status().merged_events, 4u) << "a backend that flaps fills no backlog";
  }
  EXPECT_EQ(relay_.Messages(1), (Messages{{"PUT a=drain@1009"}, {"PUT a=ready@1010"}}));
}

TEST_F(RelaySlowTest, DrainsOfManyKeysAreEachKept) {
  relay_.Event(Put("/p/a", "drain", 11));
  relay_.Event(Put("/p/a", "ready", 12));
  relay_.Event(Put("/p/b", "drain", 13));
  relay_.Event(Put("/p/b", "ready", 14));
  relay_.Event(Deleted("/p/a", 15));
  relay_.Event(Put("/p/a", "again", 16));
  // The drain of "a" is stood in for by its deletion, so two messages remain before the last.
  EXPECT_EQ(relay_.Messages(1), (Messages{{"PUT a=ready@12", "PUT b=drain@13"},
                                          {"PUT b=ready@14", "DELETE a@15"},
                                          {"PUT a=again@16"}}));
}

TEST_F(RelaySlowTest, AMergedResponseComesInFragmentsOfOneRevision) {
  pb::WatchCreateRequest request = WatchAll();
  request.set_fragment(true);
  relay_.Established(2, request);
  ASSERT_FALSE(relay_.Take(2));
  for (std::int64_t revision = 11; revision <= 40; ++revision)
    relay_.Event(Put("/p/k" + std::to_string(revision % 10), std::string(1000, 'x'), revision));
  const auto fragments = relay_.TakeAll(2, 2500);
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
  EXPECT_EQ(relay_.TakeAll(1, 2500).size(), 1u) << "who did not ask for fragments gets it whole";
}

// What comes while a merged response is being given waits for the next: a response is never changed.
TEST_F(RelaySlowTest, WhatComesBetweenFragmentsIsAnotherResponse) {
  pb::WatchCreateRequest request = WatchAll();
  request.set_fragment(true);
  relay_.Established(2, request);
  for (std::int64_t revision = 11; revision <= 14; ++revision)
    relay_.Event(Put("/p/k" + std::to_string(revision), std::string(1000, 'x'), revision));
  auto first = relay_.Take(2, 1500);
  ASSERT_TRUE(first && first->fragment());
  relay_.Event(Put("/p/k14", "newer", 15));
  std::vector<pb::WatchResponse> rest = relay_.TakeAll(2, 1500);
  ASSERT_EQ(rest.size(), 4u);
  EXPECT_FALSE(rest[2].fragment());
  EXPECT_EQ(rest[2].header().revision(), 14);
  EXPECT_EQ(rest[2].events(0).kv().value(), std::string(1000, 'x'));
  EXPECT_EQ(Text(rest[3]), Strings{"PUT k14=newer@15"});
}

TEST_F(RelaySlowTest, KeepsTheValueFromBeforeTheMerge) {
  pb::WatchCreateRequest request = WatchAll();
  request.set_prev_kv(true);
  relay_.Established(2, request);
  relay_.Event(Put("/p/a", "x", 11));
  relay_.Event(Put("/p/a", "y", 12));
  relay_.Event(Put("/p/a", "z", 13));
  const auto messages = relay_.TakeAll(2);
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].events(0).prev_kv().value(), "1");
}

TEST_F(RelaySlowTest, FiltersAndRangesHoldInAMerge) {
  pb::WatchCreateRequest puts = WatchAll();
  puts.add_filters(pb::WatchCreateRequest::NODELETE);
  relay_.Established(2, puts);
  pb::WatchCreateRequest key = WatchAll();
  key.set_key("/p/b");
  key.clear_range_end();
  relay_.Established(3, key);
  ASSERT_FALSE(relay_.Take(3));
  relay_.Event(Put("/p/a", "x", 11));
  relay_.Event(Deleted("/p/a", 12));
  relay_.Event(Put("/p/b", "y", 13));
  relay_.Event(Put("/p/b", "z", 14));
  EXPECT_EQ(relay_.Messages(2), (Messages{{"PUT a=x@11", "PUT b=z@14"}}));
  EXPECT_EQ(relay_.Messages(3), (Messages{{"PUT b=z@14"}}));
}

TEST(RelaySlowBoundsTest, ASubscriberThatNeverReadsIsBoundedAndCostsOthersNothing) {
  Settings settings = TestSettings();
  settings.backlog_bytes = 20000;
  settings.merged_events = 50;
  settings.window_bytes = 100000;
  Harness relay(settings);
  relay.Snapshot(10, {});
  pb::WatchCreateRequest request = WatchAll();
  request.set_fragment(true);
  relay.Established(1, request);
  relay.Established(2, request);
  ASSERT_FALSE(relay.Take(2));
  std::size_t most = 0;
  for (std::int64_t revision = 11; revision <= 1010; ++revision) {
    relay.Event(Put("/p/k" + std::to_string(revision % 200), std::string(1000, 'x'), revision));
    const auto status = relay.relay().status();
    ASSERT_LE(status.merged_events, 50u);
    ASSERT_LE(status.window_bytes, 100000u);
    most = std::max(most, status.merged_events);
    ASSERT_EQ(relay.Messages(2).size(), 1u) << "the other is on time";
  }
  EXPECT_EQ(most, 50u);
  EXPECT_EQ(relay.relay().status().told_to_reread, 1u);
  EXPECT_EQ(relay.relay().status().slow_subscribers, 0u);
  const auto told = relay.Take(1);
  ASSERT_TRUE(told);
  EXPECT_TRUE(told->canceled());
  EXPECT_GE(told->compact_revision(), 60) << "a watch from there on would be served when it was told";
  EXPECT_FALSE(relay.Take(1));
  EXPECT_EQ(relay.relay().status().subscribers, 1u);
}

// One that stops in the midst of a large response holds no more than its bound either.
TEST(RelaySlowBoundsTest, ASubscriberThatStopsBetweenFragmentsIsBounded) {
  Settings settings = TestSettings();
  settings.merged_events = 50;
  settings.window_events = 300;
  Harness relay(settings);
  relay.Snapshot(10, {});
  pb::WatchCreateRequest request = WatchAll();
  request.set_fragment(true);
  relay.Established(1, request);
  std::vector<pb::Event> events;
  for (int i = 0; i < 200; ++i) events.push_back(Put("/p/k" + std::to_string(i), "x", 11));
  relay.Events(11, events);
  auto message = relay.Take(1, 1000);
  ASSERT_TRUE(message && message->fragment());
  // The batch leaves the window: what remains of it is more than the subscriber may hold.
  for (std::int64_t revision = 12; revision <= 200; ++revision) relay.Event(Put("/p/a", "y", revision));
  message = relay.Take(1, 1000);
  ASSERT_TRUE(message);
  EXPECT_TRUE(message->canceled());
  EXPECT_EQ(relay.relay().status().merged_events, 0u);
}

TEST(RelaySlowBoundsTest, ASubscriberThatTheWindowLeavesBehindIsMergedInTime) {
  Settings settings = TestSettings();
  settings.window_events = 5;
  Harness relay(settings);
  relay.Snapshot(10, {});
  relay.Established(1, WatchAll());
  ASSERT_FALSE(relay.Take(1));
  for (std::int64_t revision = 11; revision <= 30; ++revision)
    relay.Event(Put("/p/k" + std::to_string(revision % 3), std::to_string(revision), revision));
  EXPECT_EQ(relay.relay().status().slow_subscribers, 1u);
  EXPECT_EQ(relay.Messages(1), (Messages{{"PUT k1=28@28", "PUT k2=29@29", "PUT k0=30@30"}}));
}

TEST(RelaySlowBoundsTest, ASlowSubscriberLeavesNothingBehind) {
  Harness relay(SlowSettings());
  relay.Snapshot(10, {});
  for (SubscriberId id = 1; id <= 3; ++id) relay.Established(id, WatchAll());
  for (std::int64_t revision = 11; revision <= 30; ++revision)
    relay.Event(Put("/p/k" + std::to_string(revision), "x", revision));
  EXPECT_EQ(relay.relay().status().merged_events, 60u);
  relay.relay().Unsubscribe(1);
  EXPECT_EQ(relay.relay().status().merged_events, 40u);
  relay.Snapshot(5, {});
  EXPECT_EQ(relay.relay().status().merged_events, 0u);
  EXPECT_EQ(relay.relay().status().slow_subscribers, 0u);
  EXPECT_EQ(relay.ended.size(), 2u);
}

// A batch that ends what kept a segment apart and in the same revision needs it kept apart for another key.
TEST_F(RelaySlowTest, ABatchWithAnotherKeysDrainKeepsADeletionApart) {
  relay_.Event(Put("/p/b", "drain", 11));
  relay_.Event(Deleted("/p/c", 12));
  relay_.Events(13, {Put("/p/b", "drain again", 13), Put("/p/c", "back", 13)});
  EXPECT_EQ(relay_.Messages(1),
            (Messages{{"PUT b=drain@11", "DELETE c@12"}, {"PUT b=drain again@13", "PUT c=back@13"}}));
}

// The backlog alone against all that happened: every segment's end is exact, what must be delivered is seen
// before what replaces it, and what is held is bounded by the keys.
TEST(MergedBacklogTest, IsExactAtEachSegmentsEndFromFixedSeeds) {
  std::uint64_t segments = 0, joined_down_to = 1000;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&](unsigned n) { return static_cast<unsigned>(random() % n); };
    MergedBacklog backlog;
    std::map<std::string, std::string> state, held;
    std::map<std::int64_t, std::map<std::string, std::string>> states;
    std::map<std::string, std::int64_t> to_see, seen;  // the newest that must be delivered, by key
    std::int64_t revision = 0;
    const auto take = [&] {
      const MergedBacklog::Segment segment = backlog.Take();
      std::int64_t last = 0;
      for (const MergedBacklog::Entry& entry : segment.entries) {
        const std::string& key = entry.event->kv->key();
        ASSERT_GE(entry.event->revision(), last);
        last = entry.event->revision();
        ASSERT_EQ(entry.previous != nullptr, held.count(key) > 0) << key;
        if (entry.previous) {
          ASSERT_EQ(entry.previous->value(), held[key]);
        }
        if (entry.event->deletion) {
          held.erase(key);
        } else {
          held[key] = entry.event->kv->value();
        }
        if (entry.event->must_deliver) seen[key] = entry.event->revision();
      }
      ASSERT_EQ(held, states.at(segment.revision)) << "seed " << seed << " at " << segment.revision;
      ++segments;
    };
    for (int step = 0; step < 400; ++step) {
      // Up to four keys in one revision.
      ++revision;
      std::vector<StoredEventPtr> batch;
      std::set<std::string> keys;
      for (unsigned i = 0; i < 1 + draw(4); ++i) keys.insert("k" + std::to_string(draw(6)));
      for (const std::string& key : keys) {
        auto event = std::make_shared<StoredEvent>();
        event->deletion = state.count(key) && draw(5) == 0;
        event->must_deliver = event->deletion || draw(4) == 0;
        if (state.count(key)) event->previous = std::make_shared<pb::KeyValue>(Kv(key, state[key], 1));
        const std::string value = "v" + std::to_string(revision);
        event->kv = std::make_shared<pb::KeyValue>(event->deletion ? Deleted(key, revision).kv()
                                                                   : Kv(key, value, revision));
        if (event->deletion) {
          state.erase(key);
        } else {
          state[key] = value;
        }
        if (event->must_deliver) to_see[key] = revision;
        batch.push_back(std::move(event));
      }
      states[revision] = state;
      backlog.Add(revision, batch);
      ASSERT_LE(backlog.segments(), 7u);
      ASSERT_LE(backlog.size(), 6u * 7);
      if (draw(30) == 0) take();
      if (::testing::Test::HasFatalFailure()) return;
    }
    joined_down_to = std::min<std::uint64_t>(joined_down_to, backlog.segments());
    while (!backlog.empty()) {
      take();
      if (::testing::Test::HasFatalFailure()) return;
    }
    ASSERT_EQ(held, state);
    ASSERT_EQ(seen, to_see) << "seed " << seed;
    ASSERT_EQ(backlog.size(), 0u);
  }
  EXPECT_GT(segments, 2000u);
  EXPECT_LE(joined_down_to, 2u);
}

}  // namespace
}  // namespace badgerbridge::watch_cache
