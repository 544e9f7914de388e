// SPDX-License-Identifier: Apache-2.0
//
// The codecs of decisions and rosters.
#include "zone_failover/decision.h"

#include <gtest/gtest.h>

#include <string>

namespace badgerbridge::zone_failover {
namespace {

TEST(Decision, EncodedDecisionIsDecodedUnchangedAndMalformedTextIsAnError) {
  Decision decision;
  decision.epoch = 12;
  decision.leader = "n1";
  decision.admitted_revision = 5;
  decision.counted_revision = 9;
  decision.zones = {{ZoneState::kDegraded, 10, 4, 3.5, 5, 3, 1, "slow"}, {}};
  decision.grants = decision.grant_ceiling = decision.standby = Matrix(2);
  decision.grants.at(0, 0) = kUnlimited;
  decision.grants.at(0, 1) = 1.5;
  const auto read = DecodeDecision(Encode(decision), 2);
  ASSERT_TRUE(read.has_value()) << Message(read.error());
  EXPECT_EQ(*read, decision);
  EXPECT_FALSE(DecodeDecision(Encode(decision), 3).has_value());
  EXPECT_FALSE(DecodeDecision("{\"v\":1}", 2).has_value());
  std::string bad_receiver = Encode(decision);
  bad_receiver.replace(bad_receiver.find("\"grants\":[0,0,"), 14, "\"grants\":[0,7,");
  EXPECT_FALSE(DecodeDecision(bad_receiver, 2).has_value());
}

TEST(Decision, RosterIsStoredSeparatelyAndDecodedOnlyForItsEpoch) {
  Decision decision;
  decision.epoch = 12;
  decision.zones.resize(2);
  decision.grants = decision.grant_ceiling = decision.standby = Matrix(2);
  decision.readmitted = {{"n7", 31}};
  decision.roster = {{"n1", 0}, {"n7", 1}};
  auto read = DecodeDecision(Encode(decision), 2);
  ASSERT_TRUE(read.has_value()) << Message(read.error());
  EXPECT_EQ(read->readmitted, decision.readmitted);
  EXPECT_TRUE(read->roster.empty());
  const auto roster = DecodeRoster(EncodeRoster(decision), 2, read->epoch);
  ASSERT_TRUE(roster.has_value()) << Message(roster.error());
  read->roster = *roster;
  EXPECT_EQ(*read, decision);
  EXPECT_FALSE(DecodeRoster(EncodeRoster(decision), 2, 13).has_value());  // another epoch
  EXPECT_FALSE(DecodeRoster(EncodeRoster(decision), 1, 12).has_value());  // unknown zone
  for (const char* text : {"", "{}", "[]", R"({"epoch":12})", R"({"epoch":12,"members":[["n1"]]})",
                           R"({"epoch":12,"members":[["n1",-1]]})", R"({"epoch":12,"members":[[1,1]]})"})
    EXPECT_FALSE(DecodeRoster(text, 2, 12).has_value()) << text;
  std::string bad = Encode(decision);
  bad.replace(bad.find("[\"n7\",31]"), 9, "[\"n7\",\"\"]");
  EXPECT_FALSE(DecodeDecision(bad, 2).has_value());
}

}  // namespace
}  // namespace badgerbridge::zone_failover
