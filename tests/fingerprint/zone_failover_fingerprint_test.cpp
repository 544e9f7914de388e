// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Zone failover: members over one simulated etcd, of whom one decides; zones that fail, slow down or are
/// evacuated; members that stop, die, or lose etcd.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fingerprint/fingerprint.h"
#include "fingerprint/json_digest.h"
#include "fingerprint/random.h"
#include "simulator/etcd_model.h"
#include "zone_failover/evacuation.h"
#include "zone_failover/member.h"

namespace badgerbridge::fingerprint {
namespace {

using balancer::Duration;
using balancer::TimePoint;
using zone_failover::AttemptOutcome;
using zone_failover::Decision;
using zone_failover::Member;

constexpr std::uint64_t kSeeds = 24;
constexpr int kSteps = 5000;
constexpr double kStepMs = 10;
constexpr double kWorkIntervalMs = 50;
constexpr double kLoadIntervalMs = 500;
constexpr int kZoneStates = 5;

/// How often the runs met what they must meet, summed over the seeds.
struct Coverage {
  std::uint64_t grants = 0, keep_alives = 0, heartbeats = 0, campaigns = 0, proposals = 0;
  std::uint64_t leaders = 0, out_of_contact = 0, not_admitted = 0, alone = 0, limited = 0;
  std::array<std::uint64_t, kZoneStates> zone_states{};
};

void AddMatrix(const zone_failover::Matrix& matrix, Digest* digest) {
  digest->Add(matrix.zones());
  for (std::size_t origin = 0; origin < matrix.zones(); ++origin) {
    for (std::size_t receiver = 0; receiver < matrix.zones(); ++receiver)
      digest->Add(matrix.at(origin, receiver));
  }
}

void AddDecision(const Decision& decision, Digest* digest) {
  digest->Add(decision.epoch, decision.leader, decision.admitted_revision, decision.counted_revision);
  for (const zone_failover::MemberIncarnation& readmitted : decision.readmitted)
    digest->Add(readmitted.member, readmitted.create_revision);
  for (const Decision::Zone& zone : decision.zones) {
    digest->Add(zone.state, zone.observed_capacity, zone.limit, zone.served, zone.demand, zone.members,
                zone.lost_members);
    digest->Add(!zone.reason.empty());
  }
  AddMatrix(decision.grants, digest);
  AddMatrix(decision.grant_ceiling, digest);
  AddMatrix(decision.standby, digest);
  for (const zone_failover::RosterEntry& entry : decision.roster) digest->Add(entry.member, entry.zone);
}

/// Members with clocks of their own, their calls of etcd, and the zones that they send work to.
class SimulatedZones {
 public:
  SimulatedZones(std::uint64_t seed, Coverage* coverage)
      : random_(seed), fingerprint_("zone_failover", seed), coverage_(coverage) {
    const auto zones = static_cast<std::size_t>(random_.Integer(2, 4));
    coordinated_ = random_.Chance(0.8);
    const int members = random_.Integer(6, 12);
    DrawSettings(zones);
    for (std::size_t zone = 0; zone < zones; ++zone)
      zones_.push_back({.capacity = 1.5 * members / static_cast<double>(zones)});
    for (int number = 0; number < members; ++number) AddMember(number);
  }

  void Execute() {
    for (int step = 1; step <= kSteps; ++step) {
      now_ms_ += kStepMs;
      Disturb();
      if (!etcd_down_) etcd_.ExpireLeases(TimePoint(Duration(now_ms_)));
      if (step % static_cast<int>(kLoadIntervalMs / kStepMs) == 0) MeasureLoad();
      for (SimulatedMember& member : members_) StepMember(step, &member);
      if (step % 100 == 0) AddState();
      fingerprint_.EndStep();
      if (step % (kSteps / static_cast<int>(Fingerprint::kParts)) == 0) fingerprint_.EndPart();
    }
    fingerprint_.Check();
  }

 private:
  struct Zone {
    double capacity = 1;  ///< Work a ms; 0: it fails what it is sent.
    double slow = 1;      ///< Times that its answers take longer than usual.
    double failing = 0;   ///< Share of its answers.
    bool silent = false;  ///< It never answers.
    double warm = 10;     ///< Backends that are warm; cold ones count by their share.
    bool tells_used = true;
    double load = 0;  ///< Since the last measurement.
    std::optional<double> used = 0.4;
  };
  struct SimulatedMember {
    std::string name;
    std::size_t zone = 0;
    std::unique_ptr<Member> member;
    double clock_rate = 1, clock_offset_ms = 0;
    double demand = 0;  ///< Work a ms that clients ask of it.
    bool stopped = false, dead = false, cut_off = false;
    std::optional<Member::Call> call;  ///< Under way.
    std::optional<Member::Reply> reply;
    double reaches_ms = 0, returns_ms = 0;
    bool lost_there = false, lost_back = false;
    std::uint64_t attempts = 0, epoch_seen = 0;
  };

