// SPDX-License-Identifier: Apache-2.0
#include "cli/zones.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <cstdio>
#include <functional>
#include <ostream>
#include <random>

#include "cli/commands.h"
#include "cli/etcd_commands.h"
#include "cli/render.h"
#include "etcd.pb.h"
#include "etcd/client.h"
#include "etcd/key_range.h"
#include "membership/etcd_settings.h"
#include "zone_failover/evacuation.h"
#include "zone_failover/keys.h"
#include "zone_failover/links.h"

namespace badgerbridge::cli {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace pb = etcdserverpb;
using std::chrono::milliseconds;
using zone_failover::Decision;

constexpr milliseconds kUsual{5000};
constexpr double kUsualAim = 500;  // ms; the tool does not know the classes
constexpr std::size_t kMostWho = 100;

std::string Number(double x) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", x);
  return text;
}

struct Failure {
  int code = kAllDid;
  std::string text;
};

Failure Of(const etcd::Status& status) { return {CodeOf(status), "etcd: " + status.ToString()}; }

// All that the proxies hold in common, as of one revision.
struct Common {
  std::int64_t revision = 0, decided_at = 0;  // revisions
  std::optional<Decision> decision;
  std::string decider;
  std::size_t members = 0;
  std::vector<std::string> orders;  // by zone: by whom; empty: none
};

std::string KeyOf(const ZonesCommand& command, const std::string& rest) {
  return command.regions.prefix + rest;
}

asio::awaitable<Failure> Read(etcd::Client& client, const ZonesCommand& command, milliseconds timeout,
                              Common* common) {
  pb::RangeRequest range;
  range.set_key(command.regions.prefix);
  range.set_range_end(etcd::PrefixRangeEnd(command.regions.prefix));
  pb::RangeResponse found;
  const etcd::Status status = co_await client.Call("/etcdserverpb.KV/Range", range, &found, timeout);
  if (!status.ok()) co_return Of(status);
  const std::size_t zones = command.regions.zones.size();
  common->revision = found.header().revision();
  common->orders.resize(zones);
  for (const pb::KeyValue& kv : found.kvs()) {
    const std::string key = kv.key().substr(command.regions.prefix.size());
    if (key == zone_failover::kDecisionKey) {
      auto decision = zone_failover::DecodeDecision(kv.value(), zones);
      if (!decision)
        co_return Failure{kSomeDidNot,
                          "the decision can't be read: " + zone_failover::Message(decision.error())};
      common->decision = std::move(*decision);
      common->decided_at = kv.mod_revision();
    } else if (key == zone_failover::kLeaderKey) {
      common->decider = kv.value();
    } else if (key.rfind(zone_failover::kMembersKey, 0) == 0) {
      ++common->members;
    }
    for (std::size_t z = 0; z < zones; ++z) {
      if (key == zone_failover::OrderKey(z)) common->orders[z] = kv.value().empty() ? "nobody" : kv.value();
    }
  }
  co_return Failure{};
}

// Runs one conversation with etcd; its failure is said.
int Converse(const ZonesCommand& command, std::ostream& err,
             const std::function<asio::awaitable<Failure>(etcd::Client&, milliseconds)>& talk) {
  Failure failure{kSomeDidNot, "the call could not be made"};
  try {
    asio::io_context io(1);
    std::random_device random;
    etcd::Client client(io, membership::MakeEtcdClientSettings(command.regions).value(), random());
    asio::co_spawn(io, talk(client, command.timeout > milliseconds(0) ? command.timeout : kUsual),
                   [&](std::exception_ptr bad, Failure answer) {
                     if (!bad) failure = std::move(answer);
                     io.stop();
                   });
    io.run();
  } catch (const std::exception& bad) {
    failure = {kUsage, bad.what()};
  }
  if (!failure.text.empty()) err << "badgerbridge-ctl: " << failure.text << '\n';
  return failure.code;
}

