// SPDX-License-Identifier: Apache-2.0
#include "balancer/selection.h"

#include <cstddef>

namespace badgerbridge::balancer {
namespace {

constexpr double kZoneCrossingCostInRequests = 10;  // mean requests per unit of Settings::cross_zone_cost
constexpr double kSlownessWeight = 1;               // of the time lost at a slow backend
constexpr double kWarmKeySaving = 2;                // multiple of the request's work saved by a warm key
constexpr Duration kMinProbeInterval{1000};         // between requests to an unresponsive backend
constexpr int kEjectedRank = 2;                     // lowest rank of an ejected backend

}  // namespace

Selection BackendSelector::Select(const Request& request, const AttemptPermission& permission,
                                  const std::vector<Backend*>& active, TimePoint now) {
  const ClassSettings& request_class = settings_.classes[static_cast<std::size_t>(request.request_class)];
  const double reserved_share = zone_quotas_.ReservedShare(request_class.priority_weight);
  const double aperture_size = aperture_.Size(requests_.arrivals_per_ms());
  const std::vector<Backend*>& ring = aperture_.ring();
  Selection selection;
  Candidate best;
  bool any_in_service = false;
  double warm_backends = 0;
  std::size_t index = ring.empty() ? 0 : aperture_.StartIndex();
  for (std::size_t visited = 0; visited < ring.size(); ++visited, ++index) {
    if (index >= ring.size()) index -= ring.size();
    Backend& backend = *ring[index];
    const std::optional<DeduplicationGroup>& group = permission.deduplicated_with;
    if (group && !SharesDeduplication(request_class.deduplication_scope, *group, backend.endpoint)) continue;
    if (!zone_quotas_.HasCapacity(backend.endpoint.zone, reserved_share, now)) continue;
    const bool tried = request.HasTried(backend.endpoint.server);
    if (slow_start_.WithinBudget(backend, request.work_ms, now, active)) {
      Consider(request, backend, tried, now, best);
    } else if (selection.over_slow_start_budget == nullptr) {
      selection.over_slow_start_budget = &backend;
    }
    any_in_service |= !backend.outlier.ejected;
    if (!backend.outlier.ejected && !tried) warm_backends += slow_start_.CapacityShare(backend.endpoint, now);
    if (warm_backends >= aperture_size) break;
  }
  // Ejected backends are used only if none is in service, even if those in service have no capacity now.
  const bool only_ejected = best.rank >= kEjectedRank;
  selection.backend = only_ejected && any_in_service ? nullptr : best.backend;
  return selection;
}

// Exception: an unresponsive backend comes last, except for one request per kMinProbeInterval that may be
// retried. Without this, a proxy that was cut off from some backends lost two requests per second at each:
// too few to reach the request volume for an ejection, and each waited until the client's deadline.
bool BackendSelector::AwaitsResponse(const Request& request, const Backend& backend, TimePoint now) const {
  if (!backend.responsiveness.unresponsive) return false;
  const ClassSettings& request_class = settings_.classes[static_cast<std::size_t>(request.request_class)];
  return request_class.idempotency == Idempotency::kNotIdempotent || backend.in_flight.attempts > 0 ||
         now - backend.responsiveness.last_sent_at < kMinProbeInterval;
}

// In ms of work in flight; the lowest score is selected.
double BackendSelector::Score(const Request& request, const Backend& backend, TimePoint now) const {
  const double slowness_cost = kSlownessWeight * request.work_ms * (backend.slowness.ratio - 1);
  const bool key_is_warm = backend.key_affinity.IsWarm(request.key, now);
  const double key_saving = key_is_warm ? kWarmKeySaving * request.work_ms : 0;
  const bool crosses_zones = backend.endpoint.zone != settings_.zone;
  const double crossing_cost =
      crosses_zones ? kZoneCrossingCostInRequests * settings_.cross_zone_cost * requests_.mean_work_ms() : 0;
  return backend.in_flight.work_ms + slowness_cost - key_saving + crossing_cost;
}

void BackendSelector::Consider(const Request& request, Backend& backend, bool tried, TimePoint now,
                               Candidate& best) {
  const bool is_deprioritized = tried || AwaitsResponse(request, backend, now);
  const int rank = (backend.outlier.ejected ? kEjectedRank : 0) + (is_deprioritized ? 1 : 0);
  const double score = Score(request, backend, now);
  const bool is_tie = best.backend != nullptr && rank == best.rank && score == best.score;
  const bool is_worse =
      best.backend != nullptr && (rank > best.rank || (rank == best.rank && score > best.score));
  if (is_worse) return;
  best.ties = is_tie ? best.ties + 1 : 1;
  // Reservoir sampling: tied backends are selected with equal probability.
  if (is_tie && random_.Below(static_cast<std::uint64_t>(best.ties)) != 0) return;
  best.backend = &backend;
  best.rank = rank;
  best.score = score;
}

}  // namespace badgerbridge::balancer
