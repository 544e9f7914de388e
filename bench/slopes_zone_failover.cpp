// SPDX-License-Identifier: Apache-2.0
//
// The regions' common decision: calls and bytes a second of a member and of the decider, by zones and by
// members, and what deciding costs. Members over the lab's model of etcd, in virtual time; bytes are those of
// etcd's messages.
#include <algorithm>
#include <memory>
#include <optional>

#include "proxy_main/zone_failover_calls.h"
#include "simulator/etcd_model.h"
#include "slopes.h"
#include "slopes_names.h"
#include "zone_failover/member.h"

namespace badgerbridge::bench {
namespace {

namespace pb = etcdserverpb;
using balancer::Duration;
using balancer::TimePoint;
using zone_failover::AttemptOutcome;
using zone_failover::Member;

const std::string kPrefix = "/badgerbridge/regions/";
constexpr int kZonesInRegion = 8;
constexpr double kStepMs = 10;
constexpr std::size_t kFrameBytes = 5;  // gRPC's prefix of a message
constexpr double kHeartbeatMs = 250;

TimePoint At(double ms) { return TimePoint(Duration(1e6 + ms)); }

zone_failover::FailoverSettings FailoverSettingsOf(int zones) {
  zone_failover::FailoverSettings settings;
  settings.zones = static_cast<std::size_t>(zones);
  settings.round_trip_ms = zone_failover::Matrix(settings.zones, 1);
  settings.transfer_price = zone_failover::Matrix(settings.zones, 0.1);
  for (std::size_t a = 0; a < settings.zones; ++a) {
    for (std::size_t b = 0; b < settings.zones; ++b) {
      if (a / kZonesInRegion != b / kZonesInRegion) settings.round_trip_ms.at(a, b) = 40;
      if (a == b) settings.round_trip_ms.at(a, b) = settings.transfer_price.at(a, b) = 0;
    }
  }
  return settings;
}

// etcd's answer to a transaction, with the fields that etcd sets.
pb::TxnResponse ResponseOf(const Member::Call& call, const Member::Reply& reply) {
  pb::TxnResponse response;
  response.mutable_header()->set_cluster_id(0x8e9e05c52164694dULL);
  response.mutable_header()->set_member_id(0xcf1d15c5d194b5c9ULL);
  response.mutable_header()->set_revision(reply.revision);
  response.mutable_header()->set_raft_term(7);
  response.set_succeeded(reply.condition_held);
  if (!std::holds_alternative<Member::Heartbeat>(call)) return response;
  response.add_responses()->mutable_response_put()->mutable_header()->set_revision(reply.revision);
  for (const zone_failover::KeyValue& kv : reply.kvs) {
    auto* range = response.add_responses()->mutable_response_range();
    range->mutable_header()->set_revision(reply.revision);
    range->set_count(1);
    pb::KeyValue* one = range->add_kvs();
    one->set_key(kPrefix + kv.key);
    one->set_value(kv.value);
    one->set_create_revision(kv.create_revision);
    one->set_mod_revision(kv.mod_revision);
    one->set_version(kv.mod_revision - kv.create_revision + 1);
    one->set_lease(kv.lease == 0 ? 0 : 0x694d7c9a6b1f0a01LL);
  }
  return response;
}

struct Traffic {
  double calls = 0, writes = 0, bytes_out = 0, bytes_in = 0;
};

void Count(const Member::Call& call, const std::string& name, const Member::Reply& reply, Traffic* traffic) {
  ++traffic->calls;
  std::size_t out = 0;
  std::size_t in = 0;
  if (const auto* grant = std::get_if<Member::GrantLease>(&call)) {
    out = proxy_main::ToEtcd(*grant).ByteSizeLong();
    in = 40;  // id, ttl and a header
  } else if (const auto* keep = std::get_if<Member::KeepLeaseAlive>(&call)) {
    out = proxy_main::ToEtcd(*keep).ByteSizeLong();
    in = 40;
  } else {
    if (const auto* heartbeat = std::get_if<Member::Heartbeat>(&call))
      out = proxy_main::ToEtcd(*heartbeat, kPrefix, name).ByteSizeLong();
    if (const auto* campaign = std::get_if<Member::Campaign>(&call))
      out = proxy_main::ToEtcd(*campaign, kPrefix, name).ByteSizeLong();
    if (const auto* propose = std::get_if<Member::Propose>(&call))
      out = proxy_main::ToEtcd(*propose, kPrefix).ByteSizeLong();
    in = ResponseOf(call, reply).ByteSizeLong();
    ++traffic->writes;
  }
  traffic->bytes_out += static_cast<double>(out + kFrameBytes);
  traffic->bytes_in += static_cast<double>(in + kFrameBytes);
}

// All members of an installation, beside one etcd that answers at once.
class Installation {
 public:
  Installation(int zones, int members) : zones_(zones), failed_(static_cast<std::size_t>(zones), false) {
    for (int i = 0; i < members; ++i) {
      zone_failover::MemberSettings settings;
      settings.name = "proxy-" + ZoneName(i % zones) + "-" + std::to_string(1000 + i);
      settings.zone = i % zones;
      settings.failover = FailoverSettingsOf(zones);
      settings.request_classes = 3;
      settings.heartbeat = Duration(kHeartbeatMs);
      names_.push_back(settings.name);
      members_.push_back(std::make_unique<Member>(std::move(settings), static_cast<std::uint64_t>(i + 1)));
      members_.back()->UpdateWarmBackends(
          std::vector<double>(static_cast<std::size_t>(zones), static_cast<double>(kBackends) / zones));
    }
  }