std::optional<std::size_t> ZoneOf(const ZonesCommand& command, const std::string& name, std::ostream& err) {
  const auto& zones = command.regions.zones;
  const auto found = std::find(zones.begin(), zones.end(), name);
  if (found != zones.end()) return static_cast<std::size_t>(found - zones.begin());
  err << "badgerbridge-ctl: there is no zone " << name << "; [regions] names";
  for (const std::string& zone : zones) err << ' ' << zone;
  err << '\n';
  return std::nullopt;
}

// What comes in from others, of what is granted: at most.
double Spill(const Decision& d, std::size_t zone) {
  double sum = 0;
  for (std::size_t o = 0; o < d.zones.size(); ++o) {
    if (o != zone) sum += std::max(0.0, d.grants.at(o, zone));
  }
  return sum;
}

}  // namespace

int ShowZones(const ZonesCommand& command, std::ostream& out, std::ostream& err) {
  Common common;
  const int code = Converse(command, err, [&](etcd::Client& client, milliseconds timeout) {
    return Read(client, command, timeout, &common);
  });
  if (code != kAllDid) return code;
  if (!common.decision) {
    err << "badgerbridge-ctl: no proxy has decided anything yet; " << common.members
        << " take part. Does their operator's file have a [regions] table?\n";
    return kSomeDidNot;
  }
  const Decision& d = *common.decision;
  Table table({"ZONE", "STATE", "CARRIED", "COULD CARRY", "ASKED", "FROM OTHERS", "MEMBERS", "WHY"},
              command.color);
  json::array zones;
  for (std::size_t z = 0; z < d.zones.size(); ++z) {
    const Decision::Zone& one = d.zones[z];
    const std::string why = common.orders[z].empty() ? one.reason : "ordered by " + common.orders[z];
    const std::string members =
        std::to_string(one.members) +
        (one.lost_members > 0 ? " and " + std::to_string(one.lost_members) + " lost" : "");
    table.Add({command.regions.zones[z], std::string(zone_failover::WireName(one.state)), Number(one.served),
               Number(one.limit), Number(one.demand), Number(Spill(d, z)), members, why});
    zones.push_back(json::object{{"zone", command.regions.zones[z]},
                                 {"state", zone_failover::WireName(one.state)},
                                 {"carried", one.served},
                                 {"limit", one.limit},
                                 {"shown", one.observed_capacity},
                                 {"demand", one.demand},
                                 {"from_others", Spill(d, z)},
                                 {"members", one.members},
                                 {"lost", one.lost_members},
                                 {"order", common.orders[z]},
                                 {"why", one.reason}});
  }
  if (command.json) {
    out << json::serialize(json::object{{"epoch", d.epoch},
                                        {"revision", common.decided_at},
                                        {"decided_by", d.leader},
                                        {"decider", common.decider},
                                        {"members", common.members},
                                        {"zones", std::move(zones)}})
        << '\n';
    return kAllDid;
  }
  out << table.Text() << "epoch " << d.epoch << ", decided by " << d.leader << "; "
      << (common.decider.empty() ? "nobody decides now" : common.decider + " decides now") << "; "
      << common.members << " proxies take part; work in standard cores\n";
  return kAllDid;
}

