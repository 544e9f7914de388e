// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/zone_failover_calls.h"

#include "etcd/key_range.h"
#include "zone_failover/keys.h"

namespace badgerbridge::proxy_main {

namespace pb = etcdserverpb;
using zone_failover::Member;

namespace {

pb::RequestOp Put(const std::string& key, const std::string& value, std::int64_t lease) {
  pb::RequestOp operation;
  operation.mutable_request_put()->set_key(key);
  operation.mutable_request_put()->set_value(value);
  operation.mutable_request_put()->set_lease(lease);
  return operation;
}

pb::RequestOp Get(const std::string& key) {
  pb::RequestOp operation;
  operation.mutable_request_range()->set_key(key);
  return operation;
}

pb::RequestOp GetPrefix(const std::string& prefix) {
  pb::RequestOp operation = Get(prefix);
  operation.mutable_request_range()->set_range_end(etcd::PrefixRangeEnd(prefix));
  return operation;
}

pb::Compare CreateRevisionIs(const std::string& key, std::int64_t revision) {
  pb::Compare compare;
  compare.set_key(key);
  compare.set_result(pb::Compare::EQUAL);
  compare.set_target(pb::Compare::CREATE);
  compare.set_create_revision(revision);
  return compare;
}

pb::Compare ModRevisionIs(const std::string& key, std::int64_t revision) {
  pb::Compare compare;
  compare.set_key(key);
  compare.set_result(pb::Compare::EQUAL);
  compare.set_target(pb::Compare::MOD);
  compare.set_mod_revision(revision);
  return compare;
}

Member::Reply MakeReply(const etcd::Status& status) {
  Member::Reply reply;
  reply.ok = status.ok();
  reply.lease_gone = status.code == etcd::Code::kNotFound;  // "requested lease not found"
  return reply;
}

}  // namespace

pb::LeaseGrantRequest ToEtcd(const Member::GrantLease& call) {
  pb::LeaseGrantRequest request;
  request.set_ttl(call.ttl_s);
  return request;
}

pb::LeaseKeepAliveRequest ToEtcd(const Member::KeepLeaseAlive& call) {
  pb::LeaseKeepAliveRequest request;
  request.set_id(call.lease);
  return request;
}

pb::TxnRequest ToEtcd(const Member::Heartbeat& call, const std::string& prefix, const std::string& name) {
  // Both branches perform the same operations, except that the decision's value is read only if its revision
  // differs from the known one. Testing for equality also detects an older revision, as after etcd was
  // restored from a backup.
  pb::TxnRequest txn;
  *txn.add_compare() = ModRevisionIs(prefix + zone_failover::kDecisionKey, call.known_revision);
  pb::RequestOp decision = Get(prefix + zone_failover::kDecisionKey);
  const auto add_operations = [&](auto* operations) {
    *operations->Add() = Put(prefix + zone_failover::MemberKey(name), call.load_report, call.lease);
    *operations->Add() = decision;
    *operations->Add() = Get(prefix + zone_failover::kLeaderKey);
    *operations->Add() = GetPrefix(prefix + zone_failover::kOrdersKey);
    *operations->Add() = call.read_all ? GetPrefix(prefix + zone_failover::kMembersKey)
                                       : Get(prefix + zone_failover::MemberKey(name));
    if (call.read_all) *operations->Add() = Get(prefix + zone_failover::kRosterKey);
  };
  add_operations(txn.mutable_failure());
  decision.mutable_request_range()->set_keys_only(true);
  add_operations(txn.mutable_success());
  return txn;
}

pb::TxnRequest ToEtcd(const Member::Campaign& call, const std::string& prefix, const std::string& name) {
  pb::TxnRequest txn;
  *txn.add_compare() = CreateRevisionIs(prefix + zone_failover::kLeaderKey, 0);
  *txn.add_success() = Put(prefix + zone_failover::kLeaderKey, name, call.lease);
  return txn;
}

pb::TxnRequest ToEtcd(const Member::Propose& call, const std::string& prefix) {
  pb::TxnRequest txn;
  *txn.add_compare() = CreateRevisionIs(prefix + zone_failover::kLeaderKey, call.leader_create_revision);
  *txn.add_compare() = ModRevisionIs(prefix + zone_failover::kDecisionKey, call.decision_mod_revision);
  *txn.add_success() = Put(prefix + zone_failover::kDecisionKey, call.decision, 0);
  *txn.add_success() = Put(prefix + zone_failover::kRosterKey, call.roster, 0);
  return txn;
}

Member::Reply FromEtcd(const etcd::Status& status, const pb::LeaseGrantResponse& response) {
  Member::Reply reply = MakeReply(status);
  reply.lease = response.id();
  reply.ok = reply.ok && reply.lease != 0;
  return reply;
}

// For a nonexistent lease, etcd responds with a TTL of 0 instead of an error.
Member::Reply FromEtcd(const etcd::Status& status, const pb::LeaseKeepAliveResponse& response) {
  Member::Reply reply = MakeReply(status);
  reply.lease = response.id();
  if (reply.ok && response.ttl() <= 0) {
    reply.ok = false;
    reply.lease_gone = true;
  }
  return reply;
}

Member::Reply FromEtcd(const etcd::Status& status, const pb::TxnResponse& response,
                       const std::string& prefix) {
  Member::Reply reply = MakeReply(status);
  reply.condition_held = response.succeeded();
  reply.revision = response.header().revision();
  for (const pb::ResponseOp& operation : response.responses()) {
    for (const pb::KeyValue& kv : operation.response_range().kvs()) {
      if (!kv.key().starts_with(prefix)) continue;
      reply.kvs.push_back(
          {kv.key().substr(prefix.size()), kv.value(), kv.create_revision(), kv.mod_revision(), kv.lease()});
    }
  }
  return reply;
}

}  // namespace badgerbridge::proxy_main
