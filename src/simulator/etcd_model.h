// SPDX-License-Identifier: Apache-2.0

/// @file
/// etcd as the model has it: keys with the revisions at which they were created and last changed, and leases.
#ifndef BADGERBRIDGE_SIMULATOR_ETCD_MODEL_H_
#define BADGERBRIDGE_SIMULATOR_ETCD_MODEL_H_

#include <cstdint>
#include <map>
#include <string>

#include "zone_failover/member.h"

namespace badgerbridge::simulator {

/// The calls that a member of zone failover makes, each done at one revision. Pure: the caller gives the
/// time.
class EtcdModel {
 public:
  /// Does the call of the member with this name. The reply is etcd's; whether it arrives is the caller's
  /// part.
  zone_failover::Member::Reply Execute(balancer::TimePoint now, const std::string& member,
                                       const zone_failover::Member::Call& call);
  /// Ends leases that have run out, and their keys; one revision for each lease.
  void ExpireLeases(balancer::TimePoint now);
  /// An operator's order to evacuate a zone; an empty `ordered_by` takes it back.
  void SetEvacuationOrder(int zone, const std::string& ordered_by);
  /// Writes a key without a lease.
  void Put(const std::string& key, std::string value) { Write(key, std::move(value), 0); }

  /// Back to what `backup`, a copy, held: keys, revisions and leases of then. Lease ids are not given again.
  void Restore(const EtcdModel& backup);

  /// The store's revision.
  std::int64_t revision() const { return revision_; }
  /// All keys.
  const std::map<std::string, zone_failover::KeyValue>& keys() const { return keys_; }
  /// Calls so far.
  std::uint64_t calls() const { return calls_; }
  /// Bytes of keys and values so far, written and read.
  std::uint64_t bytes() const { return bytes_; }

 private:
  struct Lease {
    balancer::Duration ttl{0};
    balancer::TimePoint expires_at{};
  };

  // One for each kind of call.
  void Handle(balancer::TimePoint now, const std::string& member,
              const zone_failover::Member::GrantLease& grant, zone_failover::Member::Reply* reply);
  void Handle(balancer::TimePoint now, const std::string& member,
              const zone_failover::Member::KeepLeaseAlive& keep_alive, zone_failover::Member::Reply* reply);
  void Handle(balancer::TimePoint now, const std::string& member,
              const zone_failover::Member::Heartbeat& heartbeat, zone_failover::Member::Reply* reply);
  void Handle(balancer::TimePoint now, const std::string& member,
              const zone_failover::Member::Campaign& campaign, zone_failover::Member::Reply* reply);
  void Handle(balancer::TimePoint now, const std::string& member,
              const zone_failover::Member::Propose& propose, zone_failover::Member::Reply* reply);

  bool HasLease(std::int64_t lease, zone_failover::Member::Reply* reply) const;
  void EraseKeysOf(std::int64_t lease);
  void Write(const std::string& key, std::string value, std::int64_t lease);
  void ReadKey(const std::string& key, zone_failover::Member::Reply* reply);
  void ReadPrefix(const std::string& prefix, zone_failover::Member::Reply* reply);
  void ReadDecision(std::int64_t known_revision, zone_failover::Member::Reply* reply);

  std::int64_t revision_ = 1;
  std::int64_t last_lease_ = 0;
  std::map<std::string, zone_failover::KeyValue> keys_;
  std::map<std::string, std::int64_t> lease_by_key_;
  std::map<std::int64_t, Lease> leases_;
  std::uint64_t calls_ = 0;
  std::uint64_t bytes_ = 0;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_ETCD_MODEL_H_
