// SPDX-License-Identifier: Apache-2.0
//
// Converts between the proxy's endpoints, which refer to zones and kinds by index, and the ledger's members,
// which name them. No I/O.
#ifndef BADGERBRIDGE_PROXY_MAIN_MEMBER_CONVERSION_H_
#define BADGERBRIDGE_PROXY_MAIN_MEMBER_CONVERSION_H_

#include <string>
#include <vector>

#include "membership/member.h"
#include "proxy/discovery.h"

namespace badgerbridge::proxy_main {

/// The names of the configuration, by index.
struct EndpointNames {
  std::vector<std::string> zones;  ///< Of BackendEntry::zone.
  std::vector<std::string> kinds;  ///< Of BackendEntry::kind.
};

/// An endpoint as a member; a zone or kind that the configuration does not name becomes empty.
membership::Member ToMember(const proxy::Endpoint& endpoint, const EndpointNames& names);

/// A member as an endpoint of a list. It has no address if the member's is no ADDRESS:PORT.
proxy::ListedEndpoint ToListedEndpoint(const membership::Member& member);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_MEMBER_CONVERSION_H_
