// SPDX-License-Identifier: Apache-2.0
#include "simulator/etcd.h"

#include <utility>

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
    bound_[key] = lease;
  } else {
    bound_.erase(key);
  }
}

void EtcdModel::Expire(TimePoint now) {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (now < lease->second.due) {
      ++lease;
      continue;
    }
    ++revision_;  // one revision a lease
    for (auto key = bound_.begin(); key != bound_.end();) {
      if (key->second != lease->first) {
        ++key;
        continue;
      }
      keys_.erase(key->first);
      key = bound_.erase(key);
    }
    lease = leases_.erase(lease);
  }
}

void EtcdModel::Order(int zone, const std::string& by) {
  const std::string key = zone_failover::kOrdersKey + std::to_string(zone);
  if (!by.empty()) return Write(key, by, 0);
  ++revision_;
  keys_.erase(key);
}

void EtcdModel::Read(const std::string& from, bool prefix, Member::Reply* reply) {
  for (auto at = keys_.lower_bound(from); at != keys_.end(); ++at) {
    if (prefix ? at->first.compare(0, from.size(), from) != 0 : at->first != from) break;
    reply->kvs.push_back(at->second);
    bytes_ += at->first.size() + at->second.value.size();
  }
}

Member::Reply EtcdModel::Do(TimePoint now, const std::string& member, const Member::Call& call) {
  Expire(now);
  ++calls_;
  Member::Reply reply;
  reply.ok = true;
  const auto alive = [&](std::int64_t lease) {
    if (leases_.count(lease)) return true;
    reply.ok = false;
    reply.lease_gone = true;
    return false;
  };
  if (const auto* grant = std::get_if<Member::GrantLease>(&call)) {
    reply.lease = ++next_lease_;
    leases_[reply.lease] = {Duration(1000.0 * grant->ttl_s), now + Duration(1000.0 * grant->ttl_s)};
  } else if (const auto* keep = std::get_if<Member::KeepLeaseAlive>(&call)) {
    if (!alive(keep->lease)) return reply;
    leases_[keep->lease].due = now + leases_[keep->lease].ttl;
  } else if (const auto* heartbeat = std::get_if<Member::Heartbeat>(&call)) {
    if (!alive(heartbeat->lease)) return reply;
    Write(zone_failover::MemberKey(member), heartbeat->load_report, heartbeat->lease);
    if (!heartbeat->read_all) Read(zone_failover::MemberKey(member), false, &reply);
    const auto decision = keys_.find(zone_failover::kDecisionKey);
    if (decision != keys_.end() && decision->second.mod_revision == heartbeat->known_revision) {
      reply.kvs.push_back(decision->second);
      reply.kvs.back().value.clear();
    } else {
      Read(zone_failover::kDecisionKey, false, &reply);
    }
    Read(zone_failover::kLeaderKey, false, &reply);
    Read(zone_failover::kOrdersKey, true, &reply);
    if (heartbeat->read_all) {
      Read(zone_failover::kMembersKey, true, &reply);
      Read(zone_failover::kRosterKey, false, &reply);
    }
  } else if (const auto* campaign = std::get_if<Member::Campaign>(&call)) {
    if (!alive(campaign->lease)) return reply;
    reply.condition_held = keys_.count(zone_failover::kLeaderKey) == 0;
    if (reply.condition_held) Write(zone_failover::kLeaderKey, member, campaign->lease);
  } else if (const auto* propose = std::get_if<Member::Propose>(&call)) {
    const auto leader = keys_.find(zone_failover::kLeaderKey);
    const auto decision = keys_.find(zone_failover::kDecisionKey);
    reply.condition_held =
        leader != keys_.end() && leader->second.create_revision == propose->leader_create_revision &&
        (decision == keys_.end() ? 0 : decision->second.mod_revision) == propose->decision_mod_revision;
    if (reply.condition_held) {
      Write(zone_failover::kDecisionKey, propose->decision, 0);
      Write(zone_failover::kRosterKey, propose->roster, 0);
    }
  }
  reply.revision = revision_;
  return reply;
}

}  // namespace badgerbridge::simulator
