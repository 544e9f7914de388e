// SPDX-License-Identifier: Apache-2.0

/// @file
/// The numbers of a run's streams of randomness. Another number gives other runs.
#ifndef BADGERBRIDGE_SIMULATOR_RANDOM_STREAMS_H_
#define BADGERBRIDGE_SIMULATOR_RANDOM_STREAMS_H_

#include <cstdint>

namespace badgerbridge::simulator {

/// One for each thing that draws.
enum RandomStream : std::uint64_t {
  kArrivalStream = 0,               ///< When requests arrive.
  kWorkStream = 1,                  ///< Their class, work and zone.
  kNetworkStream = 2,               ///< Latencies and resets.
  kEndpointListStream = 3,          ///< Delays of endpoint lists.
  kClientStream = 4,                ///< Which proxy, retries, disconnects.
  kFirstBackendStream = 5,          ///< Errors of backend 0; one for each backend from here on.
  kFailoverMemberStream = 1000003,  ///< Latencies of etcd.
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_RANDOM_STREAMS_H_
