// SPDX-License-Identifier: Apache-2.0
#include "simulator/etcd_model.h"

#include <utility>
#include <variant>

#include "zone_failover/keys.h"

namespace badgerbridge::simulator {

using balancer::Duration;
using balancer::TimePoint;
using zone_failover::KeyValue;
using zone_failover::Member;

void EtcdModel::Write(const std::string& key, std::string value, std::int64_t lease) {
  ++revision_;
  KeyValue& kv = keys_[key];
  kv.key = key;
  if (kv.create_revision == 0) kv.create_revision = revision_;
  kv.mod_revision = revision_;
  kv.lease = lease;
  bytes_ += key.size() + value.size();
  kv.value = std::move(value);
  if (lease != 0) {
    lease_by_key_[key] = lease;
  } else {
    lease_by_key_.erase(key);
  }
}

void EtcdModel::ExpireLeases(TimePoint now) {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (now < lease->second.expires_at) {
      ++lease;
      continue;
    }
    ++revision_;
    EraseKeysOf(lease->first);
    lease = leases_.erase(lease);
  }
}

void EtcdModel::EraseKeysOf(std::int64_t lease) {
  for (auto entry = lease_by_key_.begin(); entry != lease_by_key_.end();) {
    if (entry->second != lease) {
      ++entry;
      continue;
    }
    keys_.erase(entry->first);
    entry = lease_by_key_.erase(entry);
  }
}

void EtcdModel::SetEvacuationOrder(int zone, const std::string& ordered_by) {
  const std::string key = zone_failover::kOrdersKey + std::to_string(zone);
  if (!ordered_by.empty()) return Write(key, ordered_by, 0);
  ++revision_;
  keys_.erase(key);
}

void EtcdModel::Restore(const EtcdModel& backup) {
  const std::int64_t last_lease = last_lease_;
  *this = backup;
  last_lease_ = last_lease;
}

void EtcdModel::ReadKey(const std::string& key, Member::Reply* reply) {
  const auto found = keys_.find(key);
  if (found == keys_.end()) return;
  reply->kvs.push_back(found->second);
  bytes_ += key.size() + found->second.value.size();
}

void EtcdModel::ReadPrefix(const std::string& prefix, Member::Reply* reply) {
  for (auto entry = keys_.lower_bound(prefix); entry != keys_.end(); ++entry) {
    if (entry->first.compare(0, prefix.size(), prefix) != 0) break;
    reply->kvs.push_back(entry->second);
    bytes_ += entry->first.size() + entry->second.value.size();
  }
}

// Without its value where the member has it already.
void EtcdModel::ReadDecision(std::int64_t known_revision, Member::Reply* reply) {
  const auto decision = keys_.find(zone_failover::kDecisionKey);
  if (decision == keys_.end() || decision->second.mod_revision != known_revision)
    return ReadKey(zone_failover::kDecisionKey, reply);
  reply->kvs.push_back(decision->second);
  reply->kvs.back().value.clear();
}

bool EtcdModel::HasLease(std::int64_t lease, Member::Reply* reply) const {
  if (leases_.count(lease)) return true;
  reply->ok = false;
  reply->lease_gone = true;
  return false;
}

void EtcdModel::Handle(TimePoint now, const std::string&, const Member::GrantLease& grant,
                       Member::Reply* reply) {
  const Duration ttl(1000.0 * grant.ttl_s);
  reply->lease = ++last_lease_;
  leases_[reply->lease] = {ttl, now + ttl};
}

void EtcdModel::Handle(TimePoint now, const std::string&, const Member::KeepLeaseAlive& keep_alive,
                       Member::Reply* reply) {
  if (!HasLease(keep_alive.lease, reply)) return;
  Lease& lease = leases_[keep_alive.lease];
  lease.expires_at = now + lease.ttl;
}

void EtcdModel::Handle(TimePoint, const std::string& member, const Member::Heartbeat& heartbeat,
                       Member::Reply* reply) {
  if (!HasLease(heartbeat.lease, reply)) return;
  Write(zone_failover::MemberKey(member), heartbeat.load_report, heartbeat.lease);
  if (!heartbeat.read_all) ReadKey(zone_failover::MemberKey(member), reply);
  ReadDecision(heartbeat.known_revision, reply);
  ReadKey(zone_failover::kLeaderKey, reply);
  ReadPrefix(zone_failover::kOrdersKey, reply);
  if (!heartbeat.read_all) return;
  ReadPrefix(zone_failover::kMembersKey, reply);
  ReadKey(zone_failover::kRosterKey, reply);
}

void EtcdModel::Handle(TimePoint, const std::string& member, const Member::Campaign& campaign,
                       Member::Reply* reply) {
  if (!HasLease(campaign.lease, reply)) return;
  reply->condition_held = keys_.count(zone_failover::kLeaderKey) == 0;
  if (reply->condition_held) Write(zone_failover::kLeaderKey, member, campaign.lease);
}

void EtcdModel::Handle(TimePoint, const std::string&, const Member::Propose& propose, Member::Reply* reply) {
  const auto leader = keys_.find(zone_failover::kLeaderKey);
  const auto decision = keys_.find(zone_failover::kDecisionKey);
  const std::int64_t decision_revision = decision == keys_.end() ? 0 : decision->second.mod_revision;
  reply->condition_held = leader != keys_.end() &&
                          leader->second.create_revision == propose.leader_create_revision &&
                          decision_revision == propose.decision_mod_revision;
  if (!reply->condition_held) return;
  Write(zone_failover::kDecisionKey, propose.decision, 0);
  Write(zone_failover::kRosterKey, propose.roster, 0);
}

Member::Reply EtcdModel::Execute(TimePoint now, const std::string& member, const Member::Call& call) {
  ExpireLeases(now);
  ++calls_;
  Member::Reply reply;
  reply.ok = true;
  std::visit([&](const auto& each) { Handle(now, member, each, &reply); }, call);
  if (!reply.lease_gone) reply.revision = revision_;
  return reply;
}

}  // namespace badgerbridge::simulator
