// SPDX-License-Identifier: Apache-2.0

/// @file
/// What a source of membership reports: a complete list, a page of one, or changes.
#ifndef BADGERBRIDGE_MEMBERSHIP_REPORT_H_
#define BADGERBRIDGE_MEMBERSHIP_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/member.h"

namespace badgerbridge::membership {

/// Which part of a complete list a report holds. The pages of one list have its epoch and version and come
/// in the order of names.
enum class Page {
  kOnly,    ///< The whole list.
  kFirst,   ///< The first of several pages.
  kMiddle,  ///< Neither the first nor the last.
  kLast,    ///< The last; members that no page names are gone.
};

/// One report of one source.
struct Report {
  std::size_t source = 0;     ///< The index of the source in LedgerSettings::sources.
  std::uint64_t epoch = 0;    ///< The history that the version counts in, such as etcd's cluster id.
  std::uint64_t version = 0;  ///< The version of the source's list after this report.
  bool complete = false;      ///< A complete list or a page of one, and not changes.
  /// Read linearizably: it cannot be behind what is committed, so a lower version means that the history was
  /// rewound (a restore from a backup).
  bool linearizable = false;
  std::vector<Member> members;  ///< The members listed or changed; kGone for one that left.
  /// Names that a complete list holds with values that cannot be read. Their last good entries stay.
  std::vector<std::string> unreadable = {};
  Page page = Page::kOnly;  ///< Of a complete list.
  /// The service that all of it belongs to, where the source lists members by service. Then the pages of a
  /// complete list come service by service, in the order of names only within a service, and versions of
  /// changes count within a service.
  std::string service = {};
  bool ends_service = false;  ///< The last page of its service.

  /// Whether a complete list begins with this report.
  bool StartsList() const { return complete && (page == Page::kOnly || page == Page::kFirst); }
  /// Whether a complete list ends with this report.
  bool EndsList() const { return complete && (page == Page::kOnly || page == Page::kLast); }
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_REPORT_H_
