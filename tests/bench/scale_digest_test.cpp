// SPDX-License-Identifier: Apache-2.0
//
// The digest by which a scale run decides that a proxy's state is the source's.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "scale_rig/digest.h"
#include "scale_rig/plan.h"

namespace badgerbridge::scale {
namespace {

using membership::Member;
using membership::Report;

Member Named(const std::string& name, double weight = 1) {
  Member member;
  member.name = name;
  member.address = "127.0.0.1:1";
  member.weight = weight;
  return member;
}

Member Gone(const std::string& name) {
  Member member = Named(name);
  member.state = membership::MemberState::kGone;
  return member;
}

Report Changes(std::vector<Member> members, bool whole = false) {
  Report report;
  report.complete = whole;
  report.members = std::move(members);
  return report;
}

TEST(ScaleDigest, IsEqualForEqualStatesWhateverTheWayThere) {
  KeyIndex keys, other_keys;
  StateDigest one(&keys), other(&other_keys);
  one.Apply(Changes({Named("a"), Named("b"), Named("c")}, true));
  one.Apply(Changes({Gone("b"), Named("a", 2)}));
  other.Apply(Changes({Named("c"), Named("d")}, true));
  other.Apply(Changes({Named("a", 2)}));
  EXPECT_NE(one.value(), other.value());
  other.Apply(Changes({Gone("d")}));
  EXPECT_EQ(one.value(), other.value());
  EXPECT_EQ(one.value().count, 2u);
}

TEST(ScaleDigest, NoticesEachFieldAndWhichKeyHasIt) {
  const Member base = Named("a");
  std::vector<Member> others(7, base);
  others[0].address = "127.0.0.1:2";
  others[1].zone = "z";
  others[2].kind = "k";
  others[3].group = 1;
  others[4].state = membership::MemberState::kDraining;
  others[5].weight = 2;
  others[6].start_time_ms = 1;
  for (const Member& member : others) EXPECT_NE(VersionOf(member), VersionOf(base));
  // Versions that are exchanged between two keys.
  KeyIndex keys;
  StateDigest one(&keys), other(&keys);
  one.Apply(Changes({Named("a", 1), Named("b", 2)}));
  other.Apply(Changes({Named("a", 2), Named("b", 1)}));
  EXPECT_NE(one.value(), other.value());
}

TEST(ScaleDigest, DeletionOfWhatIsNotKnownChangesNothing) {
  KeyIndex keys;
  StateDigest digest(&keys);
  digest.Apply(Changes({Gone("a")}));
  EXPECT_EQ(digest.value(), DigestValue());
  digest.Apply(Changes({Named("a")}));
  digest.Apply(Changes({Gone("a"), Gone("a")}));
  EXPECT_EQ(digest.value(), DigestValue());
}

TEST(ScaleDigest, WholeListReplacesAllButWhatItCouldNotRead) {
  KeyIndex keys;
  StateDigest digest(&keys), expected(&keys);
  digest.Apply(Changes({Named("a"), Named("b"), Named("c")}, true));
  Report whole = Changes({Named("c", 5)}, true);
  whole.unreadable = {"b", "never known"};
  digest.Apply(whole);
  expected.Apply(Changes({Named("b"), Named("c", 5)}, true));
  EXPECT_EQ(digest.value(), expected.value());
  EXPECT_EQ(digest.value().count, 2u);
}

TEST(ScaleDigest, TakesAWholeListInPages) {
  KeyIndex keys;
  StateDigest digest(&keys), expected(&keys);
  digest.Apply(Changes({Named("old"), Named("a")}, true));
  const auto page = [](std::vector<Member> members, membership::Page number) {
    Report report = Changes(std::move(members), true);
    report.page = number;
    return report;
  };
  // Read in part, and begun anew.
  digest.Apply(page({Named("old")}, membership::Page::kFirst));
  digest.Apply(page({Named("a", 2)}, membership::Page::kFirst));
  digest.Apply(page({Named("b")}, membership::Page::kMiddle));
  EXPECT_EQ(digest.value().count, 3u);  // what the list does not name goes at its end
  digest.Apply(page({Named("c")}, membership::Page::kLast));
  expected.Apply(Changes({Named("a", 2), Named("b"), Named("c")}, true));
  EXPECT_EQ(digest.value(), expected.value());
}

TEST(ScaleDigest, FollowsRandomPutsAndDeletes) {
  std::mt19937 random(3);
  KeyIndex keys;
  StateDigest digest(&keys);
  std::map<std::string, Member> state;
  for (int step = 0; step < 20000; ++step) {
    const std::string name = "k" + std::to_string(random() % 50);
    if (random() % 3 == 0) {
      state.erase(name);
      digest.Apply(Changes({Gone(name)}));
    } else {
      state[name] = Named(name, static_cast<double>(random() % 5));
      digest.Apply(Changes({state[name]}));
    }
    if (step % 100 != 0) continue;
    KeyIndex fresh_keys;
    StateDigest fresh(&fresh_keys);
    for (const auto& [key, member] : state) fresh.Put(key, VersionOf(member));
    ASSERT_EQ(digest.value(), fresh.value()) << "step " << step;
  }
}

TEST(ScalePlan, ZonesShareEveryServiceEvenly) {
  Size size;
  size.backends = 110000;
  size.services = 1;
  std::vector<std::size_t> in_zone(kZones, 0);
  for (std::size_t i = 0; i < size.backends; ++i) ++in_zone[ZoneOf(i)];
  for (const std::size_t count : in_zone)
    EXPECT_NEAR(static_cast<double>(count), 110000.0 / kZones, 110000.0 / kZones * 0.05);
}

TEST(ScalePlan, AProxyFollowsDifferentServicesAlwaysTheSame) {
  Size size;
  size.services = 6500;
  size.services_per_proxy = 17;
  size.backends = 110000;
  const auto services = ServicesOf(size, 42);
  EXPECT_EQ(services, ServicesOf(size, 42));
  EXPECT_EQ(std::set<std::size_t>(services.begin(), services.end()).size(), 17u);
  EXPECT_NE(services, ServicesOf(size, 43));
  EXPECT_EQ(size.backends_per_proxy(), 17u * 17u);
}

}  // namespace
}  // namespace badgerbridge::scale
