// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The watch cache's configuration file (TOML): TLS on both sides, a user at etcd, bounds. deploy/relay.toml
/// lists every key. This is the only place where the file's keys meet the names of the settings.
#ifndef BADGERBRIDGE_RELAY_RELAY_FILE_H_
#define BADGERBRIDGE_RELAY_RELAY_FILE_H_

#include <string>
#include <string_view>

#include "operator/problem.h"
#include "relay/service.h"

namespace badgerbridge::relay {

/// A parsed file.
struct RelayFile {
  ServiceSettings settings;          ///< Defaults for what the file does not set. Valid if ok().
  operator_file::Problems problems;  ///< All errors in the file.

  /// Whether the file has no error.
  bool ok() const { return problems.empty(); }
};

/// Parses a file's text. `file` is its name for messages.
RelayFile ParseRelayFile(std::string_view text, const std::string& file);

/// Reads and parses a file. A file that cannot be read is a problem, too.
RelayFile LoadRelayFile(const std::string& path);

/// Whether this is the registration of a backend that is draining: a put that no merge may hide.
bool IsDrainEvent(const etcdserverpb::KeyValue& kv);

}  // namespace badgerbridge::relay

#endif  // BADGERBRIDGE_RELAY_RELAY_FILE_H_
