// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/admission.h"

#include <algorithm>

namespace badgerbridge::zone_failover {
namespace {

constexpr Duration kInstallationStartup{1500};
constexpr Duration kMaxAdmissionDelay{1000};

bool IsReadmitted(const Decision& decision, const MemberIncarnation& incarnation) {
  const auto& readmitted = decision.readmitted;
  return std::find(readmitted.begin(), readmitted.end(), incarnation) != readmitted.end();
}

}  // namespace

bool Admission::HasUncountedMembers(const Snapshot& snapshot, const Decision& previous) {
  if (!snapshot.decision) return true;
  return std::any_of(snapshot.reports.begin(), snapshot.reports.end(), [&](const MemberReport& report) {
    return report.create_revision > previous.counted_revision;
  });
}

void Admission::Update(TimePoint now, const Snapshot& snapshot, std::uint64_t oldest_epoch,
                       const MemberTracker& members, const Decision& previous, Decision* next) {
  // While an installation starts, members that have not registered yet already send to their own zones, but
  // the measured demand does not include them.
  if (first_update_at_ == TimePoint{}) first_update_at_ = now;
  const bool starting = previous.admitted_revision == 0 && now - first_update_at_ < kInstallationStartup;
  if (snapshot.decision && counted_epoch_ <= oldest_epoch && !starting)
    next->admitted_revision = previous.counted_revision;
  if (HasUncountedMembers(snapshot, previous)) next->counted_revision = snapshot.revision;
  next->readmitted.clear();
  for (const MemberReport& report : snapshot.reports) {
    if (report.create_revision <= next->admitted_revision) continue;
    if (IsReadmitted(previous, report.incarnation()) || members.InheritsShare(report))
      next->readmitted.push_back(report.incarnation());
  }
}

bool Admission::AdmitsMore(const Decision& previous, const Decision& next) {
  return next.admitted_revision != previous.admitted_revision || next.readmitted != previous.readmitted;
}

Decision Admission::WithoutNewMembers(const Decision& previous, const Decision& next) {
  Decision without_new_members = next;
  without_new_members.admitted_revision = previous.admitted_revision;
  std::erase_if(without_new_members.readmitted,
                [&](const MemberIncarnation& incarnation) { return !IsReadmitted(previous, incarnation); });
  return without_new_members;
}

bool Admission::ShouldDelay(TimePoint now, bool reduces_grants) {
  if (delayed_since_ == TimePoint{}) delayed_since_ = now;
  const bool delay = reduces_grants && now - delayed_since_ < kMaxAdmissionDelay;
  if (!delay) delayed_since_ = TimePoint{};
  return delay;
}

void Admission::DecisionMade(const Snapshot& snapshot, const Decision& previous, const Decision& next) {
  if (HasUncountedMembers(snapshot, previous)) counted_epoch_ = next.epoch;
}

}  // namespace badgerbridge::zone_failover
