// SPDX-License-Identifier: Apache-2.0
#include "simulator/experiment.h"

#include <algorithm>
#include <atomic>
#include <thread>

#include "simulator/random.h"
#include "simulator/scenario.h"
#include "simulator/simulation.h"

namespace badgerbridge::simulator {
namespace {

constexpr int kResamples = 2000;
constexpr std::uint64_t kBootstrapSeed = 20260101;
constexpr int kLowPerMille = 25;
constexpr int kHighPerMille = 975;

Model ModelOf(const Model& model, const Configuration& configuration) {
  Model configured = model;
  configured.failover.mode = configuration.mode;
  if (configuration.proxies > 0) configured.proxies = configuration.proxies;
  return configured;
}

RunSummary RunOnce(const Model& model, std::uint64_t seed) {
  const SimulationResult result = Simulation(model, seed).Run();
  std::size_t top = 0;
  double attempts = 0;
  double cross_zone = 0;
  for (std::size_t i = 0; i < result.classes.size(); ++i) {
    if (model.classes[i].rules.priority_weight > model.classes[top].rules.priority_weight) top = i;
    attempts += static_cast<double>(result.classes[i].attempts);
    cross_zone += static_cast<double>(result.classes[i].cross_zone);
  }
  RunSummary summary;
  summary.served_weight_share = result.ServedWeightShare();
  const ClassResult& top_class = result.classes[top];
  if (top_class.requested > 0)
    summary.top_rejected_share =
        static_cast<double>(top_class.rejected) / static_cast<double>(top_class.requested);
  if (attempts > 0) summary.cross_zone_share = cross_zone / attempts;
  if (result.violation)
    summary.violation = std::string(Name(result.violation->rule)) + ": " + result.violation->description;
  return summary;
}

// Over all runs, of one configuration and of its differences from `first`.
void AddIntervals(ConfigurationResult* result, const std::vector<RunSummary>& first) {
  std::vector<double> shares;
  std::vector<double> differences;
  for (std::size_t i = 0; i < first.size(); ++i) {
    shares.push_back(result->runs[i].served_weight_share);
    differences.push_back(result->runs[i].served_weight_share - first[i].served_weight_share);
  }
  result->served_weight_share = Bootstrap(shares);
  result->difference_from_first = Bootstrap(differences);
}

}  // namespace

std::string Configuration::Name(const Model& model) const {
  return std::string(ModeName(mode)) + ", " + std::to_string(proxies > 0 ? proxies : model.proxies) +
         " proxies";
}

Interval Bootstrap(const std::vector<double>& values) {
  Interval interval;
  if (values.empty()) return interval;
  for (const double value : values) interval.mean += value / static_cast<double>(values.size());
  Random random(kBootstrapSeed, 1);
  std::vector<double> means;
  for (int resample = 0; resample < kResamples; ++resample) {
    double sum = 0;
    for (std::size_t i = 0; i < values.size(); ++i) sum += values[random.DrawBelow(values.size())];
    means.push_back(sum / static_cast<double>(values.size()));
  }
  std::sort(means.begin(), means.end());
  interval.low = means[kResamples * kLowPerMille / 1000];
  interval.high = means[kResamples * kHighPerMille / 1000 - 1];
  return interval;
}

std::vector<ConfigurationResult> Compare(const Model& model, const std::vector<Configuration>& configurations,
                                         SeedRange seeds, unsigned threads) {
  std::vector<ConfigurationResult> results;
  for (const Configuration& configuration : configurations)
    results.push_back({configuration, std::vector<RunSummary>(seeds.count), {}, {}});
  std::atomic<std::size_t> next_run{0};
  const auto run_all = [&] {
    for (std::size_t run = next_run++; run < results.size() * seeds.count; run = next_run++) {
      ConfigurationResult& result = results[run % results.size()];
      const std::size_t seed = run / results.size();
      result.runs[seed] = RunOnce(ModelOf(model, result.configuration), seeds.first + seed);
    }
  };
  std::vector<std::thread> workers;
  for (unsigned i = 1; i < threads; ++i) workers.emplace_back(run_all);
  run_all();
  for (std::thread& worker : workers) worker.join();
  for (ConfigurationResult& result : results) AddIntervals(&result, results.front().runs);
  return results;
}

}  // namespace badgerbridge::simulator
