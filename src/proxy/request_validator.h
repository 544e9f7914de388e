// SPDX-License-Identifier: Apache-2.0
//
// What is checked of a client's request before it enters the table of requests.
#ifndef BADGERBRIDGE_PROXY_REQUEST_VALIDATOR_H_
#define BADGERBRIDGE_PROXY_REQUEST_VALIDATOR_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "proxy/balancer_types.h"
#include "proxy/client_request.h"
#include "proxy/config.h"
#include "proxy/request_error.h"

namespace badgerbridge::proxy {

/// What a valid request asks for. The views are of the request's own headers.
struct ValidRequest {
  Submit submit;                     ///< for the table of requests; without an id
  std::string service_class;         ///< the class's name
  std::string_view correlation_id;   ///< the request's id
  std::string_view idempotency_key;  ///< empty: none
  std::string_view account;          ///< the tenant's name; empty where requests name none
};

/// Checks how the length of the body is stated, and that no header that counts here is repeated. Where the
/// end of a request may be read in two ways, another request may hide in its body (RFC 9112, 11.2).
RequestResult<void> CheckFraming(const ClientRequest& request);

/// Checks requests against the classes and tenants of a configuration. Only what is checked here is
/// forwarded: a backend closes its connection on what it can't read.
class RequestValidator {
 public:
  /// Copies what it needs of the configuration.
  explicit RequestValidator(const Config& config);

  /// Checks target, class, tenant, method and headers; framing has been checked. `began_at` is when the
  /// request's first bytes came, from which its time counts; `latest_due` bounds its deadline. Throws
  /// std::bad_alloc.
  RequestResult<ValidRequest> Validate(const ClientRequest& request, TimePoint began_at,
                                       TimePoint latest_due) const;

  /// The longest deadline of all classes.
  Duration longest_deadline() const;

 private:
  using IndexByName = std::unordered_map<std::string, int>;

  RequestResult<void> ReadTenant(const ClientRequest& request, ValidRequest& valid) const;

  std::vector<ClassSettings> class_settings_;
  IndexByName classes_;
  IndexByName tenants_;
};

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_REQUEST_VALIDATOR_H_
