// SPDX-License-Identifier: Apache-2.0
#include "balancer/attempt_timeout.h"

#include <algorithm>
#include <cstddef>

namespace badgerbridge::balancer {

// Only a backend that has become unresponsive gets a time-out short of the client's own: it owes responses,
// and has owed them for longer than is likely for this class. Timing out what was merely late doubled its
// work on every site. None also where no retry is permitted or would come in time.
Duration AttemptTimeouts::TimeoutFor(const Request& request, const Backend& backend, TimePoint now) const {
  const Responsiveness& responsiveness = backend.responsiveness;
  const bool owes_response = backend.in_flight.attempts > 0 || responsiveness.unresponsive;
  if (!owes_response || ClassOf(request).effect == Idempotency::kNotIdempotent || !IsBounded(request))
    return Duration(0);
  if (static_cast<int>(request.attempts.size()) + 1 >= settings_.max_attempts) return Duration(0);
  const Duration max_likely = MaxLikelyLatency(request);
  const bool is_quiet = responsiveness.unresponsive || !(now - responsiveness.last_response_at < max_likely);
  const bool retry_in_time = !(now + max_likely + ExpectedLatency(request) > request.deadline);
  return is_quiet && retry_in_time ? max_likely : Duration(0);
}

// One huge request, out for seconds, must not keep a small proxy from sending either.
Duration AttemptTimeouts::MaxCountedTime(const Request& request, bool many_warming_up) const {
  const Duration max_likely = std::min(MaxLikelyLatency(request), ClassOf(request).latency_objective);
  if (many_warming_up) return max_likely;
  const double baseline_ms = MaxLikely(latencies_.BaselineLatency(request.request_class));
  return std::min(max_likely, Duration(baseline_ms * LatencyScale(request)));
}

bool AttemptTimeouts::RetryWouldHelp(const Request& request, TimePoint now) const {
  return ClassOf(request).effect != Idempotency::kNotIdempotent &&
         static_cast<int>(request.attempts.size()) < settings_.max_attempts &&
         !(now + ExpectedLatency(request) > request.deadline);
}

Duration AttemptTimeouts::ExpectedLatency(const Request& request) const {
  const EwmaStats& latency = latencies_.Latency(request.request_class);
  return Duration((latency.mean() + latency.deviation()) * LatencyScale(request));
}

Duration AttemptTimeouts::MaxLikelyLatency(const Request& request) const {
  return Duration(MaxLikely(latencies_.Latency(request.request_class)) * LatencyScale(request));
}

const ClassSettings& AttemptTimeouts::ClassOf(const Request& request) const {
  return settings_.classes[static_cast<std::size_t>(request.request_class)];
}

}  // namespace badgerbridge::balancer
