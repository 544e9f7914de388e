// SPDX-License-Identifier: Apache-2.0
//
// Appends to a relay's actions.
#ifndef BADGERBRIDGE_WATCH_CACHE_ACTIONS_H_
#define BADGERBRIDGE_WATCH_CACHE_ACTIONS_H_

#include <utility>
#include <variant>

#include "watch_cache/relay.h"

namespace badgerbridge::watch_cache {

// Sets the action in its place: GCC 12 at -O3 takes a temporary variant that is moved from for a use of what
// was never set (-Wmaybe-uninitialized), and clang 14 can't construct an aggregate in place from its members.
template <typename Action, typename... Arguments>
void Append(Relay::Actions* actions, Arguments&&... arguments) {
  actions->emplace_back(std::in_place_type<Action>);
  std::get<Action>(actions->back()) = Action{std::forward<Arguments>(arguments)...};
}

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_ACTIONS_H_
