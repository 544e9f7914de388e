// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Reads: served and rejected ranges and revisions, and the waits of linearizable reads.
#include "standins/etcd_store.h"
#include "watch_cache/harness.h"
#include "watch_cache/state.h"
#include "watch_cache/window.h"

namespace badgerbridge::watch_cache {
namespace {

using Strings = std::vector<std::string>;

class WatchCacheReadsTest : public ::testing::Test {
 protected:
  void LoadSnapshot() {
    harness_.Snapshot(
        10, {MakeKeyValue("/p/a", "1", 3), MakeKeyValue("/p/b", "2", 10), MakeKeyValue("/p/c", "3", 7)});
  }
  WatchCache::AnswerRead AnswerTo(ReadId read) {
    EXPECT_TRUE(harness_.answers.count(read)) << read;
    return harness_.answers[read];
  }
  bool IsAnswered(ReadId read) { return harness_.answers.count(read) > 0; }

  Harness harness_;
};

TEST_F(WatchCacheReadsTest, SerializableReadIsAnsweredAtOnceAtSourceRevision) {
  LoadSnapshot();
  const auto answer = harness_.ReadNow(ListAll());
  ASSERT_TRUE(answer.status.ok()) << answer.status.ToString();
  EXPECT_EQ(Text(answer.response), "a=1 b=2 c=3");
  EXPECT_EQ(answer.response.count(), 3);
  EXPECT_EQ(answer.response.header().revision(), 10);
  EXPECT_EQ(answer.response.header().cluster_id(), kCluster);
  EXPECT_EQ(answer.response.header().member_id(), 5u);
  EXPECT_TRUE(harness_.confirmations.empty());
}

TEST_F(WatchCacheReadsTest, ReadsBeforeFirstSnapshotWaitAndWatchesAreRejected) {
  harness_.Read(1, Serializable(ListAll()));
  harness_.Read(2, Get("/p/a"));
  harness_.Subscribe(3, WatchAll());
  EXPECT_EQ(harness_.ended.at(3).code, Code::kUnavailable);
  ASSERT_EQ(harness_.confirmations.size(), 1u);
  harness_.Confirm(harness_.confirmations[0], Header(10));
  EXPECT_FALSE(IsAnswered(1) || IsAnswered(2));
  LoadSnapshot();
  EXPECT_EQ(Text(AnswerTo(1).response), "a=1 b=2 c=3");
  EXPECT_EQ(Text(AnswerTo(2).response), "a=1");
}

TEST_F(WatchCacheReadsTest, ReadsWithoutSnapshotFailAtTimeout) {
  harness_.Read(1, Serializable(ListAll()));
  harness_.Read(2, Get("/p/a"));
  harness_.Advance(Time(999));
  EXPECT_FALSE(IsAnswered(1) || IsAnswered(2));
  harness_.Advance(Time(1));
  EXPECT_EQ(AnswerTo(1).status.code, Code::kUnavailable);
  EXPECT_EQ(AnswerTo(2).status.code, Code::kUnavailable);
  EXPECT_EQ(harness_.cache().status().waiting_reads, 0u);
}

TEST_F(WatchCacheReadsTest, ReadOutsidePrefixIsRejectedWithPrefixInText) {
  LoadSnapshot();
  pb::RangeRequest beyond = ListAll();
  beyond.set_range_end("/q");
  pb::RangeRequest all = ListAll();
  all.set_range_end(std::string(1, '\0'));
  pb::RangeRequest before = ListAll();
  before.set_key("/o");
  for (const pb::RangeRequest& request : {beyond, all, before, Get("/other"), Get("/p")}) {
    const auto answer = harness_.ReadNow(request);
    EXPECT_EQ(answer.status.code, Code::kPermissionDenied);
    EXPECT_EQ(answer.status.message, "only keys under /p/ are served here");
  }
  EXPECT_EQ(harness_.ReadNow(Get("")).status.code, Code::kInvalidArgument);
  EXPECT_EQ(harness_.cache().status().rejected, 6u);
  EXPECT_TRUE(harness_.ReadNow(Get("/p/")).status.ok())
      << "a single key that is equal to the prefix, as health checks read it";
}

/// The store of the etcd stand-in, which validates requests as etcd does, and a cache that follows it.
class StoreComparison {
 public:
  explicit StoreComparison(Harness* harness) : harness_(harness) {
    for (int i = 9; i >= 0; --i) Put("/p/k" + std::to_string(i), std::to_string(i * 7 % 10));
    pb::RangeResponse now;
    EXPECT_TRUE(store_.Range(ListAll(), &now).ok());
    harness_->Snapshot(store_.revision(), {now.kvs().begin(), now.kvs().end()});
    first_revision_ = store_.revision();
  }

