// SPDX-License-Identifier: Apache-2.0
#include "simulator/network.h"

#include "simulator/random_streams.h"

namespace badgerbridge::simulator {

Network::Network(const Model& model, std::uint64_t seed)
    : model_(model),
      random_(seed, kNetworkStream),
      inbound_cut_(static_cast<std::size_t>(model.zones)),
      outbound_cut_(static_cast<std::size_t>(model.zones)) {}

Duration Network::DrawLatency() { return Duration(model_.network.latency.Draw(random_)); }

Duration Network::DrawLatency(int zone, int other) {
  const Duration latency = DrawLatency();
  return model_.IsCrossRegion(zone, other) ? latency + model_.cross_region_latency : latency;
}

bool Network::DrawReset() {
  return model_.network.reset_share > 0 && random_.DrawUnit() < model_.network.reset_share;
}

bool Network::IsCut(int from_zone, int to_zone) const {
  if (from_zone == to_zone) return false;
  return outbound_cut_[static_cast<std::size_t>(from_zone)] ||
         inbound_cut_[static_cast<std::size_t>(to_zone)];
}

void Network::Cut(int zone, ScenarioEvent::Direction direction) {
  for (std::size_t i = 0; i < inbound_cut_.size(); ++i) {
    if (zone >= 0 && i != static_cast<std::size_t>(zone)) continue;
    if (direction != ScenarioEvent::Direction::kOut) inbound_cut_[i] = true;
    if (direction != ScenarioEvent::Direction::kIn) outbound_cut_[i] = true;
  }
}

void Network::Heal(int zone) {
  for (std::size_t i = 0; i < inbound_cut_.size(); ++i) {
    if (zone >= 0 && i != static_cast<std::size_t>(zone)) continue;
    inbound_cut_[i] = false;
    outbound_cut_[i] = false;
  }
}

}  // namespace badgerbridge::simulator
