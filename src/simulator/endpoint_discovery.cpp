// SPDX-License-Identifier: Apache-2.0
#include "simulator/endpoint_discovery.h"

#include <algorithm>
#include <utility>

#include "simulator/random_streams.h"

namespace badgerbridge::simulator {

using balancer::BackendEntry;

EndpointDiscovery::EndpointDiscovery(EventQueue& queue, const Model& model, std::uint64_t seed,
                                     ChangeCallback on_change)
    : queue_(queue),
      model_(model),
      random_(seed, kEndpointListStream),
      on_change_(std::move(on_change)),
      subscribers_(static_cast<std::size_t>(model.proxies)) {
  for (int i = 0; i < model.backends; ++i) {
    BackendEntry entry;
    entry.server = static_cast<balancer::BackendId>(i + 1);
    entry.zone = i % model.zones;
    entry.cell = i / model.zones % std::max(1, model.cells);
    entries_.push_back(entry);
  }
}

void EndpointDiscovery::Publish(TimePoint now, std::size_t backend, balancer::BackendState state,
                                TimePoint up_since) {
  BackendEntry& entry = entries_[backend];
  entry.state = state;
  entry.up_since = up_since;
  changes_.push_back(entry);
  for (std::size_t proxy = 0; proxy < subscribers_.size(); ++proxy) {
    Subscriber& subscriber = subscribers_[proxy];
    if (!subscriber.is_subscribed) continue;
    const Delivery delivery{proxy, changes_.size() - 1};
    if (is_stale_) {
      held_back_.push_back(delivery);
      continue;
    }
    const TimePoint arrives_at = now + Duration(model_.network.list_delay.Draw(random_));
    subscriber.last_delivery_at = std::max(subscriber.last_delivery_at, arrives_at);
    ScheduleDelivery(subscriber.last_delivery_at, delivery);
  }
}

void EndpointDiscovery::ScheduleDelivery(TimePoint at, Delivery delivery) {
  queue_.Schedule(
      at, [this, delivery](TimePoint now) { on_change_(now, delivery.proxy, changes_[delivery.change]); });
}

void EndpointDiscovery::SetStale(TimePoint now, bool is_stale) {
  is_stale_ = is_stale;
  if (is_stale_) return;
  for (const Delivery& delivery : std::exchange(held_back_, {})) ScheduleDelivery(now, delivery);
}

void EndpointDiscovery::Subscribe(TimePoint now, std::size_t proxy) {
  subscribers_[proxy].is_subscribed = true;
  subscribers_[proxy].last_delivery_at = now;
}

}  // namespace badgerbridge::simulator
