// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/zone_failover_calls.h"

#include <algorithm>
#include <charconv>

#include "etcd/key_range.h"
#include "zone_failover/keys.h"

namespace badgerbridge::proxy_main {

namespace pb = etcdserverpb;

namespace {

pb::RequestOp Put(const std::string& key, const std::string& value, std::int64_t lease) {
  pb::RequestOp op;
  op.mutable_request_put()->set_key(key);
  op.mutable_request_put()->set_value(value);
  op.mutable_request_put()->set_lease(lease);
  return op;
}

pb::RequestOp Get(const std::string& key) {
  pb::RequestOp op;
  op.mutable_request_range()->set_key(key);
  return op;
}

pb::RequestOp GetBelow(const std::string& key) {
  pb::RequestOp op = Get(key);
  op.mutable_request_range()->set_range_end(etcd::PrefixRangeEnd(key));
  return op;
}

void Require(pb::TxnRequest* txn, const std::string& key, pb::Compare::CompareTarget target,
             std::int64_t revision) {
  pb::Compare* compare = txn->add_compare();
  compare->set_key(key);
  compare->set_result(pb::Compare::EQUAL);
  compare->set_target(target);
  if (target == pb::Compare::CREATE) {
    compare->set_create_revision(revision);
  } else {
    compare->set_mod_revision(revision);
  }
}

Member::Reply Begin(const etcd::Status& status) {
  Member::Reply reply;
  reply.ok = status.ok();
  reply.lease_gone = status.code == etcd::Code::kNotFound;  // "requested lease not found"
  return reply;
}

}  // namespace

std::optional<double> UtilIn(std::string_view report) {
  for (std::size_t at = 0; at < report.size();) {
    const std::size_t end = std::min(report.find(',', at), report.size());
    const std::string_view field = report.substr(at, end - at);
    at = end + 1;
    constexpr std::string_view kUtil = "util=";
    if (field.substr(0, kUtil.size()) != kUtil) continue;
    const std::string_view text = field.substr(kUtil.size());
    double value = -1;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || rest != text.data() + text.size() || !(value >= 0 && value <= 1))
      return std::nullopt;
    return value;
  }
  return std::nullopt;
}

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
  // Both branches do the same, but for the decision's value: only a comparison for equality tells an older
  // one too, as an etcd that was restored from a backup has it.
  pb::TxnRequest txn;
  Require(&txn, prefix + zone_failover::kDecisionKey, pb::Compare::MOD, call.known_revision);
  pb::RequestOp decision = Get(prefix + zone_failover::kDecisionKey);
  const auto branch = [&](auto* ops) {
    *ops->Add() = Put(prefix + zone_failover::MemberKey(name), call.load_report, call.lease);
    *ops->Add() = decision;
    *ops->Add() = Get(prefix + zone_failover::kLeaderKey);
    *ops->Add() = GetBelow(prefix + zone_failover::kOrdersKey);
    *ops->Add() = call.read_all ? GetBelow(prefix + zone_failover::kMembersKey)
                                : Get(prefix + zone_failover::MemberKey(name));
    if (call.read_all) *ops->Add() = Get(prefix + zone_failover::kRosterKey);
  };
  branch(txn.mutable_failure());
  decision.mutable_request_range()->set_keys_only(true);
  branch(txn.mutable_success());
  return txn;
}

pb::TxnRequest ToEtcd(const Member::Campaign& call, const std::string& prefix, const std::string& name) {
  pb::TxnRequest txn;
  Require(&txn, prefix + zone_failover::kLeaderKey, pb::Compare::CREATE, 0);
  *txn.add_success() = Put(prefix + zone_failover::kLeaderKey, name, call.lease);
  return txn;
}

pb::TxnRequest ToEtcd(const Member::Propose& call, const std::string& prefix) {
  pb::TxnRequest txn;
  Require(&txn, prefix + zone_failover::kLeaderKey, pb::Compare::CREATE, call.leader_create_revision);
  Require(&txn, prefix + zone_failover::kDecisionKey, pb::Compare::MOD, call.decision_mod_revision);
  *txn.add_success() = Put(prefix + zone_failover::kDecisionKey, call.decision, 0);
  *txn.add_success() = Put(prefix + zone_failover::kRosterKey, call.roster, 0);
  return txn;
}

Member::Reply FromEtcd(const etcd::Status& status, const pb::LeaseGrantResponse& response) {
  Member::Reply reply = Begin(status);
  reply.lease = response.id();
  reply.ok = reply.ok && reply.lease != 0;
  return reply;
}

// A lease that is not there is answered with a TTL of 0, and without an error.
Member::Reply FromEtcd(const etcd::Status& status, const pb::LeaseKeepAliveResponse& response) {
  Member::Reply reply = Begin(status);
  reply.lease = response.id();
  if (reply.ok && response.ttl() <= 0) {
    reply.ok = false;
    reply.lease_gone = true;
  }
  return reply;
}

Member::Reply FromEtcd(const etcd::Status& status, const pb::TxnResponse& response,
                       const std::string& prefix) {
  Member::Reply reply = Begin(status);
  reply.condition_held = response.succeeded();
  reply.revision = response.header().revision();
  for (const pb::ResponseOp& one : response.responses()) {
    for (const pb::KeyValue& kv : one.response_range().kvs()) {
      if (kv.key().rfind(prefix, 0) != 0) continue;
      reply.kvs.push_back(
          {kv.key().substr(prefix.size()), kv.value(), kv.create_revision(), kv.mod_revision(), kv.lease()});
    }
  }
  return reply;
}

}  // namespace badgerbridge::proxy_main
