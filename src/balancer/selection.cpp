// SPDX-License-Identifier: Apache-2.0
#include "balancer/selection.h"

#include <cstddef>

namespace badgerbridge::balancer {
namespace {

constexpr double kZoneCrossingWeight =
    10;                                // mean requests of work that the whole cost of a crossing is worth
constexpr double kSlownessWeight = 1;  // of the time lost at a slow backend, against work in flight
constexpr double kWarmKeyWeight = 2;   // of a request's work, at a backend that was sent its key lately
constexpr Duration kMinProbeInterval{1000};  // between requests that try an unresponsive backend
constexpr int kEjectedRank = 2;              // of a backend that is out of service, at the least

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
    const Backend* const first = permission.deduplicated_with;
    if (first != nullptr && !SharesDeduplication(request_class.group, first->endpoint, backend.endpoint)) {
      continue;
    }
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
  // If some backend is in service, though without capacity now, the ejected ones need not serve.
  const bool only_ejected = best.rank >= kEjectedRank;
  selection.backend = only_ejected && any_in_service ? nullptr : best.backend;
  return selection;
}

// Exception: an unresponsive backend gets only one request a while, and one that may be retried elsewhere in
// time. Cut off from some, a proxy lost two requests a second at each: too few to fill the request volume for
// an ejection, each waiting to the end of the client's time.
bool BackendSelector::AwaitsResponse(const Request& request, const Backend& backend, TimePoint now) const {
  if (!backend.responsiveness.unresponsive) return false;
  const ClassSettings& request_class = settings_.classes[static_cast<std::size_t>(request.request_class)];
  return request_class.effect == Idempotency::kNotIdempotent || backend.in_flight.attempts > 0 ||
         now - backend.responsiveness.last_sent_at < kMinProbeInterval;
}

// In ms of work in flight: the lowest wins.
double BackendSelector::Score(const Request& request, const Backend& backend, TimePoint now) const {
  const double slowness_cost = kSlownessWeight * request.work_ms * (backend.slowness.ratio - 1);
  const bool key_is_warm = backend.key_affinity.IsWarm(request.key, now);
  const double key_saving = key_is_warm ? kWarmKeyWeight * request.work_ms : 0;
  const bool crosses_zones = backend.endpoint.zone != settings_.zone;
  const double crossing_cost =
      crosses_zones ? kZoneCrossingWeight * settings_.cross_zone_cost * requests_.mean_work_ms() : 0;
  return backend.in_flight.work_ms + slowness_cost - key_saving + crossing_cost;
}

void BackendSelector::Consider(const Request& request, Backend& backend, bool tried, TimePoint now,
                               Candidate& best) {
  const bool comes_last = tried || AwaitsResponse(request, backend, now);
  const int rank = (backend.outlier.ejected ? kEjectedRank : 0) + (comes_last ? 1 : 0);
  const double score = Score(request, backend, now);
  const bool is_tie = best.backend != nullptr && rank == best.rank && score == best.score;
  const bool is_worse =
      best.backend != nullptr && (rank > best.rank || (rank == best.rank && score > best.score));
  if (is_worse) return;
  best.ties = is_tie ? best.ties + 1 : 1;
  // Each of the backends that tie is chosen with the same probability.
  if (is_tie && random_.Below(static_cast<std::uint64_t>(best.ties)) != 0) return;
  best.backend = &backend;
  best.rank = rank;
  best.score = score;
}

}  // namespace badgerbridge::balancer
