// SPDX-License-Identifier: Apache-2.0

/// @file
/// Converts the pages and events of an etcd::Follower to reports for the ledger. Pure: no I/O, no clock.
#ifndef BADGERBRIDGE_MEMBERSHIP_FEED_H_
#define BADGERBRIDGE_MEMBERSHIP_FEED_H_

#include <cstddef>
#include <string>
#include <vector>

#include "etcd/follower.h"
#include "membership/error.h"
#include "membership/member_codec.h"
#include "membership/report.h"

namespace badgerbridge::membership {

/// Converts the pages and events of one follower. Keeps no copy of the list.
class Feed {
 public:
  /// Whether the value of a key can be parsed.
  struct KeyProblem {
    std::string key;     ///< The full key in etcd.
    std::string reason;  ///< Why its value cannot be parsed; empty: it can.
  };
  /// The conversion of one page, or of the events of one revision.
  struct Output {
    std::vector<KeyProblem> keys;  ///< One entry for each key of the input, valid or not.
    Report report;                 ///< For the ledger.
  };

  /// `prefix`: the prefix of the follower's keys. `services`: the service of each section of the follower, in
  /// the same order; empty: the member's name follows the prefix directly. `source`: the index of the
  /// reports' source in the ledger.
  explicit Feed(std::string prefix, std::vector<std::string> services = {}, std::size_t source = 0);

  /// The part of a key between the prefix and the member's name, for a member of `service`.
  static std::string SectionOf(const std::string& service) { return service + "/"; }

  /// Converts a page of the list at one revision to a page of a complete list.
  Output Convert(const etcd::Follower::SnapshotPage& page) const;
  /// Converts the events of one revision to changes; of several events of a member only the last counts.
  Output Convert(const etcd::Follower::Events& events) const;

 private:
  std::string ServiceOf(std::size_t section) const { return services_.empty() ? "" : services_[section]; }
  std::string NameOf(const etcdserverpb::KeyValue& kv, std::size_t section) const;
  Result<Member> ParseKeyValue(const etcdserverpb::KeyValue& kv, std::size_t section) const;

  std::string prefix_;
  std::vector<std::string> services_;
  std::size_t source_;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_FEED_H_
