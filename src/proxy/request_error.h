// SPDX-License-Identifier: Apache-2.0
//
// Why the proxy rejects a client's request before it enters the table of requests, and what it answers.
#ifndef BADGERBRIDGE_PROXY_REQUEST_ERROR_H_
#define BADGERBRIDGE_PROXY_REQUEST_ERROR_H_

#include <boost/system/result.hpp>

namespace badgerbridge::proxy {

/// Why a request is rejected. The wrong value is the client's own and is not repeated to it.
enum class RequestError {
  kSeveralBodyLengths,        ///< more than one Content-Length or Transfer-Encoding
  kMalformedContentLength,    ///< Content-Length is no whole number
  kUnknownTransferEncoding,   ///< Transfer-Encoding is not chunked, or the request is of HTTP/1.0
  kGetWithBody,               ///< a GET with a body
  kRepeatedHeader,            ///< a header that counts here stands in the request more than once
  kMalformedTarget,           ///< the target is no origin form (RFC 9112, 3.2.1)
  kUnknownClass,              ///< X-Service-Class names no class
  kPathNotOfClass,            ///< the path's first segment is not the class
  kUnknownTenant,             ///< X-Account names no tenant
  kMethodNotOfClass,          ///< the class has another method
  kReadyNotGet,               ///< /ready with a method other than GET
  kIdempotencyKeyNotOfClass,  ///< Idempotency-Key is absent, too long, or the class has none
  kMalformedTimeLeft,         ///< X-Time-Left-Ms is no whole number
  kMalformedWeightHint,       ///< X-Weight-Hint is no number
  kMalformedCorrelationId,    ///< X-Correlation-Id is absent or malformed
  kCorrelationIdInUse,        ///< a request with this X-Correlation-Id was accepted lately
  kIncompleteAtClientLimit,   ///< incomplete, and its connection makes room for another
  kIncompleteInTime,          ///< incomplete when its time was over
  kBodyTooLarge,              ///< the body is over the limit
  kHeaderTooLarge,            ///< the header is over the limit
  kTooMuchSentAhead,          ///< more pipelined bytes than the buffer holds
  kMalformed,                 ///< not HTTP/1.1 otherwise
  kInternal,                  ///< an exception of the proxy itself, for want of memory for instance
};

/// A value, or why the request is rejected.
template <typename T>
using RequestResult = boost::system::result<T, RequestError>;

/// What a rejected request is answered.
struct Rejection {
  unsigned status;   ///< of HTTP
  const char* text;  ///< the body, of static storage duration
};

/// The answer to a request that is rejected for `error`.
Rejection RejectionOf(RequestError error);

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_REQUEST_ERROR_H_
