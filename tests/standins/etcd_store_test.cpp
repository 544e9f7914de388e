// SPDX-License-Identifier: Apache-2.0
//
// The stand-in's store does what etcd's published API says; other tests rest on that.
#include "standins/etcd_store.h"

#include <gtest/gtest.h>

#include "standins/etcd_fields.h"

namespace badgerbridge::standins {
namespace {

using etcd::Code;

class EtcdStoreTest : public ::testing::Test {
 protected:
  void Put(const std::string& key, const std::string& value, std::int64_t lease = 0) {
    pb::PutRequest request;
    request.set_key(key);
    request.set_value(value);
    request.set_lease(lease);
    pb::PutResponse response;
    ASSERT_TRUE(store.Put(request, &response).ok());
  }
  static pb::RangeRequest All(const std::string& prefix) {
    pb::RangeRequest request;
    request.set_key(prefix);
    std::string end = prefix;
    ++end.back();
    request.set_range_end(end);
    return request;
  }
  std::string Keys(const pb::RangeRequest& request) {
    response.Clear();
    EXPECT_TRUE(store.Range(request, &response).ok());
    std::string keys;
    for (const auto& kv : response.kvs()) keys += (keys.empty() ? "" : " ") + kv.key();
    return keys;
  }

  EtcdStore store;
  pb::RangeResponse response;
};

TEST_F(EtcdStoreTest, Sort_AppliesToEachTargetBeforeLimit) {
  Put("k/c", "1");  // revision 2
  Put("k/a", "3");  // 3
  Put("k/b", "2");  // 4
  Put("k/c", "4");  // 5: version 2
  pb::RangeRequest request = All("k/");
  EXPECT_EQ(Keys(request), "k/a k/b k/c");
  struct Case {
    pb::RangeRequest::SortTarget target;
    const char* ascending;
    const char* first_descending;
  };
  for (const Case& one : {Case{pb::RangeRequest::KEY, "k/a k/b k/c", "k/c"},
                          Case{pb::RangeRequest::CREATE, "k/c k/a k/b", "k/b"},
                          Case{pb::RangeRequest::MOD, "k/a k/b k/c", "k/c"},
                          Case{pb::RangeRequest::VERSION, "k/a k/b k/c", "k/c"},
                          Case{pb::RangeRequest::VALUE, "k/b k/a k/c", "k/c"}}) {
    request = All("k/");
    request.set_sort_target(one.target);
    EXPECT_EQ(Keys(request), one.ascending) << "a target without an order is ascending";
    request.set_sort_order(pb::RangeRequest::DESCEND);
    request.set_limit(1);  // as an election asks: who comes last
    EXPECT_EQ(Keys(request), one.first_descending) << one.target;
    EXPECT_TRUE(response.more());
    EXPECT_EQ(response.count(), 3);
  }
  request.set_sort_order(static_cast<pb::RangeRequest::SortOrder>(7));
  EXPECT_EQ(store.Range(request, &response).code, Code::kInvalidArgument);
}

TEST_F(EtcdStoreTest, RevisionLimits_SelectKeysAndCountIsOfAll) {
  for (const char* key : {"k/a", "k/b", "k/c"}) Put(key, "v");  // 2, 3, 4
  Put("k/a", "w");                                              // 5
  pb::RangeRequest request = All("k/");
  request.set_min_mod_revision(4);
  EXPECT_EQ(Keys(request), "k/a k/c");
  EXPECT_EQ(response.count(), 3);
  request.set_max_mod_revision(4);
  EXPECT_EQ(Keys(request), "k/c");
  request = All("k/");
  request.set_max_create_revision(3);
  EXPECT_EQ(Keys(request), "k/a k/b");
  request.set_min_create_revision(3);
  EXPECT_EQ(Keys(request), "k/b");
}

TEST_F(EtcdStoreTest, PutThatIgnoresValueOrLease_KeepsThem) {
  pb::LeaseGrantRequest grant;
  grant.set_ttl(10);
  pb::LeaseGrantResponse lease;
  ASSERT_TRUE(store.Grant(EtcdStore::Millis(0), grant, &lease).ok());
  Put("a", "old", lease.id());
  pb::PutRequest request;
  request.set_key("a");
  request.set_value("new");
  request.set_ignore_lease(true);
  pb::PutResponse put;
  ASSERT_TRUE(store.Put(request, &put).ok());
  pb::RangeRequest range;
  range.set_key("a");
  ASSERT_EQ(Keys(range), "a");
  EXPECT_EQ(response.kvs(0).lease(), lease.id());
  EXPECT_EQ(response.kvs(0).value(), "new");
  request.Clear();
  request.set_key("a");
  request.set_ignore_value(true);
  ASSERT_TRUE(store.Put(request, &put).ok());
  ASSERT_EQ(Keys(range), "a");
  EXPECT_EQ(response.kvs(0).value(), "new");
  EXPECT_EQ(response.kvs(0).lease(), 0);
  request.set_value("both");
  EXPECT_EQ(store.Put(request, &put).message, "etcdserver: value is provided");
  request.clear_value();
  request.set_key("absent");
  EXPECT_EQ(store.Put(request, &put).message, "etcdserver: key not found");
}

TEST_F(EtcdStoreTest, Transactions_NestAndReadTheirOwnWritesAtomically) {
  Put("a", "1");
  pb::TxnRequest txn;
  auto* compare = txn.add_compare();  // over a range: each key of it
  compare->set_key("a");
  compare->set_range_end("z");
  compare->set_target(pb::Compare::VERSION);
  compare->set_result(pb::Compare::GREATER);
  compare->set_version(0);
  auto* put = txn.add_success()->mutable_request_put();
  put->set_key("a");
  put->set_value("2");
  put->set_prev_kv(true);
  txn.add_success()->mutable_request_range()->set_key("a");
  auto* inner = txn.add_success()->mutable_request_txn();
  auto* inner_put = inner->add_success()->mutable_request_put();
  inner_put->set_key("b");
  inner_put->set_value("3");
  pb::TxnResponse answer;
  ASSERT_TRUE(store.Txn(txn, &answer).ok());
  EXPECT_TRUE(answer.succeeded());
  EXPECT_EQ(answer.responses(0).response_put().prev_kv().value(), "1");
  EXPECT_EQ(answer.responses(1).response_range().kvs(0).value(), "2");
  EXPECT_TRUE(answer.responses(2).response_txn().succeeded());
  EXPECT_EQ(store.revision(), 3) << "one revision for all of it";
  // A lease that is not there spoils the whole, also in the innermost.
  inner_put->set_lease(77);
  answer.Clear();
  EXPECT_EQ(store.Txn(txn, &answer).code, Code::kNotFound);
  EXPECT_EQ(store.revision(), 3);
  // The same key put twice, or put and deleted, is refused in the branch that is not taken as well.
  txn.Clear();
  txn.add_failure()->mutable_request_put()->set_key("k");
  auto* range = txn.add_failure()->mutable_request_delete_range();
  range->set_key("a");
  range->set_range_end("z");
  EXPECT_EQ(store.Txn(txn, &answer).message, "etcdserver: duplicate key given in txn request");
}

TEST_F(EtcdStoreTest, UnknownField_IsFoundAtAnyDepth) {
  pb::TxnRequest txn;
  auto* inner = txn.add_success()->mutable_request_txn();
  inner->add_failure()->mutable_request_range()->set_key("a");
  const Fields* fields = FieldsOf("/etcdserverpb.KV/Txn");
  ASSERT_NE(fields, nullptr);
  EXPECT_TRUE(OnlyKnown(txn.SerializeAsString(), *fields));
  const std::string unknown("\xa0\x06\x01", 3);  // field 100, a varint
  EXPECT_FALSE(OnlyKnown(txn.SerializeAsString() + unknown, *fields));
  auto* range = inner->mutable_failure(0)->mutable_request_range();
  ASSERT_TRUE(range->ParseFromString(range->SerializeAsString() + unknown));
  EXPECT_FALSE(OnlyKnown(txn.SerializeAsString(), *fields));
  EXPECT_FALSE(OnlyKnown("\x0a\x7f", *fields)) << "a length beyond its end";
  EXPECT_EQ(FieldsOf("/etcdserverpb.KV/Unheard"), nullptr);
}

TEST_F(EtcdStoreTest, TimeToLive_GivesRemainingTimeAndKeys) {
  pb::LeaseGrantRequest grant;
  grant.set_ttl(10);
  grant.set_id(5);
  pb::LeaseGrantResponse lease;
  ASSERT_TRUE(store.Grant(EtcdStore::Millis(0), grant, &lease).ok());
  Put("a", "1", 5);
  pb::LeaseTimeToLiveRequest request;
  request.set_id(5);
  request.set_keys(true);
  pb::LeaseTimeToLiveResponse left;
  store.TimeToLive(EtcdStore::Millis(4000), request, &left);
  EXPECT_EQ(left.ttl(), 6);
  EXPECT_EQ(left.grantedttl(), 10);
  ASSERT_EQ(left.keys_size(), 1);
  EXPECT_EQ(left.keys(0), "a");
  pb::LeaseLeasesResponse all;
  store.Leases(&all);
  ASSERT_EQ(all.leases_size(), 1);
  EXPECT_TRUE(store.Expire(EtcdStore::Millis(10000)));
  left.Clear();
  store.TimeToLive(EtcdStore::Millis(10000), request, &left);
  EXPECT_EQ(left.ttl(), -1);
  grant.set_ttl(9'000'000'001);
  EXPECT_EQ(store.Grant(EtcdStore::Millis(0), grant, &lease).message, "etcdserver: too large lease TTL");
}

}  // namespace
}  // namespace badgerbridge::standins
