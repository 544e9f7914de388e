// SPDX-License-Identifier: Apache-2.0
//
// Converts between the proxy's endpoints, which identify zones and kinds by index, and the ledger's members,
// which identify them by name. No I/O.
#ifndef BADGERBRIDGE_PROXY_MAIN_MEMBER_CONVERSION_H_
#define BADGERBRIDGE_PROXY_MAIN_MEMBER_CONVERSION_H_

#include <string>
#include <vector>

#include "membership/member.h"
#include "proxy/discovery.h"

namespace badgerbridge::proxy_main {

/// Names of zones and kinds in the configuration, by index.
struct EndpointNames {
  std::vector<std::string> zones;  ///< Indexed by BackendEntry::zone.
  std::vector<std::string> kinds;  ///< Indexed by BackendEntry::kind.
};

/// Converts an endpoint to a member; a zone or kind that is not in the configuration becomes empty.
membership::Member ToMember(const proxy::Endpoint& endpoint, const EndpointNames& names);

/// Converts a member to a listed endpoint, without an address if the member's is not a valid ADDRESS:PORT.
proxy::ListedEndpoint ToListedEndpoint(const membership::Member& member);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_MEMBER_CONVERSION_H_
