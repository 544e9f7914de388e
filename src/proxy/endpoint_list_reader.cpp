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

// The count of names if it is none of them.
int IndexOf(const std::vector<std::string>& names, std::string_view name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

BackendId HashOf(std::string_view name) {
  BackendId hash = kFnvOffsetBasis;
  for (const char byte : name) hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  return hash;
}

}  // namespace

// Derived from the name, so that an id is the same at every proxy and after each restart: the decision module
// places backends on its ring by id, and proxies that number them differently would crowd on the same few.
BackendId EndpointListReader::IdOf(const std::string& name) {
  const auto known = ids_.find(name);
  if (known != ids_.end()) return known->second;
  BackendId id = HashOf(name);
  auto [at, added] = names_.emplace(id, name);
  // Of two names with one hash the later one takes the next free id.
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
  Forget(list);
  return list;
}

// Backends are replaced by new ones, under new names, for as long as this proxy runs.
void EndpointListReader::Forget(const EndpointList& list) {
  std::unordered_set<BackendId> present;
  for (const Endpoint& endpoint : list.endpoints) {
    if (endpoint.entry.state != BackendState::kGone) present.insert(endpoint.entry.server);
  }
  if (!list.snapshot) {
    for (const Endpoint& endpoint : list.endpoints) {
      if (!present.contains(endpoint.entry.server)) ForgetId(endpoint.entry.server);
    }
    return;
  }
  std::vector<BackendId> gone;
  for (const auto& [id, name] : names_) {
    if (!present.contains(id)) gone.push_back(id);
  }
  for (const BackendId id : gone) ForgetId(id);
}

void EndpointListReader::ForgetId(BackendId id) {
  const auto found = names_.find(id);
  if (found == names_.end()) return;
  ids_.erase(found->second);
  names_.erase(found);
}

}  // namespace badgerbridge::proxy
