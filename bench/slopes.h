// SPDX-License-Identifier: Apache-2.0
//
// What the parts of bench/slopes share: quantities measured at several sizes, the lines fitted through them,
// and the report. Each part measures one subject in this process (slopes_agent.cpp starts processes).
#ifndef BADGERBRIDGE_BENCH_SLOPES_H_
#define BADGERBRIDGE_BENCH_SLOPES_H_

#include <time.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "least_squares.h"
#include "measure.h"

namespace badgerbridge::bench {

// The size to plan for (docs/CAPACITY.md).
constexpr int kProxies = 3400;
constexpr int kBackends = 110000;
constexpr int kTenants = 710000;
constexpr int kZones = 24;
constexpr double kRequestsPerSecond = 941;  // of one proxy, at the peak

// CPU time of this thread in ms; what others do on the machine is not in it, though caches are shared.
inline double ThreadCpuMs() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

// One quantity at several sizes, each measured at least once. The median of a size's repetitions counts, and
// their spread is the noise.
class Series {
 public:
  // `unit`: of the values; `per`: what the sizes count.
  Series(std::string name, std::string unit, std::string per)
      : name_(std::move(name)), unit_(std::move(unit)), per_(std::move(per)) {}

  void Add(double size, double value) { values_[size].push_back(value); }

  const std::string& name() const { return name_; }
  const std::string& unit() const { return unit_; }
  const std::string& per() const { return per_; }
  std::vector<Point> Points() const;  // medians, by size
  // (largest - smallest) / median of the repetitions: the most over all sizes, and at the largest size.
  double Noise() const;
  double NoiseAtLargest() const;

 private:
  std::string name_, unit_, per_;
  std::map<double, std::vector<double>> values_;
};

class Report {
 public:
  Checks checks;

  // Prints the points, the line through those of at least `least_size`, its residuals and the noise; keeps
  // the slope under `key`, for the last line.
  Line Fit(const Series& series, const std::string& key, Weighting weighting = Weighting::kRelative,
           double least_size = 0);
  // A single figure for the last line.
  void Figure(const std::string& key, double value, const std::string& explanation);
  // "slopes: key=value …"
  std::string LastLine() const;

 private:
  std::vector<std::pair<std::string, double>> figures_;
};

// ---- the parts; each adds to the report what it measures
void MeasureModule(Report& report);         // balancer::Balancer
void MeasureLedger(Report& report);         // membership::Ledger
void MeasureFeed(Report& report);           // etcd's messages, membership::Feed
void MeasureProxy(Report& report);          // all that a proxy holds of its backends
void MeasureConfiguration(Report& report);  // proxy::ParseConfig
void MeasureRegions(Report& report);        // zone_failover::Member, zone_failover::FailoverLeader
void MeasureAgent(Report& report);          // badgerbridge-agent and badgerbridge-ctl, as processes
void MeasureTool(Report& report);           // badgerbridge-ctl members
void MeasureRelay(Report& report);          // watch_cache::Relay
void MeasureWire(Report& report);           // etcd::Http2Client, etcd::Http2Server

}  // namespace badgerbridge::bench

#endif  // BADGERBRIDGE_BENCH_SLOPES_H_
