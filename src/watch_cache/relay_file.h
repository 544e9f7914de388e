// SPDX-License-Identifier: Apache-2.0
//
// The relay's own file (TOML): TLS on both sides, a user at etcd, bounds. deploy/relay.toml lists every key.
#ifndef BADGERBRIDGE_WATCH_CACHE_RELAY_FILE_H_
#define BADGERBRIDGE_WATCH_CACHE_RELAY_FILE_H_

#include <string>
#include <string_view>

#include "operator_config/problem.h"
#include "watch_cache/service.h"

namespace badgerbridge::watch_cache {

// Sets in `settings` what the file names; the rest stays. What it gives counts only if no problem was added.
void ApplyFile(std::string_view text, const std::string& file, ServiceSettings* settings,
               operator_config::Problems& problems);
void LoadFile(const std::string& path, ServiceSettings* settings, operator_config::Problems& problems);

// Whether a member's value under its key says that it drains: a put that no merge may hide.
bool SaysDrain(const etcdserverpb::KeyValue& kv);

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_RELAY_FILE_H_
