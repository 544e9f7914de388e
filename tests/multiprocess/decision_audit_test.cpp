// SPDX-License-Identifier: Apache-2.0
//
// The audit of zone failover's decisions, with each violation planted.
#include "multiprocess/decision_audit.h"

#include <gtest/gtest.h>

namespace badgerbridge::multiprocess {
namespace {

class DecisionAuditTest : public ::testing::Test {
 protected:
  void Put(const std::string& key, const std::string& value) {
    etcdserverpb::PutRequest request;
    request.set_key("/r/" + key);
    request.set_value(value);
    etcdserverpb::PutResponse response;
    ASSERT_TRUE(store_.Put(request, &response).ok());
  }

  void PutDecision(int epoch, const std::string& leader) {
    Put("decision", "{\"epoch\":" + std::to_string(epoch) + ",\"decider\":\"" + leader + "\"}");
  }

  DecisionAudit Audit() const { return AuditDecisions(store_, "/r/"); }

  standins::EtcdStore store_;
};

TEST_F(DecisionAuditTest, DecisionsOfTheCurrentLeaderInOrderPass) {
  EXPECT_EQ(Audit().decisions, 0u);
  Put("decider", "n1");
  PutDecision(1, "n1");
  PutDecision(2, "n1");
  Put("decider", "n2");
  PutDecision(5, "n2");
  const DecisionAudit audit = Audit();
  EXPECT_EQ(audit.decisions, 3u);
  EXPECT_EQ(audit.out_of_order + audit.unfenced, 0u);
  EXPECT_EQ(FindLeaderIn(store_, "/r/"), "n2");
}

TEST_F(DecisionAuditTest, DecisionsOfAFormerLeaderOrAnOlderEpochAreFound) {
  Put("decider", "n1");
  PutDecision(1, "n1");
  Put("decider", "n2");
  PutDecision(2, "n1");  // its term is over
  EXPECT_EQ(Audit().unfenced, 1u);
  PutDecision(2, "n2");  // no higher than the one before
  EXPECT_EQ(Audit().out_of_order, 1u);
  Put("decision", "nonsense");
  const DecisionAudit audit = Audit();
  EXPECT_EQ(audit.decisions, 4u);
  EXPECT_EQ(audit.out_of_order, 2u);
  EXPECT_EQ(audit.unfenced, 2u);
}

}  // namespace
}  // namespace badgerbridge::multiprocess
