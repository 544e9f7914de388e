// SPDX-License-Identifier: Apache-2.0

/// @file
/// The links of the installation: latencies, cuts between zones, and resets.
#ifndef BADGERBRIDGE_SIMULATOR_NETWORK_H_
#define BADGERBRIDGE_SIMULATOR_NETWORK_H_

#include <cstdint>
#include <vector>

#include "simulator/model.h"
#include "simulator/random.h"

namespace badgerbridge::simulator {

/// Draws come from one stream, in the order of the calls.
class Network {
 public:
  /// The model must outlive it.
  Network(const Model& model, std::uint64_t seed);

  /// A latency one way, within a zone or between a client and a proxy.
  Duration DrawLatency();
  /// A latency one way between zones.
  Duration DrawLatency(int zone, int other);
  /// Whether the connection of a request is reset once it has been written.
  bool DrawReset();

  /// Whether links from one zone to another drop everything.
  bool IsCut(int from_zone, int to_zone) const;
  /// Cuts the links of a zone, or of every zone for -1, with the others.
  void Cut(int zone, ScenarioEvent::Direction direction);
  /// Ends cuts of a zone, or of every zone for -1.
  void Heal(int zone);

 private:
  const Model& model_;
  Random random_;
  std::vector<bool> inbound_cut_;   // by zone
  std::vector<bool> outbound_cut_;  // by zone
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_NETWORK_H_
