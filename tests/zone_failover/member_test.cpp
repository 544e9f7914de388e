// SPDX-License-Identifier: Apache-2.0
//
// A few members with one etcd: leader election, admission, and quotas of members out of contact.
#include "zone_failover/member.h"

#include <gtest/gtest.h>

#include <memory>

#include "simulator/etcd_model.h"

namespace badgerbridge::zone_failover {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(1e6 + ms)); }

FailoverSettings TwoZones() {
  FailoverSettings settings;
  settings.zones = 2;
  settings.round_trip_ms = Matrix(2, 2);
  settings.transfer_price = Matrix(2, 1);
  return settings;
}

MemberSettings SettingsOf(const std::string& name, int zone = 0) {
  MemberSettings settings;
  settings.name = name;
  settings.zone = zone;
  settings.failover = TwoZones();
  return settings;
}

// Members with one etcd that executes each call immediately.
struct SmallInstallation {
  explicit SmallInstallation(int members) {
    for (int i = 0; i < members; ++i) {
      names.push_back("n" + std::to_string(i));
      all.push_back(
          std::make_unique<Member>(SettingsOf(names.back(), i % 2), static_cast<std::uint64_t>(i + 1)));
      all.back()->UpdateWarmBackends({4, 4});
    }
  }
  void RunFor(double ms, const std::vector<bool>& zone_is_healthy = {true, true}) {
    for (const double end = now + ms; now < end; now += 10) {
      for (std::size_t i = 0; i < all.size(); ++i) {
        const std::size_t home = i % 2;
        if (static_cast<int>(now) % 50 == 0) {
          all[i]->RequestArrived(At(now), 50);
          const auto quotas = all[i]->ZoneQuotas(At(now));
          for (std::size_t r : {home, 1 - home}) {
            const double part = quotas[r] == kUnlimited ? 50 : quotas[r] * 50;
            if (part <= 0 || (r != home && zone_is_healthy[home])) continue;
            all[i]->AttemptStarted(At(now), ++attempt, r);
            const auto outcome = zone_is_healthy[r] ? AttemptOutcome::kServed : AttemptOutcome::kFailed;
            all[i]->AttemptEnded(At(now + 20), attempt, {0, outcome, Duration(20), part, 0.4});
          }
        }
        if (silent_member == i) continue;
        while (const auto call = all[i]->NextCall(At(now))) {
          if (hold_proposals_of == i && std::holds_alternative<Member::Propose>(*call)) {
            held_call = call;
            silent_member = i;
            break;
          }
          all[i]->CallEnded(At(now), etcd_is_down ? Member::Reply{} : etcd.Execute(At(now), names[i], *call));
        }
      }
    }
  }
  std::vector<std::string> names;
  std::vector<std::unique_ptr<Member>> all;
  simulator::EtcdModel etcd;
  std::uint64_t attempt = 0;
  double now = 0;
  bool etcd_is_down = false;
  std::size_t silent_member = SIZE_MAX, hold_proposals_of = SIZE_MAX;
  std::optional<Member::Call> held_call;
};

TEST(Member, OneBecomesLeaderAndAllAreAdmitted) {
  SmallInstallation installation(4);
  installation.RunFor(4000);
  int leaders = 0;
  for (const auto& one : installation.all) {
    leaders += one->is_leader();
    EXPECT_TRUE(one->IsAdmitted());
    EXPECT_EQ(one->ZoneQuotas(At(installation.now))[0] == kUnlimited,
              one == installation.all[0] || one == installation.all[2]);
  }
  EXPECT_EQ(leaders, 1);
}

TEST(Member, LeaderSuspendedBetweenReadAndWriteOverwritesNothing) {
  SmallInstallation installation(4);
  installation.RunFor(4000);
  std::size_t first = 0;
  while (!installation.all[first]->is_leader()) ++first;
  installation.hold_proposals_of = first;
  // The leader's next proposal is delayed and it makes no further calls, so another member takes over.
  installation.RunFor(8000, {false, true});
  ASSERT_TRUE(installation.held_call);
  std::size_t second = 0;
  while (second == first || !installation.all[second]->is_leader()) ASSERT_LT(++second, 4u);
  const auto before = installation.etcd.keys().at("decision");
  const auto reply =
      installation.etcd.Execute(At(installation.now), installation.names[first], *installation.held_call);
  EXPECT_FALSE(reply.condition_held);
  EXPECT_EQ(installation.etcd.keys().at("decision").mod_revision, before.mod_revision);
  installation.all[first]->CallEnded(At(installation.now), reply);
  EXPECT_FALSE(installation.all[first]->is_leader());
}

