// SPDX-License-Identifier: Apache-2.0
//
// Appends to a relay's actions.
#ifndef BADGERBRIDGE_RELAY_ACTIONS_H_
#define BADGERBRIDGE_RELAY_ACTIONS_H_

#include <utility>
#include <variant>

#include "relay/relay.h"

namespace badgerbridge::relay {

// Constructs the action in its place: GCC 12 at -O3 takes a temporary variant that is moved from for a use of
// what was never set (-Wmaybe-uninitialized).
template <typename Action, typename... Arguments>
void Append(Relay::Actions* actions, Arguments&&... arguments) {
  actions->emplace_back(std::in_place_type<Action>, std::forward<Arguments>(arguments)...);
}

}  // namespace badgerbridge::relay

#endif  // BADGERBRIDGE_RELAY_ACTIONS_H_
