// SPDX-License-Identifier: Apache-2.0
//
// The list of backends: as received from discovery or etcd, and with the ids of the decision module.
#ifndef BADGERBRIDGE_PROXY_ENDPOINT_LIST_H_
#define BADGERBRIDGE_PROXY_ENDPOINT_LIST_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "proxy/balancer_types.h"

namespace badgerbridge::proxy {

/// A backend of a list, with the id and indices of the decision module.
struct Endpoint {
  std::string name;                        ///< the name in the list
  BackendEntry entry;                      ///< for the decision module
  boost::asio::ip::tcp::endpoint address;  ///< unspecified if the backend is gone and has no address
};

/// A complete list, or a change to it.
struct EndpointList {
  bool snapshot = false;            ///< whether it is complete: unlisted backends are gone
  std::vector<Endpoint> endpoints;  ///< all backends, or for a change those that have changed
};

/// A backend as received, before its names are mapped to ids.
struct ListedEndpoint {
  std::string name;                                       ///< unique in the list
  std::string zone;                                       ///< name of the zone
  std::string kind;                                       ///< name of the kind of backend
  std::optional<boost::asio::ip::tcp::endpoint> address;  ///< none only if the backend is gone
  BackendState state = BackendState::kReady;              ///< whether it accepts requests
  int cell = 0;                                           ///< deduplication scope of some request classes
  double weight = 1;                                      ///< relative to other backends
  double started_at_ms = 0;  ///< when it last started, Unix time in ms; 0: unknown
};

/// A list as received from discovery or etcd.
struct ListedEndpoints {
  bool snapshot = false;                  ///< see EndpointList
  std::uint64_t version = 0;              ///< version assigned by the source
  std::vector<ListedEndpoint> endpoints;  ///< see EndpointList
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_ENDPOINT_LIST_H_
