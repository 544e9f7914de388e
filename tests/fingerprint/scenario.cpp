// SPDX-License-Identifier: Apache-2.0
#include "fingerprint/scenario.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace badgerbridge::fingerprint {

using balancer::BackendEntry;
using balancer::BackendId;
using balancer::BackendState;
using balancer::Duration;
using balancer::EndpointListKind;
using balancer::EndpointListUpdate;
using balancer::Outcome;
using balancer::TimePoint;

namespace {

constexpr int kZones = 3;
constexpr int kKinds = 2;
constexpr int kCells = 2;

balancer::ClassSettings DrawClass(Random* random) {
  balancer::ClassSettings settings;
  settings.idempotency = static_cast<balancer::Idempotency>(random->Integer(0, 2));
  settings.deduplication_scope = static_cast<balancer::DeduplicationScope>(random->Integer(0, 2));
  settings.latency_objective = Duration(random->Between(60, 500));
  settings.deadline = settings.latency_objective * random->Between(1.2, 5);
  settings.deduplication_window = settings.deadline * random->Between(0.2, 1.2);
  settings.priority_weight = random->Between(1, 10);
  settings.late_weight = random->Chance(0.3) ? 0 : random->Between(0, 0.8);
  return settings;
}

/// One of these, or 0 with the probability `absent`.
double DrawOrZero(Random* random, double absent, double low, double high) {
  return random->Chance(absent) ? 0 : random->Between(low, high);
}

}  // namespace

balancer::Settings DrawSettings(Random* random) {
  balancer::Settings settings;
  // Of hundreds of proxies each may have only a few attempts out.
  settings.balancer_count = random->Chance(0.25) ? random->Integer(50, 300) : random->Integer(1, 12);
  settings.balancer_index = random->Integer(0, settings.balancer_count - 1);
  settings.zone = random->Integer(0, kZones - 1);
  settings.classes.resize(static_cast<std::size_t>(random->Integer(1, 4)));
  for (balancer::ClassSettings& drawn : settings.classes) drawn = DrawClass(random);
  settings.tenants.resize(static_cast<std::size_t>(random->Integer(0, 3)));
  for (balancer::TenantSettings& drawn : settings.tenants) drawn.quota_per_s = random->Between(1, 300);
  settings.over_quota_weight = random->Between(0, 1);
  settings.cross_zone_cost = DrawOrZero(random, 0.3, 0.01, 0.4);
  settings.key_affinity = random->Chance(0.5);
  settings.polls_endpoint_list = random->Chance(0.5);
  settings.max_poll_interval = Duration(random->Between(2000, 12000));
  settings.max_attempts = random->Integer(1, 5);
  settings.max_retry_after = Duration(DrawOrZero(random, 0.3, 100, 3000));
  settings.tick = Duration(random->Between(1, 10));
  settings.slow_start_floor = random->Between(0.05, 1);
  settings.slow_start_window = Duration(DrawOrZero(random, 0.1, 2000, 15000));
  settings.overload_factor = DrawOrZero(random, 0.05, 1, 4);
  settings.overload_duration = Duration(DrawOrZero(random, 0.05, 500, 3000));
  return settings;
}

SimulatedFleet::SimulatedFleet(const balancer::Settings& settings, Random* random)
    : settings_(settings), random_(random) {
  // Lists of more than 32 entries take another way through the module.
  most_servers_ =
      static_cast<std::size_t>(random->Chance(0.25) ? random->Integer(36, 70) : random->Integer(2, 14));
  zones_ = random->Integer(1, kZones);
  places_ = random->Integer(1, 4);
}

BackendEntry SimulatedFleet::DrawEntry(BackendId server, TimePoint now) {
  BackendEntry entry;
  entry.server = server;
  entry.zone = random_->Integer(0, static_cast<int>(zones_) - 1);
  entry.kind = random_->Integer(0, kKinds - 1);
  entry.cell = random_->Integer(0, kCells - 1);
  entry.weight = random_->Between(0.5, 2);
  if (random_->Chance(0.5)) entry.up_since = now - Duration(random_->Between(0, 12000));
  return entry;
}

EndpointListUpdate SimulatedFleet::FirstList(TimePoint now) {
  while (servers_.size() < most_servers_) {
    Server& server = servers_[next_server_];
    server.entry = DrawEntry(next_server_, now);
    server.speed = random_->Between(0.7, 1.4);
    ++next_server_;
  }
  return WholeList(settings_.polls_endpoint_list ? EndpointListKind::kCached : EndpointListKind::kFull);
}

EndpointListUpdate SimulatedFleet::WholeList(EndpointListKind kind) const {
  EndpointListUpdate update;
  update.kind = kind;
  for (const auto& [id, server] : servers_) {
    if (server.entry.state != BackendState::kGone) update.entries.push_back(server.entry);
  }
  return update;
}

