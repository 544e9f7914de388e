// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/zone_failover_source.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <stdexcept>

#include "membership/etcd_settings.h"
#include "proxy_main/zone_failover_calls.h"
#include "zone_failover/links.h"

namespace badgerbridge::proxy_main {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace pb = etcdserverpb;
using balancer::Duration;
using balancer::Outcome;
using balancer::TimePoint;
using std::chrono::milliseconds;
using zone_failover::AttemptOutcome;
using zone_failover::Member;

constexpr double kMeanGain = 0.02;
constexpr milliseconds kLongestRest{250};  // between two looks: grants run out by time alone

zone_failover::MemberSettings SettingsOf(const proxy::Config& config,
                                         const operator_config::ZoneFailoverSettings& table) {
  if (table.zones != config.zones) {
    std::string theirs;
    for (const std::string& zone : config.zones) theirs += (theirs.empty() ? "" : ", ") + zone;
    throw std::runtime_error("[regions] zones are not those of the configuration, in its order: " + theirs);
  }
  zone_failover::MemberSettings settings;
  settings.name = config.name;
  settings.zone = config.settings.zone;
  settings.request_classes = config.classes.size();
  settings.coordinated = table.coordinated;
  settings.lease_ttl_s = static_cast<int>(table.lease.count() / 1000);
  settings.heartbeat = table.heartbeat;
  settings.failover.zones = table.zones.size();
  settings.failover.grant_hold = table.grant_hold;
  settings.failover.recovery_step = table.recovery_step;
  zone_failover::ZoneLinks links = zone_failover::ZoneLinksFrom(table);
  settings.failover.round_trip_ms = std::move(links.round_trip_ms);
  settings.failover.transfer_price = std::move(links.transfer_price);
  for (const balancer::ClassSettings& c : config.settings.classes)
    settings.failover.latency_objective_ms =
        std::min(settings.failover.latency_objective_ms, c.latency_objective.count());
  return settings;
}

AttemptOutcome AttemptOutcomeOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return AttemptOutcome::kServed;
    case Outcome::kRejected:
      return AttemptOutcome::kRejected;
    case Outcome::kCancelled:
    case Outcome::kNotSent:
      return AttemptOutcome::kCancelled;
    default:
      return AttemptOutcome::kFailed;
  }
}

double Rounded(double x) { return std::round(x * 1000) / 1000; }

}  // namespace

ZoneFailoverSource::ZoneFailoverSource(asio::io_context& io, const proxy::ProxyClock& clock,
                                       const proxy::Config& config,
                                       const operator_config::ZoneFailoverSettings& settings,
                                       OnShares on_shares)
    : io_(io),
      clock_(clock),
      prefix_(settings.prefix),
      name_(config.name),
      zones_(config.zones),
      zone_(config.settings.zone),
      together_(settings.coordinated),
      call_timeout_(std::max<milliseconds>(settings.heartbeat * 2, milliseconds(500))),
      slow_start_floor_(config.settings.slow_start_floor),
      slow_start_window_(config.settings.slow_start_window),
      on_shares_(std::move(on_shares)),
      member_(SettingsOf(config, settings), config.seed ^ 0x7265676fu),
      timer_(io) {
  if (together_) {
    etcd::ClientSettings client = membership::MakeEtcdClientSettings(settings).value();
    // A member of etcd that does not answer must leave time for the next.
    client.call_timeout = std::max(milliseconds(150), call_timeout_ / 2);
    client_.emplace(io, std::move(client), config.seed);
  }
  asio::post(io_, [this, alive = alive_] {
    if (*alive) Step();
  });
}

ZoneFailoverSource::~ZoneFailoverSource() { *alive_ = false; }

void ZoneFailoverSource::OnEndpointList(TimePoint, const proxy::EndpointList& list) {
  if (list.snapshot) servers_.clear();
  for (const proxy::Endpoint& endpoint : list.endpoints) {
    if (endpoint.entry.state == balancer::BackendState::kReady) {
      servers_[endpoint.entry.server] = {endpoint.entry.zone, endpoint.entry.weight, endpoint.entry.up_since};
    } else {
      servers_.erase(endpoint.entry.server);
    }
  }
}

std::vector<double> ZoneFailoverSource::Warm(TimePoint now) const {
  std::vector<double> warm(zones_.size());
  for (const auto& [id, server] : servers_) {
    if (server.zone < 0 || static_cast<std::size_t>(server.zone) >= warm.size()) continue;
    const double age = server.up_since == TimePoint{} ? 1e300 : (now - server.up_since).count();
    const double grown =
        slow_start_window_.count() > 0 ? std::clamp(age / slow_start_window_.count(), 0.0, 1.0) : 1;
    warm[static_cast<std::size_t>(server.zone)] +=
        server.weight * (slow_start_floor_ + (1 - slow_start_floor_) * grown);
  }
  return warm;
}

void ZoneFailoverSource::OnRequest(TimePoint now, const balancer::Submit& submit) {
  if (submit.has_hint) mean_work_ += (mean_work_ > 0 ? kMeanGain : 1) * (submit.work_ms - mean_work_);
  member_.RequestArrived(now, WorkOf(submit));
}

double ZoneFailoverSource::WorkOf(const balancer::Submit& submit) const {
  return submit.has_hint ? submit.work_ms : mean_work_ > 0 ? mean_work_ : 1;
}

