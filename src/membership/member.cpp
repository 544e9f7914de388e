// SPDX-License-Identifier: Apache-2.0
#include "membership/member.h"

#include <utility>

namespace badgerbridge::membership {

std::string_view Name(MemberState state) {
  constexpr std::string_view kNames[] = {"gone", "ready", "draining"};
  return kNames[static_cast<int>(state)];
}

MemberPtr WithState(const Member& member, MemberState state) {
  Member copy = member;
  copy.state = state;
  return std::make_shared<const Member>(std::move(copy));
}

}  // namespace badgerbridge::membership
