// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The watch cache's configuration file (TOML): TLS for readers and upstream, the etcd user, and bounds.
/// deploy/relay.toml lists every key. Only this module maps the file's keys to the settings.
#ifndef BADGERBRIDGE_WATCH_CACHE_RELAY_FILE_H_
#define BADGERBRIDGE_WATCH_CACHE_RELAY_FILE_H_

#include <string>
#include <string_view>

#include "operator_config/problem.h"
#include "watch_cache/service.h"

namespace badgerbridge::watch_cache {

/// The settings and the problems of a parsed file.
struct RelayFile {
  ServiceSettings settings;            ///< Defaults for what the file does not set. Valid if ok().
  operator_config::Problems problems;  ///< All errors in the file.

  /// Whether the settings may be used: there is no problem.
  bool ok() const { return problems.empty(); }
};

/// Parses the text of a configuration file. `file` is its name in messages.
RelayFile ParseRelayFile(std::string_view text, const std::string& file);

/// Reads and parses a file. A file that cannot be read is reported as a problem.
RelayFile LoadRelayFile(const std::string& path);

/// Whether this is the registration of a draining backend. Merging must not drop such a put.
bool IsDrainEvent(const etcdserverpb::KeyValue& kv);

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_RELAY_FILE_H_
