// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What direct clients do with their connections, drawn at random.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_DIRECT_CLIENT_BEHAVIOR_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_DIRECT_CLIENT_BEHAVIOR_H_

#include <cstddef>
#include <optional>

#include "simulator/random.h"

namespace badgerbridge::multiprocess {

/// A client's disconnect before the answer.
struct PlannedDisconnect {
  double after_ms = 0;               ///< From the last byte of its last request.
  bool is_reset = false;             ///< By a reset, not by a close.
  bool leaves_part_request = false;  ///< After the beginning of another request.
};

/// What a client does next on its connection.
struct PlannedExchange {
  std::size_t requests = 1;                     ///< Written before the first answer is awaited.
  bool is_single_write = true;                  ///< All at once, not some ms apart.
  std::optional<PlannedDisconnect> disconnect;  ///< None: it awaits all answers.
};

/// Draws the next exchange. `may_disconnect`: whether it may end before the answer.
PlannedExchange DrawExchange(simulator::Random& random, bool may_disconnect);

/// Draws how many ms a connection is idle after an answer, often just about the keep-alive time-out of a
/// proxy. Nothing: the client closes it.
std::optional<double> DrawIdleTime(simulator::Random& random);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_DIRECT_CLIENT_BEHAVIOR_H_