int Evacuate(const ZonesCommand& command, const std::string& name, std::chrono::seconds lasts,
             std::ostream& out, std::ostream& err) {
  const auto zone = ZoneOf(command, name, err);
  if (!zone) return kUsage;
  Common common;
  std::int64_t written = 0;
  bool done = false, no_room = false;
  zone_failover::EvacuationPlan plan;
  const auto talk = [&](etcd::Client& client, milliseconds timeout) -> asio::awaitable<Failure> {
    Failure failure = co_await Read(client, command, timeout, &common);
    if (failure.code != kAllDid) co_return failure;
    if (!common.decision)
      co_return Failure{kSomeDidNot, "no proxy has decided anything yet, so nobody would follow the order"};
    const zone_failover::ZoneLinks links = zone_failover::ZoneLinksFrom(command.regions);
    plan = zone_failover::PlanEvacuation(*common.decision, links, kUsualAim, *zone);
    no_room = plan.unplaced_load > 1e-9;
    if (!common.orders[*zone].empty())
      co_return Failure{kConflict, "there is an order for " + name + " already, by " + common.orders[*zone] +
                                       "; badgerbridge-ctl zones return " + name + " ends it"};
    if (command.dry_run || (no_room && !command.force)) co_return Failure{};
    pb::LeaseGrantRequest grant;
    grant.set_ttl(lasts.count());
    pb::LeaseGrantResponse lease;
    etcd::Status status = co_await client.Call("/etcdserverpb.Lease/LeaseGrant", grant, &lease, timeout);
    if (!status.ok()) co_return Of(status);
    pb::TxnRequest txn;
    pb::Compare* compare = txn.add_compare();
    compare->set_key(KeyOf(command, zone_failover::OrderKey(*zone)));
    compare->set_result(pb::Compare::EQUAL);
    compare->set_target(pb::Compare::CREATE);
    compare->set_create_revision(0);
    pb::PutRequest* put = txn.add_success()->mutable_request_put();
    put->set_key(compare->key());
    put->set_value(command.who.substr(0, kMostWho));
    put->set_lease(lease.id());
    // Its second run, after an answer that was lost, finds its first: what is there says whose it is.
    txn.add_failure()->mutable_request_range()->set_key(compare->key());
    pb::TxnResponse answer;
    status = co_await client.Call("/etcdserverpb.KV/Txn", txn, &answer, timeout);
    if (!status.ok()) co_return Of(status);
    written = answer.header().revision();
    done = answer.succeeded() ||
           (answer.responses_size() > 0 && answer.responses(0).response_range().kvs_size() > 0 &&
            answer.responses(0).response_range().kvs(0).lease() == lease.id());
    if (done) co_return Failure{};
    pb::LeaseRevokeRequest revoke;
    revoke.set_id(lease.id());
    pb::LeaseRevokeResponse revoked;
    co_await client.Call("/etcdserverpb.Lease/LeaseRevoke", revoke, &revoked, timeout);
    co_return Failure{kConflict, "somebody else has just given an order for " + name};
  };
  const int code = Converse(command, err, talk);
  if (code != kAllDid) return code;
  Table table({"ZONE", "CARRIES", "WOULD CARRY", "COULD CARRY"}, command.color);
  json::array receivers;
  for (const auto& one : plan.receivers) {
    const std::string& receiver = command.regions.zones[one.zone];
    table.Add({receiver, Number(one.load), Number(one.planned_load), Number(one.limit)});
    receivers.push_back(json::object{
        {"zone", receiver}, {"carries", one.load}, {"would", one.planned_load}, {"limit", one.limit}});
  }
  const std::string result = done ? "ordered" : command.dry_run ? "dry run" : "refused";
  if (command.json) {
    out << json::serialize(json::object{{"zone", name},
                                        {"result", result},
                                        {"moved", plan.moved_load},
                                        {"unplaced", plan.unplaced_load},
                                        {"revision", written},
                                        {"receivers", std::move(receivers)}})
        << '\n';
  } else {
    out << name << " carries " << Number(plan.moved_load) << '\n';
    if (!table.empty()) out << table.Text();
    if (no_room) out << "no room for " << Number(plan.unplaced_load) << " of it\n";
    if (done)
      out << "ordered at revision " << written << "; ends by itself after " << lasts.count() << " s\n";
  }
  if (done || (command.dry_run && !no_room)) return kAllDid;
  if (!command.dry_run)
    err << "badgerbridge-ctl: the others have no room for all of it; --force orders it all the same\n";
  return kSomeDidNot;
}

