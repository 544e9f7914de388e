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
  const auto known = ids_.find(name);
  if (known != ids_.end()) return known->second;
  BackendId id = HashOf(name);
  auto [at, added] = names_.emplace(id, name);
  // On a hash collision the later name gets the next free id.
  while (!added) std::tie(at, added) = names_.emplace(++id, name);
  ids_.emplace(at->second, id);
  return id;
}

std::string EndpointListReader::NameOf(BackendId id) const {
  const auto found = names_.find(id);
  return found == names_.end() ? std::string() : found->second;
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
  for (const ListedEndpoint& source : listed) {
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
    list.endpoints.push_back(std::move(endpoint));
  }
  version_ = version;
  RemoveGoneNames(list);
  return list;
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
  for (const auto& [id, name] : names_) {
    if (!present.contains(id)) gone.push_back(id);
  }
  for (const BackendId id : gone) RemoveId(id);
}

void EndpointListReader::RemoveId(BackendId id) {
  const auto found = names_.find(id);
  if (found == names_.end()) return;
  ids_.erase(found->second);
  names_.erase(found);
}

}  // namespace badgerbridge::proxy
