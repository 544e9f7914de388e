// SPDX-License-Identifier: Apache-2.0
//
// Reasons to reject a client's request before it enters the request table, and the answers to it.
#ifndef BADGERBRIDGE_PROXY_REQUEST_ERROR_H_
#define BADGERBRIDGE_PROXY_REQUEST_ERROR_H_

#include <boost/system/result.hpp>

namespace badgerbridge::proxy {

/// Why a request is rejected. The answer doesn't echo the invalid value.
enum class RequestError {
  kMultipleBodyLengths,          ///< more than one Content-Length or Transfer-Encoding
  kMalformedContentLength,       ///< Content-Length is not a whole number
  kUnsupportedTransferEncoding,  ///< Transfer-Encoding is not chunked, or is used with HTTP/1.0
  kGetWithBody,                  ///< a GET with a body
  kRepeatedHeader,               ///< a header that must be unique occurs more than once
  kMalformedTarget,              ///< the target is not in origin form (RFC 9112, 3.2.1)
  kUnknownClass,                 ///< X-Service-Class names no class
  kPathClassMismatch,            ///< the path's first segment is not the class
  kUnknownTenant,                ///< X-Account names no tenant
  kMethodNotAllowed,             ///< the method is not the one of the class
  kReadyMethodNotAllowed,        ///< /ready with a method other than GET
  kInvalidIdempotencyKey,        ///< Idempotency-Key is absent, too long, or not used by the class
  kMalformedTimeLeft,            ///< X-Time-Left-Ms is not a whole number
  kMalformedWeightHint,          ///< X-Weight-Hint is not a number
  kMalformedCorrelationId,       ///< X-Correlation-Id is absent or malformed
  kDuplicateCorrelationId,       ///< a request with this X-Correlation-Id was accepted recently
  kTooManyRecentIds,             ///< no room to remember its X-Correlation-Id
  kIncompleteAtClientLimit,      ///< incomplete when its connection was evicted at the client limit
  kIncompleteAtTimeout,          ///< incomplete when the time to receive it expired
  kBodyTooLarge,                 ///< the body exceeds the size limit
  kHeaderTooLarge,               ///< the header exceeds the size limit
  kPipelineOverflow,             ///< more pipelined bytes than the input buffer holds
  kMalformed,                    ///< not valid HTTP/1.1 for any other reason
  kInternal,                     ///< an exception in the proxy itself, for example out of memory
};

/// A value, or the reason to reject the request.
template <typename T>
using RequestResult = boost::system::result<T, RequestError>;

/// The answer to a rejected request.
struct Rejection {
  unsigned status;   ///< HTTP status code
  const char* body;  ///< static storage duration; may be empty
};

/// The answer for `error`. It closes the connection.
Rejection RejectionOf(RequestError error);

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_REQUEST_ERROR_H_
