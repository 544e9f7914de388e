// SPDX-License-Identifier: Apache-2.0
#include "proxy/request_error.h"

namespace badgerbridge::proxy {

// Exceeds the size limit of functions because it is a table.
Rejection RejectionOf(RequestError error) {  // NOLINT(readability-function-size)
  switch (error) {
    case RequestError::kMultipleBodyLengths:
      return {400, "more than one Content-Length or Transfer-Encoding\n"};
    case RequestError::kMalformedContentLength:
      return {400, "malformed Content-Length\n"};
    case RequestError::kUnsupportedTransferEncoding:
      return {400, "Transfer-Encoding is not chunked\n"};
    case RequestError::kGetWithBody:
      return {400, "GET with a body\n"};
    case RequestError::kRepeatedHeader:
      return {400, "a header twice\n"};
    case RequestError::kMalformedTarget:
      return {400, "malformed target\n"};
    case RequestError::kUnknownClass:
      return {400, "X-Service-Class names no known class\n"};
    case RequestError::kPathClassMismatch:
      return {400, "the path does not begin with the class\n"};
    case RequestError::kUnknownTenant:
      return {400, "X-Account names no known tenant\n"};
    case RequestError::kMethodNotAllowed:
      return {405, "this class does not take this method\n"};
    case RequestError::kReadyMethodNotAllowed:
      return {405, ""};
    case RequestError::kInvalidIdempotencyKey:
      return {400, "Idempotency-Key does not fit the class\n"};
    case RequestError::kMalformedTimeLeft:
      return {400, "X-Time-Left-Ms is no whole number\n"};
    case RequestError::kMalformedWeightHint:
      return {400, "X-Weight-Hint is not a number\n"};
    case RequestError::kMalformedCorrelationId:
      return {400, "X-Correlation-Id is absent or malformed\n"};
    case RequestError::kDuplicateCorrelationId:
      return {409, "this X-Correlation-Id is in use, or was a moment ago\n"};
    case RequestError::kTooManyRecentIds:
      return {503, "too many requests lately\n"};
    case RequestError::kIncompleteAtClientLimit:
      return {503, "no room for a request that is not whole\n"};
    case RequestError::kIncompleteAtTimeout:
      return {408, "the request is not whole\n"};
    case RequestError::kBodyTooLarge:
      return {413, "the body is too large\n"};
    case RequestError::kHeaderTooLarge:
      return {431, "the header is too large\n"};
    case RequestError::kPipelineOverflow:
      return {400, "too much was sent ahead\n"};
    case RequestError::kMalformed:
      return {400, "malformed request\n"};
    case RequestError::kInternal:
      break;
  }
  return {500, ""};
}

}  // namespace badgerbridge::proxy
