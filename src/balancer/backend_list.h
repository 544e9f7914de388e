// SPDX-License-Identifier: Apache-2.0
/// \file
/// The backends of the endpoint list.
#ifndef BADGERBRIDGE_BALANCER_BACKEND_LIST_H_
#define BADGERBRIDGE_BALANCER_BACKEND_LIST_H_

#include <deque>
#include <map>
#include <vector>

#include "badgerbridge/balancer.h"
#include "balancer/aperture.h"
#include "balancer/backend.h"
#include "balancer/reserve.h"

namespace badgerbridge::balancer {

/// Owns the backends. A backend that is no longer listed keeps its state for a minute, in case it is listed
/// again.
class BackendList {
 public:
  /// Applies an endpoint list or an incremental update, also to `aperture`. The kind must not be kFailed.
  void Apply(const EndpointListUpdate& update, TimePoint now, Aperture& aperture);

  /// The backend with this id; null: unknown or removed.
  Backend* Find(BackendId id);
  const Backend* Find(BackendId id) const;  ///< Null: unknown or removed.

  /// All backends, including recently removed ones, by id.
  const std::map<BackendId, Backend>& all() const { return backends_; }

  /// The backends with load or recent statistics. Periodic work covers only these.
  const std::vector<Backend*>& active() const { return active_; }

  /// Marks a backend as active; allocates nothing if ReserveActive was called before.
  void MarkActive(Backend& backend) {
    if (!backend.active) active_.push_back(&backend);
    backend.active = true;
  }

  /// Allocates the memory for the next MarkActive.
  void ReserveActive() { ReserveOne(active_); }

  /// Removes idle backends from active().
  void DeactivateIdle();

 private:
  void SetState(Backend& backend, BackendState state, TimePoint now);
  void RemoveUnlisted(const EndpointListUpdate& update, TimePoint now, Aperture* aperture);
  void RemoveExpired(TimePoint now);

  std::map<BackendId, Backend> backends_;
  std::vector<Backend*> active_;
  std::deque<BackendId> gone_;  // in removal order
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_BACKEND_LIST_H_