  /// Puts a key, or deletes it in every third round, and passes the events to the cache.
  void Write(int round) {
    const std::int64_t before = store_.revision();
    const std::string key = "/p/k" + std::to_string(round * 5 % 11);
    if (round % 3 == 2) {
      Delete(key);
    } else {
      Put(key, std::to_string(round));
    }
    if (round % 4 == 3) Put("/elsewhere", "x");
    const auto events = store_.Events(kPrefix, kPrefixEnd, before + 1, false);
    for (const pb::Event& event : events) harness_->Event(event);
    harness_->Progress(store_.revision());
  }

  /// One of 40 combinations of a read's options.
  pb::RangeRequest Variant(int variant, std::int64_t revision) const {
    pb::RangeRequest request = ListAll();
    request.set_revision(revision);
    if (variant >= 35) request.set_key("/p/k4");
    if (variant >= 38) request.clear_range_end();
    if (variant % 3 == 1) request.set_limit(4);
    if (variant % 5 == 1) request.set_keys_only(true);
    if (variant % 7 == 1) request.set_count_only(true);
    request.set_sort_target(static_cast<pb::RangeRequest::SortTarget>(variant % 5));
    request.set_sort_order(static_cast<pb::RangeRequest::SortOrder>(variant / 5 % 3));
    if (variant % 11 == 1) request.set_min_mod_revision(first_revision_ - 3);
    if (variant % 11 == 2) request.set_max_mod_revision(first_revision_ + 2);
    if (variant % 11 == 3) request.set_min_create_revision(first_revision_ - 3);
    if (variant % 11 == 4) request.set_max_create_revision(first_revision_ - 3);
    return request;
  }

  void ExpectSameAnswer(const pb::RangeRequest& request) {
    pb::RangeResponse expected;
    ASSERT_TRUE(store_.Range(request, &expected).ok());
    auto answer = harness_->ReadNow(request);
    ASSERT_TRUE(answer.status.ok()) << answer.status.ToString();
    answer.response.clear_header();
    ASSERT_EQ(answer.response.SerializeAsString(), expected.SerializeAsString());
  }

  std::int64_t first_revision() const { return first_revision_; }
  std::int64_t revision() const { return store_.revision(); }

 private:
  void Put(const std::string& key, const std::string& value) {
    pb::PutRequest request;
    request.set_key(key);
    request.set_value(value);
    pb::PutResponse response;
    ASSERT_TRUE(store_.Put(request, &response).ok());
  }

  void Delete(const std::string& key) {
    pb::DeleteRangeRequest request;
    request.set_key(key);
    pb::DeleteRangeResponse response;
    ASSERT_TRUE(store_.DeleteRange(request, &response).ok());
  }

