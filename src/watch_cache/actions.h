// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Helper that appends actions to WatchCache::Actions.
#ifndef BADGERBRIDGE_WATCH_CACHE_ACTIONS_H_
#define BADGERBRIDGE_WATCH_CACHE_ACTIONS_H_

#include <utility>
#include <variant>

#include "watch_cache/watch_cache.h"

namespace badgerbridge::watch_cache {

/// Appends `Action{arguments...}`.
///
/// The action is assigned after a default one was emplaced, because GCC 12 at -O3 reports a moved-from
/// temporary variant as -Wmaybe-uninitialized, and clang 14 cannot emplace an aggregate from its members.
template <typename Action, typename... Arguments>
void Append(WatchCache::Actions* actions, Arguments&&... arguments) {
  actions->emplace_back(std::in_place_type<Action>);
  std::get<Action>(actions->back()) = Action{std::forward<Arguments>(arguments)...};
}

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_ACTIONS_H_
