// SPDX-License-Identifier: Apache-2.0
/// \file
/// The balancer's record of one backend: its endpoint, and what each module holds of it.
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

/// What this proxy has in flight at one backend.
struct InFlightLoad {
  double work_ms = 0;        ///< Estimated work.
  int attempts = 0;          ///< All that are outstanding.
  int counted_attempts = 0;  ///< Of these, those that the concurrency limit counts.
};

/// One backend. Owned by the BackendList; its address is stable.
struct Backend {
  BackendEntry endpoint;             ///< As it was listed last.
  TimePoint gone_at{};               ///< While it is not listed: since when.
  InFlightLoad in_flight;            ///< Attempts of this proxy.
  OutlierState outlier;              ///< Owned by OutlierDetector.
  SlowStartState slow_start;         ///< Owned by SlowStart.
  CompletedWorkRate completed_work;  ///< What it serves for this proxy; slow start compares with it.
  SlownessState slowness;            ///< Owned by SlowBackends.
  KeyAffinity key_affinity;          ///< Keys that it was sent lately.
  Responsiveness responsiveness;     ///< When it responded last.
  std::uint64_t ring_position = 0;   ///< Set once, by Aperture::RingPosition.
  bool on_ring = false;              ///< Owned by Aperture.
  bool active = false;               ///< It is in BackendList::active().

  /// Whether it is listed and takes requests.
  bool IsReady() const { return endpoint.state == BackendState::kReady; }

  /// Whether nothing is known of it that the passing of time would change.
  bool IsIdle() const {
    constexpr double kMaxSlownessDeviation = 1e-3;
    return in_flight.attempts == 0 && completed_work.IsIdle() && !responsiveness.unresponsive &&
           std::abs(slowness.ratio - 1) < kMaxSlownessDeviation && key_affinity.empty() &&
           outlier.attempts() == 0 && !outlier.ejected && outlier.ejection_multiplier == 0;
  }
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_BACKEND_H_
