// SPDX-License-Identifier: Apache-2.0

/// @file
/// Turns what an etcd::Follower learns of the backends' keys into reports for the ledger. Pure.
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

/// Converts the pages and events of one follower. It keeps no copy of the list.
class Feed {
 public:
  /// Whether the value under a key can be read.
  struct KeyProblem {
    std::string key;     ///< The whole key in etcd.
    std::string reason;  ///< Why its value cannot be read; empty: it can be.
  };
  /// What one page or one revision's events become.
  struct Output {
    std::vector<KeyProblem> keys;  ///< Each key of the input.
    Report report;                 ///< For the ledger.
  };

  /// `prefix`: of the follower's keys. `services`: those of the follower's sections, in its order; empty: the
  /// members' names follow the prefix. `source`: the index of these reports' source in the ledger.
  explicit Feed(std::string prefix, std::vector<std::string> services = {}, std::size_t source = 0);

  /// What stands between the prefix and a member's name in the keys of a service.
  static std::string SectionOf(const std::string& service) { return service + "/"; }

  /// A page of the list at one revision as a page of a complete list.
  Output Convert(const etcd::Follower::SnapshotPage& page) const;
  /// The events of one revision as changes, the newest of each member.
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
