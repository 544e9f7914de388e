// SPDX-License-Identifier: Apache-2.0
#include "balancer/attempt_timeout.h"

#include <algorithm>
#include <cstddef>

namespace badgerbridge::balancer {

// An attempt gets a timeout before the client's deadline only at an unresponsive backend, one that has
// attempts in flight and has not responded for longer than is likely for this class. Timeouts on attempts
// that were merely late doubled the work at every site. There is no timeout either if a retry is not
// permitted or would be too late.
Duration AttemptTimeouts::TimeoutFor(const Request& request, const Backend& backend, TimePoint now) const {
  const Responsiveness& responsiveness = backend.responsiveness;
  const bool owes_response = backend.in_flight.attempts > 0 || responsiveness.unresponsive;
  if (!owes_response || ClassOf(request).idempotency == Idempotency::kNotIdempotent || !IsBounded(request))
    return Duration(0);
  if (static_cast<int>(request.attempts.size()) + 1 >= settings_.max_attempts) return Duration(0);
  const Duration max_likely = MaxLikelyLatency(request);
  const bool is_unresponsive =
      responsiveness.unresponsive || !(now - responsiveness.last_response_at < max_likely);
  const bool retry_in_time = !(now + max_likely + ExpectedLatency(request) > request.deadline);
  return is_unresponsive && retry_in_time ? max_likely : Duration(0);
}

// The limit at the latency objective keeps one huge request, in flight for seconds, from blocking all
// dispatches of a small proxy.
Duration AttemptTimeouts::MaxCountedTime(const Request& request, bool many_warming_up) const {
  const Duration max_likely = std::min(MaxLikelyLatency(request), ClassOf(request).latency_objective);
  if (many_warming_up) return max_likely;
  const double baseline_ms = MaxLikely(latencies_.BaselineLatency(request.request_class));
  return std::min(max_likely, Duration(baseline_ms * LatencyScale(request)));
}

bool AttemptTimeouts::RetryWouldHelp(const Request& request, TimePoint now) const {
  return ClassOf(request).idempotency != Idempotency::kNotIdempotent &&
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
