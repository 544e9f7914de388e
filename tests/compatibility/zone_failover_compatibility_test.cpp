// SPDX-License-Identifier: Apache-2.0
//
/// Zone failover's keys and values in etcd, which members of different versions share: each is read, and
/// written back byte for byte.
#include <gtest/gtest.h>

#include "app/regions_calls.h"
#include "compatibility/etcd_transaction_text.h"
#include "compatibility/golden_file.h"
#include "regions/decision.h"
#include "regions/evidence.h"
#include "regions/keys.h"

namespace badgerbridge::compatibility {
namespace {

constexpr std::size_t kZones = 5;
constexpr char kPrefix[] = "/badgerbridge/regions/";

constexpr char kReports[] = "zone_failover/load_reports.jsonl";
constexpr char kDecisions[] = "zone_failover/decisions.jsonl";
constexpr char kRoster[] = "zone_failover/roster.json";

/// With a value of its own in each field.
regions::Evidence ReportWithEveryField() {
  regions::Evidence report;
  report.epoch = 9007;
  report.zone = 3;
  report.demand = 12.375;
  report.doubt = true;
  for (std::size_t i = 0; i < kZones; ++i) {
    const double base = static_cast<double>(i) * 10;
    regions::ZoneReport zone;
    zone.attempts = base + 8;
    zone.bad = base + 1;
    zone.served = base + 2.5;
    zone.slow = base + 1.25;
    zone.latency = base + 30.125;
    zone.used = static_cast<double>(i) / 8;
    zone.warm = base + 6;
    report.zones.push_back(zone);
  }
  report.zones.back().used = -1;
  return report;
}

/// With a value of its own in each field, and a zone of each state.
regions::Decision DecisionWithEveryField() {
  regions::Decision decision;
  decision.epoch = 41;
  decision.decider = "n7";
  decision.admitted = 5000000001;
  decision.counted = 40;
  decision.returned = {{"n3", 5000000002}, {"n4", 5000000003}};
  for (std::size_t i = 0; i < kZones; ++i) {
    const double base = static_cast<double>(i) * 100;
    regions::Decision::Zone zone;
    zone.state = static_cast<regions::ZoneState>(i);
    zone.shown = base + 1.5;
    zone.limit = base + 2.25;
    zone.carried = base + 3.125;
    zone.demand = base + 4.0625;
    zone.members = static_cast<int>(i) + 6;
    zone.lost = static_cast<int>(i) + 1;
    zone.why = "word of n" + std::to_string(i);
    decision.zones.push_back(zone);
  }
  decision.grants = regions::Matrix(kZones);
  decision.ceiling = regions::Matrix(kZones);
  decision.standby = regions::Matrix(kZones);
  decision.grants.at(0, 0) = regions::kFree;
  decision.grants.at(1, 2) = 7.5;
  decision.ceiling.at(0, 0) = regions::kFree;
  decision.ceiling.at(2, 4) = 8.25;
  decision.standby.at(3, 1) = 9.125;
  return decision;
}

std::vector<regions::Decision::Counted> RosterWithEveryField() { return {{"n1", 0}, {"n2", 4}}; }

TEST(ZoneFailoverReportCompatibility, ReportWithEveryFieldIsWrittenAsTheGoldenValue) {
  regions::Evidence sure = ReportWithEveryField();
  sure.doubt = false;
  EXPECT_TRUE(MatchesGoldenFile(kReports,
                                JoinLines({regions::Encode(ReportWithEveryField()), regions::Encode(sure)})));
}

TEST(ZoneFailoverReportCompatibility, GoldenReportIsReadIntoEveryFieldAndWrittenBack) {
  regions::Evidence expected = ReportWithEveryField();
  for (const std::string& value : GoldenLines(kReports)) {
    std::string error;
    const auto report = regions::DecodeEvidence(value, kZones, &error);
    ASSERT_TRUE(report) << error;
    EXPECT_EQ(*report, expected);
    EXPECT_EQ(regions::Encode(*report), value);
    expected.doubt = false;  // the second line
  }
}

TEST(ZoneFailoverDecisionCompatibility, DecisionWithEveryFieldIsWrittenAsTheGoldenValue) {
  EXPECT_TRUE(MatchesGoldenFile(kDecisions, regions::Encode(DecisionWithEveryField()) + "\n"));
}

TEST(ZoneFailoverDecisionCompatibility, GoldenDecisionIsReadIntoEveryFieldAndWrittenBack) {
  const std::string value = GoldenLines(kDecisions).front();
  std::string error;
  const auto decision = regions::DecodeDecision(value, kZones, &error);
  ASSERT_TRUE(decision) << error;
  EXPECT_EQ(*decision, DecisionWithEveryField());
  EXPECT_EQ(regions::Encode(*decision), value);
}

TEST(ZoneFailoverDecisionCompatibility, EachZoneStateHasItsWordOnTheWire) {
  std::vector<std::string> words;
  for (std::size_t i = 0; i < kZones; ++i)
    words.push_back(std::to_string(i) + " " + std::string(regions::Name(static_cast<regions::ZoneState>(i))));
  EXPECT_TRUE(MatchesGoldenFile("zone_failover/zone_states.txt", JoinLines(words)));
}

TEST(ZoneFailoverRosterCompatibility, RosterIsWrittenAsTheGoldenValueAndReadBack) {
  regions::Decision decision = DecisionWithEveryField();
  decision.roster = RosterWithEveryField();
  EXPECT_TRUE(MatchesGoldenFile(kRoster, regions::EncodeRoster(decision) + "\n"));
  decision.roster.clear();
  ASSERT_TRUE(regions::DecodeRoster(GoldenLines(kRoster).front(), kZones, &decision));
  EXPECT_EQ(decision.roster, RosterWithEveryField());
  EXPECT_EQ(regions::EncodeRoster(decision) + "\n", ReadGoldenFile(kRoster));
}

TEST(ZoneFailoverKeysCompatibility, EachCallIsTheGoldenTransaction) {
  regions::Member::Heartbeat heartbeat;
  heartbeat.lease = 77;
  heartbeat.value = "REPORT";
  heartbeat.known = 12;
  std::string text = TextOf("heartbeat of a member", app::ToEtcd(heartbeat, kPrefix, "n1"));
  heartbeat.all = true;
  text += TextOf("heartbeat of the leader", app::ToEtcd(heartbeat, kPrefix, "n1"));
  regions::Member::Campaign campaign;
  campaign.lease = 77;
  text += TextOf("campaign", app::ToEtcd(campaign, kPrefix, "n1"));
  regions::Member::Propose propose;
  propose.value = "DECISION";
  propose.roster = "ROSTER";
  propose.decider_created = 14;
  propose.decision_modified = 13;
  text += TextOf("proposal", app::ToEtcd(propose, kPrefix));
  EXPECT_TRUE(MatchesGoldenFile("zone_failover/transactions.txt", text));
}

TEST(ZoneFailoverKeysCompatibility, KeysBelowThePrefixAreTheGoldenOnes) {
  EXPECT_TRUE(
      MatchesGoldenFile("zone_failover/keys.txt",
                        JoinLines({regions::MemberKey("n1"), regions::kDeciderKey, regions::kDecisionKey,
                                   regions::kRosterKey, regions::OrderKey(0), regions::OrderKey(17)})));
}

}  // namespace
}  // namespace badgerbridge::compatibility
