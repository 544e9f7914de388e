// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The options that all orders to agents have in common.
#ifndef BADGERBRIDGE_CLI_ORDER_OPTIONS_H_
#define BADGERBRIDGE_CLI_ORDER_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace badgerbridge::cli {

/// How an order is made and followed.
struct OrderOptions {
  std::string id;                                        ///< to repeat an order; empty: a random one
  std::string as;                                        ///< the person's name for the audit log
  std::optional<std::chrono::milliseconds> force_after;  ///< before an instance is killed; none: never
  std::chrono::milliseconds deadline{30000};             ///< for each instance
  unsigned at_most = 0;  ///< instances at the same time; 0: all (of a roll: one)
  std::uint64_t against =
      0;  ///< the generation it was written against; 0: the one that was just read (of an apply: any)
  bool supersede = false;  ///< ends an order that is in the way
  bool dry_run = false;    ///< nothing is carried out
  bool no_wait = false;    ///< returns once the order is accepted
};

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_ORDER_OPTIONS_H_