  void DrawSettings(std::size_t zones) {
    settings_.zones = zones;
    settings_.round_trip_ms = zone_failover::Matrix(zones);
    settings_.transfer_price = zone_failover::Matrix(zones);
    for (std::size_t origin = 0; origin < zones; ++origin) {
      for (std::size_t receiver = 0; receiver < origin; ++receiver) {
        const double round_trip = random_.Between(1, 120);
        const double price = random_.Between(0, 0.4);
        settings_.round_trip_ms.at(origin, receiver) = settings_.round_trip_ms.at(receiver, origin) =
            round_trip;
        settings_.transfer_price.at(origin, receiver) = settings_.transfer_price.at(receiver, origin) = price;
      }
    }
    settings_.latency_objective_ms = random_.Between(150, 600);
    settings_.grant_hold = Duration(random_.Between(2000, 6000));
    settings_.standby_hold = Duration(random_.Between(8000, 60000));
    settings_.recovery_step = Duration(random_.Between(200, 800));
  }

  void AddMember(int number) {
    SimulatedMember added;
    added.name = "n" + std::to_string(number);
    added.zone = static_cast<std::size_t>(number) % settings_.zones;
    added.clock_rate = random_.Between(0.99, 1.01);
    added.clock_offset_ms = random_.Between(1e6, 2e6);
    added.demand = random_.Between(0.4, 0.8);
    members_.push_back(std::move(added));
    StartMember(&members_.back());
  }

  void StartMember(SimulatedMember* member) {
    zone_failover::MemberSettings settings;
    settings.name = member->name;
    settings.zone = static_cast<int>(member->zone);
    settings.failover = settings_;
    settings.request_classes = 2;
    settings.coordinated = coordinated_;
    member->member = std::make_unique<Member>(settings, random_.Next());
    member->member->UpdateWarmBackends(std::vector<double>(settings_.zones, 10));
    member->call.reset();
    member->reply.reset();
    member->dead = member->stopped = false;
  }

  TimePoint ClockOf(const SimulatedMember& member) const {
    return TimePoint(Duration(member.clock_offset_ms + now_ms_ * member.clock_rate));
  }

  // ---- what happens ----

  void Disturb() {
    const double draw = random_.Unit();
    SimulatedMember& member = members_[random_.Index(members_.size())];
    const std::size_t number = random_.Index(zones_.size());
    if (draw < 0.003) {
      member.stopped = !member.stopped;
    } else if (draw < 0.006) {
      member.cut_off = !member.cut_off;
    } else if (draw < 0.009) {
      KillOrStart(&member);
    } else if (draw < 0.011) {
      etcd_down_ = !etcd_down_ && random_.Chance(0.5);
    } else if (draw < 0.017) {
      DisturbZone(&zones_[number]);
    } else if (draw < 0.019) {
      etcd_.SetEvacuationOrder(static_cast<int>(number), random_.Chance(0.4) ? "an operator" : "");
    } else if (draw < 0.020) {
      if (backup_ && random_.Chance(0.3)) etcd_.Restore(*backup_);
      backup_ = etcd_;
    } else if (draw < 0.0203) {
      etcd_.Put("members/liar", random_.Chance(0.5) ? "{\"v\":1,\"zone\":NaN}" : std::string(9000, 'x'));
    } else if (draw < 0.024) {
      zones_[number].warm = random_.Chance(0.4) ? 10 : random_.Unit() * random_.Unit() * 10;
      zones_[number].tells_used = random_.Chance(0.5);
    }
  }

  void KillOrStart(SimulatedMember* member) {
    if (member->dead) {
      StartMember(member);
    } else {
      member->dead = true;
    }
  }

