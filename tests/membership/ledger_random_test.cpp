// SPDX-License-Identifier: Apache-2.0
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "membership/ledger.h"
#include "membership/ledger_harness.h"

namespace badgerbridge::membership {
namespace {

using namespace testing;

// Two sources report the same members late, in parts, with outdated versions, and again after interruptions.
// At every step, no member is ready that the authority last reported as draining or gone. When both
// sources have reported everything, the current view equals the actual members.
class LedgerRandomTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(LedgerRandomTest, ViewConvergesAndNeverRevivesADepartedMember) {
  std::mt19937_64 random(GetParam());
  const auto draw_below = [&](std::uint64_t n) { return random() % n; };
  std::uint64_t reports = 0, rejected_reports = 0;
  for (int round = 0; round < 30; ++round) {
    LedgerSettings settings = MakeTwoSourceSettings();
    settings.mass_departure.max_share = 1;  // covered by mass_departure_guard_test.cpp
    Ledger ledger(settings);
    std::map<std::string, Member> actual_members;
    struct Change {
      std::uint64_t version;
      Member member;
    };
    std::vector<Change> history;
    std::uint64_t version = 1;
    std::uint64_t delivered_versions[2] = {0, 0};
    Time now{1000};
    std::map<std::string, Member> view_from_changes;  // the view rebuilt from the changes
    const auto deliver = [&](std::size_t source, const Report& report) {
      const auto changes = ledger.ApplyReport(now, report);
      const bool accepted = changes.has_value();
      ++reports;
      rejected_reports += !accepted;
      std::set<std::string> names;
      for (const Member& member : changes ? *changes : std::vector<Member>()) {
        EXPECT_TRUE(names.insert(member.name).second) << "the member changed twice in one call";
        if (member.state == MemberState::kGone) {
          EXPECT_EQ(view_from_changes.erase(member.name), 1u);
        } else {
          view_from_changes[member.name] = member;
        }
      }
      if (accepted) delivered_versions[source] = report.version;
    };
    const auto deliver_complete_list = [&](std::size_t source) {
      Report report{source, 1, version, true, true, {}};
      for (const auto& [name, member] : actual_members) report.members.push_back(member);
      deliver(source, report);
    };
    deliver_complete_list(0);
    deliver_complete_list(1);
    for (int step = 0; step < 1500; ++step) {
      now += Time(draw_below(50));
      const std::uint64_t choice = draw_below(10);
      if (choice < 4) {
        const std::string name = "m" + std::to_string(draw_below(40));
        Member member = MakeMember(name);
        const auto existing = actual_members.find(name);
        if (existing != actual_members.end()) {
          member = existing->second;
          member.state = draw_below(3) == 0 ? MemberState::kGone
                         : draw_below(2)    ? MemberState::kDraining
                                            : MemberState::kReady;
        }
        if (existing == actual_members.end() || draw_below(8) == 0)
          member.start_time_ms = static_cast<double>(++version);
        ++version;
        history.push_back({version, member});
        if (member.state == MemberState::kGone) {
          actual_members.erase(name);
        } else {
          actual_members[name] = member;
        }
      } else if (choice < 8) {
        const std::size_t source = draw_below(2);
        Report report{source, 1, delivered_versions[source], false, false, {}};
        std::map<std::string, Member> newest_changes;
        const std::uint64_t end_version = delivered_versions[source] + 1 + draw_below(20);
        for (const Change& change : history) {
          if (change.version <= delivered_versions[source] || change.version > end_version) continue;
          newest_changes[change.member.name] = change.member;
          report.version = change.version;
        }
        for (const auto& [name, member] : newest_changes) report.members.push_back(member);
        if (!report.members.empty()) deliver(source, report);
      } else if (choice == 8 && draw_below(4) == 0) {
        deliver_complete_list(draw_below(2));  // as after a reconnect
      } else if (choice == 9 && draw_below(4) == 0 && !history.empty()) {
        // An outdated list, as from a lagging member of the etcd cluster.
        Report outdated_list{0, 1, history[draw_below(history.size())].version, true, false, {}};
        std::map<std::string, Member> members_at_version;
        for (const Change& change : history) {
          if (change.version <= outdated_list.version) members_at_version[change.member.name] = change.member;
        }
        for (const auto& [name, member] : members_at_version) {
          if (member.state != MemberState::kGone) outdated_list.members.push_back(member);
        }
        if (outdated_list.version < ledger.version(0)) deliver(0, outdated_list);
      }
      ASSERT_EQ(view_from_changes.size(), ledger.current_view().size());
      for (const auto& [key, entry] : ledger.current_view()) {
        const std::string name(key);
        ASSERT_EQ(view_from_changes.at(name), *entry.member);
        if (entry.member->state != MemberState::kReady) continue;
        const Member* by_authority = ledger.FindReported(0, name);
        ASSERT_TRUE(by_authority && by_authority->state == MemberState::kReady)
            << "ready although the authority does not report it as ready";
        const Member* by_other = ledger.FindReported(1, name);
        ASSERT_TRUE(!by_other || by_other->state == MemberState::kReady ||
                    by_other->start_time_ms < entry.member->start_time_ms)
            << "ready although the other source reports a drain or departure";
      }
    }
    deliver_complete_list(0);
    deliver_complete_list(1);
    ASSERT_EQ(ledger.current_view().size(), actual_members.size());
    for (const auto& [name, member] : actual_members)
      EXPECT_EQ(*ledger.current_view().at(name).member, member);
  }
  EXPECT_GT(reports, 10000u);
  EXPECT_GT(rejected_reports, 100u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LedgerRandomTest, ::testing::Values(1, 2, 3, 4));

}  // namespace
}  // namespace badgerbridge::membership
