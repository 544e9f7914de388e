// SPDX-License-Identifier: Apache-2.0
#include "cli/zone_store.h"

#include <algorithm>
#include <utility>

#include "etcd.pb.h"
#include "etcd/key_range.h"
#include "zone_failover/keys.h"

namespace badgerbridge::cli {
namespace {

namespace asio = boost::asio;
namespace pb = etcdserverpb;
using operator_config::ZoneFailoverSettings;
using std::chrono::milliseconds;
using zone_failover::Decision;

Result<Decision> ParseDecision(const std::string& value, std::size_t zone_count, EtcdError::Kind error_kind) {
  auto decision = zone_failover::DecodeDecision(value, zone_count);
  if (!decision)
    return EtcdError{error_kind, ExitCode::kPartialFailure, "", zone_failover::Message(decision.error())};
  return std::move(*decision);
}

/// Takes in one key below the prefix; `key` is without the prefix.
Result<void> AddKey(const std::string& key, const pb::KeyValue& kv, ZoneStoreContent& content) {
  const std::size_t zone_count = content.evacuation_orders.size();
  if (key == zone_failover::kDecisionKey) {
    Result<Decision> decision = ParseDecision(kv.value(), zone_count, EtcdError::Kind::kUnreadableDecision);
    if (!decision) return decision.error();
    content.decision = std::move(*decision);
    content.decision_revision = kv.mod_revision();
  } else if (key == zone_failover::kLeaderKey) {
    content.leader = kv.value();
  } else if (key.rfind(zone_failover::kMembersKey, 0) == 0) {
    ++content.members;
  }
  for (std::size_t zone = 0; zone < zone_count; ++zone) {
    if (key == zone_failover::OrderKey(zone))
      content.evacuation_orders[zone] = kv.value().empty() ? "nobody" : kv.value();
  }
  return {};
}

}  // namespace

std::string EvacuationOrderKey(const ZoneFailoverSettings& zones, std::size_t zone) {
  return zones.prefix + zone_failover::OrderKey(zone);
}

Result<std::size_t> FindZone(const ZoneFailoverSettings& zones, const std::string& name) {
  const auto found = std::find(zones.zones.begin(), zones.zones.end(), name);
  if (found == zones.zones.end()) return UnknownZone{name, zones.zones};
  return static_cast<std::size_t>(found - zones.zones.begin());
}

asio::awaitable<Result<ZoneStoreContent>> ReadZoneStore(etcd::Client& client,
                                                        const ZoneFailoverSettings& zones,
                                                        milliseconds timeout) {
  pb::RangeRequest request;
  request.set_key(zones.prefix);
  request.set_range_end(etcd::PrefixRangeEnd(zones.prefix));
  pb::RangeResponse response;
  const etcd::Status status = co_await client.Call("/etcdserverpb.KV/Range", request, &response, timeout);
  if (!status.ok()) co_return EtcdCallError(status);
  ZoneStoreContent content;
  content.evacuation_orders.resize(zones.zones.size());
  for (const pb::KeyValue& kv : response.kvs()) {
    const Result<void> added = AddKey(kv.key().substr(zones.prefix.size()), kv, content);
    if (!added) co_return added.error();
  }
  co_return content;
}

asio::awaitable<Result<DecisionHistory>> ReadDecisionHistory(etcd::Client& client,
                                                             const ZoneFailoverSettings& zones,
                                                             std::size_t max_count, milliseconds timeout) {
  DecisionHistory history;
  pb::RangeRequest request;
  request.set_key(zones.prefix + zone_failover::kDecisionKey);
  std::int64_t revision = 0;  // the newest
  while (history.decisions.size() < max_count) {
    request.set_revision(revision);
    pb::RangeResponse response;
    const etcd::Status status = co_await client.Call("/etcdserverpb.KV/Range", request, &response, timeout);
    history.is_compacted = status.code == etcd::Code::kOutOfRange && revision > 0;
    if (history.is_compacted) break;
    if (!status.ok()) co_return EtcdCallError(status);
    if (response.kvs_size() == 0) break;
    Result<Decision> decision =
        ParseDecision(response.kvs(0).value(), zones.zones.size(), EtcdError::Kind::kUnreadablePastDecision);
    if (!decision) co_return decision.error();
    history.decisions.push_back({response.kvs(0).mod_revision(), std::move(*decision)});
    revision = history.decisions.back().revision - 1;
    if (revision < 1) break;
  }
  co_return history;
}

}  // namespace badgerbridge::cli
