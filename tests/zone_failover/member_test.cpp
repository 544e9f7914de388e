// SPDX-License-Identifier: Apache-2.0
//
// One member or two over an etcd, step by step: the codecs, the fences, and what holds out of touch.
#include "zone_failover/member.h"

#include <gtest/gtest.h>

#include <limits>
#include <memory>

#include "simulator/etcd.h"

namespace badgerbridge::zone_failover {
namespace {

TimePoint At(double ms) { return TimePoint(Duration(1e6 + ms)); }

Rules TwoZones() {
  Rules rules;
  rules.zones = 2;
  rules.round_trip = Matrix(2, 2);
  rules.price = Matrix(2, 1);
  return rules;
}

MemberSettings Named(const std::string& name, int zone = 0) {
  MemberSettings settings;
  settings.name = name;
  settings.zone = zone;
  settings.rules = TwoZones();
  return settings;
}

// Members that stand beside one etcd, each call done at once.
struct Small {
  explicit Small(int members) {
    for (int i = 0; i < members; ++i) {
      names.push_back("n" + std::to_string(i));
      all.push_back(std::make_unique<Member>(Named(names.back(), i % 2), static_cast<std::uint64_t>(i + 1)));
      all.back()->Listed({4, 4});
    }
  }
  void Play(double ms, const std::vector<bool>& works = {true, true}) {
    for (const double end = now + ms; now < end; now += 10) {
      for (std::size_t i = 0; i < all.size(); ++i) {
        const std::size_t home = i % 2;
        if (static_cast<int>(now) % 50 == 0) {
          all[i]->Arrived(At(now), 50);
          const auto shares = all[i]->Shares(At(now));
          for (std::size_t r : {home, 1 - home}) {
            const double part = shares[r] == kFree ? 50 : shares[r] * 50;
            if (part <= 0 || (r != home && works[home])) continue;
            all[i]->Sent(At(now), ++attempt, r);
            all[i]->Ended(At(now + 20), attempt, 0, works[r] ? Meter::End::kServed : Meter::End::kFailed,
                          Duration(20), part, 0.4);
          }
        }
        if (held == i) continue;
        while (const auto call = all[i]->Next(At(now))) {
          if (hold_proposals == i && std::holds_alternative<Member::Propose>(*call)) {
            kept = call;
            held = i;
            break;
          }
          all[i]->Done(At(now), down ? Member::Reply{} : etcd.Do(At(now), names[i], *call));
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
  std::size_t held = SIZE_MAX, hold_proposals = SIZE_MAX;
  std::optional<Member::Call> kept;
};

TEST(RegionsEvidence, WhatIsWrittenIsReadBack) {
  Evidence evidence;
  evidence.epoch = 7, evidence.zone = 1, evidence.demand = 3.25, evidence.doubt = true;
  evidence.zones = {{10, 1, 2.5, 1.25, 30, 0.5, 4}, {0, 0, 0, 1, 0, -1, 0}};
  std::string why;
  const auto read = DecodeEvidence(Encode(evidence), 2, &why);
  ASSERT_TRUE(read) << why;
  EXPECT_EQ(*read, evidence);
}

TEST(RegionsEvidence, NonsenseIsNoEvidence) {
  std::string why;
  const std::string good = Encode(Evidence{1, 0, 1, false, {{}, {}}});
  ASSERT_TRUE(DecodeEvidence(good, 2, &why)) << why;
  for (const std::string& text :
       {std::string(), std::string("null"), std::string("{}"), std::string(9000, '['),
        good.substr(0, good.size() / 2),
        std::string(R"({"v":1,"epoch":1,"zone":2,"demand":1,"zones":[[0,0,0,1,0,-1,0],[0,0,0,1,0,-1,0]]})"),
        std::string(
            R"({"v":1,"epoch":-1e99,"zone":0.5,"demand":1,"zones":[[0,0,0,1,0,-1,0],[0,0,0,1,0,-1,0]]})"),
        std::string(R"({"v":1,"epoch":1,"zone":0,"demand":NaN,"zones":[[0,0,0,1,0,-1,0],[0,0,0,1,0,-1,0]]})"),
        std::string(R"({"v":1,"epoch":1,"zone":0,"demand":1,"zones":[[0,0,0,1,0,-1],[0,0,0,1,0,-1,0]]})"),
        std::string(
            R"({"v":2,"epoch":1,"zone":0,"demand":1,"zones":[[0,0,0,1,0,-1,0],[0,0,0,1,0,-1,0]]})")}) {
    why.clear();
    EXPECT_FALSE(DecodeEvidence(text, 2, &why)) << text;
    EXPECT_FALSE(why.empty());
  }
  // A load beyond all sense is bounded, not believed.
  const auto most = DecodeEvidence(
      R"({"v":1,"epoch":1,"zone":0,"demand":1e300,"zones":[[1e300,2e300,1e300,1e300,1e300,9,1e300],[0,0,0,1,0,-1,0]]})",
      2, &why);
  ASSERT_TRUE(most) << why;
  EXPECT_LE(most->demand, 1e6);
  EXPECT_LE(most->zones[0].bad, most->zones[0].attempts);
  EXPECT_LE(most->zones[0].used, 1);
}

TEST(RegionsDecision, WhatIsWrittenIsReadBackAndNonsenseIsNot) {
  Decision d;
  d.epoch = 12, d.decider = "n1", d.admitted = 5, d.counted = 9;
  d.zones = {{ZoneState::kLimping, 10, 4, 3.5, 5, 3, 1, "slow"}, {}};
  d.grants = d.ceiling = d.standby = Matrix(2);
  d.grants.at(0, 0) = kFree;
  d.grants.at(0, 1) = 1.5;
  std::string why;
  const auto read = DecodeDecision(Encode(d), 2, &why);
  ASSERT_TRUE(read) << why;
  EXPECT_EQ(*read, d);
  EXPECT_FALSE(DecodeDecision(Encode(d), 3, &why));
  EXPECT_FALSE(DecodeDecision("{\"v\":1}", 2, &why));
  std::string stray = Encode(d);
  stray.replace(stray.find("\"grants\":[0,0,"), 14, "\"grants\":[0,7,");
  EXPECT_FALSE(DecodeDecision(stray, 2, &why));
}

TEST(RegionsDecision, WhomItCountsStandsBesideIt) {
  Decision d;
  d.epoch = 12;
  d.zones.resize(2);
  d.grants = d.ceiling = d.standby = Matrix(2);
  d.returned = {{"n7", 31}};
  d.roster = {{"n1", 0}, {"n7", 1}};
  std::string why;
  auto read = DecodeDecision(Encode(d), 2, &why);
  ASSERT_TRUE(read) << why;
  EXPECT_EQ(read->returned, d.returned);
  EXPECT_TRUE(read->roster.empty());
  EXPECT_TRUE(DecodeRoster(EncodeRoster(d), 2, &*read));
  EXPECT_EQ(*read, d);
  Decision other = d;
  other.epoch = 13;
  other.roster.clear();
  EXPECT_FALSE(DecodeRoster(EncodeRoster(d), 2, &other));  // of another epoch
  EXPECT_FALSE(DecodeRoster(EncodeRoster(d), 1, &*read));  // a zone that is none
  for (const char* text : {"", "{}", "[]", R"({"epoch":12})", R"({"epoch":12,"members":[["n1"]]})",
                           R"({"epoch":12,"members":[["n1",-1]]})", R"({"epoch":12,"members":[[1,1]]})"})
    EXPECT_FALSE(DecodeRoster(text, 2, &*read)) << text;
  std::string bad = Encode(d);
  bad.replace(bad.find("[\"n7\",31]"), 9, "[\"n7\",\"\"]");
  EXPECT_FALSE(DecodeDecision(bad, 2, &why));
}

TEST(RegionsMeter, WhoSeesAllFailDoubtsItself) {
  Meter meter(0, 2, 1);
  for (std::uint64_t i = 0; i < 10; ++i) {
    meter.Sent(At(10.0 * static_cast<double>(i)), i, i % 2);
    meter.Ended(At(10.0 * static_cast<double>(i) + 5), i, 0, Meter::End::kFailed, Duration(5), 1,
                std::nullopt);
  }
  EXPECT_TRUE(meter.Take(At(200), 0).doubt);
}

TEST(RegionsMeter, SilenceIsHeldAgainstAZoneBeforeAnyTimeOut) {
  Meter meter(0, 1, 1);
  for (std::uint64_t i = 0; i < 20; ++i) {
    meter.Sent(At(10.0 * static_cast<double>(i)), i, 0);
    meter.Ended(At(10.0 * static_cast<double>(i) + 8), i, 0, Meter::End::kServed, Duration(8), 1,
                std::numeric_limits<double>::quiet_NaN());
  }
  for (std::uint64_t i = 100; i < 110; ++i) meter.Sent(At(1500), i, 0);
  EXPECT_EQ(meter.Take(At(1600), 0).zones[0].bad, 0);
  const Evidence late = meter.Take(At(2100), 0);
  EXPECT_EQ(late.zones[0].bad, 10);
  EXPECT_EQ(late.zones[0].used, -1);
}

TEST(RegionsMember, OneDecidesAndAllGoByIt) {
  Small small(4);
  small.Play(4000);
  int deciding = 0;
  for (const auto& one : small.all) {
    deciding += one->deciding();
    EXPECT_TRUE(one->admitted());
    EXPECT_EQ(one->Shares(At(small.now))[0] == kFree, one == small.all[0] || one == small.all[2]);
  }
  EXPECT_EQ(deciding, 1);
}

TEST(RegionsMember, ADeciderThatSleptBetweenReadAndWriteUndoesNothing) {
  Small small(4);
  small.Play(4000);
  std::size_t first = 0;
  while (!small.all[first]->deciding()) ++first;
  small.hold_proposals = first;
  small.Play(8000, {false, true});  // its next proposal is kept, and it says nothing more: another takes over
  ASSERT_TRUE(small.kept);
  std::size_t second = 0;
  while (second == first || !small.all[second]->deciding()) ASSERT_LT(++second, 4u);
  const auto before = small.etcd.keys().at("decision");
  const auto reply = small.etcd.Do(At(small.now), small.names[first], *small.kept);
  EXPECT_FALSE(reply.held);
  EXPECT_EQ(small.etcd.keys().at("decision").modified, before.modified);
  small.all[first]->Done(At(small.now), reply);
  EXPECT_FALSE(small.all[first]->deciding());
}

TEST(RegionsMember, OutOfTouchItKeepsTheLastWordForAWhileAndThenItsOwnPart) {
  Small small(4);
  small.Play(5000, {false, true});
  const double granted = small.all[0]->Shares(At(small.now))[1];
  ASSERT_GT(granted, 0);
  small.down = true;
  small.Play(2000, {false, true});
  EXPECT_EQ(small.all[0]->Shares(At(small.now))[1], granted);
  small.Play(9000, {false, true});
  EXPECT_FALSE(small.all[0]->in_touch(At(small.now)));
  const double alone = small.all[0]->Shares(At(small.now))[1];
  EXPECT_LE(alone, small.all[0]->decision()->standby.at(0, 1) / 2 + 1e-9);
  EXPECT_EQ(small.all[0]->Shares(At(small.now))[0], kFree);  // its own zone as it finds it
  small.down = false;
  small.Play(6000);
  EXPECT_TRUE(small.all[0]->in_touch(At(small.now)));
  EXPECT_TRUE(small.all[0]->admitted());
}

// A restarted proxy must not wait until everybody else that vanished with it has been given up.
TEST(RegionsMember, WhoComesBackUnderItsNameTakesItsPartAtOnce) {
  Small small(4);
  small.Play(5000, {false, true});
  ASSERT_GT(small.all[0]->Shares(At(small.now))[1], 0);
  const std::size_t dies = small.all[0]->deciding() ? 2 : 0;
  small.held = dies;  // says nothing more: its lease runs out
  small.Play(4500, {false, true});
  small.all[dies] = std::make_unique<Member>(Named(small.names[dies], 0), 99);
  small.all[dies]->Listed({4, 4});
  small.held = SIZE_MAX;
  small.Play(1500, {false, true});
  EXPECT_TRUE(small.all[dies]->admitted());
  EXPECT_GT(small.all[dies]->Shares(At(small.now))[1], 0);
}

// Backends that leave the list are gone, and not ill; and those that come are taken at their word.
TEST(RegionsMember, AZoneWhoseBackendsHaveLeftTheListIsNotDark) {
  Small small(4);
  small.Play(4000);
  for (const auto& one : small.all) one->Listed({0, 4});
  small.Play(2500, {false, true});
  EXPECT_EQ(small.all[1]->decision()->zones[0].state, ZoneState::kSound);
  EXPECT_LT(small.all[1]->decision()->zones[0].limit, 0.1);
  for (const auto& one : small.all) one->Listed({4, 4});
  small.Play(2500);
  EXPECT_EQ(small.all[1]->decision()->zones[0].state, ZoneState::kSound);
  EXPECT_GT(small.all[1]->decision()->zones[0].limit, 0.5);
}

TEST(RegionsMember, AnOrderEmptiesAZoneAndItsEndBringsItBackByStepsFromALittle) {
  Small small(4);
  small.Play(4000);
  small.etcd.Order(0, "ops");
  small.Play(1500);
  EXPECT_EQ(small.all[0]->decision()->zones[0].state, ZoneState::kEvacuated);
  EXPECT_EQ(small.all[0]->Shares(At(small.now))[0], 0);
  EXPECT_GT(small.all[0]->Shares(At(small.now))[1], 0);
  small.etcd.Order(0, "");
  small.Play(700);
  EXPECT_EQ(small.all[0]->decision()->zones[0].state, ZoneState::kReturning);
  small.Play(12000);
  EXPECT_EQ(small.all[0]->decision()->zones[0].state, ZoneState::kSound);
}

TEST(RegionsMember, AloneItNeedsNobody) {
  MemberSettings settings = Named("n1");
  settings.together = false;
  Member member(settings, 1);
  member.Listed({4, 4});
  for (double now = 0; now < 3000; now += 10) {
    member.Arrived(At(now), 10);
    EXPECT_FALSE(member.Next(At(now)));
  }
  EXPECT_EQ(member.calls(), 0u);
  EXPECT_EQ(member.Shares(At(3000))[0], kFree);
  EXPECT_GT(member.Shares(At(3000))[1], 0);
}

}  // namespace
}  // namespace badgerbridge::zone_failover