  void Fail(int zone, bool fails) { failed_[static_cast<std::size_t>(zone)] = fails; }

  struct Costs {
    Traffic member, decider;  // a second: the mean of those that don't decide; the decider
    double decide_ms = 0;     // CPU of the decider a second
    double member_ms = 0;     // CPU of one other member a second
    double epochs = 0;        // decisions a second
  };

  Costs Play(double ms) {
    Traffic others;
    Costs costs;
    double other_members = 0;
    const std::uint64_t epoch = Epoch();
    for (const double end = now_ + ms; now_ < end; now_ += kStepMs) {
      for (std::size_t i = 0; i < members_.size(); ++i) Step(i, &others, &costs);
    }
    other_members = static_cast<double>(members_.size()) - 1;
    const double seconds = ms / 1000;
    const auto each = [&](Traffic* traffic, double share) {
      for (double* count : {&traffic->calls, &traffic->writes, &traffic->bytes_out, &traffic->bytes_in})
        *count /= share;
    };
    each(&others, other_members * seconds);
    each(&costs.decider, seconds);
    costs.member = others;
    costs.decide_ms /= seconds;
    costs.member_ms /= other_members * seconds;
    costs.epochs = static_cast<double>(Epoch() - epoch) / seconds;
    return costs;
  }

  std::size_t SizeOf(const std::string& key) const {
    const auto found = etcd_.keys().find(key);
    return found == etcd_.keys().end() ? 0 : found->second.value.size();
  }
  std::size_t EvidenceBytes() const { return SizeOf("members/" + names_.front()); }
  int Deciders() const {
    return static_cast<int>(
        std::count_if(members_.begin(), members_.end(), [](const auto& one) { return one->is_leader(); }));
  }

 private:
  std::uint64_t Epoch() const {
    return members_.front()->decision() ? members_.front()->decision()->epoch : 0;
  }

  void Serve(std::size_t i) {
    Member& member = *members_[i];
    const auto home = i % static_cast<std::size_t>(zones_);
    const std::vector<double> shares = member.ZoneQuotas(At(now_));
    member.RequestArrived(At(now_), 50);
    for (std::size_t zone = 0; zone < shares.size(); ++zone) {
      const double work = shares[zone] == zone_failover::kUnlimited ? 50 : shares[zone] * 50;
      if (work <= 0 || (zone != home && !failed_[home])) continue;
      member.AttemptStarted(At(now_), ++attempts_, zone);
      const auto outcome = failed_[zone] ? AttemptOutcome::kFailed : AttemptOutcome::kServed;
      member.AttemptEnded(At(now_ + 20), attempts_, {0, outcome, Duration(20), work, 0.4});
    }
  }

  void Step(std::size_t i, Traffic* others, Costs* costs) {
    Member& member = *members_[i];
    if (static_cast<int>(now_) % 50 == 0) Serve(i);
    for (;;) {
      const double before = ThreadCpuMs();
      const auto call = member.NextCall(At(now_));
      double took = ThreadCpuMs() - before;
      if (!call) return;
      const bool decides = member.is_leader();
      const Member::Reply reply = etcd_.Execute(At(now_), names_[i], *call);
      Count(*call, names_[i], reply, decides ? &costs->decider : others);
      const double again = ThreadCpuMs();
      member.CallEnded(At(now_), reply);
      took += ThreadCpuMs() - again;
      (decides ? costs->decide_ms : costs->member_ms) += took;
    }
  }

