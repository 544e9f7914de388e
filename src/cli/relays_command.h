// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-ctl relays: what watch caches hold, and how far each is behind, by their status sockets.
#ifndef BADGERBRIDGE_CLI_RELAYS_COMMAND_H_
#define BADGERBRIDGE_CLI_RELAYS_COMMAND_H_

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

#include "cli/exit_code.h"

namespace badgerbridge::cli {

/// Which watch caches are asked, and how.
struct RelaysQuery {
  std::vector<std::string> sockets;         ///< paths of their status sockets
  bool json = false;                        ///< one line of JSON in place of a table
  bool color = false;                       ///< of the table; only on terminals
  std::chrono::milliseconds timeout{5000};  ///< of each answer
};

/// Prints a row for each watch cache. kPartialFailure: some are not connected to their upstream;
/// kUnreachable: one did not answer, which is printed on `err`.
ExitCode ShowRelays(const RelaysQuery& query, std::ostream& out, std::ostream& err);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_RELAYS_COMMAND_H_
