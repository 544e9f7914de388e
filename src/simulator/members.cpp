// SPDX-License-Identifier: Apache-2.0
#include "simulator/members.h"

#include <utility>

namespace badgerbridge::simulator {

using namespace balancer;
using zone_failover::Meter;

namespace {

constexpr std::uint64_t kStream = 1000003;
constexpr double kCliffBad = 0.5, kCliffSlow = 3;  // of a zone that is left whole, by one proxy's word
constexpr Duration kCliffFor{5000};

}  // namespace

struct Members::One {
  std::uint64_t incarnation = 0;
  std::unique_ptr<zone_failover::Member> member;  // none: its proxy is dead
  std::unique_ptr<Meter> meter;                   // of one that fails over by itself
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
  settings.classes = model_.classes.size();
  settings.together = model_.decision.decide == RegionsModel::Decide::kTogether;
  settings.rules.zones = zones;
  settings.rules.round_trip = zone_failover::Matrix(zones);
  settings.rules.price = zone_failover::Matrix(zones);
  for (const ClassModel& c : model_.classes)
    settings.rules.latency_objective =
        std::min(settings.rules.latency_objective, c.rules.latency_objective.count());
  for (std::size_t o = 0; o < zones; ++o) {
    for (std::size_t r = 0; r < zones; ++r) {
      const bool far = model_.RegionOf(static_cast<int>(o)) != model_.RegionOf(static_cast<int>(r));
      settings.rules.round_trip.at(o, r) =
          2 * (model_.network.latency.Mean() + (far ? model_.far.count() : 0));
      settings.rules.price.at(o, r) = o == r ? 0 : far ? 2 * model_.cross_zone_cost : model_.cross_zone_cost;
    }
  }
  if (model_.decision.decide == RegionsModel::Decide::kCliff) {
    one.meter = std::make_unique<Meter>(one.zone, zones, model_.classes.size());
  }
  one.member = std::make_unique<zone_failover::Member>(settings, seed_ * 7919 + proxy * 31 + one.incarnation);
  if (!one.warm.empty()) one.member->Listed(one.warm);
  queue_.At(now, this, kAsk, proxy, one.incarnation);
}

void Members::Stop(std::size_t proxy) {
  ++all_[proxy]->incarnation;
  all_[proxy]->member.reset();
  all_[proxy]->meter.reset();
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
    one.member->Done(now, one.reply);
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
    one.call = one.member->Next(now);
    if (one.call) {
      queue_.At(now + Duration(model_.decision.etcd.Draw(random_)), this, kReach, proxy, one.incarnation);
    } else {
      queue_.At(std::max(one.member->wake(), now + Duration(1)), this, kAsk, proxy, one.incarnation);
    }
  }
  Tell(now, proxy);
}

void Members::Tell(TimePoint now, std::size_t proxy) {
  One& one = *all_[proxy];
  auto shares = one.meter ? Cliff(now, one) : one.member->Shares(now);
  if (shares == one.last_shares) return;
  one.last_shares = shares;
  on_shares_(now, proxy, std::move(shares));
}

// The usual way of a proxy by itself: all of its own zone, or none of it.
std::vector<double> Members::Cliff(TimePoint now, One& one) {
  const auto home = static_cast<std::size_t>(one.zone);
  const zone_failover::ZoneReport report = one.meter->Take(now, 0).zones[home];
  if (report.attempts >= 5 && (report.bad > kCliffBad * report.attempts || report.slow > kCliffSlow))
    one.left_until = now + kCliffFor;
  const bool left = now < one.left_until;
  std::vector<double> shares(static_cast<std::size_t>(model_.zones), left ? zone_failover::kFree : 0);
  shares[home] = left ? 0 : zone_failover::kFree;
  return shares;
}

void Members::Arrived(TimePoint now, std::size_t proxy, double work) {
  if (all_[proxy]->member) all_[proxy]->member->Arrived(now, work);
}

void Members::Sent(TimePoint now, std::size_t proxy, std::uint64_t attempt, int zone) {
  One& one = *all_[proxy];
  if (one.meter) one.meter->Sent(now, attempt, static_cast<std::size_t>(zone));
  if (one.member) one.member->Sent(now, attempt, static_cast<std::size_t>(zone));
}

void Members::Ended(TimePoint now, std::size_t proxy, std::uint64_t attempt, int request_class,
                    Outcome outcome, Duration took, double work, double used) {
  One& one = *all_[proxy];
  const Meter::End end = outcome == Outcome::kOk         ? Meter::End::kServed
                         : outcome == Outcome::kRejected ? Meter::End::kFull
                         : outcome == Outcome::kCancelled || outcome == Outcome::kNotSent
                             ? Meter::End::kNothing
                             : Meter::End::kFailed;
  const std::optional<double> report =
      model_.decision.reports && used >= 0 ? std::optional<double>(used) : std::nullopt;
  const auto cls = static_cast<std::size_t>(request_class);
  if (one.meter) one.meter->Ended(now, attempt, cls, end, took, work, report);
  if (one.member) one.member->Ended(now, attempt, cls, end, took, work, report);
}

void Members::Listed(std::size_t proxy, std::vector<double> warm) {
  all_[proxy]->warm = std::move(warm);
  if (all_[proxy]->member) all_[proxy]->member->Listed(all_[proxy]->warm);
}

}  // namespace badgerbridge::simulator
