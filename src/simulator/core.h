// SPDX-License-Identifier: Apache-2.0

/// @file
/// The seam at which a way of balancing plugs into the model's proxies.
#ifndef BADGERBRIDGE_SIMULATOR_CORE_H_
#define BADGERBRIDGE_SIMULATOR_CORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "request_table/request_table.h"

namespace badgerbridge::simulator {

/// What decides in a proxy: the calls of request_table::RequestTable. The product's own core is RequestTable
/// itself; others take its place under the same clients, network and backends. Each call appends to `actions`
/// what is to be done.
class Core {
 public:
  /// What is to be done, in order.
  using Actions = request_table::RequestTable::Actions;

  virtual ~Core() = default;
  /// A request has arrived; returns the proxy's number of it.
  virtual balancer::RequestId Accept(balancer::TimePoint now, balancer::Submit submit, Actions* actions) = 0;
  /// The client of a request has disconnected.
  virtual void ClientDisconnected(balancer::TimePoint now, balancer::RequestId request, Actions* actions) = 0;
  /// An attempt has ended.
  virtual void AttemptEnded(balancer::TimePoint now, const request_table::Send& attempt,
                            balancer::Outcome outcome, Actions* actions) = 0;
  /// The endpoint list has changed.
  virtual void UpdateEndpoints(balancer::TimePoint now, balancer::EndpointListUpdate update,
                               Actions* actions) = 0;
  /// How much may go to each zone (src/zone_failover). A core without zones ignores it.
  virtual void UpdateZoneQuotas(balancer::TimePoint, balancer::ZoneQuotas, Actions*) {}
  /// The time of NextWake has come.
  virtual void Wake(balancer::TimePoint now, Actions* actions) = 0;
  /// When to call Wake, if at all.
  virtual std::optional<balancer::TimePoint> NextWake() const = 0;
  /// Counters by request class; empty where a core keeps none.
  virtual const std::vector<request_table::RequestCounters>& counters() const = 0;
};

/// Makes the core of one proxy.
using CoreFactory = std::function<std::unique_ptr<Core>(const balancer::Settings&, std::uint64_t seed)>;

/// The product's core.
std::unique_ptr<Core> MakeRequestTableCore(const balancer::Settings& settings, std::uint64_t seed);

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_CORE_H_
