// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {

double NowMs() { return ToMs(std::chrono::steady_clock::now()); }

double ToMs(std::chrono::steady_clock::time_point moment) {
  return std::chrono::duration<double, std::milli>(moment.time_since_epoch()).count();
}

double UnixMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace badgerbridge::multiprocess
