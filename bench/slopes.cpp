// SPDX-License-Identifier: Apache-2.0
//
// bench/slopes: what one more backend, member, zone, tenant or instance costs each role, as straight lines
// over at least four sizes. docs/CAPACITY.md is built on it. Without arguments all parts, else those that are
// named. Ends with one line of figures; exit 1 if something broke.
#include "slopes.h"

#include <csignal>
#include <cstdio>
#include <cstring>
#include <functional>

namespace badgerbridge::bench {

std::vector<Point> Series::Points() const {
  std::vector<Point> points;
  for (const auto& [size, values] : values_) points.push_back({size, Quantile(values, 0.5)});
  return points;
}

namespace {

double SpreadOf(const std::vector<double>& values) {
  const double median = Quantile(values, 0.5);
  if (values.size() < 2 || median == 0) return 0;
  const auto [least, most] = std::minmax_element(values.begin(), values.end());
  return (*most - *least) / std::abs(median);
}

}  // namespace

double Series::Noise() const {
  double noise = 0;
  for (const auto& [size, values] : values_) noise = std::max(noise, SpreadOf(values));
  return noise;
}

double Series::NoiseAtLargest() const { return values_.empty() ? 0 : SpreadOf(values_.rbegin()->second); }

Line Report::Fit(const Series& series, const std::string& key, Weighting weighting, double least_size) {
  std::vector<Point> points;
  std::string text;
  char number[64];
  for (const Point& point : series.Points()) {
    std::snprintf(number, sizeof(number), "  %.6g: %.4g", point.x, point.y);
    text += number;
    if (point.x >= least_size) points.push_back(point);
  }
  const Line line = FitLine(points, weighting);
  std::printf("%s: %s [%s by %s]%s\n", key.c_str(), series.name().c_str(), series.unit().c_str(),
              series.per().c_str(), text.c_str());
  std::printf(
      "    = %.5g + %.5g x, over %zu sizes from %g to %g; residual %.3g rms, at worst %.1f %%; r2 %.5f; "
      "repetitions differ by %.1f %% at most, by %.1f %% at the largest size\n",
      line.constant, line.slope, line.points, line.smallest_x, line.largest_x, line.root_mean_square_residual,
      100 * line.worst_relative_residual, line.r_squared, 100 * series.Noise(),
      100 * series.NoiseAtLargest());
  checks.Expect(line.points >= 4, series.name() + ": fewer than four sizes");
  checks.Expect(line.determined, series.name() + ": no line");
  figures_.emplace_back(key, line.slope);
  return line;
}

void Report::Figure(const std::string& key, double value, const std::string& explanation) {
  std::printf("%s: %s: %.5g\n", key.c_str(), explanation.c_str(), value);
  figures_.emplace_back(key, value);
}

std::string Report::LastLine() const {
  std::string text = "slopes:";
  char number[64];
  for (const auto& [key, value] : figures_) {
    std::snprintf(number, sizeof(number), "=%.5g", value);
    text += " " + key + number;
  }
  return text + " broken=" + std::to_string(checks.broken);
}

namespace {

struct Part {
  const char* name;
  void (*measure)(Report&);
};

constexpr Part kParts[] = {
    {"module", MeasureModule},
    {"ledger", MeasureLedger},
    {"feed", MeasureFeed},
    {"proxy", MeasureProxy},
    {"configuration", MeasureConfiguration},
    {"regions", MeasureRegions},
    {"tool", MeasureTool},
    {"agent", MeasureAgent},
    {"relay", MeasureRelay},
    {"wire", MeasureWire},
};

bool Wanted(const char* name, int count, char** arguments) {
  if (count < 2) return true;
  return std::any_of(arguments + 1, arguments + count,
                     [&](const char* argument) { return std::strcmp(argument, name) == 0; });
}

bool Known(const char* argument) {
  return std::any_of(std::begin(kParts), std::end(kParts),
                     [&](const Part& part) { return std::strcmp(argument, part.name) == 0; });
}

}  // namespace
}  // namespace badgerbridge::bench

int main(int count, char** arguments) {
  using namespace badgerbridge::bench;
  std::signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  for (int i = 1; i < count; ++i) {
    if (Known(arguments[i])) continue;
    std::fprintf(stderr, "bench_slopes: no such part: %s\n", arguments[i]);
    return 2;
  }
  Report report;
  for (const Part& part : kParts) {
    if (!Wanted(part.name, count, arguments)) continue;
    std::printf("== %s\n", part.name);
    const auto began = std::chrono::steady_clock::now();
    part.measure(report);
    std::printf("   (%.1f s)\n", Since(began) / 1000);
  }
  std::printf("%s\n", report.LastLine().c_str());
  return report.checks.broken == 0 ? 0 : 1;
}
