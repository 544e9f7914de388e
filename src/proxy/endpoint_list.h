// SPDX-License-Identifier: Apache-2.0
//
// The list of backends, as discovery or etcd names them and as the decision module numbers them.
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
  std::string name;                        ///< as listed
  BackendEntry entry;                      ///< for the decision module
  boost::asio::ip::tcp::endpoint address;  ///< unspecified where the backend is gone and none was listed
};

/// A list, or a change to it.
struct EndpointList {
  bool snapshot = false;            ///< complete: backends that are not named are gone
  std::vector<Endpoint> endpoints;  ///< all of a snapshot; else those that have changed
};

/// A backend as a list names it.
struct ListedEndpoint {
  std::string name;                                       ///< unique
  std::string zone;                                       ///< by name
  std::string kind;                                       ///< by name
  std::optional<boost::asio::ip::tcp::endpoint> address;  ///< none only if the backend is gone
  BackendState state = BackendState::kReady;              ///< whether it accepts requests
  int cell = 0;              ///< for classes whose deduplication scope is the cell
  double weight = 1;         ///< relative to other backends
  double started_at_ms = 0;  ///< when it last started, Unix time in ms; 0: unknown
};

/// A list as its source sends it.
struct ListedEndpoints {
  bool snapshot = false;                  ///< see EndpointList
  std::uint64_t version = 0;              ///< of the list, by its source
  std::vector<ListedEndpoint> endpoints;  ///< see EndpointList
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_ENDPOINT_LIST_H_
