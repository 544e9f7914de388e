// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Whether an order may be accepted. Pure: nothing changes.
#ifndef BADGERBRIDGE_AGENT_ORDER_VALIDATION_H_
#define BADGERBRIDGE_AGENT_ORDER_VALIDATION_H_

#include <string>

#include "agent/fleet_state.h"
#include "agent/order.h"

namespace badgerbridge::agent {

/// What became of a submitted order.
struct ValidationResult {
  /// The outcome, or the reason of the rejection.
  enum class Code {
    kAccepted = 0,         ///< nothing is in the way
    kDuplicate = 1,        ///< the id is known; the order is carried out once
    kConflict = 2,         ///< another open order holds one of its instances
    kStale = 3,            ///< one of its instances has changed since its author looked
    kUnknownInstance = 4,  ///< it names an instance that does not exist
    kInvalid = 5,          ///< the order itself is malformed
  };
  Code code = Code::kAccepted;    ///< the outcome
  std::string message;            ///< for people: what is in the way, whose it is, and how to go on
  std::string conflicting_order;  ///< id of the order in the way, or of the duplicate

  /// Whether the order may be, or was, accepted.
  bool accepted() const { return code == Code::kAccepted; }
};

/// Checks the order itself, then its instances, then conflicts with open orders, then its generation.
ValidationResult ValidateOrder(const FleetState& state, const Order& order);

}  // namespace badgerbridge::agent

#endif  // BADGERBRIDGE_AGENT_ORDER_VALIDATION_H_
