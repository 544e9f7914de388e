// SPDX-License-Identifier: Apache-2.0
#include "membership/pending_changes.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace badgerbridge::membership {
namespace {

/// A member in a state.
Member Make(const std::string& name, MemberState state = MemberState::kReady, double weight = 1) {
  Member member;
  member.name = name;
  member.state = state;
  member.weight = weight;
  return member;
}

TEST(PendingChangesTest, DrainsAndDeparturesComeFirstInTheOrderInWhichTheyCame) {
  PendingChanges pending;
  for (const char* name : {"z", "a", "m"}) pending.Add(Make(name));
  EXPECT_FALSE(pending.HasUrgent());
  pending.Add(Make("y", MemberState::kDraining));
  pending.Add(Make("b", MemberState::kGone));
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
  pending.Add(Make("a"));
  pending.Add(Make("b"));
  pending.Add(Make("b", MemberState::kReady, 2));
  pending.Add(Make("a", MemberState::kDraining));
  EXPECT_EQ(pending.size(), 2u);
  auto slice = pending.TakeSlice(10);
  ASSERT_EQ(slice.size(), 2u);
  EXPECT_EQ(slice[0], Make("a", MemberState::kDraining)) << "it moved to the front";
  EXPECT_EQ(slice[1], Make("b", MemberState::kReady, 2));
  // Drained, then started anew before the drain was given: no longer urgent.
  pending.Add(Make("c", MemberState::kDraining));
  pending.Add(Make("c"));
  EXPECT_FALSE(pending.HasUrgent());
  EXPECT_EQ(pending.TakeSlice(10).size(), 1u);
  EXPECT_TRUE(pending.empty());
}

// The planned size, with changes that come while it is given out: no slice is larger than asked, whatever
// leaves waits for no more than the slice under way, and in the end the receiver has what the source has.
TEST(PendingChangesTest, ALargeListComesInBoundedSlicesAndEndsUpEqual) {
  constexpr std::size_t kMembers = 110000, kSlice = 32;
  std::mt19937_64 random(5);
  PendingChanges pending;
  std::map<std::string, Member> source, receiver;
  const auto write = [&](const Member& member) {
    source[member.name] = member;
    if (member.state == MemberState::kGone) source.erase(member.name);
    pending.Add(member);
  };
  for (std::size_t i = 0; i < kMembers; ++i) write(Make("m" + std::to_string(i)));
  std::size_t slices = 0, largest = 0;
  while (!pending.empty()) {
    std::string leaving;
    if (slices % 10 == 0 && slices < 3000) {
      leaving = "m" + std::to_string(random() % kMembers);
      write(Make(leaving, random() % 2 ? MemberState::kGone : MemberState::kDraining));
    }
    if (slices % 50 == 0 && slices < 3000) write(Make("m" + std::to_string(random() % kMembers)));
    const auto slice = pending.TakeSlice(kSlice);
    const bool has_it =
        std::any_of(slice.begin(), slice.end(), [&](const Member& member) { return member.name == leaving; });
    const auto newest = source.find(leaving);
    const bool ready_again = newest != source.end() && newest->second.state == MemberState::kReady;
    EXPECT_TRUE(leaving.empty() || has_it || ready_again) << leaving;
    for (const Member& member : slice) {
      receiver[member.name] = member;
      if (member.state == MemberState::kGone) receiver.erase(member.name);
    }
    ++slices;
    largest = std::max(largest, slice.size());
  }
  EXPECT_EQ(largest, kSlice);
  EXPECT_GE(slices, kMembers / kSlice);
  EXPECT_EQ(receiver, source);
}

}  // namespace
}  // namespace badgerbridge::membership
