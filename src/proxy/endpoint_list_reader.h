// SPDX-License-Identifier: Apache-2.0
//
// Maps the names in endpoint lists to the ids and indices of the decision module. No I/O.
#ifndef BADGERBRIDGE_PROXY_ENDPOINT_LIST_READER_H_
#define BADGERBRIDGE_PROXY_ENDPOINT_LIST_READER_H_

#include <boost/json/value.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "proxy/config.h"
#include "proxy/endpoint_list.h"
#include "proxy/error.h"

namespace badgerbridge::proxy {

/// Holds the id of each listed name and the version of the list. Not thread-safe.
class EndpointListReader {
 public:
  /// Copies the names of zones and kinds, in index order, from `config`.
  explicit EndpointListReader(const Config& config) : zones_(config.zones), kinds_(config.kinds) {}
  /// The moved-from reader must not be used again.
  EndpointListReader(EndpointListReader&&) = default;

  /// Decodes a list in discovery's format and assigns ids. Changes nothing on error.
  EndpointListResult<EndpointList> Read(const boost::json::value& value);
  /// Assigns ids to the backends of a list and removes the names of those that are gone. A backend is gone as
  /// soon as another one has started later at its address.
  EndpointList Resolve(bool snapshot, std::uint64_t version, const std::vector<ListedEndpoint>& listed);

  /// The version of the last list; 0: none.
  std::uint64_t version() const { return version_; }
  /// Records that the list is unchanged up to a version.
  void SetVersion(std::uint64_t version) { version_ = version; }
  /// Resets the version, so that the next request asks for a snapshot.
  void ResetVersion() { version_ = 0; }
  /// The number of names in the list.
  std::size_t name_count() const { return ids_.size(); }
  /// The name of a backend; empty if it is not in the list.
  std::string NameOf(BackendId id) const;

 private:
  // A listed backend.
  struct Known {
    std::string name;
    boost::asio::ip::tcp::endpoint address;
    TimePoint up_since{};
  };

  BackendId IdOf(const std::string& name);
  Endpoint ToEndpoint(const ListedEndpoint& source);
  void RemoveReplaced(EndpointList& list);
  std::optional<BackendId> Occupy(const Endpoint& endpoint);
  void Vacate(BackendId id);
  void MarkGone(BackendId id, EndpointList& list) const;
  void RemoveGoneNames(const EndpointList& list);
  void RemoveId(BackendId id);

  std::vector<std::string> zones_;
  std::vector<std::string> kinds_;
  std::unordered_map<BackendId, Known> known_;
  std::unordered_map<std::string_view, BackendId> ids_;                      // keyed by the names in known_
  std::unordered_map<boost::asio::ip::tcp::endpoint, BackendId> newest_at_;  // of those at an address
  std::uint64_t version_ = 0;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_ENDPOINT_LIST_READER_H_
