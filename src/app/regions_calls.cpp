// SPDX-License-Identifier: Apache-2.0
#include "app/regions_calls.h"

#include <algorithm>
#include <charconv>

namespace badgerbridge::app {

namespace pb = etcdserverpb;

namespace {

void Put(pb::TxnRequest* txn, const std::string& key, const std::string& value, std::int64_t lease) {
  pb::PutRequest* put = txn->add_success()->mutable_request_put();
  put->set_key(key);
  put->set_value(value);
  put->set_lease(lease);
}

void Get(pb::TxnRequest* txn, const std::string& key, bool all_below) {
  pb::RangeRequest* range = txn->add_success()->mutable_request_range();
  range->set_key(key);
  if (all_below) range->set_range_end(EndOf(key));
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

std::string EndOf(const std::string& prefix) {
  std::string end = prefix;
  while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff) end.pop_back();
  if (end.empty()) return std::string(1, '\0');
  end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
  return end;
}

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

pb::LeaseGrantRequest ToEtcd(const Member::Grant& call) {
  pb::LeaseGrantRequest request;
  request.set_ttl(call.ttl_s);
  return request;
}

pb::LeaseKeepAliveRequest ToEtcd(const Member::KeepAlive& call) {
  pb::LeaseKeepAliveRequest request;
  request.set_id(call.lease);
  return request;
}

pb::TxnRequest ToEtcd(const Member::Beat& call, const std::string& prefix, const std::string& name) {
  pb::TxnRequest txn;
  Put(&txn, prefix + "members/" + name, call.value, call.lease);
  if (!call.all) Get(&txn, prefix + "members/" + name, false);
  // The key always, and the value where it is another than the one that is known.
  Get(&txn, prefix + "decision", false);
  if (call.known > 0) {
    txn.mutable_success(txn.success_size() - 1)->mutable_request_range()->set_keys_only(true);
    Get(&txn, prefix + "decision", false);
    txn.mutable_success(txn.success_size() - 1)
        ->mutable_request_range()
        ->set_min_mod_revision(call.known + 1);
  }
  Get(&txn, prefix + "decider", false);
  Get(&txn, prefix + "orders/", true);
  if (call.all) {
    Get(&txn, prefix + "members/", true);
    Get(&txn, prefix + "roll", false);
  }
  return txn;
}

pb::TxnRequest ToEtcd(const Member::Stand& call, const std::string& prefix, const std::string& name) {
  pb::TxnRequest txn;
  Require(&txn, prefix + "decider", pb::Compare::CREATE, 0);
  Put(&txn, prefix + "decider", name, call.lease);
  return txn;
}

pb::TxnRequest ToEtcd(const Member::Propose& call, const std::string& prefix) {
  pb::TxnRequest txn;
  Require(&txn, prefix + "decider", pb::Compare::CREATE, call.decider_created);
  Require(&txn, prefix + "decision", pb::Compare::MOD, call.decision_modified);
  Put(&txn, prefix + "decision", call.value, 0);
  Put(&txn, prefix + "roll", call.roll, 0);
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
  reply.held = response.succeeded();
  reply.revision = response.header().revision();
  for (const pb::ResponseOp& one : response.responses()) {
    for (const pb::KeyValue& kv : one.response_range().kvs()) {
      if (kv.key().rfind(prefix, 0) != 0) continue;
      // The key alone, and then the value, too: the latter counts.
      const std::string key = kv.key().substr(prefix.size());
      if (key == "decision")
        std::erase_if(reply.kvs, [&](const regions::Kv& other) { return other.key == key; });
      reply.kvs.push_back(
          {kv.key().substr(prefix.size()), kv.value(), kv.create_revision(), kv.mod_revision(), kv.lease()});
    }
  }
  return reply;
}

}  // namespace badgerbridge::app
