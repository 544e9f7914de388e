// SPDX-License-Identifier: Apache-2.0

/// @file
/// Maps of members whose keys view the name inside each member, so that each name is stored only once.
#ifndef BADGERBRIDGE_MEMBERSHIP_MEMBER_TABLE_H_
#define BADGERBRIDGE_MEMBERSHIP_MEMBER_TABLE_H_

#include <map>
#include <string_view>
#include <utility>

#include "membership/member.h"

namespace badgerbridge::membership {

/// Entries by name. The key points into the entry's member and is valid as long as that member.
template <typename Entry>
using MemberTable = std::map<std::string_view, Entry>;

/// The key of an entry of a MemberTable<MemberPtr>.
inline std::string_view KeyOf(const MemberPtr& member) { return member->name; }

/// Inserts an entry or replaces the one with the same name. A replacement also resets the key to view the
/// name in the new member, because the old member may be destroyed.
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
