// SPDX-License-Identifier: Apache-2.0
/// \file
/// The backends that this proxy knows.
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

/// Owns the backends. One that is no longer listed keeps its state for a while, in case it returns.
class BackendList {
 public:
  /// Takes in an endpoint list or a change of it; the kind must not be kFailed. `aperture` is kept in step.
  void Apply(const EndpointListUpdate& update, TimePoint now, Aperture& aperture);

  /// The backend with this id; null: unknown or forgotten.
  Backend* Find(BackendId id);
  const Backend* Find(BackendId id) const;  ///< The same.

  /// All backends, by id.
  const std::map<BackendId, Backend>& all() const { return backends_; }

  /// The backends that this proxy has dealt with lately: work per event is theirs alone.
  const std::vector<Backend*>& active() const { return active_; }

  /// Adds a backend to the active ones; allocates nothing if ReserveActive was called before.
  void MarkActive(Backend& backend) {
    if (!backend.active) active_.push_back(&backend);
    backend.active = true;
  }

  /// Allocates what the next MarkActive needs.
  void ReserveActive() { ReserveOne(active_); }

  /// Removes the backends that are idle from the active ones.
  void RetireIdle();

 private:
  void SetState(Backend& backend, BackendState state, TimePoint now);
  void RemoveUnlisted(const EndpointListUpdate& update, TimePoint now, Aperture* aperture);
  void ForgetGone(TimePoint now);

  std::map<BackendId, Backend> backends_;
  std::vector<Backend*> active_;
  std::deque<BackendId> gone_;  // in the order in which they went
};

}  // namespace badgerbridge::balancer

#endif  // BADGERBRIDGE_BALANCER_BACKEND_LIST_H_
