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

// Two sources that report the same members, late, in parts, after breaks, and stale. Whatever they do, no
// member is ready that the authority last reported as draining or gone; and once both have reported all, the
// current view equals the members.
class LedgerRandomTest : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(LedgerRandomTest, RandomReportsEndEqualToTheSourcesAndReviveNoDepartedMember) {
  std::mt19937_64 random(GetParam());
  const auto below = [&](std::uint64_t n) { return random() % n; };
  std::uint64_t reports = 0, rejected = 0;
  for (int round = 0; round < 30; ++round) {
    LedgerSettings settings = TwoSources();
    settings.mass_departure.max_share = 1;  // mass_departure_guard_test.cpp has that
    Ledger ledger(settings);
    std::map<std::string, Member> world;
    struct Change {
      std::uint64_t version;
      Member member;
    };
    std::vector<Change> history;
    std::uint64_t version = 1;
    std::uint64_t seen[2] = {0, 0};
    Time now{1000};
    std::map<std::string, Member> applied;  // what the changes add up to
    const auto deliver = [&](std::size_t source, const Report& report) {
      const auto changes = ledger.ApplyReport(now, report);
      const bool accepted = changes.has_value();
      ++reports;
      rejected += !accepted;
      std::set<std::string> names;
      for (const Member& member : changes ? *changes : std::vector<Member>()) {
        EXPECT_TRUE(names.insert(member.name).second) << "twice in one call";
        if (member.state == MemberState::kGone) {
          EXPECT_EQ(applied.erase(member.name), 1u);
        } else {
          applied[member.name] = member;
        }
      }
      if (accepted) seen[source] = report.version;
    };
    const auto whole = [&](std::size_t source) {
      Report report{source, 1, version, true, true, {}};
      for (const auto& [name, member] : world) report.members.push_back(member);
      deliver(source, report);
    };
    whole(0);
    whole(1);
    for (int step = 0; step < 1500; ++step) {
      now += Time(below(50));
      const std::uint64_t kind = below(10);
      if (kind < 4) {
        const std::string name = "m" + std::to_string(below(40));
        Member member = Make(name);
        const auto known = world.find(name);
        if (known != world.end()) {
          member = known->second;
          member.state = below(3) == 0 ? MemberState::kGone
                         : below(2)    ? MemberState::kDraining
                                       : MemberState::kReady;
        }
        if (known == world.end() || below(8) == 0) member.start_time_ms = static_cast<double>(++version);
        ++version;
        history.push_back({version, member});
        if (member.state == MemberState::kGone) {
          world.erase(name);
        } else {
          world[name] = member;
        }
      } else if (kind < 8) {
        const std::size_t source = below(2);
        Report report{source, 1, seen[source], false, false, {}};
        std::map<std::string, Member> last;
        const std::uint64_t until = seen[source] + 1 + below(20);
        for (const Change& change : history) {
          if (change.version <= seen[source] || change.version > until) continue;
          last[change.member.name] = change.member;
          report.version = change.version;
        }
        for (const auto& [name, member] : last) report.members.push_back(member);
        if (!report.members.empty()) deliver(source, report);
      } else if (kind == 8 && below(4) == 0) {
        whole(below(2));  // after a break
      } else if (kind == 9 && below(4) == 0 && !history.empty()) {
        // From a member of the cluster that lags.
        Report old{0, 1, history[below(history.size())].version, true, false, {}};
        std::map<std::string, Member> then;
        for (const Change& change : history) {
          if (change.version <= old.version) then[change.member.name] = change.member;
        }
        for (const auto& [name, member] : then) {
          if (member.state != MemberState::kGone) old.members.push_back(member);
        }
        if (old.version < ledger.version(0)) deliver(0, old);
      }
      ASSERT_EQ(applied.size(), ledger.current_view().size());
      for (const auto& [key, entry] : ledger.current_view()) {
        const std::string name(key);
        ASSERT_EQ(applied.at(name), *entry.member);
        if (entry.member->state != MemberState::kReady) continue;
        const Member* by_authority = ledger.FindReported(0, name);
        ASSERT_TRUE(by_authority && by_authority->state == MemberState::kReady)
            << "ready without the authority";
        const Member* by_other = ledger.FindReported(1, name);
        ASSERT_TRUE(!by_other || by_other->state == MemberState::kReady ||
                    by_other->start_time_ms < entry.member->start_time_ms)
            << "ready against a reported drain or departure";
      }
    }
    whole(0);
    whole(1);
    ASSERT_EQ(ledger.current_view().size(), world.size());
    for (const auto& [name, member] : world) EXPECT_EQ(*ledger.current_view().at(name).member, member);
  }
  EXPECT_GT(reports, 10000u);
  EXPECT_GT(rejected, 100u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LedgerRandomTest, ::testing::Values(1, 2, 3, 4));

}  // namespace
}  // namespace badgerbridge::membership