void ZoneFailoverSource::OnAttemptSent(TimePoint now, const request_table::Send& send,
                                       const balancer::Submit& submit) {
  const auto server = servers_.find(send.server);
  if (server == servers_.end() || server->second.zone < 0) return;  // drains, and is used as a last resort
  const Out out{++attempts_, static_cast<std::size_t>(submit.request_class), WorkOf(submit)};
  out_[{send.request, send.attempt}] = out;
  member_.AttemptStarted(now, out.number, static_cast<std::size_t>(server->second.zone));
}

void ZoneFailoverSource::OnAttemptEnded(TimePoint now, const request_table::Send& send, Outcome outcome,
                                        std::string_view load) {
  const auto found = out_.find({send.request, send.attempt});
  if (found == out_.end()) return;
  const Out out = found->second;
  out_.erase(found);
  member_.AttemptEnded(now, out.number,
                       {.request_class = out.request_class,
                        .outcome = AttemptOutcomeOf(outcome),
                        .latency = now - send.sent_at,
                        .work = out.work,
                        .utilization = UtilIn(load)});
}

void ZoneFailoverSource::Step() {
  const TimePoint now = clock_.Now();
  if (!calling_) {
    member_.UpdateWarmBackends(Warm(now));
    if (auto call = member_.NextCall(now)) {
      calling_ = true;
      asio::co_spawn(io_, Carry(std::move(*call)), asio::detached);
    }
  }
  std::vector<double> shares = member_.ZoneQuotas(now);
  if (shares != told_) {
    told_ = shares;
    on_shares_(std::move(shares));
  }
  const auto rest = Duration(
      calling_ ? kLongestRest : std::clamp<Duration>(member_.wake_at() - now, Duration(1), kLongestRest));
  timer_.ArmAfter(std::chrono::ceil<milliseconds>(rest), [this] { Step(); });
}

asio::awaitable<void> ZoneFailoverSource::Carry(Member::Call call) {
  const auto alive = alive_;
  Member::Reply reply;
  if (const auto* grant = std::get_if<Member::GrantLease>(&call)) {
    pb::LeaseGrantResponse response;
    const auto status =
        co_await client_->Call("/etcdserverpb.Lease/LeaseGrant", ToEtcd(*grant), &response, call_timeout_);
    reply = FromEtcd(status, response);
  } else if (const auto* keep = std::get_if<Member::KeepLeaseAlive>(&call)) {
    // A stream both ways in the API; one question and its end make it a single call.
    pb::LeaseKeepAliveResponse response;
    const auto status =
        co_await client_->Call("/etcdserverpb.Lease/LeaseKeepAlive", ToEtcd(*keep), &response, call_timeout_);
    reply = FromEtcd(status, response);
  } else {
    pb::TxnRequest txn;
    if (const auto* heartbeat = std::get_if<Member::Heartbeat>(&call))
      txn = ToEtcd(*heartbeat, prefix_, name_);
    if (const auto* stand = std::get_if<Member::Campaign>(&call)) txn = ToEtcd(*stand, prefix_, name_);
    if (const auto* propose = std::get_if<Member::Propose>(&call)) txn = ToEtcd(*propose, prefix_);
    pb::TxnResponse response;
    const auto status =
        co_await client_->Call("/etcdserverpb.KV/Txn", std::move(txn), &response, call_timeout_);
    reply = FromEtcd(status, response, prefix_);
  }
  if (!*alive) co_return;
  calling_ = false;
  member_.CallEnded(clock_.Now(), reply);
  Step();
}

json::value ZoneFailoverSource::Describe() {
  const TimePoint now = clock_.Now();
  const std::vector<double> shares = member_.ZoneQuotas(now);
  const auto number = [](double x) -> json::value {
    return x < 0 ? json::value(nullptr) : json::value(Rounded(x));
  };
  const auto& decision = member_.decision();
  json::array zones;
  for (std::size_t z = 0; z < zones_.size(); ++z) {
    json::object one{{"name", zones_[z]}, {"share", number(shares[z])}};  // null: without limit
    if (decision) {
      const zone_failover::Decision::Zone& d = decision->zones[z];
      one["state"] = zone_failover::WireName(d.state);
      one["why"] = d.reason;
      one["shown"] = Rounded(d.observed_capacity);
      one["limit"] = Rounded(d.limit);
      one["carried"] = Rounded(d.served);
      one["demand"] = Rounded(d.demand);
      one["members"] = d.members;
      one["lost"] = d.lost_members;
      one["granted"] = number(decision->grants.at(static_cast<std::size_t>(zone_), z));
    }
    zones.push_back(std::move(one));
  }
  return json::object{{"decide", together_ ? "together" : "alone"},
                      {"zone", zones_[static_cast<std::size_t>(zone_)]},
                      {"in_touch", member_.IsInContact(now)},
                      {"admitted", member_.IsAdmitted()},
                      {"deciding", member_.is_leader()},
                      {"decider", member_.leader()},
                      {"epoch", decision ? decision->epoch : 0},
                      {"calls", member_.calls()},
                      {"last_trouble", member_.last_error()},
                      {"zones", std::move(zones)}};
}

}  // namespace badgerbridge::proxy_main
