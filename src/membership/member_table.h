// SPDX-License-Identifier: Apache-2.0

/// @file
/// Tables of members that are keyed by the members' own names, so that each name is stored once.
#ifndef BADGERBRIDGE_MEMBERSHIP_MEMBER_TABLE_H_
#define BADGERBRIDGE_MEMBERSHIP_MEMBER_TABLE_H_

#include <map>
#include <string_view>
#include <utility>

#include "membership/member.h"

namespace badgerbridge::membership {

/// Entries by the name that the entry's member holds.
template <typename Entry>
using MemberTable = std::map<std::string_view, Entry>;

/// The key of an entry that is a member itself.
inline std::string_view KeyOf(const MemberPtr& member) { return member->name; }

/// Inserts an entry or replaces the one of its name. The key then views the name in the new entry's member,
/// since the former member may be destroyed.
template <typename Entry>
void PutEntry(MemberTable<Entry>* table, Entry entry) {
  const std::string_view key = KeyOf(entry);
  if (auto node = table->extract(key); !node.empty()) {
    node.key() = key;
    node.mapped() = std::move(entry);
    table->insert(std::move(node));
  } else {
    table->emplace(key, std::move(entry));
  }
}

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_MEMBER_TABLE_H_
