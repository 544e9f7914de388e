// SPDX-License-Identifier: Apache-2.0
#include "scale_rig/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace badgerbridge::scale {

void Report::Set(const std::string& key, double value) {
  const std::string name = prefix_ + key;
  const auto known =
      std::find_if(values_.begin(), values_.end(), [&](const auto& one) { return one.first == name; });
  if (known != values_.end()) {
    known->second = value;
  } else {
    values_.emplace_back(name, value);
  }
}

void Report::PrintLast(int broken) const {
  std::string line = "scale:";
  for (const auto& [key, value] : values_) {
    char text[64];
    std::snprintf(text, sizeof text, std::abs(value) >= 1000 || value == std::floor(value) ? "%.0f" : "%.4g",
                  value);
    line += " " + key + "=" + text;
  }
  std::printf("%s broken=%d\n", line.c_str(), broken);
}

void PrintStart(const std::string& name, const StartResult& result, std::size_t proxies) {
  std::printf(
      "%s: %zu of %zu ready, all after %.0f ms; each p50 %.0f ms, p99 %.0f, worst %.0f; %llu lists, %.0f "
      "connections opened, %.0f calls at the source; a proxy received %.0f KB and took %.1f ms of CPU, the "
      "source "
      "%.0f ms\n",
      name.c_str(), result.ready, proxies, result.all_ms, result.each_ms.p50, result.each_ms.p99,
      result.each_ms.worst, static_cast<unsigned long long>(result.lists), result.opened, result.calls,
      result.received_per_proxy / 1024, result.proxies_cpu_ms, result.source_cpu_ms);
}

void PrintSpread(const std::string& name, const SpreadResult& result) {
  std::printf(
      "%s: %zu writes, in force at a proxy after p50 %.1f ms, p99 %.1f, worst %.1f (%zu counted, %zu "
      "missing);",
      name.c_str(), result.writes, result.in_force_ms.p50, result.in_force_ms.p99, result.in_force_ms.worst,
      result.in_force_ms.count, result.missing);
  std::printf(" at the last proxy p50 %.1f ms, worst %.1f; %.0f connections opened;", result.last_ms.p50,
              result.last_ms.worst, result.opened);
  std::printf(
      " of this the rig: source's writing p50 %.1f ms, worst %.1f, hollow loops late by %.1f at most\n",
      result.publish_ms.p50, result.publish_ms.worst, result.loop_late_ms);
}

void PrintUsage(const std::string& name, const Usage& usage, std::size_t proxies) {
  const double per = static_cast<double>(proxies) * usage.seconds;
  std::printf(
      "%s: a proxy %.3f ms of CPU, %.0f bytes in and %.0f out a second; the source %.1f ms of CPU, relays "
      "%.1f, and "
      "%.1f calls a second\n",
      name.c_str(), usage.proxies_cpu_ms / per, usage.proxies_received / per, usage.proxies_sent / per,
      usage.source_cpu_ms / usage.seconds, usage.relays_cpu_ms / usage.seconds, usage.calls / usage.seconds);
}

void PrintSlope(const std::string& what, const std::string& unit, const std::string& key,
                const std::vector<bench::Point>& points, Report* report) {
  const bench::Line line = bench::FitLine(points);
  std::printf("slope of %s: %.4g %s, constant %.4g, residuals rms %.3g, worst %.0f %%, r2 %.3f; points",
              what.c_str(), line.slope, unit.c_str(), line.constant, line.root_mean_square_residual,
              100 * line.worst_relative_residual, line.r_squared);
  for (const bench::Point& point : points)
    std::printf(" %.0f:%.4g(%+.3g)", point.x, point.y, point.y - line.At(point.x));
  std::printf("\n");
  report->Set(key, line.slope);
  report->Set(key + "_rms", line.root_mean_square_residual);
}

}  // namespace badgerbridge::scale