  void DisturbZone(Zone* zone) {
    const bool well = zone->capacity > 0 && zone->slow == 1 && zone->failing == 0 && !zone->silent;
    zone->capacity = random_.Between(2, 8);
    zone->slow = 1;
    zone->failing = 0;
    zone->silent = false;
    if (!well) return;
    const int fault = random_.Integer(0, 3);
    if (fault == 0) zone->capacity = 0;
    if (fault == 1) zone->slow = random_.Chance(0.2) ? random_.Between(25, 45) : random_.Between(2, 20);
    if (fault == 2) zone->silent = true;
    if (fault == 3) zone->failing = random_.Between(0.2, 0.9);
  }

  void MeasureLoad() {
    for (Zone& zone : zones_) {
      if (zone.capacity > 0) zone.used = std::min(1.0, zone.load / kLoadIntervalMs / zone.capacity);
      if (!zone.tells_used || random_.Chance(0.1)) zone.used.reset();
      zone.load = 0;
    }
    std::vector<double> warm;
    for (const Zone& zone : zones_) warm.push_back(zone.warm);
    for (SimulatedMember& member : members_) {
      if (!member.dead && random_.Chance(0.8))
        member.member->UpdateWarmBackends(warm);  // others hear of it later
    }
  }

  void StepMember(int step, SimulatedMember* member) {
    DeliverCall(member);
    if (member->dead || member->stopped) return;
    const TimePoint now = ClockOf(*member);
    if (step % static_cast<int>(kWorkIntervalMs / kStepMs) == 0) SendWork(now, member);
    if (member->call && member->reply && now_ms_ >= member->returns_ms) {
      member->call.reset();
      member->member->CallEnded(now, *std::exchange(member->reply, std::nullopt));
    }
    if (member->call) return;
    std::optional<Member::Call> call = member->member->NextCall(now);
    AddDecisionOf(member);
    if (!call) return;
    fingerprint_.digest().Add(member->name);
    std::visit([this](const auto& one) { AddCall(one); }, *call);
    member->call = std::move(call);
    member->lost_there = member->cut_off || random_.Chance(0.01);
    member->lost_back = random_.Chance(0.01);
    member->reaches_ms = now_ms_ + 1 + 20 * random_.Unit() * random_.Unit();
    member->returns_ms = member->reaches_ms + 1 + 20 * random_.Unit() * random_.Unit();
  }

  void DeliverCall(SimulatedMember* member) {
    if (!member->call || member->reply || now_ms_ < member->reaches_ms) return;
    if (etcd_down_ || member->lost_there) {
      member->reply = Member::Reply{};
      member->returns_ms = now_ms_ + 400;
      return;
    }
    member->reply = etcd_.Execute(TimePoint(Duration(now_ms_)), member->name, *member->call);
    if (member->lost_back) member->reply = Member::Reply{};
  }

  /// What is asked of a member goes to its own zone as far as it may, and the rest wherever it may.
  void SendWork(TimePoint now, SimulatedMember* member) {
    const double work = member->demand * kWorkIntervalMs;
    member->member->RequestArrived(now, work);
    const std::vector<double> quotas = member->member->ZoneQuotas(now);
    for (const double quota : quotas) fingerprint_.digest().Add(quota);
    double left = work;
    for (std::size_t offset = 0; offset < zones_.size(); ++offset) {
      const std::size_t receiver = (member->zone + offset) % zones_.size();
      const bool limited = quotas[receiver] != zone_failover::kUnlimited;
      coverage_->limited += limited && quotas[receiver] > 0;
      const double part = limited ? std::min(left, quotas[receiver] * kWorkIntervalMs) : left;
      if (part <= 0) continue;
      left -= part;
      SendTo(now, receiver, part, member);
    }
  }

  void SendTo(TimePoint now, std::size_t receiver, double work, SimulatedMember* member) {
    Zone& zone = zones_[receiver];
    const std::uint64_t attempt = ++member->attempts;
    member->member->AttemptStarted(now, attempt, receiver);
    zone.load += work;
    if (zone.silent) return;
    zone_failover::AttemptResult result;
    result.outcome = zone.capacity > 0 ? AttemptOutcome::kServed : AttemptOutcome::kFailed;
    if (random_.Chance(zone.failing)) result.outcome = AttemptOutcome::kFailed;
    if (random_.Chance(0.02)) result.outcome = AttemptOutcome::kRejected;
    if (random_.Chance(0.02)) result.outcome = AttemptOutcome::kCancelled;
    result.latency = Duration(zone.slow * random_.Between(15, 30));
    result.request_class = static_cast<std::size_t>(random_.Integer(0, 1));
    result.work = work;
    result.utilization = zone.used;
    member->member->AttemptEnded(now + Duration(20), attempt, result);
  }

