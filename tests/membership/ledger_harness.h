// SPDX-License-Identifier: Apache-2.0

/// @file
/// A ledger of two sources, and reports in short form.
#ifndef BADGERBRIDGE_TESTS_MEMBERSHIP_LEDGER_HARNESS_H_
#define BADGERBRIDGE_TESTS_MEMBERSHIP_LEDGER_HARNESS_H_

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "membership/ledger.h"

namespace badgerbridge::membership::testing {

/// Indices of the sources: etcd is the authority.
constexpr std::size_t kEtcd = 0;
constexpr std::size_t kDiscovery = 1;  ///< The other source.

/// Two sources, each aging after 5 s and stale after 60 s.
inline LedgerSettings TwoSources() {
  LedgerSettings settings;
  settings.sources = {{"etcd", true, Time(5000), Time(60000)}, {"discovery", false, Time(5000), Time(60000)}};
  return settings;
}

/// A member with an address, and else with defaults.
inline Member Make(const std::string& name, MemberState state = MemberState::kReady,
                   double start_time_ms = 0) {
  Member member;
  member.name = name;
  member.address = "127.0.0.1:1";
  member.state = state;
  member.start_time_ms = start_time_ms;
  return member;
}

/// Ready members m0, m1 and so on.
inline std::vector<Member> Numbered(std::size_t count) {
  std::vector<Member> members;
  for (std::size_t i = 0; i < count; ++i) members.push_back(Make("m" + std::to_string(i)));
  return members;
}

/// A ledger, the time, and the changes that the last report made.
class LedgerTest : public ::testing::Test {
 protected:
  /// Applies a report; whether it was accepted.
  bool Apply(const Report& report) {
    const auto applied = ledger.ApplyReport(now, report);
    changes = applied ? *applied : std::vector<Member>();
    return applied.has_value();
  }
  /// Applies a complete list in one report.
  bool ApplyList(std::size_t source, std::uint64_t version, std::vector<Member> members,
                 std::uint64_t epoch = 1, bool linearizable = false) {
    return Apply({source, epoch, version, true, linearizable, std::move(members)});
  }
  /// Applies changes.
  bool ApplyChanges(std::size_t source, std::uint64_t version, std::vector<Member> members,
                    std::uint64_t epoch = 1) {
    return Apply({source, epoch, version, false, false, std::move(members)});
  }
  /// The state of a member in the current view; "gone": it is not there.
  std::string StateOf(const std::string& name) const {
    const auto found = ledger.current_view().find(name);
    const bool is_there = found != ledger.current_view().end();
    return std::string(Name(is_there ? found->second.member->state : MemberState::kGone));
  }
  /// Why a member of the current view has its state.
  std::string DecisionOn(const std::string& name) const {
    return ledger.DescribeDecision(ledger.current_view().at(name));
  }

  Ledger ledger{TwoSources()};
  Time now{1000};
  std::vector<Member> changes;
};

}  // namespace badgerbridge::membership::testing

#endif  // BADGERBRIDGE_TESTS_MEMBERSHIP_LEDGER_HARNESS_H_
