// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The watch cache's configuration file (TOML): TLS on both sides, a user at etcd, bounds. deploy/relay.toml
/// lists every key. This is the only place where the file's keys meet the names of the settings.
#ifndef BADGERBRIDGE_WATCH_CACHE_RELAY_FILE_H_
#define BADGERBRIDGE_WATCH_CACHE_RELAY_FILE_H_

#include <string>
#include <string_view>

#include "operator_config/problem.h"
#include "watch_cache/service.h"

namespace badgerbridge::watch_cache {

/// A parsed file.
struct RelayFile {
  ServiceSettings settings;            ///< Defaults for what the file does not set. Valid if ok().
  operator_config::Problems problems;  ///< All errors in the file.

  /// Whether the file has no error.
  bool ok() const { return problems.empty(); }
};

/// Parses a file's text. `file` is its name for messages.
RelayFile ParseRelayFile(std::string_view text, const std::string& file);

/// Reads and parses a file. A file that cannot be read is a problem, too.
RelayFile LoadRelayFile(const std::string& path);

/// Whether this is the registration of a backend that is draining: a put that no merge may hide.
bool IsDrainEvent(const etcdserverpb::KeyValue& kv);

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_RELAY_FILE_H_
