// SPDX-License-Identifier: Apache-2.0
//
// Discovery's wire format: the request for its list and the JSON of lists. The one file with its field names.
// No I/O.
#ifndef BADGERBRIDGE_PROXY_ENDPOINT_LIST_CODEC_H_
#define BADGERBRIDGE_PROXY_ENDPOINT_LIST_CODEC_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>

#include "proxy/endpoint_list.h"
#include "proxy/error.h"

namespace badgerbridge::proxy {

/// The target of the HTTP request that watches the list from a version on; 0: from a snapshot on.
std::string EndpointListTarget(std::uint64_t version);

/// Decodes a list. An unknown status of an endpoint counts as draining: it is no leave to send.
EndpointListResult<ListedEndpoints> DecodeEndpointList(const boost::json::value& value);

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_ENDPOINT_LIST_CODEC_H_
