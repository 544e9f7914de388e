// SPDX-License-Identifier: Apache-2.0
//
// Tests of the stand-in etcd with the independent client: watches (service Watch) and compaction.
#include <optional>

#include "independent_client_fixture.h"
#include "independent_watcher.h"

namespace badgerbridge::independent_client {
namespace {

TEST_F(IndependentEtcdClient, Watch_ReceivesPutsAndDeletions) {
  Watcher watcher(client(1), WatchPrefix("w"));
  ASSERT_TRUE(watcher.created().created());
  client().MustPut("v", "not watched");
  client().MustPut("w1", "x");
  const std::optional<pb::Event> put = watcher.NextEvent();
  ASSERT_TRUE(put);
  EXPECT_EQ(put->type(), pb::Event::PUT);
  EXPECT_EQ(put->kv().key(), "w1");
  EXPECT_EQ(put->kv().value(), "x");
  pb::DeleteRangeRequest request;
  request.set_key("w");
  request.set_range_end(PrefixRangeEnd("w"));
  EXPECT_EQ(client().MustDelete(request).deleted(), 1);
  const std::optional<pb::Event> deletion = watcher.NextEvent();
  ASSERT_TRUE(deletion);
  EXPECT_EQ(deletion->type(), pb::Event::DELETE);
  EXPECT_EQ(deletion->kv().key(), "w1");
  watcher.Cancel();
  EXPECT_TRUE(watcher.Read().canceled());
}

TEST_F(IndependentEtcdClient, WatchFromOlderRevision_ReceivesHistory) {
  const std::int64_t first = client().MustPut("w1", "x").header().revision();
  client().MustPut("w1", "y");
  pb::WatchCreateRequest create = WatchPrefix("w");
  create.set_start_revision(first);
  create.set_prev_kv(true);
  Watcher watcher(client(), create);
  const std::optional<pb::Event> older = watcher.NextEvent();
  const std::optional<pb::Event> newer = watcher.NextEvent();
  ASSERT_TRUE(older && newer);
  EXPECT_EQ(older->kv().mod_revision(), first);
  EXPECT_EQ(newer->kv().value(), "y");
  EXPECT_EQ(newer->prev_kv().value(), "x");
}

TEST_F(IndependentEtcdClient, CompactedRevision_IsOutOfRange) {
  const std::int64_t old = client().MustPut("b", "1").header().revision();
  client().MustPut("b", "2");
  const std::int64_t revision = client().MustPut("b", "9").header().revision();
  pb::CompactionRequest compact;
  compact.set_revision(revision);
  pb::CompactionResponse compacted;
  ASSERT_TRUE(client().kv().Compact(NewContext().get(), compact, &compacted).ok());
  EXPECT_EQ(compacted.header().revision(), revision);
  EXPECT_EQ(KeyValuesOf(client().MustRange(KeyRequest("b"))), (KeyValues{{"b", "9"}}));

  pb::RangeRequest request = KeyRequest("b");
  request.set_revision(old);
  pb::RangeResponse response;
  const grpc::Status refused = client().Range(request, &response);
  EXPECT_EQ(refused.error_code(), grpc::StatusCode::OUT_OF_RANGE);
  EXPECT_NE(refused.error_message().find("required revision has been compacted"), std::string::npos)
      << refused.error_message();

  EXPECT_EQ(client().kv().Compact(NewContext().get(), compact, &compacted).error_code(),
            grpc::StatusCode::OUT_OF_RANGE);

  pb::WatchCreateRequest create = WatchPrefix("b");
  create.set_start_revision(old);
  Watcher watcher(client(), create);
  const pb::WatchResponse ended = watcher.Read();
  EXPECT_TRUE(ended.canceled());
  EXPECT_EQ(ended.compact_revision(), revision);
}

}  // namespace
}  // namespace badgerbridge::independent_client
