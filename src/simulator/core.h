// SPDX-License-Identifier: Apache-2.0
//
// The seam at which a way of balancing plugs into the model's proxies: the calls of
// request_table::RequestTable. The product's own core is RequestTable itself; rivals come in beside it, under
// the same clients, network and backends.
#ifndef BADGERBRIDGE_SIMULATOR_CORE_H_
#define BADGERBRIDGE_SIMULATOR_CORE_H_

#include <functional>
#include <memory>
#include <optional>

#include "request_table/request_table.h"

namespace badgerbridge::simulator {

class Core {
 public:
  using Actions = request_table::RequestTable::Actions;
  virtual ~Core() = default;
  virtual balancer::RequestId Accept(balancer::TimePoint now, balancer::Submit submit, Actions* out) = 0;
  virtual void ClientDisconnected(balancer::TimePoint now, balancer::RequestId request, Actions* out) = 0;
  virtual void AttemptEnded(balancer::TimePoint now, const request_table::Send& attempt,
                            balancer::Outcome outcome, Actions* out) = 0;
  virtual void UpdateEndpoints(balancer::TimePoint now, balancer::EndpointListUpdate update,
                               Actions* out) = 0;
  // How much may go to each zone (src/zone_failover); a core that does not know zones lets it pass.
  virtual void UpdateZoneQuotas(balancer::TimePoint, balancer::ZoneQuotas, Actions*) {}
  virtual void Wake(balancer::TimePoint now, Actions* out) = 0;
  virtual std::optional<balancer::TimePoint> NextWake() const = 0;
  // By class; empty where a core keeps none.
  virtual const std::vector<request_table::RequestCounters>& counters() const = 0;
};

using CoreFactory = std::function<std::unique_ptr<Core>(const balancer::Settings&, std::uint64_t seed)>;

// The product's.
std::unique_ptr<Core> MakeBadgerbridge(const balancer::Settings& settings, std::uint64_t seed);

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_CORE_H_
