// SPDX-License-Identifier: Apache-2.0
#include "cli/evacuation_command.h"

#include <boost/json.hpp>
#include <ostream>
#include <utility>

#include "cli/table.h"
#include "cli/zone_store.h"
#include "cli/zones_command.h"
#include "etcd.pb.h"
#include "zone_failover/evacuation.h"
#include "zone_failover/links.h"

namespace badgerbridge::cli {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace pb = etcdserverpb;
using operator_config::ZoneFailoverSettings;
using std::chrono::milliseconds;

constexpr double kDefaultLatencyObjectiveMs = 500;  // the tool does not know the request classes
constexpr std::size_t kMaxNameBytes = 100;          // of the person, in the order's value
constexpr double kMinUnplacedLoad = 1e-9;           // below it, nothing is left over but rounding

/// What an evacuation would do, and whether it was ordered.
struct EvacuationOutcome {
  zone_failover::EvacuationPlan plan;
  bool is_ordered = false;
  std::int64_t revision = 0;  // at which it was ordered

  bool lacks_capacity() const { return plan.unplaced_load > kMinUnplacedLoad; }
};

/// Writes the order unless there is one.
pb::TxnRequest MakeOrderTransaction(const std::string& key, const std::string& ordered_by,
                                    std::int64_t lease) {
  pb::TxnRequest transaction;
  pb::Compare* compare = transaction.add_compare();
  compare->set_key(key);
  compare->set_result(pb::Compare::EQUAL);
  compare->set_target(pb::Compare::CREATE);
  compare->set_create_revision(0);
  pb::PutRequest* put = transaction.add_success()->mutable_request_put();
  put->set_key(key);
  put->set_value(ordered_by.substr(0, kMaxNameBytes));
  put->set_lease(lease);
  // A second attempt, after an answer that was lost, finds the first one's key, and knows it by the lease.
  transaction.add_failure()->mutable_request_range()->set_key(key);
  return transaction;
}

/// Whether the order's key is bound to this lease after the transaction.
bool IsOrdered(const pb::TxnResponse& response, std::int64_t lease) {
  if (response.succeeded()) return true;
  if (response.responses_size() == 0) return false;
  const pb::RangeResponse& found = response.responses(0).response_range();
  return found.kvs_size() > 0 && found.kvs(0).lease() == lease;
}

/// One evacuation, from the decision in force to the order.
class Evacuation {
 public:
  Evacuation(etcd::Client& client, const ZoneFailoverSettings& zones, const EtcdCommandOptions& options,
             const EvacuationOrder& order, std::size_t zone)
      : client_(client), zones_(zones), options_(options), order_(order), zone_(zone) {}

  asio::awaitable<Result<EvacuationOutcome>> Run() {
    const Result<ZoneStoreContent> content = co_await ReadZoneStore(client_, zones_, options_.timeout);
    if (!content) co_return content.error();
    if (!content->decision)
      co_return Failure(EtcdError::Kind::kNoDecisionToFollow, ExitCode::kPartialFailure);
    EvacuationOutcome outcome;
    outcome.plan = zone_failover::PlanEvacuation(*content->decision, zone_failover::ZoneLinksFrom(zones_),
                                                 kDefaultLatencyObjectiveMs, zone_);
    const std::string& ordered_by = content->evacuation_orders[zone_];
    if (!ordered_by.empty())
      co_return Failure(EtcdError::Kind::kOrderExists, ExitCode::kConflict, ordered_by);
    if (options_.dry_run || (outcome.lacks_capacity() && !order_.force)) co_return outcome;
    const Result<std::int64_t> revision = co_await Order();
    if (!revision) co_return revision.error();
    outcome.is_ordered = true;
    outcome.revision = *revision;
    co_return outcome;
  }

 private:
  EtcdError Failure(EtcdError::Kind kind, ExitCode code, std::string detail = "") const {
    return {kind, code, order_.zone, std::move(detail)};
  }

  /// Writes the order under a new lease. The revision at which it was written.
  asio::awaitable<Result<std::int64_t>> Order() {
    pb::LeaseGrantRequest grant;
    grant.set_ttl(order_.duration.count());
    pb::LeaseGrantResponse lease;
    etcd::Status status =
        co_await client_.Call("/etcdserverpb.Lease/LeaseGrant", grant, &lease, options_.timeout);
    if (!status.ok()) co_return EtcdCallError(status);
    const pb::TxnRequest transaction =
        MakeOrderTransaction(EvacuationOrderKey(zones_, zone_), order_.ordered_by, lease.id());
    pb::TxnResponse response;
    status = co_await client_.Call("/etcdserverpb.KV/Txn", transaction, &response, options_.timeout);
    if (!status.ok()) co_return EtcdCallError(status);
    if (IsOrdered(response, lease.id())) co_return response.header().revision();
    co_await Revoke(lease.id());
    co_return Failure(EtcdError::Kind::kConcurrentOrder, ExitCode::kConflict);
  }

