// SPDX-License-Identifier: Apache-2.0
#include "balancer/warm_capacity.h"

namespace badgerbridge::balancer {

void WarmCapacity::Update(const BackendList& backends, std::size_t ready_backends,
                          const SlowStart& slow_start, TimePoint now) {
  ready_backends_ = ready_backends;
  double shares = 0;
  // Capacity shares change only for backends that were warming up when they were listed.
  std::erase_if(warming_up_, [&](BackendId id) {
    const Backend* const backend = backends.Find(id);
    const bool is_ready = backend != nullptr && backend->IsReady();
    const double share = is_ready ? slow_start.CapacityShare(backend->endpoint, now) : 1;
    if (share >= 1) return true;
    shares += share;
    return false;
  });
  warm_backends_ = static_cast<double>(ready_backends_ - warming_up_.size()) + shares;
}

}  // namespace badgerbridge::balancer
