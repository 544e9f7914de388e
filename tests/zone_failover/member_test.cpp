// SPDX-License-Identifier: Apache-2.0
//
// A few members over an etcd, step by step: who leads, who is admitted, and what holds out of contact.
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

MemberSettings Named(const std::string& name, int zone = 0) {
  MemberSettings settings;
  settings.name = name;
  settings.zone = zone;
  settings.failover = TwoZones();
  return settings;
}

// Members that stand beside one etcd, each call done at once.
struct SmallInstallation {
  explicit SmallInstallation(int members) {
    for (int i = 0; i < members; ++i) {
      names.push_back("n" + std::to_string(i));
      all.push_back(std::make_unique<Member>(Named(names.back(), i % 2), static_cast<std::uint64_t>(i + 1)));
      all.back()->UpdateWarmBackends({4, 4});
    }
  }
  void Play(double ms, const std::vector<bool>& works = {true, true}) {
    for (const double end = now + ms; now < end; now += 10) {
      for (std::size_t i = 0; i < all.size(); ++i) {
        const std::size_t home = i % 2;
        if (static_cast<int>(now) % 50 == 0) {
          all[i]->RequestArrived(At(now), 50);
          const auto quotas = all[i]->ZoneQuotas(At(now));
          for (std::size_t r : {home, 1 - home}) {
            const double part = quotas[r] == kUnlimited ? 50 : quotas[r] * 50;
            if (part <= 0 || (r != home && works[home])) continue;
            all[i]->AttemptStarted(At(now), ++attempt, r);
            const auto outcome = works[r] ? AttemptOutcome::kServed : AttemptOutcome::kFailed;
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
          all[i]->CallEnded(At(now), down ? Member::Reply{} : etcd.Execute(At(now), names[i], *call));
        }
      }
    }
  }
  std::vector<std::string> names;
  std::vector<std::unique_ptr<Member>> all;
  simulator::EtcdModel etcd;
  std::uint64_t attempt = 0;
  double now = 0;
  bool down = false;
  std::size_t silent_member = SIZE_MAX, hold_proposals_of = SIZE_MAX;
  std::optional<Member::Call> held_call;
};

TEST(Member, OneBecomesLeaderAndAllAreAdmitted) {
  SmallInstallation small(4);
  small.Play(4000);
  int leaders = 0;
  for (const auto& one : small.all) {
    leaders += one->is_leader();
    EXPECT_TRUE(one->IsAdmitted());
    EXPECT_EQ(one->ZoneQuotas(At(small.now))[0] == kUnlimited, one == small.all[0] || one == small.all[2]);
  }
  EXPECT_EQ(leaders, 1);
}

TEST(Member, LeaderThatSleptBetweenReadAndWriteOverwritesNothing) {
  SmallInstallation small(4);
  small.Play(4000);
  std::size_t first = 0;
  while (!small.all[first]->is_leader()) ++first;
  small.hold_proposals_of = first;
  small.Play(8000, {false, true});  // its next proposal is held back, and it falls silent: another takes over
  ASSERT_TRUE(small.held_call);
  std::size_t second = 0;
  while (second == first || !small.all[second]->is_leader()) ASSERT_LT(++second, 4u);
  const auto before = small.etcd.keys().at("decision");
  const auto reply = small.etcd.Execute(At(small.now), small.names[first], *small.held_call);
  EXPECT_FALSE(reply.condition_held);
  EXPECT_EQ(small.etcd.keys().at("decision").mod_revision, before.mod_revision);
  small.all[first]->CallEnded(At(small.now), reply);
  EXPECT_FALSE(small.all[first]->is_leader());
}

TEST(Member, OutOfContactItKeepsGrantsForAWhileThenStandbyAlone) {
  SmallInstallation small(4);
  small.Play(5000, {false, true});
  const double granted = small.all[0]->ZoneQuotas(At(small.now))[1];
  ASSERT_GT(granted, 0);
  small.down = true;
  small.Play(2000, {false, true});
  EXPECT_EQ(small.all[0]->ZoneQuotas(At(small.now))[1], granted);
  small.Play(9000, {false, true});
  EXPECT_FALSE(small.all[0]->IsInContact(At(small.now)));
  const double alone = small.all[0]->ZoneQuotas(At(small.now))[1];
  EXPECT_LE(alone, small.all[0]->decision()->standby.at(0, 1) / 2 + 1e-9);
  EXPECT_EQ(small.all[0]->ZoneQuotas(At(small.now))[0], kUnlimited);  // its own zone, as well as it works
  small.down = false;
  small.Play(6000);
  EXPECT_TRUE(small.all[0]->IsInContact(At(small.now)));
  EXPECT_TRUE(small.all[0]->IsAdmitted());
}

// A restarted proxy must not wait until everybody else that vanished with it has been given up.
TEST(Member, RestartUnderSameNameIsReadmittedAtOnce) {
  SmallInstallation small(4);
  small.Play(5000, {false, true});
  ASSERT_GT(small.all[0]->ZoneQuotas(At(small.now))[1], 0);
  const std::size_t dies = small.all[0]->is_leader() ? 2 : 0;
  small.silent_member = dies;  // says nothing more: its lease runs out
  small.Play(4500, {false, true});
  small.all[dies] = std::make_unique<Member>(Named(small.names[dies], 0), 99);
  small.all[dies]->UpdateWarmBackends({4, 4});
  small.silent_member = SIZE_MAX;
  small.Play(1500, {false, true});
  EXPECT_TRUE(small.all[dies]->IsAdmitted());
  EXPECT_GT(small.all[dies]->ZoneQuotas(At(small.now))[1], 0);
}

// Backends that leave the list are gone, and not at fault; those that come count at once.
TEST(Member, ZoneWhoseBackendsLeftTheListStaysHealthy) {
  SmallInstallation small(4);
  small.Play(4000);
  for (const auto& one : small.all) one->UpdateWarmBackends({0, 4});
  small.Play(2500, {false, true});
  EXPECT_EQ(small.all[1]->decision()->zones[0].state, ZoneState::kHealthy);
  EXPECT_LT(small.all[1]->decision()->zones[0].limit, 0.1);
  for (const auto& one : small.all) one->UpdateWarmBackends({4, 4});
  small.Play(2500);
  EXPECT_EQ(small.all[1]->decision()->zones[0].state, ZoneState::kHealthy);
  EXPECT_GT(small.all[1]->decision()->zones[0].limit, 0.5);
}

TEST(Member, EvacuationOrderEmptiesZoneAndItsEndStartsRecovery) {
  SmallInstallation small(4);
  small.Play(4000);
  small.etcd.SetEvacuationOrder(0, "ops");
  small.Play(1500);
  EXPECT_EQ(small.all[0]->decision()->zones[0].state, ZoneState::kEvacuated);
  EXPECT_EQ(small.all[0]->ZoneQuotas(At(small.now))[0], 0);
  EXPECT_GT(small.all[0]->ZoneQuotas(At(small.now))[1], 0);
  small.etcd.SetEvacuationOrder(0, "");
  small.Play(700);
  EXPECT_EQ(small.all[0]->decision()->zones[0].state, ZoneState::kRecovering);
  small.Play(12000);
  EXPECT_EQ(small.all[0]->decision()->zones[0].state, ZoneState::kHealthy);
}

TEST(Member, NotCoordinatedItMakesNoCallsAndStillSendsToOtherZones) {
  MemberSettings settings = Named("n1");
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
