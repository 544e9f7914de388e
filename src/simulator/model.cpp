// SPDX-License-Identifier: Apache-2.0
#include "simulator/model.h"

namespace badgerbridge::simulator {
namespace {

constexpr Duration kTick{5};

}  // namespace

double Model::MeanWork() const {
  double shares = 0;
  double work = 0;
  for (const ClassModel& request_class : classes) {
    shares += request_class.share;
    work += request_class.share * request_class.work.Mean();
  }
  return shares > 0 ? work / shares : 0;
}

double Model::Utilization() const {
  const double capacity = backends * backend.slots * backend.speed;
  return capacity > 0 ? clients.requests_per_second / 1000 * MeanWork() / capacity : 0;
}

balancer::Settings Model::SettingsOf(int proxy) const {
  balancer::Settings settings;
  settings.balancer_count = proxies;
  settings.balancer_index = proxy;
  settings.zone = proxy % zones;
  for (const ClassModel& request_class : classes) settings.classes.push_back(request_class.rules);
  settings.cross_zone_cost = zones > 1 ? cross_zone_cost : 0;
  settings.max_attempts = max_attempts;
  settings.max_retry_after = max_retry_after;
  settings.tick = kTick;
  settings.slow_start_floor = backend.slow_start_floor;
  settings.slow_start_window = backend.slow_start_window;
  settings.overload_factor = backend.overload_factor > 0 ? backend.overload_factor : 1;
  settings.overload_duration = backend.overload_duration;
  return settings;
}

}  // namespace badgerbridge::simulator
