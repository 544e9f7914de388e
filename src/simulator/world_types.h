// SPDX-License-Identifier: Apache-2.0
//
// What the files of the world share: its proxies, attempts and clients.
#ifndef BADGERBRIDGE_SIMULATOR_WORLD_TYPES_H_
#define BADGERBRIDGE_SIMULATOR_WORLD_TYPES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "simulator/world.h"

namespace badgerbridge::simulator {

constexpr double kEpochMs = 1e6;  // virtual time begins here: 0 means "long ago" to the module

inline TimePoint At(double ms) { return TimePoint(Duration(kEpochMs + ms)); }

struct World::Proxy {
  int zone = 0;
  std::uint32_t incarnation = 0;  // counts its starts; even: it is dead
  std::unique_ptr<Core> core;
  Core::Actions actions;
  bool carrying = false;
  std::optional<TimePoint> wake;
  std::unordered_map<balancer::RequestId, std::uint64_t> traces;      // its own numbers
  std::unordered_map<balancer::RequestId, std::uint64_t> newest;      // attempt of each, while it is out
  std::unordered_map<balancer::BackendId, TimePoint> draining_since;  // since when not to send there
  std::vector<TimePoint> told_start;                                  // of each backend
  std::vector<std::uint16_t> idle;                                    // connections to each backend
  TimePoint listed_until{};                                           // lists reach it in order
  bool alive() const { return incarnation % 2 == 1; }
};

struct World::Attempt {
  std::size_t proxy = 0;
  std::uint32_t incarnation = 0;
  std::uint64_t trace = 0;
  std::size_t backend = 0;
  TimePoint backend_since{};  // of the process that it was sent to
  request_table::Send send;
  bool ended = false;  // and its proxy knows it
  bool at_backend = false;
  bool on_idle = false;  // on a connection that was there
  bool told = false;     // its proxy had been told of that process's start
  TimePoint written{};   // when its connection is up and the request goes out
  bool reset = false;    // its connection breaks once it has been written
};

struct World::Intent {  // what a client wants, over all its tries
  int request_class = 0, tries = 0, zone = 0;
  TimePoint began{};
  double work = 0;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_WORLD_TYPES_H_
