// SPDX-License-Identifier: Apache-2.0

/// @file
/// The report of a membership source: a complete list, a page of one, or changes.
#ifndef BADGERBRIDGE_MEMBERSHIP_REPORT_H_
#define BADGERBRIDGE_MEMBERSHIP_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/member.h"

namespace badgerbridge::membership {

/// The part of a complete list that a report contains. All pages of a list have the same epoch and version,
/// and arrive in the order of names.
enum class Page {
  kOnly,    ///< The whole list.
  kFirst,   ///< The first of several pages.
  kMiddle,  ///< Neither the first nor the last.
  kLast,    ///< The last page; members in none of the pages are gone.
};

/// A report of one source.
struct Report {
  std::size_t source = 0;     ///< The index of the source in LedgerSettings::sources.
  std::uint64_t epoch = 0;    ///< Scope of the version, such as etcd's cluster id.
  std::uint64_t version = 0;  ///< The version of the source's list after this report.
  bool complete = false;      ///< A complete list or a page of one; false: changes.
  /// The result of a linearizable read, which contains all committed writes. A lower version then means that
  /// the history was rewound by a restore from a backup.
  bool linearizable = false;
  std::vector<Member> members;  ///< The listed or changed members; kGone: it left.
  /// Names in a complete list whose values cannot be parsed. Their last valid entries stay.
  std::vector<std::string> unreadable = {};
  Page page = Page::kOnly;  ///< Only for a complete list.
  /// The service of all members in the report; empty: the source does not list members by service. With
  /// services, the pages of a complete list arrive service by service, are ordered by name only within a
  /// service, and the versions of changes are compared only within a service.
  std::string service = {};
  bool ends_service = false;  ///< The last page of `service` in the list.

  /// Whether a complete list begins with this report.
  bool StartsList() const { return complete && (page == Page::kOnly || page == Page::kFirst); }
  /// Whether a complete list ends with this report.
  bool EndsList() const { return complete && (page == Page::kOnly || page == Page::kLast); }
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_REPORT_H_
