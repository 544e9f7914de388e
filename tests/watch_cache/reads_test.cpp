// SPDX-License-Identifier: Apache-2.0
//
// Reads of the relay's core: what is served, what is refused, and what a linearizable read waits for.
#include "standins/etcd_store.h"
#include "watch_cache/harness.h"
#include "watch_cache/state.h"
#include "watch_cache/window.h"

namespace badgerbridge::watch_cache {
namespace {

using Strings = std::vector<std::string>;

class RelayReadsTest : public ::testing::Test {
 protected:
  void Fill() { relay_.Snapshot(10, {Kv("/p/a", "1", 3), Kv("/p/b", "2", 10), Kv("/p/c", "3", 7)}); }
  Relay::AnswerRead Answer(ReadId read) {
    EXPECT_TRUE(relay_.answers.count(read)) << read;
    return relay_.answers[read];
  }
  bool Answered(ReadId read) { return relay_.answers.count(read) > 0; }

  Harness relay_;
};

TEST_F(RelayReadsTest, ServesASerializableReadAtOnceWithTheSourcesRevision) {
  Fill();
  const auto answer = relay_.ReadNow(ListAll());
  ASSERT_TRUE(answer.status.ok()) << answer.status.Text();
  EXPECT_EQ(Text(answer.response), "a=1 b=2 c=3");
  EXPECT_EQ(answer.response.count(), 3);
  EXPECT_EQ(answer.response.header().revision(), 10);
  EXPECT_EQ(answer.response.header().cluster_id(), kCluster);
  EXPECT_EQ(answer.response.header().member_id(), 5u);
  EXPECT_TRUE(relay_.confirmations.empty());
}

TEST_F(RelayReadsTest, ServesNothingBeforeTheFirstSnapshot) {
  relay_.Read(1, Serializable(ListAll()));
  relay_.Read(2, Get("/p/a"));
  relay_.Subscribe(3, WatchAll());
  EXPECT_EQ(relay_.ended.at(3).code, Code::kUnavailable);
  ASSERT_EQ(relay_.confirmations.size(), 1u);
  relay_.Confirm(relay_.confirmations[0], Header(10));
  EXPECT_FALSE(Answered(1) || Answered(2));
  Fill();
  EXPECT_EQ(Text(Answer(1).response), "a=1 b=2 c=3");
  EXPECT_EQ(Text(Answer(2).response), "a=1");
}

TEST_F(RelayReadsTest, FailsInTimeWithoutASnapshot) {
  relay_.Read(1, Serializable(ListAll()));
  relay_.Read(2, Get("/p/a"));
  relay_.Advance(Time(999));
  EXPECT_FALSE(Answered(1) || Answered(2));
  relay_.Advance(Time(1));
  EXPECT_EQ(Answer(1).status.code, Code::kUnavailable);
  EXPECT_EQ(Answer(2).status.code, Code::kUnavailable);
  EXPECT_EQ(relay_.relay().status().waiting_reads, 0u);
}

TEST_F(RelayReadsTest, RefusesKeysOutsideThePrefixAndNamesIt) {
  Fill();
  pb::RangeRequest beyond = ListAll();
  beyond.set_range_end("/q");
  pb::RangeRequest all = ListAll();
  all.set_range_end(std::string(1, '\0'));
  pb::RangeRequest before = ListAll();
  before.set_key("/o");
  for (const pb::RangeRequest& request : {beyond, all, before, Get("/other"), Get("/p")}) {
    const auto answer = relay_.ReadNow(request);
    EXPECT_EQ(answer.status.code, Code::kPermissionDenied);
    EXPECT_EQ(answer.status.message, "only keys under /p/ are served here");
  }
  EXPECT_EQ(relay_.ReadNow(Get("")).status.code, Code::kInvalidArgument);
  EXPECT_EQ(relay_.relay().status().refused, 6u);
  EXPECT_TRUE(relay_.ReadNow(Get("/p/")).status.ok()) << "the key that probes read";
}

// The stand-in's store is strict where etcd is: both must answer the same to every kind of read.
TEST_F(RelayReadsTest, AnswersAsTheStoreDoes) {
  standins::EtcdStore store;
  const auto put = [&](const std::string& key, const std::string& value) {
    pb::PutRequest request;
    request.set_key(key);
    request.set_value(value);
    pb::PutResponse response;
    ASSERT_TRUE(store.Put(request, &response).ok());
  };
  const auto erase = [&](const std::string& key) {
    pb::DeleteRangeRequest request;
    request.set_key(key);
    pb::DeleteRangeResponse response;
    ASSERT_TRUE(store.DeleteRange(request, &response).ok());
  };
  for (int i = 9; i >= 0; --i) put("/p/k" + std::to_string(i), std::to_string(i * 7 % 10));
  pb::RangeResponse now;
  ASSERT_TRUE(store.Range(ListAll(), &now).ok());
  relay_.Snapshot(store.revision(), {now.kvs().begin(), now.kvs().end()});
  const std::int64_t first = store.revision();
  for (int round = 0; round < 12; ++round) {
    const std::int64_t before = store.revision();
    const std::string key = "/p/k" + std::to_string(round * 5 % 11);
    if (round % 3 == 2) {
      erase(key);
    } else {
      put(key, std::to_string(round));
    }
    if (round % 4 == 3) put("/elsewhere", "x");
    for (const pb::Event& event : store.Events(kPrefix, kPrefixEnd, before + 1, false)) relay_.Event(event);
    relay_.Progress(store.revision());
  }
  int compared = 0;
  for (std::int64_t revision = first; revision <= store.revision(); ++revision) {
    for (int variant = 0; variant < 40; ++variant) {
      pb::RangeRequest request = ListAll();
      request.set_revision(revision);
      if (variant >= 35) request.set_key("/p/k4");
      if (variant >= 38) request.clear_range_end();
      if (variant % 3 == 1) request.set_limit(4);
      if (variant % 5 == 1) request.set_keys_only(true);
      if (variant % 7 == 1) request.set_count_only(true);
      request.set_sort_target(static_cast<pb::RangeRequest::SortTarget>(variant % 5));
      request.set_sort_order(static_cast<pb::RangeRequest::SortOrder>(variant / 5 % 3));
      if (variant % 11 == 1) request.set_min_mod_revision(first - 3);
      if (variant % 11 == 2) request.set_max_mod_revision(first + 2);
      if (variant % 11 == 3) request.set_min_create_revision(first - 3);
      if (variant % 11 == 4) request.set_max_create_revision(first - 3);
      pb::RangeResponse expected;
      ASSERT_TRUE(store.Range(request, &expected).ok());
      auto answer = relay_.ReadNow(request);
      ASSERT_TRUE(answer.status.ok()) << answer.status.Text();
      answer.response.clear_header();
      ASSERT_EQ(answer.response.SerializeAsString(), expected.SerializeAsString())
          << "at " << revision << ", variant " << variant;
      ++compared;
    }
  }
  EXPECT_GT(compared, 500);
  pb::RangeRequest odd = ListAll();
  odd.set_sort_order(static_cast<pb::RangeRequest::SortOrder>(9));
  EXPECT_EQ(relay_.ReadNow(odd).status.code, Code::kInvalidArgument);
}

// A list in pages looks at each key once, and once more for each page: not at all that remain, at every page.
TEST(RelayRangeTest, APageCostsItsOwnKeys) {
  constexpr int kKeys = 10'000, kPage = 100;
  State::Keys keys;
  for (int i = 0; i < kKeys; ++i)
    keys.insert(std::make_shared<const pb::KeyValue>(Kv("/p/" + std::to_string(100'000 + i), "v", 5)));
  State state;
  state.Replace(std::move(keys));
  const Window window(1 << 20, 1000);
  pb::RangeRequest request = ListAll();
  request.set_limit(kPage);
  std::size_t visited = 0, listed = 0, pages = 0;
  for (bool more = true; more; ++pages) {
    pb::RangeResponse response;
    std::size_t of_page = 0;
    ASSERT_TRUE(ReadRange(state, window, 5, request, &response, &of_page).ok());
    EXPECT_EQ(response.count(), static_cast<std::int64_t>(kKeys - listed)) << "of the whole range";
    visited += of_page;
    listed += static_cast<std::size_t>(response.kvs_size());
    more = response.more();
    request.set_key(response.kvs(response.kvs_size() - 1).key() + std::string(1, '\0'));
  }
  EXPECT_EQ(listed, static_cast<std::size_t>(kKeys));
  EXPECT_EQ(pages, static_cast<std::size_t>(kKeys / kPage));
  EXPECT_LE(visited, kKeys + pages);
  request = ListAll();
  request.set_count_only(true);
  pb::RangeResponse response;
  ASSERT_TRUE(ReadRange(state, window, 5, request, &response, &visited).ok());
  EXPECT_EQ(response.count(), kKeys);
  EXPECT_EQ(visited, 0u);
}

TEST_F(RelayReadsTest, ServesOlderRevisionsInsideTheWindowAndSaysCompactedBeforeIt) {
  Fill();
  relay_.Event(Put("/p/a", "new", 12));
  relay_.Event(Deleted("/p/b", 15));
  pb::RangeRequest request = ListAll();
  const auto at = [&](std::int64_t revision) {
    request.set_revision(revision);
    return relay_.ReadNow(request);
  };
  EXPECT_EQ(Text(at(15).response), "a=new c=3");
  EXPECT_EQ(Text(at(12).response), "a=new b=2 c=3");
  EXPECT_EQ(Text(at(10).response), "a=1 b=2 c=3");
  EXPECT_EQ(at(12).response.header().revision(), 15) << "the header's is the cache's, as etcd has it";
  EXPECT_EQ(at(9).status.code, Code::kOutOfRange);
  EXPECT_EQ(at(9).status.message, "etcdserver: mvcc: required revision has been compacted");
  EXPECT_EQ(at(16).status.code, Code::kOutOfRange);
  EXPECT_EQ(at(16).status.message, "etcdserver: mvcc: required revision is a future revision");
}

// A batch may have been merged upstream: nothing is claimed of the revisions in its midst.
TEST_F(RelayReadsTest, ServesNoRevisionInTheMidstOfABatch) {
  Fill();
  relay_.Events(20, {Put("/p/a", "new", 12), Put("/p/d", "4", 18)});
  pb::RangeRequest request = ListAll();
  request.set_revision(14);
  EXPECT_EQ(relay_.ReadNow(request).status.code, Code::kOutOfRange);
  request.set_revision(20);
  EXPECT_EQ(Text(relay_.ReadNow(request).response), "a=new b=2 c=3 d=4");
  request.set_revision(10);
  EXPECT_EQ(Text(relay_.ReadNow(request).response), "a=1 b=2 c=3");
}

TEST_F(RelayReadsTest, ALinearizableReadWaitsForTheConfirmationAndForTheCache) {
  Fill();
  relay_.Read(1, Get("/p/a"));
  ASSERT_EQ(relay_.confirmations.size(), 1u);
  EXPECT_FALSE(Answered(1));
  relay_.Confirm(relay_.confirmations[0], Header(12));
  EXPECT_FALSE(Answered(1)) << "the cache is at 10";
  EXPECT_EQ(relay_.progress_requests, 1);
  relay_.Event(Put("/p/a", "11", 11));
  EXPECT_FALSE(Answered(1));
  relay_.Event(Put("/p/a", "12", 12));
  EXPECT_EQ(Text(Answer(1).response), "a=12");
}

// Writes elsewhere move the source's revision, and no event says so: progress does.
TEST_F(RelayReadsTest, AsksForProgressUntilTheConfirmedRevisionIsReached) {
  Fill();
  relay_.Read(1, Get("/p/a"));
  relay_.Confirm(relay_.confirmations[0], Header(50));
  EXPECT_EQ(relay_.progress_requests, 1);
  relay_.Advance(Time(350));
  EXPECT_EQ(relay_.progress_requests, 4);
  relay_.Progress(50);
  EXPECT_EQ(Text(Answer(1).response), "a=1");
  relay_.Advance(Time(350));
  EXPECT_EQ(relay_.progress_requests, 4);
}

TEST_F(RelayReadsTest, AReadThatArrivesDuringAConfirmationWaitsForTheNext) {
  Fill();
  relay_.Read(1, Get("/p/a"));
  ASSERT_EQ(relay_.confirmations.size(), 1u);
  relay_.Read(2, Get("/p/a"));
  relay_.Read(3, Get("/p/b"));
  ASSERT_EQ(relay_.confirmations.size(), 1u) << "one at a time";
  relay_.Confirm(relay_.confirmations[0], Header(10));
  EXPECT_TRUE(Answered(1));
  EXPECT_FALSE(Answered(2) || Answered(3)) << "what was confirmed may be older than these reads";
  ASSERT_EQ(relay_.confirmations.size(), 2u);
  relay_.Confirm(relay_.confirmations[1], Header(11));
  EXPECT_FALSE(Answered(2));
  relay_.Event(Put("/p/a", "written between", 11));
  EXPECT_EQ(Text(Answer(2).response), "a=written between");
  EXPECT_TRUE(Answered(3)) << "one confirmation serves all that wait";
  EXPECT_EQ(relay_.relay().status().confirmations, 2u);
}

TEST_F(RelayReadsTest, AnEventThatOvertakesTheConfirmationIsNoReplacedHistory) {
  Fill();
  relay_.Read(1, Get("/p/a"));
  relay_.Event(Put("/p/a", "11", 11));
  relay_.Confirm(relay_.confirmations[0], Header(10));
  EXPECT_EQ(Text(Answer(1).response), "a=11");
}

TEST_F(RelayReadsTest, FailsAtOnceWithAConfirmationThatFailsAndAsksAgainForOthers) {
  Fill();
  relay_.Read(1, Get("/p/a"));
  relay_.Read(2, Get("/p/a"));
  relay_.Confirm(relay_.confirmations[0], {}, {Code::kUnavailable, etcd::Ending::kStatus, "no leader"});
  EXPECT_EQ(Answer(1).status.code, Code::kUnavailable);
  EXPECT_NE(Answer(1).status.message.find("no leader"), std::string::npos);
  ASSERT_EQ(relay_.confirmations.size(), 2u);
  relay_.Confirm(relay_.confirmations[1], Header(10));
  EXPECT_TRUE(Answer(2).status.ok());
}

TEST_F(RelayReadsTest, AWaitEndsAndAConfirmationThatNeverComesIsGivenUp) {
  Fill();
  relay_.Read(1, Get("/p/a"));
  relay_.Lost();
  relay_.Advance(Time(1000));
  EXPECT_EQ(Answer(1).status.code, Code::kUnavailable);
  EXPECT_NE(Answer(1).status.message.find("connection refused"), std::string::npos);
  relay_.Read(2, Get("/p/a"));
  ASSERT_EQ(relay_.confirmations.size(), 2u);
  relay_.Confirm(relay_.confirmations[0], Header(10));
  EXPECT_FALSE(Answered(2)) << "the late answer to the first says nothing about the second";
  relay_.Confirm(relay_.confirmations[1], Header(10));
  EXPECT_TRUE(Answer(2).status.ok());
}

TEST_F(RelayReadsTest, ALowerConfirmedRevisionWaitsForTheNewHistory) {
  Fill();
  relay_.Read(1, Get("/p/a"));
  relay_.Confirm(relay_.confirmations[0], Header(6));
  EXPECT_FALSE(Answered(1)) << "the cache's history was replaced";
  relay_.Event(Put("/p/a", "old history", 11));
  EXPECT_FALSE(Answered(1));
  relay_.Snapshot(6, {Kv("/p/a", "restored", 3)});
  EXPECT_EQ(Text(Answer(1).response), "a=restored");
}

TEST_F(RelayReadsTest, AConfirmationOfAnotherClusterWaitsForItsSnapshot) {
  Fill();
  relay_.Read(1, Get("/p/a"));
  relay_.Confirm(relay_.confirmations[0], Header(10, 78));
  EXPECT_FALSE(Answered(1));
  relay_.Snapshot(12, {Kv("/p/a", "another", 12)}, 78);
  EXPECT_EQ(Text(Answer(1).response), "a=another");
}

TEST_F(RelayReadsTest, WhatWasConfirmedOfAReplacedHistoryIsConfirmedAgain) {
  Fill();
  relay_.Read(1, Get("/p/a"));
  relay_.Confirm(relay_.confirmations[0], Header(12));
  relay_.Snapshot(12, {Kv("/p/a", "another", 12)}, 78);
  EXPECT_FALSE(Answered(1));
  ASSERT_EQ(relay_.confirmations.size(), 2u);
  relay_.Confirm(relay_.confirmations[1], Header(12, 78));
  EXPECT_EQ(Text(Answer(1).response), "a=another");
}

TEST_F(RelayReadsTest, ACancelledReadIsNotAnswered) {
  Fill();
  relay_.Read(1, Get("/p/a"));
  relay_.relay().CancelRead(1);
  relay_.Confirm(relay_.confirmations[0], Header(10));
  relay_.Advance(Time(2000));
  EXPECT_FALSE(Answered(1));
  EXPECT_EQ(relay_.relay().status().waiting_reads, 0u);
}

TEST(RelayReadsBoundsTest, RefusesReadsBeyondItsBound) {
  Settings settings = TestSettings();
  settings.max_waiting_reads = 2;
  Harness relay(settings);
  relay.Snapshot(10, {Kv("/p/a", "1", 3)});
  for (ReadId read = 1; read <= 3; ++read) relay.Read(read, Get("/p/a"));
  ASSERT_TRUE(relay.answers.count(3));
  EXPECT_EQ(relay.answers[3].status.code, Code::kResourceExhausted);
  EXPECT_EQ(relay.answers[3].status.message, "2 reads wait already: try again");
  relay.Confirm(relay.confirmations[0], Header(10));
  relay.Confirm(relay.confirmations[1], Header(10));
  EXPECT_TRUE(relay.answers[1].status.ok() && relay.answers[2].status.ok());
}

TEST(RelayReadsBoundsTest, ListsAreAdmittedInOrderAtTheirRate) {
  Settings settings = TestSettings();
  settings.list_bytes_per_second = 10000;
  settings.list_burst_bytes = 1000;
  settings.read_timeout = Time(1000);
  Harness relay(settings);
  relay.Snapshot(10, {Kv("/p/a", std::string(1000, 'x'), 3)});
  for (ReadId read = 1; read <= 30; ++read) relay.Read(read, Serializable(ListAll()));
  EXPECT_EQ(relay.answers.size(), 1u);
  relay.Read(100, Serializable(Get("/p/a")));
  EXPECT_TRUE(relay.answers.count(100)) << "a read of one key has no turn to wait for";
  std::size_t bytes = 0;
  ReadId last = 0;
  for (int step = 0; step < 1000; ++step) {
    relay.Advance(Time(1));
    bytes = 0;
    for (const auto& [read, answer] : relay.answers) {
      if (read == 100 || !answer.status.ok()) continue;
      bytes += answer.response.ByteSizeLong();
      last = std::max(last, read);
      EXPECT_TRUE(relay.answers.count(read - 1) || read == 1) << "out of its order: " << read;
    }
    EXPECT_LE(bytes, 1000 + 10 * static_cast<std::size_t>(step + 1) + 1100) << "after ms " << step + 1;
  }
  EXPECT_GE(last, 9u) << "and the rate is used";
  EXPECT_EQ(relay.answers.size(), 31u) << "each wait ends";
  EXPECT_EQ(relay.answers[30].status.code, Code::kUnavailable);
  EXPECT_NE(relay.answers[30].status.message.find("lists wait their turn"), std::string::npos);
}

}  // namespace
}  // namespace badgerbridge::watch_cache
