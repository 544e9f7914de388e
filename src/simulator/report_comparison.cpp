// SPDX-License-Identifier: Apache-2.0
#include <boost/json.hpp>
#include <cstdio>
#include <iostream>
#include <string>

#include "simulator/report.h"

namespace badgerbridge::simulator {
namespace {

namespace json = boost::json;

// Over the runs of one configuration.
struct MeanShares {
  double top_rejected = 0;
  double cross_zone = 0;
};

MeanShares MeanSharesOf(const std::vector<RunSummary>& runs) {
  MeanShares mean;
  for (const RunSummary& run : runs) {
    mean.top_rejected += run.top_rejected_share / static_cast<double>(runs.size());
    mean.cross_zone += run.cross_zone_share / static_cast<double>(runs.size());
  }
  return mean;
}

json::object JsonOf(const Interval& interval) {
  return {{"mean", interval.mean}, {"low", interval.low}, {"high", interval.high}};
}

json::object JsonOf(const Model& model, const ConfigurationResult& result) {
  const MeanShares mean = MeanSharesOf(result.runs);
  json::array runs;
  json::array violations;
  for (const RunSummary& run : result.runs) {
    runs.push_back(run.served_weight_share);
    if (!run.violation.empty()) violations.push_back(json::value(run.violation));
  }
  return {{"way", result.configuration.Name(model)},
          {"worth", JsonOf(result.served_weight_share)},
          {"against_first", JsonOf(result.difference_from_first)},
          {"top_refused", mean.top_rejected},
          {"crossed", mean.cross_zone},
          {"runs", std::move(runs)},
          {"breaches", std::move(violations)}};
}

std::string Percent(const Interval& interval) {
  char text[64];
  std::snprintf(text, sizeof text, "%.2f (%.2f to %.2f)", 100 * interval.mean, 100 * interval.low,
                100 * interval.high);
  return text;
}

std::string SignedPercent(const Interval& interval) {
  char text[64];
  std::snprintf(text, sizeof text, "%+.2f (%+.2f to %+.2f)", 100 * interval.mean, 100 * interval.low,
                100 * interval.high);
  return text;
}

void PrintRow(const Model& model, const ConfigurationResult& result, bool is_first) {
  const MeanShares mean = MeanSharesOf(result.runs);
  const bool shows_no_difference = !is_first && result.difference_from_first.ContainsZero();
  std::printf("%-24s %-26s %-28s %10.3f %10.2f%s\n", result.configuration.Name(model).c_str(),
              Percent(result.served_weight_share).c_str(),
              is_first ? "" : SignedPercent(result.difference_from_first).c_str(), 100 * mean.top_rejected,
              100 * mean.cross_zone, shows_no_difference ? "  no difference shown" : "");
  for (const RunSummary& run : result.runs) {
    if (!run.violation.empty()) std::printf("BROKEN: %s\n", run.violation.c_str());
  }
}

}  // namespace

void PrintComparison(const Model& model, const std::vector<ConfigurationResult>& results, SeedRange seeds,
                     OutputFormat format) {
  if (format == OutputFormat::kJson) {
    json::array rows;
    for (const ConfigurationResult& result : results) rows.push_back(JsonOf(model, result));
    std::cout << json::serialize(json::object{{"scenario", model.name},
                                              {"seeds", seeds.count},
                                              {"first", seeds.first},
                                              {"ways", std::move(rows)}})
              << '\n';
    return;
  }
  std::printf("%s, %zu seeds from %llu: means, with 95 %% intervals\n%-24s %-26s %-28s %10s %10s\n",
              model.name.c_str(), seeds.count, static_cast<unsigned long long>(seeds.first), "way",
              "worth served, %", "against the first", "top ref. %", "crossed %");
  for (const ConfigurationResult& result : results) PrintRow(model, result, &result == &results.front());
}

}  // namespace badgerbridge::simulator
