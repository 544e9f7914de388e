// SPDX-License-Identifier: Apache-2.0
#include "agent/clock.h"

#include <chrono>
#include <ctime>
#include <fstream>

namespace badgerbridge::agent {

Time MonotonicNow() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return Time(now.tv_sec * 1000 + now.tv_nsec / 1000000);
}

std::int64_t UnixMilliseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

std::string ReadBootId() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  std::getline(file, id);
  return id;
}

}  // namespace badgerbridge::agent
