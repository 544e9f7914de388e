// SPDX-License-Identifier: Apache-2.0
//
// Turns what an etcd::Follower learns of the backends' prefix into reports for the ledger. Pure.
#ifndef BADGERBRIDGE_MEMBERSHIP_FEED_H_
#define BADGERBRIDGE_MEMBERSHIP_FEED_H_

#include <optional>
#include <string>
#include <vector>

#include "etcd/follower.h"
#include "membership/ledger.h"
#include "membership/value.h"

namespace badgerbridge::membership {

constexpr char kBackendsPrefix[] = "/badgerbridge/converters/";  // unless the operator's file has another

class Feed {
 public:
  struct KeyProblem {
    std::string key;
    std::string reason;  // empty: the value can be read
  };
  struct Output {
    std::vector<KeyProblem> keys;  // each key that was met
    Report report;
  };

  // `services`: those of the follower's sections, in its order; empty: the prefix has the members themselves.
  // `source`: the index of these reports' source in the ledger.
  explicit Feed(std::string prefix, std::vector<std::string> services = {}, std::size_t source = 0);

  static std::string SectionOf(const std::string& service) { return service + "/"; }

  Output Convert(const etcd::Follower::SnapshotPage& page) const;
  Output Convert(const etcd::Follower::Events& events) const;

 private:
  std::string ServiceOf(std::size_t section) const { return services_.empty() ? "" : services_[section]; }
  std::string NameOf(const etcdserverpb::KeyValue& kv, std::size_t section) const;
  // Nothing if its value can't be read: then the last good entry stays.
  std::optional<Member> Parse(const etcdserverpb::KeyValue& kv, std::size_t section, Output* output) const;

  std::string prefix_;
  std::vector<std::string> services_;
  std::size_t source_;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_FEED_H_
