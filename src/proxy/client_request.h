// SPDX-License-Identifier: Apache-2.0
//
// The parsed form of a client's HTTP request.
#ifndef BADGERBRIDGE_PROXY_CLIENT_REQUEST_H_
#define BADGERBRIDGE_PROXY_CLIENT_REQUEST_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace badgerbridge::proxy {

/// A complete request of a client, with the header fields that RequestParser keeps.
using ClientRequest = boost::beast::http::request<boost::beast::http::string_body>;

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_CLIENT_REQUEST_H_
