// SPDX-License-Identifier: Apache-2.0
//
// The seam at which a way of balancing plugs into the model's proxies: the calls of exchange::RequestTable.
// The product's own core is RequestTable itself; rivals come in beside it, under the same clients, network
// and converters.
#ifndef BADGERBRIDGE_LAB_CORE_H_
#define BADGERBRIDGE_LAB_CORE_H_

#include <functional>
#include <memory>
#include <optional>

#include "exchange/exchange.h"

namespace badgerbridge::lab {

class Core {
 public:
  using Actions = exchange::RequestTable::Actions;
  virtual ~Core() = default;
  virtual fordlb::RequestId Accept(fordlb::TimePoint now, fordlb::Submit submit, Actions* out) = 0;
  virtual void ClientDisconnected(fordlb::TimePoint now, fordlb::RequestId request, Actions* out) = 0;
  virtual void AttemptEnded(fordlb::TimePoint now, const exchange::Send& attempt, fordlb::Outcome outcome,
                            Actions* out) = 0;
  virtual void UpdateEndpoints(fordlb::TimePoint now, fordlb::ListUpdate update, Actions* out) = 0;
  // How much may go to each zone (src/regions); a core that does not know zones lets it pass.
  virtual void UpdateZoneQuotas(fordlb::TimePoint, fordlb::ZoneShares, Actions*) {}
  virtual void Wake(fordlb::TimePoint now, Actions* out) = 0;
  virtual std::optional<fordlb::TimePoint> NextWake() const = 0;
  // By class; empty where a core keeps none.
  virtual const std::vector<exchange::RequestCounters>& counters() const = 0;
};

using CoreFactory = std::function<std::unique_ptr<Core>(const fordlb::Settings&, std::uint64_t seed)>;

// The product's.
std::unique_ptr<Core> MakeBadgerbridge(const fordlb::Settings& settings, std::uint64_t seed);

}  // namespace badgerbridge::lab

#endif  // BADGERBRIDGE_LAB_CORE_H_
