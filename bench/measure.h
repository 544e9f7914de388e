// SPDX-License-Identifier: Apache-2.0
//
// What the benches share: a process's cost, quantiles, and checks that are counted.
#ifndef BADGERBRIDGE_BENCH_MEASURE_H_
#define BADGERBRIDGE_BENCH_MEASURE_H_

#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace badgerbridge::bench {

// CPU time of a process, all its threads, in ms: the scheduler's own count, in nanoseconds, where stat has
// ticks of 10 ms (Documentation/scheduler/sched-stats of Linux).
inline double CpuMs(pid_t pid) {
  double ms = 0;
  std::error_code none;
  for (const auto& task :
       std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task", none)) {
    std::ifstream file(task.path() / "schedstat");
    double ns = 0;
    if (file >> ns) ms += ns / 1e6;
  }
  return ms;
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
