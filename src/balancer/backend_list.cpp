// SPDX-License-Identifier: Apache-2.0
#include "balancer/backend_list.h"

#include <cstddef>
#include <set>

namespace badgerbridge::balancer {
namespace {

constexpr Duration kRemovedStateRetention{60000};   // backends listed again within this time keep their state
constexpr std::size_t kMaxIncrementalUpdates = 32;  // a longer list rebuilds the ring instead

}  // namespace

void BackendList::Apply(const EndpointListUpdate& update, TimePoint now, Aperture& aperture) {
  const bool rebuild = update.entries.size() > kMaxIncrementalUpdates;
  Aperture* const updated_aperture = rebuild ? nullptr : &aperture;
  if (rebuild) aperture.Clear();
  if (update.kind != EndpointListKind::kDelta) RemoveUnlisted(update, now, updated_aperture);
  for (const BackendEntry& endpoint : update.entries) {
    const auto [position, added] = backends_.try_emplace(endpoint.server);
    Backend& backend = position->second;
    if (added) backend.ring_position = aperture.RingPosition(endpoint.server);
    const BackendState state_before = backend.endpoint.state;
    backend.endpoint = endpoint;
    backend.endpoint.state = state_before;
    SetState(backend, endpoint.state, now);
    if (updated_aperture != nullptr) updated_aperture->Update(backend);
  }
  if (rebuild) aperture.Rebuild(backends_);
  RemoveExpired(now);
}

Backend* BackendList::Find(BackendId id) {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

const Backend* BackendList::Find(BackendId id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

void BackendList::DeactivateIdle() {
  for (Backend* backend : active_) backend->active = !backend->IsIdle();
  std::erase_if(active_, [](const Backend* backend) { return !backend->active; });
}

void BackendList::SetState(Backend& backend, BackendState state, TimePoint now) {
  if (state == BackendState::kGone && backend.endpoint.state != state) {
    backend.gone_at = now;
    gone_.push_back(backend.endpoint.server);
  }
  backend.endpoint.state = state;
}

// `aperture` is null if the caller rebuilds it.
void BackendList::RemoveUnlisted(const EndpointListUpdate& update, TimePoint now, Aperture* aperture) {
  std::set<BackendId> listed;
  for (const BackendEntry& endpoint : update.entries) listed.insert(endpoint.server);
  for (auto& [id, backend] : backends_) {
    if (listed.count(id) > 0) continue;
    SetState(backend, BackendState::kGone, now);
    if (aperture != nullptr) aperture->Update(backend);
  }
}

// Checks removed backends in removal order. Backends that are listed again leave the queue; those that are
// still active are queued again.
void BackendList::RemoveExpired(TimePoint now) {
  for (std::size_t left = gone_.size(); left > 0; --left) {
    const BackendId id = gone_.front();
    const auto found = backends_.find(id);
    const bool is_gone = found != backends_.end() && found->second.endpoint.state == BackendState::kGone;
    if (is_gone && now - found->second.gone_at <= kRemovedStateRetention) break;
    gone_.pop_front();
    if (!is_gone) continue;
    if (found->second.active) {
      gone_.push_back(id);
    } else {
      backends_.erase(found);
    }
  }
}

}  // namespace badgerbridge::balancer
