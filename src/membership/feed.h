// SPDX-License-Identifier: Apache-2.0
//
// Turns what an etcd::Follower learns of the converters' prefix into reports for the ledger. Pure.
#ifndef BADGERBRIDGE_MEMBERSHIP_FEED_H_
#define BADGERBRIDGE_MEMBERSHIP_FEED_H_

#include <optional>
#include <string>
#include <vector>

#include "etcd/follower.h"
#include "membership/ledger.h"
#include "membership/value.h"

namespace badgerbridge::membership {

constexpr char kConvertersPrefix[] = "/badgerbridge/converters/";  // unless the operator's file has another

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

  // `source`: the index of these reports' source in the ledger.
  explicit Feed(std::string prefix, std::size_t source = 0);

  Output Convert(const etcd::Follower::SnapshotPage& page) const;
  Output Convert(const etcd::Follower::Events& events) const;

 private:
  std::string NameOf(const etcdserverpb::KeyValue& kv) const { return kv.key().substr(prefix_.size()); }
  // Nothing if its value can't be read: then the last good entry stays.
  std::optional<Member> Parse(const etcdserverpb::KeyValue& kv, Output* output) const;

  std::string prefix_;
  std::size_t source_;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_FEED_H_
