// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/installation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace badgerbridge::zone_failover {
namespace {

constexpr double kStepMs = 10;
constexpr int kServeIntervalMs = 50;
constexpr int kUtilizationIntervalMs = 500;
constexpr double kLatencyMs = 20;
constexpr double kLossProbability = 0.01;      // of each call and each reply
constexpr double kDecisionLifetimeMs = 12000;  // no member acts on an older decision
constexpr double kRestoredZoneCapacity = 6;    // work per ms
constexpr double kLimitRoundingError = 1e-4;   // the decision's codec rounds limits down to four decimals

}  // namespace

Installation::Installation(std::uint64_t seed, int members) : random_(seed), zones_(kZones) {
  settings_.zones = kZones;
  settings_.round_trip_ms = Matrix(kZones, 2);
  settings_.transfer_price = Matrix(kZones, 1);
  for (int i = 0; i < members; ++i) {
    SimulatedMember one;
    one.name = "n" + std::to_string(i);
    one.zone = static_cast<std::size_t>(i) % kZones;
    one.clock_rate = 0.99 + 0.02 * RandomFraction();
    one.clock_offset_ms = 1e6 * (1 + RandomFraction());
    one.demand = 0.4 + 0.4 * RandomFraction();
    members_.push_back(std::move(one));
    Start(&members_.back());
  }
  for (SimulatedZone& zone : zones_) zone.capacity = 1.5 * members / kZones;
}

void Installation::Start(SimulatedMember* one) {
  MemberSettings settings;
  settings.name = one->name;
  settings.zone = static_cast<int>(one->zone);
  settings.failover = settings_;
  one->member = std::make_unique<Member>(settings, random_());
  one->member->UpdateWarmBackends(std::vector<double>(kZones, 10));
  one->call.reset();
  one->reply.reset();
  one->dead = false;
  one->stopped = false;
}

void Installation::Step() {
  now_ += kStepMs;
  if (static_cast<int>(now_) % kUtilizationIntervalMs == 0) UpdateUtilization();
  if (!etcd_is_down_) etcd_.ExpireLeases(TimePoint(Duration(now_)));
  for (SimulatedMember& one : members_) {
    Deliver(&one);
    if (!one.dead && !one.stopped) StepMember(&one);
  }
  ReadDecision();
  if (decisions_.empty()) return;
  for (std::size_t receiver = 0; receiver < kZones; ++receiver) {
    CheckReceiver(receiver);
    if (::testing::Test::HasFatalFailure()) return;
  }
}

void Installation::UpdateUtilization() {
  for (SimulatedZone& zone : zones_) {
    if (zone.capacity > 0)
      zone.utilization = std::min(1.0, zone.load / kUtilizationIntervalMs / zone.capacity);
    zone.load = 0;
  }
}

// Executes the member's call once it has arrived at etcd.
void Installation::Deliver(SimulatedMember* one) {
  if (!one->call || now_ < one->call_arrives_at || one->reply) return;
  if (etcd_is_down_ || one->call_is_lost) {
    one->reply = Member::Reply{};
    one->reply_arrives_at = now_ + 400;
    return;
  }
  one->reply = etcd_.Execute(TimePoint(Duration(now_)), one->name, *one->call);
  if (one->reply_is_lost) one->reply = Member::Reply{};
}

void Installation::StepMember(SimulatedMember* one) {
  const TimePoint at = ClockOf(*one);
  if (static_cast<int>(now_) % kServeIntervalMs == 0) Serve(one, at);
  if (one->call && one->reply && now_ >= one->reply_arrives_at) {
    one->call.reset();
    one->member->CallEnded(at, *std::exchange(one->reply, std::nullopt));
  }
  if (one->call) return;
  one->call = one->member->NextCall(at);
  if (!one->call) return;
  one->call_is_lost = one->isolated || RandomFraction() < kLossProbability;
  one->reply_is_lost = RandomFraction() < kLossProbability;
  one->call_arrives_at = now_ + 1 + 20 * RandomFraction() * RandomFraction();
  one->reply_arrives_at = one->call_arrives_at + 1 + 20 * RandomFraction() * RandomFraction();
}

// Sends the member's requests to its own zone up to the quota, and the rest to other zones.
void Installation::Serve(SimulatedMember* one, TimePoint at) {
  double remaining = one->demand * kServeIntervalMs;
  one->member->RequestArrived(at, remaining);
  const std::vector<double> quotas = one->member->ZoneQuotas(at);
  for (std::size_t i = 0; i < kZones; ++i) {
    const std::size_t receiver = (one->zone + i) % kZones;
    const double quota = quotas[receiver];
    const double work = quota == kUnlimited ? remaining : std::min(remaining, quota * kServeIntervalMs);
    if (work <= 0) continue;
    remaining -= work;
    SimulatedZone& zone = zones_[receiver];
    zone.load += work;
    const std::uint64_t attempt = ++one->attempts;
    one->member->AttemptStarted(at, attempt, receiver);
    const auto outcome = zone.capacity > 0 ? AttemptOutcome::kServed : AttemptOutcome::kFailed;
    one->member->AttemptEnded(at + Duration(kLatencyMs), attempt,
                              {0, outcome, Duration(kLatencyMs), work, zone.utilization});
  }
}

void Installation::RestoreOrBackUpEtcd() {
  if (backup_ && RandomFraction() < 0.5) {
    etcd_.Restore(*backup_);
  } else {
    backup_ = etcd_;
  }
}

