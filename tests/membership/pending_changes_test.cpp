// SPDX-License-Identifier: Apache-2.0
#include "membership/pending_changes.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace badgerbridge::membership {
namespace {

Member MakeMember(const std::string& name, MemberState state = MemberState::kReady, double weight = 1) {
  Member member;
  member.name = name;
  member.state = state;
  member.weight = weight;
  return member;
}

TEST(PendingChangesTest, DrainsAndDeparturesAreReturnedFirstInInsertionOrder) {
  PendingChanges pending;
  for (const char* name : {"z", "a", "m"}) pending.Add(MakeMember(name));
  EXPECT_FALSE(pending.HasUrgent());
  pending.Add(MakeMember("y", MemberState::kDraining));
  pending.Add(MakeMember("b", MemberState::kGone));
  EXPECT_TRUE(pending.HasUrgent());
  std::string order;
  while (!pending.empty()) {
    const auto slice = pending.TakeSlice(2);
    EXPECT_LE(slice.size(), 2u);
    for (const Member& member : slice) order += member.name;
  }
  EXPECT_EQ(order, "ybzam");
}

TEST(PendingChangesTest, TheNewestChangeOfEachMemberIsReturnedOnce) {
  PendingChanges pending;
  pending.Add(MakeMember("a"));
  pending.Add(MakeMember("b"));
  pending.Add(MakeMember("b", MemberState::kReady, 2));
  pending.Add(MakeMember("a", MemberState::kDraining));
  EXPECT_EQ(pending.size(), 2u);
  auto slice = pending.TakeSlice(10);
  ASSERT_EQ(slice.size(), 2u);
  EXPECT_EQ(slice[0], MakeMember("a", MemberState::kDraining)) << "the drain moved to the front";
  EXPECT_EQ(slice[1], MakeMember("b", MemberState::kReady, 2));
  // Drained and ready again before the drain was delivered: no longer urgent.
  pending.Add(MakeMember("c", MemberState::kDraining));
  pending.Add(MakeMember("c"));
  EXPECT_FALSE(pending.HasUrgent());
  EXPECT_EQ(pending.TakeSlice(10).size(), 1u);
  EXPECT_TRUE(pending.empty());
}

// A list of the planned size, with changes while it is being delivered. No slice exceeds the requested size,
// each drain or departure is in the next slice, and at the end the receiver's list equals the source's.
TEST(PendingChangesTest, LargeListIsDeliveredInBoundedSlicesAndConverges) {
  constexpr std::size_t kMembers = 110000, kSlice = 32;
  std::mt19937_64 random(5);
  PendingChanges pending;
  std::map<std::string, Member> source, receiver;
  const auto write = [&](const Member& member) {
    source[member.name] = member;
    if (member.state == MemberState::kGone) source.erase(member.name);
    pending.Add(member);
  };
  for (std::size_t i = 0; i < kMembers; ++i) write(MakeMember("m" + std::to_string(i)));
  std::size_t slices = 0, largest_slice = 0;
  while (!pending.empty()) {
    std::string leaving_name;
    if (slices % 10 == 0 && slices < 3000) {
      leaving_name = "m" + std::to_string(random() % kMembers);
      write(MakeMember(leaving_name, random() % 2 ? MemberState::kGone : MemberState::kDraining));
    }
    if (slices % 50 == 0 && slices < 3000) write(MakeMember("m" + std::to_string(random() % kMembers)));
    const auto slice = pending.TakeSlice(kSlice);
    const bool is_in_slice = std::any_of(slice.begin(), slice.end(),
                                         [&](const Member& member) { return member.name == leaving_name; });
    const auto newest = source.find(leaving_name);
    const bool ready_again = newest != source.end() && newest->second.state == MemberState::kReady;
    EXPECT_TRUE(leaving_name.empty() || is_in_slice || ready_again) << leaving_name;
    for (const Member& member : slice) {
      receiver[member.name] = member;
      if (member.state == MemberState::kGone) receiver.erase(member.name);
    }
    ++slices;
    largest_slice = std::max(largest_slice, slice.size());
  }
  EXPECT_EQ(largest_slice, kSlice);
  EXPECT_GE(slices, kMembers / kSlice);
  EXPECT_EQ(receiver, source);
}

}  // namespace
}  // namespace badgerbridge::membership
