// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Reads JSON bodies of API requests, and the orders in them. Only this file's functions map the names of API
/// requests to those of the code.
#ifndef BADGERBRIDGE_AGENT_REQUEST_BODY_H_
#define BADGERBRIDGE_AGENT_REQUEST_BODY_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "agent/error.h"
#include "agent/order.h"
#include "http_api/message.h"

namespace badgerbridge::agent {

/// Reads members one by one. Keeps the first error, which Finish() returns; reads after it return empty
/// values. A null member counts as missing.
class RequestBody {
 public:
  /// `object` must outlive the reader.
  explicit RequestBody(const boost::json::object& object) : object_(object) {}

  /// A string; nullopt if it is missing.
  std::optional<std::string> ReadText(const char* key);
  /// An integer from 0 to `max`; nullopt if it is missing.
  std::optional<std::int64_t> ReadNumber(const char* key, std::int64_t max);
  /// A boolean; false if it is missing.
  bool ReadFlag(const char* key);
  /// An array of strings; empty if it is missing.
  std::vector<std::string> ReadTexts(const char* key);
  /// The member "verb", which may be any verb but Verb::kApply.
  Verb ReadVerb();

  /// Returns the first error, or an error if the object has a member that was not read. All errors are
  /// AgentErrorKind::kInvalidRequest.
  Result<void> Finish();

 private:
  const boost::json::value* Find(const char* key);
  void Fail(std::string_view where, std::string detail);

  const boost::json::object& object_;
  std::set<std::string, std::less<>> read_keys_;
  std::optional<AgentError> error_;
};

/// A requested order.
struct OrderRequest {
  Order order;           ///< the author is the peer
  bool dry_run = false;  ///< validate only
};

/// A request to apply or compare a fleet file. Its order has no instances yet.
struct FleetRequest {
  OrderRequest order_request;  ///< with Verb::kApply
  std::string fleet_text;      ///< content of the fleet file
  std::string file_name;       ///< name of the fleet file in reported problems
};

/// Parses the body of POST /v1/orders.
Result<OrderRequest> ParseOrderRequest(const boost::json::object& body, const http_api::Peer& peer);

/// Parses the body of POST /v1/apply and POST /v1/diff.
Result<FleetRequest> ParseFleetRequest(const boost::json::object& body, const http_api::Peer& peer);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_REQUEST_BODY_H_