void Installation::MaybeFault() {
  const double draw = RandomFraction();
  SimulatedMember& one = members_[random_() % members_.size()];
  if (draw < 0.004) {
    one.stopped = !one.stopped;
  } else if (draw < 0.008) {
    one.isolated = !one.isolated;
  } else if (draw < 0.010) {
    if (one.dead) {
      Start(&one);
    } else {
      one.dead = true;
    }
  } else if (draw < 0.012) {
    etcd_is_down_ = !etcd_is_down_ && RandomFraction() < 0.5;
  } else if (draw < 0.014) {
    SimulatedZone& zone = zones_[random_() % kZones];
    zone.capacity = zone.capacity > 0 && RandomFraction() < 0.5 ? 0 : kRestoredZoneCapacity;
  } else if (draw < 0.015) {
    const char* const by = RandomFraction() < 0.4 ? "an operator" : "";
    etcd_.SetEvacuationOrder(static_cast<int>(random_() % kZones), by);
  } else if (draw < 0.0162) {
    RestoreOrBackUpEtcd();
  } else if (draw < 0.0164) {
    etcd_.Put("members/liar", RandomFraction() < 0.5 ? "{\"v\":1,\"zone\":NaN}" : std::string(9000, 'x'));
  }
}

void Installation::EndFaults() {
  etcd_is_down_ = false;
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    zones_[zone].capacity = kRestoredZoneCapacity;
    etcd_.SetEvacuationOrder(static_cast<int>(zone), "");
  }
  for (SimulatedMember& one : members_) {
    if (one.dead) Start(&one);
    one.stopped = false;
    one.isolated = false;
  }
}

void Installation::ReadDecision() {
  const auto record = etcd_.keys().find("decision");
  if (record != etcd_.keys().end() && record->second.mod_revision != decision_revision_) {
    decision_revision_ = record->second.mod_revision;
    auto decision = DecodeDecision(record->second.value, kZones);
    ASSERT_TRUE(decision.has_value()) << Message(decision.error());
    decisions_.push_back({now_, std::move(*decision)});
  }
  while (decisions_.size() > 1 && decisions_[1].ms < now_ - kDecisionLifetimeMs) decisions_.pop_front();
}

Installation::Total Installation::TotalOf(std::size_t receiver, bool healthy) const {
  Total total;
  for (const SimulatedMember& one : members_) {
    // A stopped member is included, because it may resume at any time with the quotas of that time. A member
    // without a decision is excluded (docs/zone_failover.md).
    if (one.dead || !one.member->decision()) continue;
    const double quota = one.member->ZoneQuotas(ClockOf(one))[receiver];
    if (quota == kUnlimited) {
      total.own_demand += one.demand;
    } else if (healthy || one.member->IsInContact(ClockOf(one))) {
      // Standby capacity of members out of contact is only reserved in a healthy zone. They can't learn that
      // the zone has failed since.
      total.granted += quota;
    }
  }
  return total;
}

void Installation::CheckReceiver(std::size_t receiver) {
  double limit = 0;
  bool healthy = true;  // in all decisions that a member may act on
  for (const DecisionAt& at : decisions_) {
    const Decision::Zone& zone = at.decision.zones[receiver];
    limit = std::max(limit, zone.limit);
    healthy = healthy && zone.state == ZoneState::kHealthy;
  }
  const Total total = TotalOf(receiver, healthy);
  // In a healthy zone, the demand of its own members has priority.
  const double available = healthy ? std::max(0.0, limit - total.own_demand) : limit;
  ASSERT_LE(total.granted, available + kLimitRoundingError)
      << "zone " << receiver << " at " << now_ << " ms, own demand " << total.own_demand << ", limit "
      << limit << Describe(receiver);
  const double use = limit > 0 ? (total.granted + total.own_demand) / limit : 0;
  max_limit_use_ = std::max(max_limit_use_, use);
}

std::string Installation::Describe(std::size_t receiver) const {
  std::string text;
  for (const SimulatedMember& one : members_) {
    const auto& decision = one.member->decision();
    text += "\n  " + one.name + " of " + std::to_string(one.zone) + (one.dead ? ", dead" : "") +
            (one.stopped ? ", stopped" : "") + (one.isolated ? ", isolated" : "") + ": quota " +
            std::to_string(one.member->ZoneQuotas(ClockOf(one))[receiver]) + ", epoch " +
            std::to_string(decision ? decision->epoch : 0) +
            (one.member->IsInContact(ClockOf(one)) ? ", in contact" : "") +
            (one.member->is_leader() ? ", leader" : "") + ", demand " + std::to_string(one.demand);
  }
  for (const DecisionAt& at : decisions_) {
    const Decision::Zone& zone = at.decision.zones[receiver];
    text += "\n  at " + std::to_string(at.ms) + " epoch " + std::to_string(at.decision.epoch) + " by " +
            at.decision.leader + ": " + std::string(WireName(zone.state)) + ", limit " +
            std::to_string(zone.limit) + ", capacity " + std::to_string(zone.observed_capacity) +
            ", demand " + std::to_string(zone.demand) + ", members " + std::to_string(zone.members) + "+" +
            std::to_string(zone.lost_members) + ", grants";
    for (std::size_t origin = 0; origin < kZones; ++origin)
      text += " " + std::to_string(at.decision.grants.at(origin, receiver)) + "/" +
              std::to_string(at.decision.grant_ceiling.at(origin, receiver));
  }
  return text;
}

}  // namespace badgerbridge::zone_failover
