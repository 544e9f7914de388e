// SPDX-License-Identifier: Apache-2.0
//
// Discovery's wire format: the request target and the JSON of endpoint lists. All of its field names are in
// the implementation of this header. No I/O.
#ifndef BADGERBRIDGE_PROXY_ENDPOINT_LIST_CODEC_H_
#define BADGERBRIDGE_PROXY_ENDPOINT_LIST_CODEC_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>

#include "proxy/endpoint_list.h"
#include "proxy/error.h"

namespace badgerbridge::proxy {

/// The target of the HTTP request that watches changes after a version; 0: begins with a snapshot.
std::string EndpointListTarget(std::uint64_t version);

/// Decodes a list. An endpoint with an unknown status counts as draining, so that it gets no requests.
EndpointListResult<ListedEndpoints> DecodeEndpointList(const boost::json::value& value);

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_ENDPOINT_LIST_CODEC_H_
