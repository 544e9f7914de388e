// SPDX-License-Identifier: Apache-2.0
#include "simulator/members.h"

#include <utility>

namespace badgerbridge::simulator {

using namespace balancer;
using zone_failover::AttemptOutcome;
using zone_failover::LoadReporter;

namespace {

constexpr std::uint64_t kStream = 1000003;
constexpr double kCliffBad = 0.5, kCliffSlow = 3;  // of a zone that is left whole, by one proxy's word
constexpr Duration kCliffFor{5000};

AttemptOutcome AttemptOutcomeOf(Outcome outcome) {
  if (outcome == Outcome::kOk) return AttemptOutcome::kServed;
  if (outcome == Outcome::kRejected) return AttemptOutcome::kRejected;
  if (outcome == Outcome::kCancelled || outcome == Outcome::kNotSent) return AttemptOutcome::kCancelled;
  return AttemptOutcome::kFailed;
}

}  // namespace

struct Members::One {
  std::uint64_t incarnation = 0;
  std::unique_ptr<zone_failover::Member> member;  // none: its proxy is dead
  std::unique_ptr<LoadReporter> reporter;         // of one that fails over by itself
  std::optional<zone_failover::Member::Call> call;
  zone_failover::Member::Reply reply;
  std::vector<double> last_shares, warm;
  TimePoint left_until{};
  int zone = 0;
};

Members::Members(EventQueue& queue, const Model& model, std::uint64_t seed, OnShares on_shares)
    : queue_(queue), model_(model), random_(seed, kStream), seed_(seed), on_shares_(std::move(on_shares)) {
  for (int i = 0; i < model.proxies; ++i) all_.push_back(std::make_unique<One>());
}

Members::~Members() = default;

void Members::Start(TimePoint now, std::size_t proxy) {
  One& one = *all_[proxy];
  one.zone = static_cast<int>(proxy) % model_.zones;
  ++one.incarnation;
  one.call.reset();
  one.last_shares.clear();
  const auto zones = static_cast<std::size_t>(model_.zones);
  zone_failover::MemberSettings settings;
  settings.name = "n" + std::to_string(proxy);
  settings.zone = one.zone;
  settings.request_classes = model_.classes.size();
  settings.coordinated = model_.decision.decide == RegionsModel::Decide::kTogether;
  settings.failover.zones = zones;
  settings.failover.round_trip_ms = zone_failover::Matrix(zones);
  settings.failover.transfer_price = zone_failover::Matrix(zones);
  for (const ClassModel& c : model_.classes)
    settings.failover.latency_objective_ms =
        std::min(settings.failover.latency_objective_ms, c.rules.latency_objective.count());
  for (std::size_t o = 0; o < zones; ++o) {
    for (std::size_t r = 0; r < zones; ++r) {
      const bool far = model_.RegionOf(static_cast<int>(o)) != model_.RegionOf(static_cast<int>(r));
      settings.failover.round_trip_ms.at(o, r) =
          2 * (model_.network.latency.Mean() + (far ? model_.far.count() : 0));
      settings.failover.transfer_price.at(o, r) = o == r ? 0
                                                  : far  ? 2 * model_.cross_zone_cost
                                                         : model_.cross_zone_cost;
    }
  }
  if (model_.decision.decide == RegionsModel::Decide::kCliff) {
    one.reporter = std::make_unique<LoadReporter>(one.zone, zones, model_.classes.size());
  }
  one.member = std::make_unique<zone_failover::Member>(settings, seed_ * 7919 + proxy * 31 + one.incarnation);
  if (!one.warm.empty()) one.member->UpdateWarmBackends(one.warm);
  queue_.At(now, this, kAsk, proxy, one.incarnation);
}

void Members::Stop(std::size_t proxy) {
  ++all_[proxy]->incarnation;
  all_[proxy]->member.reset();
  all_[proxy]->reporter.reset();
}

const zone_failover::Member* Members::member(std::size_t proxy) const { return all_[proxy]->member.get(); }

void Members::On(TimePoint now, std::uint32_t what, std::uint64_t proxy, std::uint64_t incarnation) {
  One& one = *all_[proxy];
  // What a dead one has sent still arrives.
  if (what == kReach) {
    if (!one.call || one.incarnation != incarnation) return;
    one.reply =
        down_ ? zone_failover::Member::Reply{} : etcd_.Do(now, "n" + std::to_string(proxy), *one.call);
    const Duration back = down_ ? Duration(500) : Duration(model_.decision.etcd.Draw(random_));
    return queue_.At(now + back, this, kReply, proxy, incarnation);
  }
  if (one.incarnation != incarnation || !one.member) return;
  if (what == kReply) {
    one.call.reset();
    one.member->CallEnded(now, one.reply);
  }
  Ask(now, proxy);
}

void Members::Ask(TimePoint now, std::size_t proxy) {
  One& one = *all_[proxy];
  if (model_.decision.decide == RegionsModel::Decide::kCliff) {
    Tell(now, proxy);
    return queue_.At(now + Duration(250), this, kAsk, proxy, one.incarnation);
  }
  if (!one.call) {
    one.call = one.member->NextCall(now);
    if (one.call) {
      queue_.At(now + Duration(model_.decision.etcd.Draw(random_)), this, kReach, proxy, one.incarnation);
    } else {
      queue_.At(std::max(one.member->wake_at(), now + Duration(1)), this, kAsk, proxy, one.incarnation);
    }
  }
  Tell(now, proxy);
}

void Members::Tell(TimePoint now, std::size_t proxy) {
  One& one = *all_[proxy];
  auto shares = one.reporter ? Cliff(now, one) : one.member->ZoneQuotas(now);
  if (shares == one.last_shares) return;
  one.last_shares = shares;
  on_shares_(now, proxy, std::move(shares));
}

// The usual way of a proxy by itself: all of its own zone, or none of it.
std::vector<double> Members::Cliff(TimePoint now, One& one) {
  const auto home = static_cast<std::size_t>(one.zone);
  const zone_failover::ZoneLoad load = one.reporter->BuildReport(now, 0).zones[home];
  if (load.attempts >= 5 && (load.failures > kCliffBad * load.attempts || load.latency_ratio > kCliffSlow))
    one.left_until = now + kCliffFor;
  const bool left = now < one.left_until;
  std::vector<double> shares(static_cast<std::size_t>(model_.zones), left ? zone_failover::kUnlimited : 0);
  shares[home] = left ? 0 : zone_failover::kUnlimited;
  return shares;
}

void Members::Arrived(TimePoint now, std::size_t proxy, double work) {
  if (all_[proxy]->member) all_[proxy]->member->RequestArrived(now, work);
}

void Members::Sent(TimePoint now, std::size_t proxy, std::uint64_t attempt, int zone) {
  One& one = *all_[proxy];
  if (one.reporter) one.reporter->AttemptStarted(now, attempt, static_cast<std::size_t>(zone));
  if (one.member) one.member->AttemptStarted(now, attempt, static_cast<std::size_t>(zone));
}

void Members::Ended(TimePoint now, std::size_t proxy, std::uint64_t attempt, int request_class,
                    Outcome outcome, Duration took, double work, double used) {
  One& one = *all_[proxy];
  zone_failover::AttemptResult result;
  result.request_class = static_cast<std::size_t>(request_class);
  result.outcome = AttemptOutcomeOf(outcome);
  result.latency = took;
  result.work = work;
  if (model_.decision.reports && used >= 0) result.utilization = used;
  if (one.reporter) one.reporter->AttemptEnded(now, attempt, result);
  if (one.member) one.member->AttemptEnded(now, attempt, result);
}

void Members::Listed(std::size_t proxy, std::vector<double> warm) {
  all_[proxy]->warm = std::move(warm);
  if (all_[proxy]->member) all_[proxy]->member->UpdateWarmBackends(all_[proxy]->warm);
}

}  // namespace badgerbridge::simulator
