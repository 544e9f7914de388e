// SPDX-License-Identifier: Apache-2.0
//
// Validation of a client's request before it enters the request table.
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

/// The fields of a valid request. The views refer to the headers of the validated request.
struct ValidRequest {
  Submit submit;                     ///< for the request table, which assigns the id
  std::string service_class;         ///< name of the class
  std::string_view correlation_id;   ///< id of the request
  std::string_view idempotency_key;  ///< empty if the class uses none
  std::string_view account;          ///< name of the tenant; empty if no tenants are configured
  bool is_idempotent = false;        ///< of the class
};

/// Checks the headers that determine the body length, and that no header which must be unique is repeated. If
/// the end of a request is ambiguous, another request can be smuggled in its body (RFC 9112, 11.2).
RequestResult<void> CheckFraming(const ClientRequest& request);

/// Checks requests against the classes and tenants of a configuration. Only values checked here are
/// forwarded, because a backend closes its connection on a request that it can't parse.
class RequestValidator {
 public:
  /// Copies the classes and tenants; `config` need not outlive this object.
  explicit RequestValidator(const Config& config);

  /// Checks target, class, tenant, method and headers. Requires that CheckFraming() passed. The deadline
  /// counts from `began_at`, when the request's first bytes arrived, and is at most `latest_due`. Throws
  /// std::bad_alloc.
  RequestResult<ValidRequest> Validate(const ClientRequest& request, TimePoint began_at,
                                       TimePoint latest_due) const;

  /// The longest deadline of all classes; 0 without classes.
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
