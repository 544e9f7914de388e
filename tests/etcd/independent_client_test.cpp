// SPDX-License-Identifier: Apache-2.0
//
// Tests of the stand-in etcd with the independent client: keys, ranges and transactions (service KV), members
// and errors.
#include "independent_client_fixture.h"

namespace badgerbridge::independent_client {
namespace {

TEST_F(IndependentEtcdClient, Puts_GiveRevisionsInOrder) {
  const std::int64_t first = client().MustPut("a", "1").header().revision();
  EXPECT_EQ(client().MustPut("b", "3").header().revision(), first + 1);
  EXPECT_EQ(client().MustPut("c", "2").header().revision(), first + 2);
}

TEST_F(IndependentEtcdClient, Range_ExcludesItsEnd) {
  PutThree();
  pb::RangeRequest request = KeyRequest("a");
  request.set_range_end("c");
  const pb::RangeResponse response = client().MustRange(request);
  EXPECT_EQ(KeyValuesOf(response), (KeyValues{{"a", "1"}, {"b", "3"}}));
  EXPECT_EQ(response.count(), 2);
  EXPECT_FALSE(response.more());
}

TEST_F(IndependentEtcdClient, SortByValue_AppliesBeforeLimit) {
  PutThree();
  const pb::RangeResponse response =
      client().MustRange(SortedRequest(pb::RangeRequest::VALUE, pb::RangeRequest::DESCEND, 2));
  EXPECT_EQ(KeyValuesOf(response), (KeyValues{{"b", "3"}, {"c", "2"}}));
  EXPECT_EQ(response.count(), 3);
  EXPECT_TRUE(response.more());
}

TEST_F(IndependentEtcdClient, SortByRevisionCreationOrVersion_OrdersKeys) {
  PutThree();
  client().MustPut("a", "0");
  pb::RangeRequest by_revision = SortedRequest(pb::RangeRequest::MOD, pb::RangeRequest::ASCEND);
  by_revision.set_keys_only(true);
  EXPECT_EQ(KeyValuesOf(client().MustRange(by_revision)), (KeyValues{{"b", ""}, {"c", ""}, {"a", ""}}));
  EXPECT_EQ(KeysOf(client().MustRange(SortedRequest(pb::RangeRequest::CREATE, pb::RangeRequest::ASCEND))),
            (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(
      KeysOf(client().MustRange(SortedRequest(pb::RangeRequest::VERSION, pb::RangeRequest::DESCEND, 1))),
      (std::vector<std::string>{"a"}));
  EXPECT_EQ(KeysOf(client().MustRange(SortedRequest(pb::RangeRequest::KEY, pb::RangeRequest::DESCEND))),
            (std::vector<std::string>{"c", "b", "a"}));
}

TEST_F(IndependentEtcdClient, OlderRevision_IsReadAsItWas) {
  const std::int64_t old = client().MustPut("a", "1").header().revision();
  client().MustPut("a", "0");
  pb::RangeRequest request = KeyRequest("a");
  request.set_revision(old);
  EXPECT_EQ(KeyValuesOf(client().MustRange(request)), (KeyValues{{"a", "1"}}));
  EXPECT_EQ(KeyValuesOf(client().MustRange(KeyRequest("a"))), (KeyValues{{"a", "0"}}));
}

TEST_F(IndependentEtcdClient, Deletion_ReturnsPreviousValues) {
  client().MustPut("a", "0");
  pb::DeleteRangeRequest request;
  request.set_key("a");
  request.set_prev_kv(true);
  const pb::DeleteRangeResponse response = client().MustDelete(request);
  EXPECT_EQ(response.deleted(), 1);
  ASSERT_EQ(response.prev_kvs_size(), 1);
  EXPECT_EQ(response.prev_kvs(0).key(), "a");
  EXPECT_EQ(response.prev_kvs(0).value(), "0");
  EXPECT_EQ(client().MustRange(KeyRequest("a")).count(), 0);
}

TEST_F(IndependentEtcdClient, TransactionWithTrueComparison_RunsSuccessBranch) {
  client().MustPut("b", "3");
  pb::TxnRequest txn;
  pb::Compare* compare = txn.add_compare();
  compare->set_key("b");
  compare->set_target(pb::Compare::MOD);
  compare->set_result(pb::Compare::GREATER);
  compare->set_mod_revision(0);
  pb::PutRequest* put = txn.add_success()->mutable_request_put();
  put->set_key("b");
  put->set_value("9");
  *txn.add_success()->mutable_request_range() = KeyRequest("b");
  pb::PutRequest* other = txn.add_failure()->mutable_request_put();
  other->set_key("z");
  other->set_value("1");
  const pb::TxnResponse response = client().MustTxn(txn);
  EXPECT_TRUE(response.succeeded());
  ASSERT_EQ(response.responses_size(), 2);
  EXPECT_TRUE(response.responses(0).has_response_put());
  EXPECT_EQ(KeyValuesOf(response.responses(1).response_range()), (KeyValues{{"b", "9"}}));
  EXPECT_EQ(client().MustRange(KeyRequest("z")).count(), 0);
}

TEST_F(IndependentEtcdClient, TransactionWithFalseComparison_RunsFailureBranch) {
  client().MustPut("b", "9");
  pb::TxnRequest txn;
  pb::Compare* compare = txn.add_compare();
  compare->set_key("b");
  compare->set_target(pb::Compare::VALUE);
  compare->set_result(pb::Compare::EQUAL);
  compare->set_value("3");
  pb::PutRequest* put = txn.add_success()->mutable_request_put();
  put->set_key("b");
  put->set_value("1");
  pb::PutRequest* other = txn.add_failure()->mutable_request_put();
  other->set_key("z");
  other->set_value("1");
  const pb::TxnResponse response = client().MustTxn(txn);
  EXPECT_FALSE(response.succeeded());
  ASSERT_EQ(response.responses_size(), 1);
  EXPECT_TRUE(response.responses(0).has_response_put());
  EXPECT_EQ(KeyValuesOf(client().MustRange(KeyRequest("b"))), (KeyValues{{"b", "9"}}));
  EXPECT_EQ(KeyValuesOf(client().MustRange(KeyRequest("z"))), (KeyValues{{"z", "1"}}));
}

TEST_F(IndependentEtcdClient, MemberList_HasAllMembers) {
  pb::MemberListResponse list;
  ASSERT_TRUE(client().cluster().MemberList(NewContext().get(), {}, &list).ok());
  ASSERT_EQ(list.members_size(), static_cast<int>(kMembers));
  for (std::size_t i = 0; i < kMembers; ++i) {
    const pb::Member& member = list.members(static_cast<int>(i));
    ASSERT_EQ(member.clienturls_size(), 1);
    EXPECT_EQ(member.clienturls(0), "http://" + standin_.addresses()[i]);
  }
}

// Checks health like etcdctl: a linearizable read of the key "health" at each member.
TEST_F(IndependentEtcdClient, Status_IsReturnedByEachMember) {
  const std::int64_t written = client().MustPut("a", "1").header().revision();
  for (std::size_t member = 0; member < kMembers; ++member) {
    pb::RangeResponse health;
    const grpc::Status status = client(member).Range(KeyRequest("health"), &health);
    EXPECT_TRUE(status.ok()) << member << ": " << status.error_message();
    EXPECT_EQ(health.header().revision(), written) << member;
    EXPECT_EQ(KeyValuesOf(client(member).MustRange(KeyRequest("a"))), (KeyValues{{"a", "1"}})) << member;
    pb::StatusResponse answer;
    ASSERT_TRUE(client(member).maintenance().Status(NewContext().get(), {}, &answer).ok()) << member;
    EXPECT_EQ(answer.version(), "3.5.0");
    EXPECT_NE(answer.leader(), 0u);
    EXPECT_EQ(answer.header().member_id(), member + 1);
  }
}

TEST_F(IndependentEtcdClient, UnknownMethod_IsUnimplemented) {
  pb::AlarmResponse response;
  const grpc::Status status = client().maintenance().Alarm(NewContext().get(), {}, &response);
  EXPECT_FALSE(status.ok());
  EXPECT_EQ(status.error_code(), grpc::StatusCode::UNIMPLEMENTED) << status.error_message();
}

TEST_F(IndependentEtcdClient, InvalidRequests_GetEtcdsCodes) {
  pb::RangeResponse range;
  EXPECT_EQ(client().Range({}, &range).error_code(), grpc::StatusCode::INVALID_ARGUMENT);
  pb::RangeRequest future = KeyRequest("a");
  future.set_revision(1000);
  const grpc::Status refused = client().Range(future, &range);
  EXPECT_EQ(refused.error_code(), grpc::StatusCode::OUT_OF_RANGE);
  EXPECT_NE(refused.error_message().find("required revision is a future revision"), std::string::npos)
      << refused.error_message();

  pb::PutRequest unbound;
  unbound.set_key("a");
  unbound.set_lease(123456);
  pb::PutResponse put;
  EXPECT_EQ(client().Put(unbound, &put).error_code(), grpc::StatusCode::NOT_FOUND);

  pb::LeaseRevokeRequest revoke;
  revoke.set_id(123456);
  pb::LeaseRevokeResponse revoked;
  EXPECT_EQ(client().lease().LeaseRevoke(NewContext().get(), revoke, &revoked).error_code(),
            grpc::StatusCode::NOT_FOUND);

  pb::AuthenticateRequest authenticate;
  authenticate.set_name("root");
  authenticate.set_password("secret");
  pb::AuthenticateResponse token;
  EXPECT_EQ(client().auth().Authenticate(NewContext().get(), authenticate, &token).error_code(),
            grpc::StatusCode::FAILED_PRECONDITION);
}

}  // namespace
}  // namespace badgerbridge::independent_client
