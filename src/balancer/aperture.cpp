// SPDX-License-Identifier: Apache-2.0
#include "balancer/aperture.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balancer/outlier_detection.h"
#include "balancer/random.h"

namespace badgerbridge::balancer {
namespace {

// With 6 warm backends, the others can still carry the load if two fail.
constexpr double kMinApertureBackends = 6;

bool PrecedesOnRing(const Backend* left, const Backend* right) {
  return std::pair(left->ring_position, left->endpoint.server) <
         std::pair(right->ring_position, right->endpoint.server);
}

}  // namespace

Aperture::Aperture(int balancer_count, int balancer_index)
    : balancer_index_(static_cast<std::uint64_t>(balancer_index)),
      group_size_(static_cast<std::uint64_t>(std::ceil(std::sqrt(static_cast<double>(balancer_count))))) {}

std::uint64_t Aperture::RingPosition(BackendId id) const {
  return MixBits(id ^ MixBits(balancer_index_ / group_size_ + 1));
}

void Aperture::Update(Backend& backend) {
  if (backend.IsReady() == backend.on_ring) return;
  backend.on_ring = backend.IsReady();
  const auto position = std::lower_bound(ring_.begin(), ring_.end(), &backend, PrecedesOnRing);
  if (backend.on_ring) {
    ring_.insert(position, &backend);
  } else {
    ring_.erase(position);
  }
}

void Aperture::Rebuild(std::map<BackendId, Backend>& backends) {
  for (auto& [id, backend] : backends) {
    backend.on_ring = backend.IsReady();
    if (backend.on_ring) ring_.push_back(&backend);
  }
  std::sort(ring_.begin(), ring_.end(), PrecedesOnRing);
}

std::size_t Aperture::StartIndex() const {
  return (balancer_index_ % group_size_) * ring_.size() / group_size_;
}

double Aperture::Size(double requests_per_ms) const {
  return std::min(
      static_cast<double>(ready_backends()),
      std::max(kMinApertureBackends, requests_per_ms * kMinOutlierInterval.count() / kMinRequestVolume));
}

}  // namespace badgerbridge::balancer