  int zones_;
  std::vector<bool> failed_;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<Member>> members_;
  simulator::EtcdModel etcd_;
  std::uint64_t attempts_ = 0;
  double now_ = 0;
};

void MeasureZones(Report& report) {
  constexpr int kMembers = 48;
  Series calls("regions: calls of a member a second", "calls", "zones");
  Series bytes("regions: bytes of a member a second, both ways, calm", "bytes", "zones");
  Series failing("regions: the same for 10 s from a zone's failure", "bytes", "zones");
  Series evidence("regions: a member's evidence", "bytes", "zones");
  Series decision("regions: the decision's record", "bytes", "zones squared");
  Series member_cpu("regions: CPU of a member a second", "ms", "zones");
  for (const int zones : {3, 8, 16, kZones}) {
    Installation all(zones, kMembers);
    all.Play(15000);
    report.checks.Expect(all.Deciders() == 1, "regions: not one decider");
    const auto calm = all.Play(20000);
    evidence.Add(zones, static_cast<double>(all.EvidenceBytes()));
    calls.Add(zones, calm.member.calls);
    bytes.Add(zones, calm.member.bytes_out + calm.member.bytes_in);
    member_cpu.Add(zones, calm.member_ms);
    all.Fail(0, true);
    const auto fails = all.Play(10000);
    failing.Add(zones, fails.member.bytes_out + fails.member.bytes_in);
    decision.Add(zones * zones, static_cast<double>(all.SizeOf("decision")));
    std::printf(
        "   %d zones: %.2f calls/s, %.0f B/s out, %.0f B/s in; while a zone fails %.0f and %.0f, %.1f "
        "decisions/s\n",
        zones, calm.member.calls, calm.member.bytes_out, calm.member.bytes_in, fails.member.bytes_out,
        fails.member.bytes_in, fails.epochs);
  }
  report.Fit(calls, "regions_calls_per_zone");
  report.Figure("regions_calls", calls.Points().back().y,
                "regions: calls of a member a second with 24 zones");
  report.Fit(bytes, "regions_bytes_per_zone");
  report.Figure("regions_bytes", bytes.Points().back().y,
                "regions: bytes of a member a second with 24 zones");
  report.Fit(failing, "regions_failing_bytes_per_zone");
  report.Figure("regions_failing_bytes", failing.Points().back().y, "regions: the same while a zone fails");
  report.Fit(evidence, "regions_evidence_bytes_per_zone");
  report.Fit(decision, "regions_decision_bytes_per_zones_squared");
  report.Fit(member_cpu, "regions_member_ms_per_zone", Weighting::kAbsolute);
}

void MeasureMembers(Report& report) {
  Series read("regions: bytes that the decider reads a second", "bytes", "members");
  Series cpu("regions: CPU of the decider a second", "ms", "members");
  Series roll("regions: the roll, written with each decision", "bytes", "members");
  Series writes("regions: writes at etcd a second", "writes", "members");
  Series failing_cpu("regions: CPU of the decider a second, while a zone fails", "ms", "members");
  Series failing_bytes("regions: bytes of the decider a second, while a zone fails", "bytes", "members");
  for (const int members : {48, 192, 768, 1536}) {
    Installation all(kZones, members);
    all.Play(members > 1000 ? 8000 : 15000);
    report.checks.Expect(all.Deciders() == 1, "regions: not one decider among many");
    const auto calm = all.Play(5000);
    read.Add(members, calm.decider.bytes_in);
    cpu.Add(members, calm.decide_ms);
    writes.Add(members, calm.member.writes * (members - 1) + calm.decider.writes);
    all.Fail(0, true);
    const auto fails = all.Play(5000);
    failing_cpu.Add(members, fails.decide_ms);
    failing_bytes.Add(members, fails.decider.bytes_in + fails.decider.bytes_out);
    roll.Add(members, static_cast<double>(all.SizeOf("roll")));
  }
  report.Fit(read, "regions_decider_bytes_per_member");
  report.Fit(cpu, "regions_decider_ms_per_member");
  report.Fit(failing_cpu, "regions_decider_failing_ms_per_member");
  report.Fit(failing_bytes, "regions_decider_failing_bytes_per_member");
  report.Fit(roll, "regions_roll_bytes_per_member");
  report.Fit(writes, "regions_writes_per_member");
}

}  // namespace

void MeasureRegions(Report& report) {
  MeasureZones(report);
  MeasureMembers(report);
}

}  // namespace badgerbridge::bench
