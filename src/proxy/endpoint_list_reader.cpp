// SPDX-License-Identifier: Apache-2.0
#include "proxy/endpoint_list_reader.h"

#include <algorithm>
#include <tuple>
#include <unordered_set>
#include <utility>

#include "proxy/endpoint_list_codec.h"

namespace badgerbridge::proxy {
namespace {

constexpr BackendId kFnvOffsetBasis = 2166136261u;  // FNV-1a, 32 bits
constexpr BackendId kFnvPrime = 16777619u;

// Returns names.size() if the name is not found.
int IndexOf(const std::vector<std::string>& names, std::string_view name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

BackendId HashOf(std::string_view name) {
  BackendId hash = kFnvOffsetBasis;
  for (const char byte : name) hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  return hash;
}

}  // namespace

// Derives the id from the name, so that it is the same in every proxy and after each restart. The decision
// module places backends on a hash ring by id; different ids per proxy would concentrate load on few
// backends.
BackendId EndpointListReader::IdOf(const std::string& name) {
  const auto found = ids_.find(name);
  if (found != ids_.end()) return found->second;
  BackendId id = HashOf(name);
  auto [at, added] = known_.try_emplace(id);
  // On a hash collision the later name gets the next free id.
  while (!added) std::tie(at, added) = known_.try_emplace(++id);
  at->second.name = name;
  ids_.emplace(at->second.name, id);
  return id;
}

std::string EndpointListReader::NameOf(BackendId id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? std::string() : found->second.name;
}

EndpointListResult<EndpointList> EndpointListReader::Read(const boost::json::value& value) {
  const EndpointListResult<ListedEndpoints> list = DecodeEndpointList(value);
  if (!list) return list.error();
  return Resolve(list->snapshot, list->version, list->endpoints);
}

EndpointList EndpointListReader::Resolve(bool snapshot, std::uint64_t version,
                                         const std::vector<ListedEndpoint>& listed) {
  EndpointList list;
  list.snapshot = snapshot;
  for (const ListedEndpoint& source : listed) list.endpoints.push_back(ToEndpoint(source));
  version_ = version;
  RemoveReplaced(list);
  RemoveGoneNames(list);
  return list;
}

Endpoint EndpointListReader::ToEndpoint(const ListedEndpoint& source) {
  Endpoint endpoint;
  endpoint.name = source.name;
  if (source.address) endpoint.address = *source.address;
  endpoint.entry.state = source.state;
  endpoint.entry.server = IdOf(source.name);
  endpoint.entry.zone = IndexOf(zones_, source.zone);
  endpoint.entry.kind = IndexOf(kinds_, source.kind);
  endpoint.entry.cell = source.cell;
  endpoint.entry.weight = source.weight;
  endpoint.entry.up_since = TimePoint(Duration(source.started_at_ms));  // see ProxyClock
  return endpoint;
}

// A backend may still be listed when another one has already taken its address, since a list is late in
// noticing that a process has ended. What is sent to the old one would reach the new one.
void EndpointListReader::RemoveReplaced(EndpointList& list) {
  if (list.snapshot) newest_at_.clear();
  std::vector<BackendId> replaced;
  for (const Endpoint& endpoint : list.endpoints) {
    if (const std::optional<BackendId> id = Occupy(endpoint)) replaced.push_back(*id);
  }
  for (const BackendId id : replaced) MarkGone(id, list);
}

// Returns the backend, this one or another, that is not at this address any more because the other started
// later. Backends that started at the same time may share an address.
std::optional<BackendId> EndpointListReader::Occupy(const Endpoint& endpoint) {
  if (endpoint.entry.state == BackendState::kGone) return std::nullopt;
  const BackendId id = endpoint.entry.server;
  Vacate(id);
  Known& backend = known_.at(id);
  backend.address = endpoint.address;
  backend.up_since = endpoint.entry.up_since;
  const auto [newest, is_alone] = newest_at_.try_emplace(endpoint.address, id);
  if (is_alone) return std::nullopt;
  const TimePoint other_up_since = known_.at(newest->second).up_since;
  if (backend.up_since < other_up_since) return id;
  const BackendId other = std::exchange(newest->second, id);
  return backend.up_since > other_up_since ? std::optional(other) : std::nullopt;
}

// Frees the address of a backend for others.
void EndpointListReader::Vacate(BackendId id) {
  const auto at = newest_at_.find(known_.at(id).address);
  if (at != newest_at_.end() && at->second == id) newest_at_.erase(at);
}

void EndpointListReader::MarkGone(BackendId id, EndpointList& list) const {
  bool is_listed = false;
  for (Endpoint& endpoint : list.endpoints) {
    if (endpoint.entry.server != id) continue;
    endpoint.entry.state = BackendState::kGone;
    is_listed = true;
  }
  if (is_listed) return;
  Endpoint gone;
  gone.name = NameOf(id);
  gone.entry.server = id;
  gone.entry.state = BackendState::kGone;
  list.endpoints.push_back(std::move(gone));
}

// Removes the names of backends that are gone: replaced backends have new names, so the map would grow
// without limit.
void EndpointListReader::RemoveGoneNames(const EndpointList& list) {
  std::unordered_set<BackendId> present;
  for (const Endpoint& endpoint : list.endpoints) {
    if (endpoint.entry.state != BackendState::kGone) present.insert(endpoint.entry.server);
  }
  if (!list.snapshot) {
    for (const Endpoint& endpoint : list.endpoints) {
      if (!present.contains(endpoint.entry.server)) RemoveId(endpoint.entry.server);
    }
    return;
  }
  std::vector<BackendId> gone;
  for (const auto& [id, backend] : known_) {
    if (!present.contains(id)) gone.push_back(id);
  }
  for (const BackendId id : gone) RemoveId(id);
}

void EndpointListReader::RemoveId(BackendId id) {
  const auto found = known_.find(id);
  if (found == known_.end()) return;
  Vacate(id);
  ids_.erase(found->second.name);
  known_.erase(found);
}

}  // namespace badgerbridge::proxy
