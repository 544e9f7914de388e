// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Validation of orders, without side effects.
#ifndef BADGERBRIDGE_AGENT_ORDER_VALIDATION_H_
#define BADGERBRIDGE_AGENT_ORDER_VALIDATION_H_

#include <string>

#include "agent/fleet_state.h"
#include "agent/order.h"

namespace badgerbridge::agent {

/// The outcome of a submitted order.
struct ValidationResult {
  /// Acceptance, or the reason of the rejection.
  enum class Code {
    kAccepted = 0,         ///< all checks passed
    kDuplicate = 1,        ///< an order of this id exists; it is not carried out again
    kConflict = 2,         ///< an open order works on one of its instances
    kStale = 3,            ///< an instance changed after expected_generation
    kUnknownInstance = 4,  ///< an instance of the order does not exist
    kInvalid = 5,          ///< the order itself is malformed
  };
  Code code = Code::kAccepted;    ///< the outcome
  std::string message;            ///< readable text: the cause, its author, and what to do
  std::string conflicting_order;  ///< id of the conflicting or the existing order

  /// Whether the order passed all checks.
  bool accepted() const { return code == Code::kAccepted; }
};

/// Checks, in this order, the order itself, its instances, conflicts with open orders, its generation, and
/// the number of open orders. Returns the first rejection.
ValidationResult ValidateOrder(const FleetState& state, const Order& order);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_ORDER_VALIDATION_H_
