// SPDX-License-Identifier: Apache-2.0
/// \file
/// The ring of backends, and the part of it to which this proxy sends its requests (deterministic aperture).
///
/// Exception, where a proxy has too few requests for all backends: it considers only as many backends as it
/// can send the request volume of outlier detection within one interval. A proxy that spreads few requests
/// over hundreds of backends gets no usable statistics of any and needs a connection to each: at full size,
/// nine attempts in ten found all connections of the backend in use. Each group of proxies has its own ring,
/// on which its proxies start at evenly spaced positions. Each backend is thus in about the same number of
/// apertures, and two proxies that share one backend usually share no other. For each ejected or
/// warming-up backend, the aperture extends to the next backends on the ring.
#ifndef BADGERBRIDGE_BALANCER_APERTURE_H_
#define BADGERBRIDGE_BALANCER_APERTURE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/backend.h"

namespace badgerbridge::balancer {

/// The ready backends by ring position, and the index at which this proxy starts. Holds pointers to backends
/// owned by BackendList.
class Aperture {
 public:
  /// Creates the aperture of the proxy with index `balancer_index` among `balancer_count` proxies.
  Aperture(int balancer_count, int balancer_index);

  /// The ring position of a backend; the same for all proxies of this proxy's group.
  std::uint64_t RingPosition(BackendId id) const;

  /// Adds a backend to the ring or removes it according to its state.
  void Update(Backend& backend);

  /// Empties the ring without updating Backend::on_ring; Rebuild must follow.
  void Clear() { ring_.clear(); }

  /// Adds all ready backends of `backends` to the empty ring.
  void Rebuild(std::map<BackendId, Backend>& backends);

  /// The backends on the ring, by position.
  const std::vector<Backend*>& ring() const { return ring_; }

  /// Number of ready backends.
  std::size_t ready_backends() const { return ring_.size(); }

  /// Index of the first backend of this proxy's aperture; the ring must not be empty.
  std::size_t StartIndex() const;

  /// The number of warm backends to which this proxy sends its requests at a rate of `requests_per_ms`.
  double Size(double requests_per_ms) const;

 private:
  std::uint64_t balancer_index_;
  std::uint64_t group_size_;  // proxies that share a ring
  std::vector<Backend*> ring_;
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_APERTURE_H_
