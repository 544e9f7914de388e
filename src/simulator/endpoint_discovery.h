// SPDX-License-Identifier: Apache-2.0

/// @file
/// Discovery: the endpoint list, and how its changes reach the proxies.
#ifndef BADGERBRIDGE_SIMULATOR_ENDPOINT_DISCOVERY_H_
#define BADGERBRIDGE_SIMULATOR_ENDPOINT_DISCOVERY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "badgerbridge/balancer.h"
#include "simulator/event_queue.h"
#include "simulator/model.h"
#include "simulator/random.h"

namespace badgerbridge::simulator {

/// A backend's index from its id in endpoint lists.
inline std::size_t IndexOf(balancer::BackendId backend) { return static_cast<std::size_t>(backend) - 1; }

/// The list of all backends. Each change reaches each proxy that runs after a delay of its own, in order.
class EndpointDiscovery {
 public:
  /// Called when a change reaches a proxy, which may have died meanwhile.
  using ChangeCallback = std::function<void(TimePoint, std::size_t proxy, const balancer::BackendEntry&)>;

  /// Lists all backends as ready and warm. Queue and model must outlive it.
  EndpointDiscovery(EventQueue& queue, const Model& model, std::uint64_t seed, ChangeCallback on_change);

  /// The list as it is, by backend.
  const std::vector<balancer::BackendEntry>& entries() const { return entries_; }

  /// Lists a backend with another state or start.
  void Publish(TimePoint now, std::size_t backend, balancer::BackendState state, TimePoint up_since);
  /// While lists are stale, changes are held back; then they reach their proxies at once.
  void SetStale(TimePoint now, bool is_stale);

  /// A proxy has started; changes from here on reach it.
  void Subscribe(TimePoint now, std::size_t proxy);
  /// A proxy has died.
  void Unsubscribe(std::size_t proxy) { subscribers_[proxy].is_subscribed = false; }

 private:
  struct Subscriber {
    bool is_subscribed = false;
    TimePoint last_delivery_at{};  // the latest that is scheduled
  };
  struct Delivery {
    std::size_t proxy = 0;
    std::size_t change = 0;
  };
  void ScheduleDelivery(TimePoint at, Delivery delivery);

  EventQueue& queue_;
  const Model& model_;
  Random random_;
  ChangeCallback on_change_;
  std::vector<balancer::BackendEntry> entries_;
  std::vector<balancer::BackendEntry> changes_;  // all that were published, in order
  std::vector<Subscriber> subscribers_;          // by proxy
  bool is_stale_ = false;
  std::vector<Delivery> held_back_;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_ENDPOINT_DISCOVERY_H_
