// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What a backend reads from a proxy's request.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_BACKEND_REQUEST_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_BACKEND_REQUEST_H_

#include <boost/beast/http.hpp>

#include "multiprocess/history.h"

namespace badgerbridge::multiprocess {

/// A request as the platform's protocol has it.
using BackendRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// The record of a request that is complete now. Backend and deduplication scope are left empty; without an
/// X-Correlation-Id, so is its id.
AttemptRecord ReadAttempt(const BackendRequest& request);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_BACKEND_REQUEST_H_
