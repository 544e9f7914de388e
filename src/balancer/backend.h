// SPDX-License-Identifier: Apache-2.0
/// \file
/// The balancer's record of one backend: its endpoint and the state of each module for it.
#ifndef BADGERBRIDGE_BALANCER_BACKEND_H_
#define BADGERBRIDGE_BALANCER_BACKEND_H_

#include <cmath>
#include <cstdint>

#include "badgerbridge/balancer.h"
#include "balancer/key_affinity.h"
#include "balancer/outlier_detection.h"
#include "balancer/responsiveness.h"
#include "balancer/slow_backends.h"
#include "balancer/slow_start.h"

namespace badgerbridge::balancer {

/// Load of this proxy in flight at one backend.
struct InFlightLoad {
  double work_ms = 0;        ///< Estimated work in ms.
  int attempts = 0;          ///< All outstanding attempts.
  int counted_attempts = 0;  ///< Those that count towards the concurrency limit.
};

/// One backend. Owned by BackendList; its address is stable.
struct Backend {
  BackendEntry endpoint;             ///< Most recent entry in the endpoint list.
  TimePoint gone_at{};               ///< When it was removed; only valid while it is not listed.
  InFlightLoad in_flight;            ///< Attempts of this proxy.
  OutlierState outlier;              ///< Owned by OutlierDetector.
  SlowStartState slow_start;         ///< Owned by SlowStart.
  CompletedWorkRate completed_work;  ///< Reference rate for the slow-start budgets of other backends.
  SlownessState slowness;            ///< Owned by SlowBackends.
  KeyAffinity key_affinity;          ///< Idempotency keys recently sent to it.
  Responsiveness responsiveness;     ///< Times of its last responses and attempts.
  std::uint64_t ring_position = 0;   ///< Set once, by Aperture::RingPosition.
  bool on_ring = false;              ///< Owned by Aperture.
  bool active = false;               ///< Whether it is in BackendList::active().

  /// Whether it is listed and accepts requests.
  bool IsReady() const { return endpoint.state == BackendState::kReady; }

  /// Whether it has no load and no statistics that still have to decay.
  bool IsIdle() const {
    constexpr double kMaxSlownessDeviation = 1e-3;
    return in_flight.attempts == 0 && completed_work.IsIdle() && !responsiveness.unresponsive &&
           std::abs(slowness.ratio - 1) < kMaxSlownessDeviation && key_affinity.empty() &&
           outlier.attempts() == 0 && !outlier.ejected && outlier.ejection_multiplier == 0;
  }
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_BACKEND_H_
