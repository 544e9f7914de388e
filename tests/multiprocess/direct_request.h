// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The requests of direct clients, and their text.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_DIRECT_REQUEST_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_DIRECT_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "multiprocess/history.h"
#include "multiprocess/verdict.h"
#include "simulator/distribution.h"
#include "simulator/random.h"

namespace badgerbridge::multiprocess {

/// A request class as direct clients need it.
struct DirectClientClass {
  std::string name;                                    ///< Its name.
  Idempotency idempotency = Idempotency::kIdempotent;  ///< Whether its requests may run more than once.
  double share = 1;                                    ///< Of the requests, by weight.
  double max_deadline_ms = 1500;                       ///< The longest that a client waits.
  simulator::Distribution work;                        ///< ms of a standard core.
};

/// A request of a direct client.
struct DirectRequest {
  RequestRecord record;           ///< What is recorded of it.
  std::string target;             ///< Path and query.
  std::size_t size_bytes = 0;     ///< Of its text, as it was written last.
  std::int64_t time_left_ms = 0;  ///< X-Time-Left-Ms, as it was written last.
  bool is_resent = false;         ///< It is sent a second time.
};

/// The text of a request of this class, with the time that is left now; sets `size_bytes` and `time_left_ms`.
std::string WriteRequest(DirectRequest& request, const DirectClientClass& request_class);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_DIRECT_REQUEST_H_
