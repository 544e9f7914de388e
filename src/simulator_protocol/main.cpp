// SPDX-License-Identifier: Apache-2.0
#include <exception>
#include <iostream>

#include "simulator_protocol/codec.h"
#include "simulator_protocol/host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  badgerbridge::simulator_protocol::Host host(std::cerr);
  try {
    while (const auto batch = badgerbridge::simulator_protocol::ReadBatch(std::cin)) {
      std::cout << host.Answer(*batch) << std::flush;
    }
  } catch (const std::exception& error) {
    std::cerr << "badgerbridge_drill: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