BackendEntry SimulatedFleet::ChangeEntry(TimePoint now) {
  if (random_->Chance(0.1)) {  // a new server
    Server& added = servers_[next_server_];
    added.entry = DrawEntry(next_server_, now);
    ++next_server_;
    return added.entry;
  }
  Server& server =
      std::next(servers_.begin(), static_cast<std::ptrdiff_t>(random_->Index(servers_.size())))->second;
  const double draw = random_->Unit();
  if (server.entry.state != BackendState::kReady || draw < 0.4) {  // restarted, or as it was
    server.entry.state = BackendState::kReady;
    if (draw < 0.8) server.entry.up_since = now - Duration(random_->Between(0, 1500));
  } else if (draw < 0.6) {
    server.entry.state = BackendState::kDraining;
  } else if (draw < 0.8) {
    server.entry.state = BackendState::kGone;
  } else {
    server.entry = DrawEntry(server.entry.server, now);
  }
  return server.entry;
}

EndpointListUpdate SimulatedFleet::ChangeList(TimePoint now) {
  EndpointListUpdate update;
  for (int count = random_->Integer(1, 3); count > 0; --count) update.entries.push_back(ChangeEntry(now));
  if (random_->Chance(0.1)) return {EndpointListKind::kFailed, {}};
  if (random_->Chance(0.3)) return WholeList(EndpointListKind::kFull);
  if (random_->Chance(0.05)) return WholeList(EndpointListKind::kCached);
  return update;
}

EndpointListUpdate SimulatedFleet::AnswerCall() {
  if (random_->Chance(0.4)) return {EndpointListKind::kFailed, {}};
  return WholeList(EndpointListKind::kFull);
}

EndpointListUpdate SimulatedFleet::RestartAll(TimePoint now) {
  for (auto& [id, server] : servers_) {
    server.entry.state = BackendState::kReady;
    server.entry.up_since = now;
  }
  return WholeList(EndpointListKind::kFull);
}

void SimulatedFleet::ChangeConditions() {
  if (random_->Chance(0.15)) other_load_ = random_->Chance(0.6) ? 1 : random_->Between(1, 8);
  Server& server =
      std::next(servers_.begin(), static_cast<std::ptrdiff_t>(random_->Index(servers_.size())))->second;
  const bool healthy = server.condition != Condition::kHealthy || random_->Chance(0.3);
  server.condition =
      healthy ? Condition::kHealthy
              : static_cast<Condition>(random_->Integer(1, static_cast<int>(Condition::kConditions) - 1));
}

double SimulatedFleet::ServiceTime(const Server& server, TimePoint now, double work_ms) {
  double time = work_ms * server.speed * other_load_ * random_->Between(0.7, 1.3);
  time *= std::max(1.0, server.in_flight / places_);
  if (server.condition == Condition::kSlow) time *= 6;
  const bool cold = now - server.entry.up_since < settings_.slow_start_window;
  if (cold) time /= std::max(settings_.slow_start_floor, 0.1);
  if (random_->Chance(0.01)) time *= 10;  // the tail
  return time;
}

AttemptEnding SimulatedFleet::BeginAttempt(BackendId id, TimePoint now, double work_ms) {
  Server& server = servers_[id];
  ++server.in_flight;
  AttemptEnding ending;
  ending.after = Duration(ServiceTime(server, now, work_ms));
  const double draw = random_->Unit();
  if (server.entry.state == BackendState::kGone ||
      (server.condition == Condition::kUnreachable && draw < 0.9)) {
    ending.outcome = Outcome::kConnectFailed;
    ending.after = Duration(random_->Between(0, 4));
  } else if (server.condition == Condition::kErrors && draw < 0.7) {
    ending.outcome = Outcome::kError;
    ending.after = ending.after * 0.2;
  } else if (server.condition == Condition::kFull && draw < 0.8) {
    ending.outcome = Outcome::kRejected;
    ending.after = Duration(random_->Between(0, 3));
  } else if (server.condition == Condition::kResets && draw < 0.6) {
    ending.outcome = Outcome::kReset;
    ending.after = ending.after * random_->Unit();
  } else if (server.condition == Condition::kSilent || draw < 0.01) {  // or its connection is dead
    ending.never = true;
  } else if (draw > 0.99) {
    constexpr Outcome kRare[] = {Outcome::kError, Outcome::kCancelled, Outcome::kNotSent, Outcome::kUnknown,
                                 Outcome::kTimeout};
    ending.outcome = kRare[random_->Index(std::size(kRare))];
  }
  return ending;
}

void SimulatedFleet::FinishAttempt(BackendId id) { --servers_[id].in_flight; }

double SimulatedFleet::Capacity(double mean_work_ms) const {
  return static_cast<double>(most_servers_) * places_ / mean_work_ms;
}

