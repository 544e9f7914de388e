// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/decision_audit.h"

#include <boost/json.hpp>
#include <cstdint>
#include <optional>

namespace badgerbridge::multiprocess {

namespace json = boost::json;

namespace {

constexpr std::int64_t kLatestRevision = 0;
constexpr double kEpochBound = 1e18;  // every epoch is less

// A key's value at some revision; empty, of revision 0, where there was none.
struct KeyVersion {
  std::string value;
  std::int64_t mod_revision = 0;
};

KeyVersion ReadKey(const standins::EtcdStore& store, const std::string& key,
                   std::int64_t revision = kLatestRevision) {
  etcdserverpb::RangeRequest request;
  request.set_key(key);
  request.set_revision(revision);
  etcdserverpb::RangeResponse response;
  if (!store.Range(request, &response).ok() || response.kvs_size() == 0) return {};
  return {response.kvs(0).value(), response.kvs(0).mod_revision()};
}

// What the audit needs of a decision.
struct DecisionStamp {
  std::optional<double> epoch;  // none: malformed
  std::string leader;           // empty: malformed
};

DecisionStamp ReadStamp(const std::string& text) {
  DecisionStamp stamp;
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  const json::object* decision = error ? nullptr : value.if_object();
  if (!decision) return stamp;
  const json::value* epoch = decision->if_contains("epoch");
  if (epoch && epoch->is_number() && epoch->to_number<double>() >= 0)
    stamp.epoch = epoch->to_number<double>();
  const json::value* leader = decision->if_contains("decider");
  if (leader && leader->is_string()) stamp.leader = std::string(leader->get_string());
  return stamp;
}

}  // namespace

std::string FindLeaderIn(const standins::EtcdStore& store, const std::string& prefix) {
  return ReadKey(store, prefix + "decider").value;
}

DecisionAudit AuditDecisions(const standins::EtcdStore& store, const std::string& prefix) {
  DecisionAudit audit;
  double later_epoch = kEpochBound;
  const std::string key = prefix + "decision";
  for (KeyVersion version = ReadKey(store, key); version.mod_revision > 1;
       version = ReadKey(store, key, version.mod_revision - 1)) {
    const DecisionStamp stamp = ReadStamp(version.value);
    ++audit.decisions;
    if (!stamp.epoch || *stamp.epoch >= later_epoch) ++audit.out_of_order;
    if (stamp.epoch) later_epoch = *stamp.epoch;
    const std::string leader = ReadKey(store, prefix + "decider", version.mod_revision).value;
    if (stamp.leader.empty() || stamp.leader != leader) ++audit.unfenced;
  }
  return audit;
}

}  // namespace badgerbridge::multiprocess
