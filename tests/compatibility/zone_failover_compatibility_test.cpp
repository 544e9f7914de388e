// SPDX-License-Identifier: Apache-2.0
//
/// Zone failover's keys and values in etcd, which members of different versions share: each is read, and
/// written back byte for byte.
#include <gtest/gtest.h>

#include "compatibility/etcd_transaction_text.h"
#include "compatibility/golden_file.h"
#include "proxy_main/zone_failover_calls.h"
#include "zone_failover/decision.h"
#include "zone_failover/keys.h"
#include "zone_failover/load_report.h"

namespace badgerbridge::compatibility {
namespace {

constexpr std::size_t kZones = 5;
constexpr char kPrefix[] = "/badgerbridge/regions/";

constexpr char kReports[] = "zone_failover/load_reports.jsonl";
constexpr char kDecisions[] = "zone_failover/decisions.jsonl";
constexpr char kRoster[] = "zone_failover/roster.json";

/// With a value of its own in each field.
zone_failover::LoadReport ReportWithEveryField() {
  zone_failover::LoadReport report;
  report.epoch = 9007;
  report.zone = 3;
  report.demand = 12.375;
  report.suspects_itself = true;
  for (std::size_t i = 0; i < kZones; ++i) {
    const double base = static_cast<double>(i) * 10;
    zone_failover::ZoneLoad zone;
    zone.attempts = base + 8;
    zone.failures = base + 1;
    zone.served = base + 2.5;
    zone.latency_ratio = base + 1.25;
    zone.latency_ms = base + 30.125;
    zone.utilization = static_cast<double>(i) / 8;
    zone.warm_backends = base + 6;
    report.zones.push_back(zone);
  }
  report.zones.back().utilization = -1;
  return report;
}

/// With a value of its own in each field, and a zone of each state.
zone_failover::Decision DecisionWithEveryField() {
  zone_failover::Decision decision;
  decision.epoch = 41;
  decision.leader = "n7";
  decision.admitted_revision = 5000000001;
  decision.counted_revision = 40;
  decision.readmitted = {{"n3", 5000000002}, {"n4", 5000000003}};
  for (std::size_t i = 0; i < kZones; ++i) {
    const double base = static_cast<double>(i) * 100;
    zone_failover::Decision::Zone zone;
    zone.state = static_cast<zone_failover::ZoneState>(i);
    zone.observed_capacity = base + 1.5;
    zone.limit = base + 2.25;
    zone.served = base + 3.125;
    zone.demand = base + 4.0625;
    zone.members = static_cast<int>(i) + 6;
    zone.lost_members = static_cast<int>(i) + 1;
    zone.reason = "word of n" + std::to_string(i);
    decision.zones.push_back(zone);
  }
  decision.grants = zone_failover::Matrix(kZones);
  decision.grant_ceiling = zone_failover::Matrix(kZones);
  decision.standby = zone_failover::Matrix(kZones);
  decision.grants.at(0, 0) = zone_failover::kUnlimited;
  decision.grants.at(1, 2) = 7.5;
  decision.grant_ceiling.at(0, 0) = zone_failover::kUnlimited;
  decision.grant_ceiling.at(2, 4) = 8.25;
  decision.standby.at(3, 1) = 9.125;
  return decision;
}

std::vector<zone_failover::RosterEntry> RosterWithEveryField() { return {{"n1", 0}, {"n2", 4}}; }

TEST(ZoneFailoverReportCompatibility, ReportWithEveryFieldIsWrittenAsTheGoldenValue) {
  zone_failover::LoadReport sure = ReportWithEveryField();
  sure.suspects_itself = false;
  EXPECT_TRUE(MatchesGoldenFile(
      kReports, JoinLines({zone_failover::Encode(ReportWithEveryField()), zone_failover::Encode(sure)})));
}

TEST(ZoneFailoverReportCompatibility, GoldenReportIsReadIntoEveryFieldAndWrittenBack) {
  zone_failover::LoadReport expected = ReportWithEveryField();
  for (const std::string& value : GoldenLines(kReports)) {
    const auto report = zone_failover::DecodeLoadReport(value, kZones);
    ASSERT_TRUE(report.has_value()) << zone_failover::Message(report.error());
    EXPECT_EQ(*report, expected);
    EXPECT_EQ(zone_failover::Encode(*report), value);
    expected.suspects_itself = false;  // the second line
  }
}

TEST(ZoneFailoverDecisionCompatibility, DecisionWithEveryFieldIsWrittenAsTheGoldenValue) {
  EXPECT_TRUE(MatchesGoldenFile(kDecisions, zone_failover::Encode(DecisionWithEveryField()) + "\n"));
}

TEST(ZoneFailoverDecisionCompatibility, GoldenDecisionIsReadIntoEveryFieldAndWrittenBack) {
  const std::string value = GoldenLines(kDecisions).front();
  const auto decision = zone_failover::DecodeDecision(value, kZones);
  ASSERT_TRUE(decision.has_value()) << zone_failover::Message(decision.error());
  EXPECT_EQ(*decision, DecisionWithEveryField());
  EXPECT_EQ(zone_failover::Encode(*decision), value);
}

TEST(ZoneFailoverDecisionCompatibility, EachZoneStateHasItsWordOnTheWire) {
  std::vector<std::string> words;
  for (std::size_t i = 0; i < kZones; ++i)
    words.push_back(std::to_string(i) + " " +
                    std::string(zone_failover::WireName(static_cast<zone_failover::ZoneState>(i))));
  EXPECT_TRUE(MatchesGoldenFile("zone_failover/zone_states.txt", JoinLines(words)));
}

TEST(ZoneFailoverRosterCompatibility, RosterIsWrittenAsTheGoldenValueAndReadBack) {
  zone_failover::Decision decision = DecisionWithEveryField();
  decision.roster = RosterWithEveryField();
  EXPECT_TRUE(MatchesGoldenFile(kRoster, zone_failover::EncodeRoster(decision) + "\n"));
  const auto roster = zone_failover::DecodeRoster(GoldenLines(kRoster).front(), kZones, decision.epoch);
  ASSERT_TRUE(roster.has_value()) << zone_failover::Message(roster.error());
  EXPECT_EQ(*roster, RosterWithEveryField());
  decision.roster = *roster;
  EXPECT_EQ(zone_failover::EncodeRoster(decision) + "\n", ReadGoldenFile(kRoster));
}

TEST(ZoneFailoverKeysCompatibility, EachCallIsTheGoldenTransaction) {
  zone_failover::Member::Heartbeat heartbeat;
  heartbeat.lease = 77;
  heartbeat.load_report = "REPORT";
  heartbeat.known_revision = 12;
  std::string text = TextOf("heartbeat of a member", proxy_main::ToEtcd(heartbeat, kPrefix, "n1"));
  heartbeat.read_all = true;
  text += TextOf("heartbeat of the leader", proxy_main::ToEtcd(heartbeat, kPrefix, "n1"));
  zone_failover::Member::Campaign campaign;
  campaign.lease = 77;
  text += TextOf("campaign", proxy_main::ToEtcd(campaign, kPrefix, "n1"));
  zone_failover::Member::Propose propose;
  propose.decision = "DECISION";
  propose.roster = "ROSTER";
  propose.leader_create_revision = 14;
  propose.decision_mod_revision = 13;
  text += TextOf("proposal", proxy_main::ToEtcd(propose, kPrefix));
  EXPECT_TRUE(MatchesGoldenFile("zone_failover/transactions.txt", text));
}

TEST(ZoneFailoverKeysCompatibility, KeysBelowThePrefixAreTheGoldenOnes) {
  EXPECT_TRUE(MatchesGoldenFile(
      "zone_failover/keys.txt",
      JoinLines({zone_failover::MemberKey("n1"), zone_failover::kLeaderKey, zone_failover::kDecisionKey,
                 zone_failover::kRosterKey, zone_failover::OrderKey(0), zone_failover::OrderKey(17)})));
}

}  // namespace
}  // namespace badgerbridge::compatibility