int ReturnZone(const ZonesCommand& command, const std::string& name, std::ostream& out, std::ostream& err) {
  const auto zone = ZoneOf(command, name, err);
  if (!zone) return kUsage;
  std::int64_t deleted = 0;
  const int code =
      Converse(command, err, [&](etcd::Client& client, milliseconds timeout) -> asio::awaitable<Failure> {
        pb::DeleteRangeRequest request;
        request.set_key(KeyOf(command, zone_failover::OrderKey(*zone)));
        pb::DeleteRangeResponse response;
        const etcd::Status status =
            co_await client.Call("/etcdserverpb.KV/DeleteRange", request, &response, timeout);
        if (!status.ok()) co_return Of(status);
        deleted = response.deleted();
        co_return Failure{};
      });
  if (code != kAllDid) return code;
  if (command.json) {
    out << json::serialize(json::object{{"zone", name}, {"ended", deleted > 0}}) << '\n';
  } else {
    out << (deleted > 0 ? "the order for " + name + " has ended; it comes back by steps\n"
                        : "there was no order for " + name + "\n");
  }
  return kAllDid;
}

int ZonesHistory(const ZonesCommand& command, int most, std::ostream& out, std::ostream& err) {
  struct Past {
    std::int64_t revision = 0;
    Decision decision;
  };
  std::vector<Past> past;
  std::string ended;
  const auto talk = [&](etcd::Client& client, milliseconds timeout) -> asio::awaitable<Failure> {
    std::int64_t at = 0;  // the newest
    while (static_cast<int>(past.size()) < most) {
      pb::RangeRequest range;
      range.set_key(KeyOf(command, zone_failover::kDecisionKey));
      range.set_revision(at);
      pb::RangeResponse found;
      const etcd::Status status = co_await client.Call("/etcdserverpb.KV/Range", range, &found, timeout);
      if (status.code == etcd::Code::kOutOfRange && at > 0) {  // compacted
        ended = "etcd has forgotten what was before";
        co_return Failure{};
      }
      if (!status.ok()) co_return Of(status);
      if (found.kvs_size() == 0) co_return Failure{};
      auto decision = zone_failover::DecodeDecision(found.kvs(0).value(), command.regions.zones.size());
      if (!decision)
        co_return Failure{kSomeDidNot,
                          "a decision can't be read: " + zone_failover::Message(decision.error())};
      past.push_back({found.kvs(0).mod_revision(), std::move(*decision)});
      at = past.back().revision - 1;
      if (at < 1) co_return Failure{};
    }
    co_return Failure{};
  };
  const int code = Converse(command, err, talk);
  if (code != kAllDid) return code;
  Table table({"EPOCH", "REVISION", "DECIDED BY", "WHAT CHANGED"}, command.color);
  json::array all;
  for (std::size_t i = 0; i < past.size(); ++i) {
    const Decision& d = past[i].decision;
    std::string changed;
    for (std::size_t z = 0; z < d.zones.size(); ++z) {
      const bool known = i + 1 < past.size();
      if (known && past[i + 1].decision.zones[z].state == d.zones[z].state) continue;
      if (!known && d.zones[z].state == zone_failover::ZoneState::kHealthy) continue;
      changed += (changed.empty() ? "" : "; ") + command.regions.zones[z] + " " +
                 std::string(zone_failover::WireName(d.zones[z].state)) +
                 (d.zones[z].reason.empty() ? "" : ": " + d.zones[z].reason);
    }
    table.Add({std::to_string(d.epoch), std::to_string(past[i].revision), d.leader,
               changed.empty() ? "how much" : changed});
    all.push_back(json::object{
        {"epoch", d.epoch}, {"revision", past[i].revision}, {"decided_by", d.leader}, {"changed", changed}});
  }
  if (command.json) {
    out << json::serialize(all) << '\n';
    return kAllDid;
  }
  if (!table.empty()) out << table.Text();
  if (!ended.empty()) out << ended << '\n';
  return kAllDid;
}

}  // namespace badgerbridge::cli