  // ---- what the members do ----

  // The first number that each adds stands for the kind of call.
  void AddCall(const Member::GrantLease& call) {
    fingerprint_.digest().Add(1, call.ttl_s);
    ++coverage_->grants;
  }
  void AddCall(const Member::KeepLeaseAlive& call) {
    fingerprint_.digest().Add(2, call.lease);
    ++coverage_->keep_alives;
  }
  void AddCall(const Member::Heartbeat& call) {
    fingerprint_.digest().Add(3, call.lease, call.read_all, call.known_revision, call.load_report);
    ++coverage_->heartbeats;
  }
  void AddCall(const Member::Campaign& call) {
    fingerprint_.digest().Add(4, call.lease);
    ++coverage_->campaigns;
  }
  void AddCall(const Member::Propose& call) {
    fingerprint_.digest().Add(5, call.leader_create_revision, call.decision_mod_revision, call.roster);
    AddJson(boost::json::parse(call.decision), {"why"}, &fingerprint_.digest());
    ++coverage_->proposals;
  }

  void AddDecisionOf(SimulatedMember* member) {
    const std::optional<Decision>& decision = member->member->decision();
    if (!decision || decision->epoch == member->epoch_seen) return;
    member->epoch_seen = decision->epoch;
    coverage_->alone += !coordinated_;
    fingerprint_.digest().Add(member->name);
    AddDecision(*decision, &fingerprint_.digest());
    for (const Decision::Zone& zone : decision->zones)
      ++coverage_->zone_states[static_cast<std::size_t>(zone.state)];
  }

  void AddState() {
    Digest& digest = fingerprint_.digest();
    for (const SimulatedMember& each : members_) {
      const Member& member = *each.member;
      const bool in_contact = member.IsInContact(ClockOf(each));
      digest.Add(in_contact, member.is_leader(), member.IsAdmitted(), member.leader(), member.calls());
      digest.Add(!member.last_error().empty(), member.wake_at());
      coverage_->leaders += member.is_leader();
      coverage_->out_of_contact += !in_contact;
      coverage_->not_admitted += !member.IsAdmitted();
    }
    const std::optional<Decision>& decision = members_.front().member->decision();
    if (!decision) return;
    for (std::size_t zone = 0; zone < zones_.size(); ++zone) AddEvacuationPlan(*decision, zone);
  }

  void AddEvacuationPlan(const Decision& decision, std::size_t zone) {
    const zone_failover::EvacuationPlan plan = zone_failover::PlanEvacuation(
        decision, {settings_.round_trip_ms, settings_.transfer_price}, settings_.latency_objective_ms, zone);
    fingerprint_.digest().Add(plan.moved_load, plan.unplaced_load, plan.receivers.size());
    for (const zone_failover::EvacuationPlan::Receiver& receiver : plan.receivers)
      fingerprint_.digest().Add(receiver.zone, receiver.load, receiver.planned_load, receiver.limit);
  }

  Random random_;
  zone_failover::FailoverSettings settings_;
  bool coordinated_ = true;  ///< Else each member decides for itself.
  std::vector<SimulatedMember> members_;
  std::vector<Zone> zones_;
  simulator::EtcdModel etcd_;
  std::optional<simulator::EtcdModel> backup_;
  bool etcd_down_ = false;
  double now_ms_ = 0;
  Fingerprint fingerprint_;
  Coverage* coverage_;
};

TEST(ZoneFailoverFingerprint, RandomFaults_SameCallsAndSharesAsRecorded) {
  Coverage coverage;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) SimulatedZones(seed, &coverage).Execute();
  EXPECT_GT(coverage.grants, 50U);
  EXPECT_GT(coverage.keep_alives, 500U);
  EXPECT_GT(coverage.heartbeats, 1000U);
  EXPECT_GT(coverage.campaigns, 20U);
  EXPECT_GT(coverage.proposals, 200U);
  EXPECT_GT(coverage.leaders, 100U);
  EXPECT_GT(coverage.out_of_contact, 50U);
  EXPECT_GT(coverage.not_admitted, 50U);
  EXPECT_GT(coverage.alone, 50U);
  EXPECT_GT(coverage.limited, 1000U);
  for (int state = 0; state < kZoneStates; ++state)
    EXPECT_GT(coverage.zone_states[static_cast<std::size_t>(state)], 20U) << state;
}

}  // namespace
}  // namespace badgerbridge::fingerprint
