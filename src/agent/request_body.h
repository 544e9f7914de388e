// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Reads the members of a request's JSON body, and orders from them. The one place where the names of the
/// API's requests meet those of the code.
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

/// Reads members one after another and keeps the first error, which Finish() returns; after it, what is read
/// is empty. A member that is null counts as missing. The object must outlive the reader.
class RequestBody {
 public:
  /// Reads `object`, which must outlive the reader.
  explicit RequestBody(const boost::json::object& object) : object_(object) {}

  /// A string; nothing if it is missing.
  std::optional<std::string> ReadText(const char* key);
  /// A whole number from 0 to `max`; nothing if it is missing.
  std::optional<std::int64_t> ReadNumber(const char* key, std::int64_t max);
  /// False if it is missing.
  bool ReadFlag(const char* key);
  /// A list of strings; empty if it is missing.
  std::vector<std::string> ReadTexts(const char* key);
  /// The member "verb": any but Verb::kApply.
  Verb ReadVerb();

  /// The first error; else one if a member was never asked for. All errors are
  /// AgentErrorKind::kInvalidRequest.
  Result<void> Finish();

 private:
  const boost::json::value* Find(const char* key);
  void Fail(std::string_view where, std::string detail);

  const boost::json::object& object_;
  std::set<std::string, std::less<>> asked_;
  std::optional<AgentError> error_;
};

/// An order as requested, and whether it is to be validated only.
struct OrderRequest {
  Order order;           ///< with the peer as its author
  bool dry_run = false;  ///< nothing is carried out
};

/// A fleet file as requested to be applied. Its order has no instances yet.
struct FleetRequest {
  OrderRequest order_request;  ///< of Verb::kApply
  std::string fleet_text;      ///< of the fleet file
  std::string file_name;       ///< for the problems of the fleet file
};

/// The body of POST /v1/orders.
Result<OrderRequest> ParseOrderRequest(const boost::json::object& body, const http_api::Peer& peer);

/// The body of POST /v1/apply and /v1/diff.
Result<FleetRequest> ParseFleetRequest(const boost::json::object& body, const http_api::Peer& peer);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_REQUEST_BODY_H_
