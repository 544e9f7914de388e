// SPDX-License-Identifier: Apache-2.0
//
// A member's calls converted to etcd requests and executed by the store of the stand-in etcd.
#include "proxy_main/zone_failover_calls.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "standins/etcd.h"

namespace badgerbridge::proxy_main {
namespace {

namespace pb = etcdserverpb;
using zone_failover::Member;

const std::string kPrefix = "/badgerbridge/regions/";

/// An etcd store with a lease, and the calls of a member.
class EtcdCallsTest : public ::testing::Test {
 protected:
  void SetUp() override {
    pb::LeaseGrantResponse granted;
    const auto status = store.Grant(std::chrono::milliseconds(0), ToEtcd(Member::GrantLease{3}), &granted);
    lease = FromEtcd(status, granted);
    ASSERT_TRUE(lease.ok);
  }
  Member::Reply Send(const pb::TxnRequest& request) {
    pb::TxnResponse response;
    const auto status = store.Txn(request, &response);
    response.mutable_header()->set_revision(store.revision());  // the store leaves this to the server
    return FromEtcd(status, response, kPrefix);
  }
  /// Sends a heartbeat of the member n1.
  Member::Reply SendHeartbeat(bool read_all, std::int64_t known_revision = 0) {
    return Send(ToEtcd(Member::Heartbeat{lease.lease, "word", read_all, known_revision}, kPrefix, "n1"));
  }
  Member::Reply SendCampaign(const std::string& name) {
    return Send(ToEtcd(Member::Campaign{lease.lease}, kPrefix, name));
  }
  /// Writes a decision if both revisions match.
  Member::Reply SendProposal(const std::string& decision, std::int64_t leader_create_revision,
                             std::int64_t decision_mod_revision) {
    return Send(
        ToEtcd(Member::Propose{decision, "r", leader_create_revision, decision_mod_revision}, kPrefix));
  }

  standins::EtcdStore store;
  Member::Reply lease;
};

TEST_F(EtcdCallsTest, HeartbeatPutsTheLoadReportAndReadsTheKeysUnderThePrefix) {
  pb::PutRequest outside_prefix;
  outside_prefix.set_key("/badgerbridge/regionsX");
  pb::PutResponse ignored;
  store.Put(outside_prefix, &ignored);
  const Member::Reply reply = SendHeartbeat(true);
  ASSERT_TRUE(reply.ok);
  ASSERT_EQ(reply.kvs.size(), 1u);
  EXPECT_EQ(reply.kvs[0].key, "members/n1");
  EXPECT_EQ(reply.kvs[0].lease, lease.lease);
  EXPECT_EQ(reply.kvs[0].create_revision, reply.revision);
}

TEST_F(EtcdCallsTest, HeartbeatUnderAnUnknownLeaseFailsAndReportsIt) {
  const Member::Reply reply = Send(ToEtcd(Member::Heartbeat{lease.lease + 1, "word", false}, kPrefix, "n1"));
  EXPECT_FALSE(reply.ok);
  EXPECT_TRUE(reply.lease_gone);
}

TEST_F(EtcdCallsTest, OnlyOneMemberBecomesLeader) {
  const Member::Reply campaign = SendCampaign("n1");
  EXPECT_TRUE(campaign.ok && campaign.condition_held);
  EXPECT_FALSE(SendCampaign("n2").condition_held);
}

TEST_F(EtcdCallsTest, DecisionIsWrittenOnlyByTheCurrentLeaderAndIfTheDecisionIsUnchanged) {
  const Member::Reply campaign = SendCampaign("n1");
  EXPECT_FALSE(SendProposal("d", campaign.revision + 7, 0).condition_held);
  EXPECT_FALSE(SendProposal("d", campaign.revision, 5).condition_held);
  EXPECT_TRUE(SendProposal("d", campaign.revision, 0).condition_held);
  EXPECT_FALSE(SendProposal("e", campaign.revision, 0).condition_held);
}

TEST_F(EtcdCallsTest, HeartbeatReadsDecisionAndLeaderAndTheRosterOnlyIfItReadsAll) {
  const Member::Reply campaign = SendCampaign("n1");
  SendProposal("d", campaign.revision, 0);
  EXPECT_EQ(SendHeartbeat(false).kvs.size(), 3u);  // its own key, the decision, the leader
  EXPECT_EQ(SendHeartbeat(true).kvs.size(), 4u);   // and the roster
}

TEST_F(EtcdCallsTest, DecisionOfTheKnownRevisionIsReadWithoutItsValue) {
  const Member::Reply campaign = SendCampaign("n1");
  const Member::Reply written = SendProposal("d", campaign.revision, 0);
  const auto value_with = [&](std::int64_t known_revision) {
    const Member::Reply reply = SendHeartbeat(false, known_revision);
    for (const zone_failover::KeyValue& kv : reply.kvs) {
      if (kv.key == "decision") return std::to_string(kv.mod_revision == written.revision) + kv.value;
    }
    return std::string("none");
  };
  EXPECT_EQ(value_with(0), "1d");
  EXPECT_EQ(value_with(written.revision - 1), "1d");
  EXPECT_EQ(value_with(written.revision), "1");
  EXPECT_EQ(value_with(written.revision + 100), "1d");  // etcd was restored from a backup
}

TEST_F(EtcdCallsTest, LeaseWithZeroTtlIsReportedAsGone) {
  pb::LeaseKeepAliveResponse kept;
  kept.set_id(lease.lease);
  kept.set_ttl(3);
  EXPECT_TRUE(FromEtcd(etcd::Status{}, kept).ok);
  kept.set_ttl(0);
  EXPECT_TRUE(FromEtcd(etcd::Status{}, kept).lease_gone);
}

}  // namespace
}  // namespace badgerbridge::proxy_main
