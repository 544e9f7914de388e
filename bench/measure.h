// SPDX-License-Identifier: Apache-2.0
//
// What the benches share: a process's cost, quantiles, and checks that are counted.
#ifndef BADGERBRIDGE_BENCH_MEASURE_H_
#define BADGERBRIDGE_BENCH_MEASURE_H_

#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace badgerbridge::bench {

// CPU time of a process, in ms (proc(5)); as coarse as the kernel's ticks.
inline double CpuMs(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  double ticks = 0;
  for (int i = 3; i <= 15 && fields >> field; ++i) {
    if (i >= 14) ticks += std::stod(field);
  }
  return ticks * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// In MB.
inline double ResidentMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

inline double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(q * static_cast<double>(values.size())))];
}

struct Checks {
  int broken = 0;
  void Expect(bool holds, const std::string& what) {
    if (holds) return;
    ++broken;
    std::cout << "BROKEN: " << what << std::endl;
  }
};

inline double Since(std::chrono::steady_clock::time_point at) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - at).count();
}

}  // namespace badgerbridge::bench

#endif  // BADGERBRIDGE_BENCH_MEASURE_H_