TEST(Member, MemberOutOfContactKeepsGrantsForAWhileThenStandbyOnly) {
  SmallInstallation installation(4);
  installation.RunFor(5000, {false, true});
  const double granted = installation.all[0]->ZoneQuotas(At(installation.now))[1];
  ASSERT_GT(granted, 0);
  installation.etcd_is_down = true;
  installation.RunFor(2000, {false, true});
  EXPECT_EQ(installation.all[0]->ZoneQuotas(At(installation.now))[1], granted);
  installation.RunFor(9000, {false, true});
  EXPECT_FALSE(installation.all[0]->IsInContact(At(installation.now)));
  const double standby_quota = installation.all[0]->ZoneQuotas(At(installation.now))[1];
  EXPECT_LE(standby_quota, installation.all[0]->decision()->standby.at(0, 1) / 2 + 1e-9);
  // The home zone stays unlimited.
  EXPECT_EQ(installation.all[0]->ZoneQuotas(At(installation.now))[0], kUnlimited);
  installation.etcd_is_down = false;
  installation.RunFor(6000);
  EXPECT_TRUE(installation.all[0]->IsInContact(At(installation.now)));
  EXPECT_TRUE(installation.all[0]->IsAdmitted());
}

// A restarted proxy must not wait until the grants of other members that vanished with it have expired.
TEST(Member, RestartUnderSameNameIsReadmittedAtOnce) {
  SmallInstallation installation(4);
  installation.RunFor(5000, {false, true});
  ASSERT_GT(installation.all[0]->ZoneQuotas(At(installation.now))[1], 0);
  const std::size_t restarted = installation.all[0]->is_leader() ? 2 : 0;
  installation.silent_member = restarted;  // makes no more calls, so its lease expires
  installation.RunFor(4500, {false, true});
  installation.all[restarted] = std::make_unique<Member>(SettingsOf(installation.names[restarted], 0), 99);
  installation.all[restarted]->UpdateWarmBackends({4, 4});
  installation.silent_member = SIZE_MAX;
  installation.RunFor(1500, {false, true});
  EXPECT_TRUE(installation.all[restarted]->IsAdmitted());
  EXPECT_GT(installation.all[restarted]->ZoneQuotas(At(installation.now))[1], 0);
}

// Backends that leave the endpoint list must not count as failures, and new backends must count at once.
TEST(Member, ZoneWhoseBackendsLeftTheListStaysHealthy) {
  SmallInstallation installation(4);
  installation.RunFor(4000);
  for (const auto& one : installation.all) one->UpdateWarmBackends({0, 4});
  installation.RunFor(2500, {false, true});
  EXPECT_EQ(installation.all[1]->decision()->zones[0].state, ZoneState::kHealthy);
  EXPECT_LT(installation.all[1]->decision()->zones[0].limit, 0.1);
  for (const auto& one : installation.all) one->UpdateWarmBackends({4, 4});
  installation.RunFor(2500);
  EXPECT_EQ(installation.all[1]->decision()->zones[0].state, ZoneState::kHealthy);
  EXPECT_GT(installation.all[1]->decision()->zones[0].limit, 0.5);
}

TEST(Member, EvacuationOrderEmptiesZoneAndItsEndStartsRecovery) {
  SmallInstallation installation(4);
  installation.RunFor(4000);
  installation.etcd.SetEvacuationOrder(0, "ops");
  installation.RunFor(1500);
  EXPECT_EQ(installation.all[0]->decision()->zones[0].state, ZoneState::kEvacuated);
  EXPECT_EQ(installation.all[0]->ZoneQuotas(At(installation.now))[0], 0);
  EXPECT_GT(installation.all[0]->ZoneQuotas(At(installation.now))[1], 0);
  installation.etcd.SetEvacuationOrder(0, "");
  installation.RunFor(700);
  EXPECT_EQ(installation.all[0]->decision()->zones[0].state, ZoneState::kRecovering);
  installation.RunFor(12000);
  EXPECT_EQ(installation.all[0]->decision()->zones[0].state, ZoneState::kHealthy);
}

TEST(Member, UncoordinatedMemberMakesNoCallsAndSendsToOtherZones) {
  MemberSettings settings = SettingsOf("n1");
  settings.coordinated = false;
  Member member(settings, 1);
  member.UpdateWarmBackends({4, 4});
  for (double now = 0; now < 3000; now += 10) {
    member.RequestArrived(At(now), 10);
    EXPECT_FALSE(member.NextCall(At(now)));
  }
  EXPECT_EQ(member.calls(), 0u);
  EXPECT_EQ(member.ZoneQuotas(At(3000))[0], kUnlimited);
  EXPECT_GT(member.ZoneQuotas(At(3000))[1], 0);
}

}  // namespace
}  // namespace badgerbridge::zone_failover