  Harness* harness_;
  standins::EtcdStore store_;
  std::int64_t first_revision_ = 0;
};

TEST_F(WatchCacheReadsTest, RangeReadsAnswerAsEtcdStoreDoes) {
  StoreComparison comparison(&harness_);
  for (int round = 0; round < 12; ++round) comparison.Write(round);
  ASSERT_FALSE(HasFailure());
  int compared = 0;
  for (std::int64_t revision = comparison.first_revision(); revision <= comparison.revision(); ++revision) {
    for (int variant = 0; variant < 40; ++variant) {
      SCOPED_TRACE(::testing::Message() << "at " << revision << ", variant " << variant);
      comparison.ExpectSameAnswer(comparison.Variant(variant, revision));
      if (HasFatalFailure()) return;
      ++compared;
    }
  }
  EXPECT_GT(compared, 500);
  pb::RangeRequest invalid = ListAll();
  invalid.set_sort_order(static_cast<pb::RangeRequest::SortOrder>(9));
  EXPECT_EQ(harness_.ReadNow(invalid).status.code, Code::kInvalidArgument);
}

// A paged list must visit each key once and one more key for each page, not all remaining keys for each page.
TEST(WatchCacheRangeTest, PagedListVisitsOnlyKeysOfEachPage) {
  constexpr int kKeys = 10'000, kPage = 100;
  State::Keys keys;
  for (int i = 0; i < kKeys; ++i)
    keys.insert(
        std::make_shared<const pb::KeyValue>(MakeKeyValue("/p/" + std::to_string(100'000 + i), "v", 5)));
  State state;
  state.Replace(std::move(keys));
  const Window window(1 << 20, 1000);
  pb::RangeRequest request = ListAll();
  request.set_limit(kPage);
  std::size_t visited = 0, listed = 0, pages = 0;
  for (bool more = true; more; ++pages) {
    const RangeResult result = ReadRange(state, window, 5, request);
    ASSERT_TRUE(result.status.ok());
    const pb::RangeResponse& response = result.response;
    EXPECT_EQ(response.count(), static_cast<std::int64_t>(kKeys - listed))
        << "the count includes the remaining range";
    visited += result.visited_keys;
    listed += static_cast<std::size_t>(response.kvs_size());
    more = response.more();
    request.set_key(response.kvs(response.kvs_size() - 1).key() + std::string(1, '\0'));
  }
  EXPECT_EQ(listed, static_cast<std::size_t>(kKeys));
  EXPECT_EQ(pages, static_cast<std::size_t>(kKeys / kPage));
  EXPECT_LE(visited, kKeys + pages);
  request = ListAll();
  request.set_count_only(true);
  const RangeResult counted = ReadRange(state, window, 5, request);
  ASSERT_TRUE(counted.status.ok());
  EXPECT_EQ(counted.response.count(), kKeys);
  EXPECT_EQ(counted.visited_keys, 0u);
}

TEST_F(WatchCacheReadsTest, OlderRevisionIsServedWithinWindowAndCompactedBefore) {
  LoadSnapshot();
  harness_.Event(Put("/p/a", "new", 12));
  harness_.Event(Deletion("/p/b", 15));
  pb::RangeRequest request = ListAll();
  const auto at = [&](std::int64_t revision) {
    request.set_revision(revision);
    return harness_.ReadNow(request);
  };
  EXPECT_EQ(Text(at(15).response), "a=new c=3");
  EXPECT_EQ(Text(at(12).response), "a=new b=2 c=3");
  EXPECT_EQ(Text(at(10).response), "a=1 b=2 c=3");
  EXPECT_EQ(at(12).response.header().revision(), 15) << "as in etcd, the header has the current revision";
  EXPECT_EQ(at(9).status.code, Code::kOutOfRange);
  EXPECT_EQ(at(9).status.message, "etcdserver: mvcc: required revision has been compacted");
  EXPECT_EQ(at(16).status.code, Code::kOutOfRange);
  EXPECT_EQ(at(16).status.message, "etcdserver: mvcc: required revision is a future revision");
}

// A batch may have been merged upstream, so the states at revisions within it are unknown.
TEST_F(WatchCacheReadsTest, RevisionWithinBatchIsCompacted) {
  LoadSnapshot();
  harness_.Events(20, {Put("/p/a", "new", 12), Put("/p/d", "4", 18)});
  pb::RangeRequest request = ListAll();
  request.set_revision(14);
  EXPECT_EQ(harness_.ReadNow(request).status.code, Code::kOutOfRange);
  request.set_revision(20);
  EXPECT_EQ(Text(harness_.ReadNow(request).response), "a=new b=2 c=3 d=4");
  request.set_revision(10);
  EXPECT_EQ(Text(harness_.ReadNow(request).response), "a=1 b=2 c=3");
}

TEST_F(WatchCacheReadsTest, LinearizableReadWaitsForConfirmationAndCache) {
  LoadSnapshot();
  harness_.Read(1, Get("/p/a"));
  ASSERT_EQ(harness_.confirmations.size(), 1u);
  EXPECT_FALSE(IsAnswered(1));
  harness_.Confirm(harness_.confirmations[0], Header(12));
  EXPECT_FALSE(IsAnswered(1)) << "the cache is at 10";
  EXPECT_EQ(harness_.progress_requests, 1);
  harness_.Event(Put("/p/a", "11", 11));
  EXPECT_FALSE(IsAnswered(1));
  harness_.Event(Put("/p/a", "12", 12));
  EXPECT_EQ(Text(AnswerTo(1).response), "a=12");
}

// Writes outside the prefix raise the source's revision without an event; only a progress notification
// reports the new revision.
TEST_F(WatchCacheReadsTest, ProgressIsRequestedUntilConfirmedRevisionIsReached) {
  LoadSnapshot();
  harness_.Read(1, Get("/p/a"));
  harness_.Confirm(harness_.confirmations[0], Header(50));
  EXPECT_EQ(harness_.progress_requests, 1);
  harness_.Advance(Time(350));
  EXPECT_EQ(harness_.progress_requests, 4);
  harness_.Progress(50);
  EXPECT_EQ(Text(AnswerTo(1).response), "a=1");
  harness_.Advance(Time(350));
  EXPECT_EQ(harness_.progress_requests, 4);
}

TEST_F(WatchCacheReadsTest, ReadDuringConfirmationWaitsForNextConfirmation) {
  LoadSnapshot();
  harness_.Read(1, Get("/p/a"));
  ASSERT_EQ(harness_.confirmations.size(), 1u);
  harness_.Read(2, Get("/p/a"));
  harness_.Read(3, Get("/p/b"));
  ASSERT_EQ(harness_.confirmations.size(), 1u) << "one at a time";
  harness_.Confirm(harness_.confirmations[0], Header(10));
  EXPECT_TRUE(IsAnswered(1));
  EXPECT_FALSE(IsAnswered(2) || IsAnswered(3)) << "the confirmed revision may be older than these reads";
  ASSERT_EQ(harness_.confirmations.size(), 2u);
  harness_.Confirm(harness_.confirmations[1], Header(11));
  EXPECT_FALSE(IsAnswered(2));
  harness_.Event(Put("/p/a", "written between", 11));
  EXPECT_EQ(Text(AnswerTo(2).response), "a=written between");
  EXPECT_TRUE(IsAnswered(3)) << "one confirmation serves all waiting reads";
  EXPECT_EQ(harness_.cache().status().confirmations, 2u);
}

TEST_F(WatchCacheReadsTest, EventBeforeConfirmationIsNotReplacedHistory) {
  LoadSnapshot();
  harness_.Read(1, Get("/p/a"));
  harness_.Event(Put("/p/a", "11", 11));
  harness_.Confirm(harness_.confirmations[0], Header(10));
  EXPECT_EQ(Text(AnswerTo(1).response), "a=11");
}

TEST_F(WatchCacheReadsTest, FailedConfirmationFailsItsReadsAndIsRepeatedForOthers) {
  LoadSnapshot();
  harness_.Read(1, Get("/p/a"));
  harness_.Read(2, Get("/p/a"));
  harness_.Confirm(harness_.confirmations[0], {}, {Code::kUnavailable, etcd::Ending::kStatus, "no leader"});
  EXPECT_EQ(AnswerTo(1).status.code, Code::kUnavailable);
  EXPECT_NE(AnswerTo(1).status.message.find("no leader"), std::string::npos);
  ASSERT_EQ(harness_.confirmations.size(), 2u);
  harness_.Confirm(harness_.confirmations[1], Header(10));
  EXPECT_TRUE(AnswerTo(2).status.ok());
}

TEST_F(WatchCacheReadsTest, ConfirmationWithoutResultIsAbandonedAtTimeout) {
  LoadSnapshot();
  harness_.Read(1, Get("/p/a"));
  harness_.Lost();
  harness_.Advance(Time(1000));
  EXPECT_EQ(AnswerTo(1).status.code, Code::kUnavailable);
  EXPECT_NE(AnswerTo(1).status.message.find("connection refused"), std::string::npos);
  harness_.Read(2, Get("/p/a"));
  ASSERT_EQ(harness_.confirmations.size(), 2u);
  harness_.Confirm(harness_.confirmations[0], Header(10));
  EXPECT_FALSE(IsAnswered(2)) << "the late result of the first confirmation does not serve the second read";
  harness_.Confirm(harness_.confirmations[1], Header(10));
  EXPECT_TRUE(AnswerTo(2).status.ok());
}

TEST_F(WatchCacheReadsTest, LowerConfirmedRevisionWaitsForNewHistory) {
  LoadSnapshot();
  harness_.Read(1, Get("/p/a"));
  harness_.Confirm(harness_.confirmations[0], Header(6));
  EXPECT_FALSE(IsAnswered(1)) << "the cache's history was replaced";
  harness_.Event(Put("/p/a", "old history", 11));
  EXPECT_FALSE(IsAnswered(1));
  harness_.Snapshot(6, {MakeKeyValue("/p/a", "restored", 3)});
  EXPECT_EQ(Text(AnswerTo(1).response), "a=restored");
}

TEST_F(WatchCacheReadsTest, ConfirmationOfOtherClusterWaitsForItsSnapshot) {
  LoadSnapshot();
  harness_.Read(1, Get("/p/a"));
  harness_.Confirm(harness_.confirmations[0], Header(10, 78));
  EXPECT_FALSE(IsAnswered(1));
  harness_.Snapshot(12, {MakeKeyValue("/p/a", "another", 12)}, 78);
  EXPECT_EQ(Text(AnswerTo(1).response), "a=another");
}

TEST_F(WatchCacheReadsTest, ReadConfirmedInReplacedHistoryIsConfirmedAgain) {
  LoadSnapshot();
  harness_.Read(1, Get("/p/a"));
  harness_.Confirm(harness_.confirmations[0], Header(12));
  harness_.Snapshot(12, {MakeKeyValue("/p/a", "another", 12)}, 78);
  EXPECT_FALSE(IsAnswered(1));
  ASSERT_EQ(harness_.confirmations.size(), 2u);
  harness_.Confirm(harness_.confirmations[1], Header(12, 78));
  EXPECT_EQ(Text(AnswerTo(1).response), "a=another");
}

TEST_F(WatchCacheReadsTest, CanceledReadIsNotAnswered) {
  LoadSnapshot();
  harness_.Read(1, Get("/p/a"));
  harness_.cache().CancelRead(1);
  harness_.Confirm(harness_.confirmations[0], Header(10));
  harness_.Advance(Time(2000));
  EXPECT_FALSE(IsAnswered(1));
  EXPECT_EQ(harness_.cache().status().waiting_reads, 0u);
}

TEST(WatchCacheReadsBoundsTest, ReadBeyondBoundIsRejected) {
  Settings settings = TestSettings();
  settings.max_waiting_reads = 2;
  Harness harness(settings);
  harness.Snapshot(10, {MakeKeyValue("/p/a", "1", 3)});
  for (ReadId read = 1; read <= 3; ++read) harness.Read(read, Get("/p/a"));
  ASSERT_TRUE(harness.answers.count(3));
  EXPECT_EQ(harness.answers[3].status.code, Code::kResourceExhausted);
  EXPECT_EQ(harness.answers[3].status.message, "2 reads wait already: try again");
  harness.Confirm(harness.confirmations[0], Header(10));
  harness.Confirm(harness.confirmations[1], Header(10));
  EXPECT_TRUE(harness.answers[1].status.ok() && harness.answers[2].status.ok());
}

TEST(WatchCacheReadsBoundsTest, ListsAreAnsweredInOrderAtConfiguredRate) {
  Settings settings = TestSettings();
  settings.list_bytes_per_second = 10000;
  settings.list_burst_bytes = 1000;
  settings.read_timeout = Time(1000);
  Harness harness(settings);
  harness.Snapshot(10, {MakeKeyValue("/p/a", std::string(1000, 'x'), 3)});
  for (ReadId read = 1; read <= 30; ++read) harness.Read(read, Serializable(ListAll()));
  EXPECT_EQ(harness.answers.size(), 1u);
  harness.Read(100, Serializable(Get("/p/a")));
  EXPECT_TRUE(harness.answers.count(100)) << "a read of one key is not rate limited";
  std::size_t bytes = 0;
  ReadId last = 0;
  for (int step = 0; step < 1000; ++step) {
    harness.Advance(Time(1));
    bytes = 0;
    for (const auto& [read, answer] : harness.answers) {
      if (read == 100 || !answer.status.ok()) continue;
      bytes += answer.response.ByteSizeLong();
      last = std::max(last, read);
      EXPECT_TRUE(harness.answers.count(read - 1) || read == 1) << "answered out of order: " << read;
    }
    EXPECT_LE(bytes, 1000 + 10 * static_cast<std::size_t>(step + 1) + 1100) << "after ms " << step + 1;
  }
  EXPECT_GE(last, 9u) << "the configured rate is used";
  EXPECT_EQ(harness.answers.size(), 31u) << "each read is answered or fails";
  EXPECT_EQ(harness.answers[30].status.code, Code::kUnavailable);
  EXPECT_NE(harness.answers[30].status.message.find("lists wait their turn"), std::string::npos);
}

}  // namespace
}  // namespace badgerbridge::watch_cache
