// SPDX-License-Identifier: Apache-2.0
#include <exception>
#include <iostream>

#include "drill/codec.h"
#include "drill/host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  badgerbridge::drill::Host host(std::cerr);
  try {
    while (const auto batch = badgerbridge::drill::ReadBatch(std::cin)) {
      std::cout << host.Answer(*batch) << std::flush;
    }
  } catch (const std::exception& error) {
    std::cerr << "fordlb_drill: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
