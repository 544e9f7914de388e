// SPDX-License-Identifier: Apache-2.0

/// @file
/// Fixture with a ledger of two sources, and helpers that build members and reports.
#ifndef BADGERBRIDGE_TESTS_MEMBERSHIP_LEDGER_HARNESS_H_
#define BADGERBRIDGE_TESTS_MEMBERSHIP_LEDGER_HARNESS_H_

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "membership/ledger.h"

namespace badgerbridge::membership::testing {

/// The index of etcd, which is the authority.
constexpr std::size_t kEtcd = 0;
constexpr std::size_t kDiscovery = 1;  ///< The index of service discovery.

/// Settings of two sources, each aging after 5 s and stale after 60 s.
inline LedgerSettings MakeTwoSourceSettings() {
  LedgerSettings settings;
  settings.sources = {{"etcd", true, Time(5000), Time(60000)}, {"discovery", false, Time(5000), Time(60000)}};
  return settings;
}

/// A member with an address, and defaults for the other fields.
inline Member MakeMember(const std::string& name, MemberState state = MemberState::kReady,
                         double start_time_ms = 0) {
  Member member;
  member.name = name;
  member.address = "127.0.0.1:1";
  member.state = state;
  member.start_time_ms = start_time_ms;
  return member;
}

/// The ready members m0, m1, ... in this order.
inline std::vector<Member> MakeNumberedMembers(std::size_t count) {
  std::vector<Member> members;
  for (std::size_t i = 0; i < count; ++i) members.push_back(MakeMember("m" + std::to_string(i)));
  return members;
}

/// A ledger, the current time, and the changes made by the last report.
class LedgerTest : public ::testing::Test {
 protected:
  /// Applies a report. Returns whether it was accepted.
  bool Apply(const Report& report) {
    const auto applied = ledger.ApplyReport(now, report);
    changes = applied ? *applied : std::vector<Member>();
    return applied.has_value();
  }
  /// Applies a complete list in one report. Returns whether it was accepted.
  bool ApplyList(std::size_t source, std::uint64_t version, std::vector<Member> members,
                 std::uint64_t epoch = 1, bool linearizable = false) {
    return Apply({source, epoch, version, true, linearizable, std::move(members)});
  }
  /// Applies changes. Returns whether they were accepted.
  bool ApplyChanges(std::size_t source, std::uint64_t version, std::vector<Member> members,
                    std::uint64_t epoch = 1) {
    return Apply({source, epoch, version, false, false, std::move(members)});
  }
  /// The state of a member in the current view; "gone" if it is absent.
  std::string StateOf(const std::string& name) const {
    const auto found = ledger.current_view().find(name);
    const bool is_present = found != ledger.current_view().end();
    return std::string(Name(is_present ? found->second.member->state : MemberState::kGone));
  }
  /// Why a member of the current view has its state.
  std::string DecisionOn(const std::string& name) const {
    return ledger.DescribeDecision(ledger.current_view().at(name));
  }

  Ledger ledger{MakeTwoSourceSettings()};
  Time now{1000};
  std::vector<Member> changes;
};

}  // namespace badgerbridge::membership::testing

#endif  // BADGERBRIDGE_TESTS_MEMBERSHIP_LEDGER_HARNESS_H_
