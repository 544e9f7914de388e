// SPDX-License-Identifier: Apache-2.0
//
// The relay's own file (TOML): TLS on both sides, a user at etcd, bounds. deploy/relay.toml lists every key.
#ifndef BADGERBRIDGE_RELAY_RELAY_FILE_H_
#define BADGERBRIDGE_RELAY_RELAY_FILE_H_

#include <string>
#include <string_view>

#include "operator/problem.h"
#include "relay/service.h"

namespace badgerbridge::relay {

// Sets in `settings` what the file names; the rest stays. What it gives counts only if no problem was added.
void ApplyFile(std::string_view text, const std::string& file, ServiceSettings* settings,
               operator_file::Problems& problems);
void LoadFile(const std::string& path, ServiceSettings* settings, operator_file::Problems& problems);

// Whether a member's value under its key says that it drains: a put that no merge may hide.
bool SaysDrain(const etcdserverpb::KeyValue& kv);

}  // namespace badgerbridge::relay

#endif  // BADGERBRIDGE_RELAY_RELAY_FILE_H_
