// SPDX-License-Identifier: Apache-2.0
#include "simulator/failover_members.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "simulator/random_streams.h"

namespace badgerbridge::simulator {

using zone_failover::LoadReporter;
using zone_failover::Member;

namespace {

constexpr Duration kCallTimeout{500};        // of a call while etcd is down
constexpr Duration kThresholdInterval{250};  // between two looks at the own zone
constexpr Duration kMinTimeAway{5000};       // from the own zone, once it was worse than a threshold
constexpr double kMaxFailureShare = 0.5;     // of attempts in the own zone
constexpr double kMaxLatencyRatio = 3;       // of the own zone
constexpr double kMinAttempts = 5;           // below, nothing is known of the own zone

std::string MemberName(std::size_t proxy) { return "n" + std::to_string(proxy); }

}  // namespace

// What stands beside one proxy.
struct FailoverMembers::Instance {
  int zone = 0;
  std::uint64_t incarnation = 0;           // counts starts and stops
  std::unique_ptr<Member> member;          // none: its proxy is dead
  std::unique_ptr<LoadReporter> reporter;  // of Mode::kThreshold
  std::optional<Member::Call> call;        // in progress
  Member::Reply reply;                     // on its way
  std::vector<double> published_quotas;
  std::vector<double> warm_backends;
  TimePoint away_until{};  // from its own zone, of Mode::kThreshold
};

FailoverMembers::FailoverMembers(EventQueue& queue, const Model& model, std::uint64_t seed,
                                 QuotasCallback on_quotas)
    : queue_(queue),
      model_(model),
      random_(seed, kFailoverMemberStream),
      seed_(seed),
      on_quotas_(std::move(on_quotas)) {
  for (int i = 0; i < model.proxies; ++i) instances_.push_back(std::make_unique<Instance>());
}

FailoverMembers::~FailoverMembers() = default;

zone_failover::MemberSettings FailoverMembers::SettingsOf(std::size_t proxy) const {
  const auto zones = static_cast<std::size_t>(model_.zones);
  zone_failover::MemberSettings settings;
  settings.name = MemberName(proxy);
  settings.zone = model_.ZoneOfProxy(proxy);
  settings.request_classes = model_.classes.size();
  settings.coordinated = model_.failover.mode == ZoneFailoverModel::Mode::kCoordinated;
  settings.failover.zones = zones;
  settings.failover.round_trip_ms = zone_failover::Matrix(zones);
  settings.failover.transfer_price = zone_failover::Matrix(zones);
  for (const ClassModel& each : model_.classes)
    settings.failover.latency_objective_ms =
        std::min(settings.failover.latency_objective_ms, each.rules.latency_objective.count());
  for (std::size_t from = 0; from < zones; ++from) {
    for (std::size_t to = 0; to < zones; ++to) {
      const bool is_cross_region = model_.IsCrossRegion(static_cast<int>(from), static_cast<int>(to));
      const double added_latency_ms = is_cross_region ? model_.cross_region_latency.count() : 0;
      settings.failover.round_trip_ms.at(from, to) = 2 * (model_.network.latency.Mean() + added_latency_ms);
      const double price = is_cross_region ? 2 * model_.cross_zone_cost : model_.cross_zone_cost;
      settings.failover.transfer_price.at(from, to) = from == to ? 0 : price;
    }
  }
  return settings;
}

void FailoverMembers::Start(TimePoint now, std::size_t proxy) {
  Instance& instance = *instances_[proxy];
  instance.zone = model_.ZoneOfProxy(proxy);
  ++instance.incarnation;
  instance.call.reset();
  instance.published_quotas.clear();
  if (UsesThreshold())
    instance.reporter = std::make_unique<LoadReporter>(instance.zone, static_cast<std::size_t>(model_.zones),
                                                       model_.classes.size());
  const std::uint64_t member_seed = seed_ * 7919 + proxy * 31 + instance.incarnation;
  instance.member = std::make_unique<Member>(SettingsOf(proxy), member_seed);
  if (!instance.warm_backends.empty()) instance.member->UpdateWarmBackends(instance.warm_backends);
  ScheduleStep(now, proxy);
}

void FailoverMembers::Stop(std::size_t proxy) {
  ++instances_[proxy]->incarnation;
  instances_[proxy]->member.reset();
  instances_[proxy]->reporter.reset();
}

const Member* FailoverMembers::member(std::size_t proxy) const { return instances_[proxy]->member.get(); }

bool FailoverMembers::IsCurrent(std::size_t proxy, std::uint64_t incarnation) const {
  return instances_[proxy]->incarnation == incarnation && instances_[proxy]->member;
}

void FailoverMembers::ScheduleStep(TimePoint at, std::size_t proxy) {
  queue_.Schedule(at, [this, proxy, incarnation = instances_[proxy]->incarnation](TimePoint now) {
    if (IsCurrent(proxy, incarnation)) Step(now, proxy);
  });
}

void FailoverMembers::Step(TimePoint now, std::size_t proxy) {
  if (UsesThreshold()) {
    PublishQuotas(now, proxy);
    ScheduleStep(now + kThresholdInterval, proxy);
    return;
  }
  if (!instances_[proxy]->call) StartNextCall(now, proxy);
  PublishQuotas(now, proxy);
}

void FailoverMembers::StartNextCall(TimePoint now, std::size_t proxy) {
  Instance& instance = *instances_[proxy];
  instance.call = instance.member->NextCall(now);
  if (!instance.call) return ScheduleStep(std::max(instance.member->wake_at(), now + Duration(1)), proxy);
  queue_.Schedule(now + Duration(model_.failover.etcd_latency.Draw(random_)),
                  [this, proxy, incarnation = instance.incarnation](TimePoint arrived_at) {
                    CallReachesEtcd(arrived_at, proxy, incarnation);
                  });
}

void FailoverMembers::CallReachesEtcd(TimePoint now, std::size_t proxy, std::uint64_t incarnation) {
  Instance& instance = *instances_[proxy];
  if (!instance.call || instance.incarnation != incarnation) return;
  Duration reply_after = kCallTimeout;
  if (etcd_is_down_) {
    instance.reply = Member::Reply{};
  } else {
    instance.reply = etcd_.Execute(now, MemberName(proxy), *instance.call);
    reply_after = Duration(model_.failover.etcd_latency.Draw(random_));
  }
  queue_.Schedule(now + reply_after, [this, proxy, incarnation](TimePoint arrived_at) {
    ReplyArrives(arrived_at, proxy, incarnation);
  });
}

void FailoverMembers::ReplyArrives(TimePoint now, std::size_t proxy, std::uint64_t incarnation) {
  if (!IsCurrent(proxy, incarnation)) return;
  Instance& instance = *instances_[proxy];
  instance.call.reset();
  instance.member->CallEnded(now, instance.reply);
  Step(now, proxy);
}

void FailoverMembers::PublishQuotas(TimePoint now, std::size_t proxy) {
  Instance& instance = *instances_[proxy];
  auto quotas = instance.reporter ? ThresholdQuotas(now, instance) : instance.member->ZoneQuotas(now);
  if (quotas == instance.published_quotas) return;
  instance.published_quotas = quotas;
  on_quotas_(now, proxy, std::move(quotas));
}

// All of its own zone, or none of it.
std::vector<double> FailoverMembers::ThresholdQuotas(TimePoint now, Instance& instance) const {
  const auto own_zone = static_cast<std::size_t>(instance.zone);
  const zone_failover::ZoneLoad load = instance.reporter->BuildReport(now, 0).zones[own_zone];
  const bool is_bad =
      load.failures > kMaxFailureShare * load.attempts || load.latency_ratio > kMaxLatencyRatio;
  if (load.attempts >= kMinAttempts && is_bad) instance.away_until = now + kMinTimeAway;
  const bool is_away = now < instance.away_until;
  std::vector<double> quotas(static_cast<std::size_t>(model_.zones), is_away ? zone_failover::kUnlimited : 0);
  quotas[own_zone] = is_away ? 0 : zone_failover::kUnlimited;
  return quotas;
}

void FailoverMembers::RequestArrived(TimePoint now, std::size_t proxy, double work) {
  if (instances_[proxy]->member) instances_[proxy]->member->RequestArrived(now, work);
}

void FailoverMembers::AttemptStarted(TimePoint now, std::size_t proxy, AttemptId attempt, int zone) {
  Instance& instance = *instances_[proxy];
  if (instance.reporter) instance.reporter->AttemptStarted(now, attempt, static_cast<std::size_t>(zone));
  if (instance.member) instance.member->AttemptStarted(now, attempt, static_cast<std::size_t>(zone));
}

void FailoverMembers::AttemptEnded(TimePoint now, std::size_t proxy, AttemptId attempt,
                                   zone_failover::AttemptResult result) {
  Instance& instance = *instances_[proxy];
  if (!model_.failover.reports_load) result.utilization.reset();
  if (instance.reporter) instance.reporter->AttemptEnded(now, attempt, result);
  if (instance.member) instance.member->AttemptEnded(now, attempt, result);
}

void FailoverMembers::UpdateWarmBackends(std::size_t proxy, std::vector<double> warm_backends) {
  Instance& instance = *instances_[proxy];
  instance.warm_backends = std::move(warm_backends);
  if (instance.member) instance.member->UpdateWarmBackends(instance.warm_backends);
}

}  // namespace badgerbridge::simulator