Clients::Clients(const balancer::Settings& settings, const SimulatedFleet& fleet, Random* random)
    : settings_(settings), random_(random) {
  mean_work_ms_ = random->Between(3, 60);
  hinted_share_ = random->Chance(0.3) ? 0 : random->Chance(0.7) ? 1 : 0.5;
  client_retry_share_ = random->Between(0, 0.3);
  departure_share_ = random->Between(0, 0.05);
  departure_after_ms_ = random->Between(10, 400);
  const double load = random->Between(0.1, 1.3);
  const double arrivals_per_ms = std::clamp(load * fleet.Capacity(mean_work_ms_), 0.02, 0.2);
  mean_pause_ms_ = 1 / arrivals_per_ms;
}

balancer::Submit Clients::DrawSubmit(TimePoint now) {
  balancer::Submit submit;
  submit.request_class = random_->Integer(0, static_cast<int>(settings_.classes.size()) - 1);
  const balancer::ClassSettings& drawn = settings_.classes[static_cast<std::size_t>(submit.request_class)];
  submit.client_retry = random_->Chance(client_retry_share_);
  // The last try of a client has what is left of its deadline.
  const double part = random_->Chance(0.1) ? random_->Between(0.01, 1) : 0.8;
  submit.due = now + drawn.deadline * part;
  submit.tenant = random_->Integer(0, static_cast<int>(settings_.tenants.size()));  // one too many: unknown
  if (random_->Chance(0.6)) submit.key = static_cast<std::uint64_t>(random_->Integer(1, 40));
  submit.has_hint = random_->Chance(hinted_share_);
  submit.work_ms = mean_work_ms_ * random_->Between(0.3, 1.7) * (random_->Chance(0.02) ? 15 : 1);
  if (random_->Chance(0.002)) submit.work_ms = std::numeric_limits<double>::infinity();
  if (random_->Chance(0.002)) submit.work_ms = 1e9;
  return submit;
}

Duration Clients::DrawPause() {
  if (random_->Chance(0.2)) return Duration(0);
  return Duration(mean_pause_ms_ * 2.5 * random_->Unit());
}

bool Clients::DrawDeparture(Duration* after) {
  if (!random_->Chance(departure_share_)) return false;
  *after = Duration(random_->Between(0, departure_after_ms_));
  return true;
}

Surroundings::Surroundings(SimulatedFleet* fleet, Timeline* timeline, Random* random, Callbacks callbacks)
    : fleet_(fleet), timeline_(timeline), random_(random), callbacks_(std::move(callbacks)) {}

void Surroundings::Start(TimePoint now, Duration run_time) {
  timeline_->At(now, [this] { callbacks_.update_list(fleet_->FirstList(timeline_->now())); });
  timeline_->At(now, [this] { ChangeList(); });
  timeline_->At(now, [this] { ChangeConditions(); });
  if (random_->Chance(0.5)) timeline_->At(now + run_time * 0.3, [this] { ChangeZoneShares(); });
  if (!random_->Chance(0.3)) return;
  timeline_->At(now + run_time * 0.6,
                [this] { callbacks_.update_list(fleet_->RestartAll(timeline_->now())); });
}

void Surroundings::ChangeList() {
  callbacks_.update_list(fleet_->ChangeList(timeline_->now()));
  timeline_->After(Duration(random_->Between(200, 3000)), [this] { ChangeList(); });
}

void Surroundings::ChangeConditions() {
  fleet_->ChangeConditions();
  timeline_->After(Duration(random_->Between(100, 2000)), [this] { ChangeConditions(); });
}

void Surroundings::ChangeZoneShares() {
  callbacks_.set_zone_shares(DrawZoneShares(random_));
  timeline_->After(Duration(random_->Between(200, 4000)), [this] { ChangeZoneShares(); });
}

balancer::ZoneQuotas DrawZoneShares(Random* random) {
  balancer::ZoneQuotas shares;
  shares.work_per_ms.resize(static_cast<std::size_t>(random->Integer(0, kZones)));
  for (double& share : shares.work_per_ms) {
    share = random->Chance(0.5) ? -1 : random->Between(0, 6);
    if (random->Chance(0.05)) share = std::numeric_limits<double>::quiet_NaN();
    if (random->Chance(0.1)) share = 0;
  }
  return shares;
}

void AddViews(const std::vector<balancer::BackendView>& views, Digest* digest) {
  digest->Add(views.size());
  for (const balancer::BackendView& view : views) {
    digest->Add(view.entry.server, view.entry.zone, view.entry.kind, view.entry.cell, view.entry.state);
    digest->Add(view.entry.weight, view.entry.up_since);
    digest->Add(view.ejected, view.ejected_until, view.unresponsive, view.in_flight, view.work_in_flight);
    digest->Add(view.slowness, view.capacity_share, view.slow_start_budget, view.slow_start_sent);
  }
}

}  // namespace badgerbridge::fingerprint
