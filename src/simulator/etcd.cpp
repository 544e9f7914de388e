// SPDX-License-Identifier: Apache-2.0
#include "simulator/etcd.h"

#include <utility>

#include "zone_failover/keys.h"

namespace badgerbridge::simulator {

using balancer::Duration;
using balancer::TimePoint;
using zone_failover::Kv;
using zone_failover::Member;

void EtcdModel::Write(const std::string& key, std::string value, std::int64_t lease) {
  ++revision_;
  Kv& kv = keys_[key];
  kv.key = key;
  if (kv.created == 0) kv.created = revision_;
  kv.modified = revision_;
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
  if (const auto* grant = std::get_if<Member::Grant>(&call)) {
    reply.lease = ++next_lease_;
    leases_[reply.lease] = {Duration(1000.0 * grant->ttl_s), now + Duration(1000.0 * grant->ttl_s)};
  } else if (const auto* keep = std::get_if<Member::KeepAlive>(&call)) {
    if (!alive(keep->lease)) return reply;
    leases_[keep->lease].due = now + leases_[keep->lease].ttl;
  } else if (const auto* heartbeat = std::get_if<Member::Heartbeat>(&call)) {
    if (!alive(heartbeat->lease)) return reply;
    Write(zone_failover::MemberKey(member), heartbeat->value, heartbeat->lease);
    if (!heartbeat->all) Read(zone_failover::MemberKey(member), false, &reply);
    const auto decision = keys_.find(zone_failover::kDecisionKey);
    if (decision != keys_.end() && decision->second.modified == heartbeat->known) {
      reply.kvs.push_back(decision->second);
      reply.kvs.back().value.clear();
    } else {
      Read(zone_failover::kDecisionKey, false, &reply);
    }
    Read(zone_failover::kDeciderKey, false, &reply);
    Read(zone_failover::kOrdersKey, true, &reply);
    if (heartbeat->all) {
      Read(zone_failover::kMembersKey, true, &reply);
      Read(zone_failover::kRosterKey, false, &reply);
    }
  } else if (const auto* campaign = std::get_if<Member::Campaign>(&call)) {
    if (!alive(campaign->lease)) return reply;
    reply.held = keys_.count(zone_failover::kDeciderKey) == 0;
    if (reply.held) Write(zone_failover::kDeciderKey, member, campaign->lease);
  } else if (const auto* propose = std::get_if<Member::Propose>(&call)) {
    const auto decider = keys_.find(zone_failover::kDeciderKey);
    const auto decision = keys_.find(zone_failover::kDecisionKey);
    reply.held = decider != keys_.end() && decider->second.created == propose->decider_created &&
                 (decision == keys_.end() ? 0 : decision->second.modified) == propose->decision_modified;
    if (reply.held) {
      Write(zone_failover::kDecisionKey, propose->value, 0);
      Write(zone_failover::kRosterKey, propose->roster, 0);
    }
  }
  reply.revision = revision_;
  return reply;
}

}  // namespace badgerbridge::simulator
