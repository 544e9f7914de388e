// SPDX-License-Identifier: Apache-2.0
/// \file
/// The ring of backends, and the part of it over which this proxy spreads its requests.
///
/// Exception, where a proxy has too few requests for all backends: it ranks no more backends than it can give
/// the request volume of outlier detection within an interval. Spread over hundreds, it learns nothing of
/// any, and pays for a connection to each: at full size nine attempts in ten found a backend's connections
/// taken. Proxies take positions evenly spaced on a ring of backends, a ring for each group of proxies, so
/// that every backend is in as many apertures, and proxies that share one backend share no other. Backends
/// that are ejected or warming up are made up for by the next ones on the ring.
#ifndef BADGERBRIDGE_BALANCER_APERTURE_H_
#define BADGERBRIDGE_BALANCER_APERTURE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/backend.h"

namespace badgerbridge::balancer {

/// The ready backends in the order of their ring positions, and where this proxy starts on it. Holds pointers
/// to backends that the BackendList owns.
class Aperture {
 public:
  /// For the proxy with the number `balancer_index` among `balancer_count`.
  Aperture(int balancer_count, int balancer_index);

  /// The ring position of a backend, for all proxies of this proxy's group.
  std::uint64_t RingPosition(BackendId id) const;

  /// Puts a backend on the ring or takes it off, as its state says; the rest stays where it is.
  void Update(Backend& backend);

  /// Takes all backends off the ring, without a look at them; Rebuild must follow.
  void Clear() { ring_.clear(); }

  /// Puts all ready backends of `backends` on the empty ring at once.
  void Rebuild(std::map<BackendId, Backend>& backends);

  /// The backends on the ring, in order.
  const std::vector<Backend*>& ring() const { return ring_; }

  /// Number of ready backends.
  std::size_t ready_backends() const { return ring_.size(); }

  /// Index of the first backend of this proxy's aperture; the ring must not be empty.
  std::size_t StartIndex() const;

  /// Over how many warm backends this proxy spreads its requests, `requests_per_ms` of them.
  double Size(double requests_per_ms) const;

 private:
  std::uint64_t balancer_index_;
  std::uint64_t group_size_;  // proxies whose starts are spaced evenly on the same ring
  std::vector<Backend*> ring_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_APERTURE_H_