  /// Gives an unused lease back. A failure does not matter: the lease ends by itself.
  asio::awaitable<void> Revoke(std::int64_t lease) {
    pb::LeaseRevokeRequest request;
    request.set_id(lease);
    pb::LeaseRevokeResponse response;
    co_await client_.Call("/etcdserverpb.Lease/LeaseRevoke", request, &response, options_.timeout);
  }

  etcd::Client& client_;
  const ZoneFailoverSettings& zones_;
  const EtcdCommandOptions& options_;
  const EvacuationOrder& order_;
  std::size_t zone_;
};

std::string ResultName(const EvacuationOutcome& outcome, bool dry_run) {
  if (outcome.is_ordered) return "ordered";
  return dry_run ? "dry run" : "refused";
}

json::object OutcomeJson(const ZoneFailoverSettings& zones, const EvacuationOrder& order, bool dry_run,
                         const EvacuationOutcome& outcome) {
  json::array receivers;
  for (const auto& receiver : outcome.plan.receivers) {
    receivers.push_back(json::object{{"zone", zones.zones[receiver.zone]},
                                     {"carries", receiver.load},
                                     {"would", receiver.planned_load},
                                     {"limit", receiver.limit}});
  }
  return {{"zone", order.zone},
          {"result", ResultName(outcome, dry_run)},
          {"moved", outcome.plan.moved_load},
          {"unplaced", outcome.plan.unplaced_load},
          {"revision", outcome.revision},
          {"receivers", std::move(receivers)}};
}

std::string OutcomeText(const ZoneFailoverSettings& zones, const EvacuationOrder& order,
                        const EvacuationOutcome& outcome) {
  Table table({"ZONE", "CARRIES", "WOULD CARRY", "COULD CARRY"});
  for (const auto& receiver : outcome.plan.receivers) {
    table.Add({zones.zones[receiver.zone], FormatLoad(receiver.load), FormatLoad(receiver.planned_load),
               FormatLoad(receiver.limit)});
  }
  std::string text = order.zone + " carries " + FormatLoad(outcome.plan.moved_load) + '\n';
  text += table.ToStringUnlessEmpty();
  if (outcome.lacks_capacity()) text += "no room for " + FormatLoad(outcome.plan.unplaced_load) + " of it\n";
  if (outcome.is_ordered)
    text += "ordered at revision " + std::to_string(outcome.revision) + "; ends by itself after " +
            std::to_string(order.duration.count()) + " s\n";
  return text;
}

/// Deletes the order's key. Whether it was there.
asio::awaitable<Result<bool>> DeleteOrder(etcd::Client& client, std::string key, milliseconds timeout) {
  pb::DeleteRangeRequest request;
  request.set_key(key);
  pb::DeleteRangeResponse response;
  const etcd::Status status =
      co_await client.Call("/etcdserverpb.KV/DeleteRange", request, &response, timeout);
  if (!status.ok()) co_return EtcdCallError(status);
  co_return response.deleted() > 0;
}

}  // namespace

Result<ExitCode> EvacuateZone(const ZoneFailoverSettings& zones, const EtcdCommandOptions& options,
                              const EvacuationOrder& order, std::ostream& out, std::ostream& err) {
  const Result<std::size_t> zone = FindZone(zones, order.zone);
  if (!zone) return zone.error();
  std::optional<Evacuation> evacuation;  // must outlive its coroutine
  const auto outcome = RunWithEtcdClient<EvacuationOutcome>(zones, [&](etcd::Client& client) {
    return evacuation.emplace(client, zones, options, order, *zone).Run();
  });
  if (!outcome) return outcome.error();
  if (options.json) {
    out << json::serialize(OutcomeJson(zones, order, options.dry_run, *outcome)) << '\n';
  } else {
    out << OutcomeText(zones, order, *outcome);
  }
  if (outcome->is_ordered) return ExitCode::kSuccess;
  if (!options.dry_run) return Report(InsufficientCapacity{}, err);
  return outcome->lacks_capacity() ? ExitCode::kPartialFailure : ExitCode::kSuccess;
}

Result<ExitCode> ReturnZone(const ZoneFailoverSettings& zones, const EtcdCommandOptions& options,
                            const std::string& name, std::ostream& out) {
  const Result<std::size_t> zone = FindZone(zones, name);
  if (!zone) return zone.error();
  const auto was_ordered = RunWithEtcdClient<bool>(zones, [&](etcd::Client& client) {
    return DeleteOrder(client, EvacuationOrderKey(zones, *zone), options.timeout);
  });
  if (!was_ordered) return was_ordered.error();
  if (options.json) {
    out << json::serialize(json::object{{"zone", name}, {"ended", *was_ordered}}) << '\n';
  } else if (*was_ordered) {
    out << "the order for " << name << " has ended; it comes back by steps\n";
  } else {
    out << "there was no order for " << name << "\n";
  }
  return ExitCode::kSuccess;
}

}  // namespace badgerbridge::cli
