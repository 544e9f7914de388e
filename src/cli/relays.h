// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-ctl relays: what relays hold, and how far behind each is, by their status sockets.
#ifndef BADGERBRIDGE_CLI_RELAYS_H_
#define BADGERBRIDGE_CLI_RELAYS_H_

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

namespace badgerbridge::cli {

struct RelaysCommand {
  std::vector<std::string> sockets;  // paths
  bool json = false, color = false;
  std::chrono::milliseconds timeout{5000};  // of each answer
};

// Exit: all did; some are not connected to their source; one did not answer.
int ShowRelays(const RelaysCommand& how, std::ostream& out, std::ostream& err);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_RELAYS_H_
