// SPDX-License-Identifier: Apache-2.0
//
// etcd as the model has it: keys with the revisions at which they were made and last changed, leases, and the
// calls that a member of the regions makes, each done whole at one revision. Pure; the caller says what time
// it is there.
#ifndef BADGERBRIDGE_SIMULATOR_ETCD_H_
#define BADGERBRIDGE_SIMULATOR_ETCD_H_

#include <cstdint>
#include <map>
#include <string>

#include "zone_failover/member.h"

namespace badgerbridge::simulator {

class EtcdModel {
 public:
  // Does the call of `member`; what it was told may be lost on its way.
  zone_failover::Member::Reply Do(balancer::TimePoint now, const std::string& member,
                                  const zone_failover::Member::Call& call);
  // Ends leases that have run out, and their keys.
  void Expire(balancer::TimePoint now);
  // An operator's order, until it is taken back with an empty text.
  void Order(int zone, const std::string& by);
  void Put(const std::string& key, std::string value) { Write(key, std::move(value), 0); }

  // Back to what `backup`, a copy, held: keys and revisions of then, leases too, whose numbers etcd draws and
  // does not give again.
  void Restore(const EtcdModel& backup) {
    const std::int64_t next_lease = next_lease_;
    *this = backup;
    next_lease_ = next_lease;
  }

  std::int64_t revision() const { return revision_; }
  const std::map<std::string, zone_failover::KeyValue>& keys() const { return keys_; }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t bytes() const { return bytes_; }  // of keys and values, both ways

 private:
  struct Lease {
    balancer::Duration ttl{0};
    balancer::TimePoint due{};
  };
  void Write(const std::string& key, std::string value, std::int64_t lease);
  void Read(const std::string& from, bool prefix, zone_failover::Member::Reply* reply);

  std::int64_t revision_ = 1, next_lease_ = 0;
  std::map<std::string, zone_failover::KeyValue> keys_;
  std::map<std::string, std::int64_t> bound_;  // keys with a lease
  std::map<std::int64_t, Lease> leases_;
  std::uint64_t calls_ = 0, bytes_ = 0;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_ETCD_H_
