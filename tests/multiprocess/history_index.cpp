// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/history_index.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace badgerbridge::multiprocess {

namespace {

constexpr double kDescribedMarginMs =
    500;  // before and after a period, of the disruptions that are described
constexpr std::size_t kMaxDescribedLags = 3;

std::string Describe(DisruptionKind kind) {
  switch (kind) {
    case DisruptionKind::kStopped:
      return "stopped ";
    case DisruptionKind::kStarved:
      return "starved ";
    default:
      return "down ";
  }
}

// The pauses within a period; they may overlap.
class Pauses {
 public:
  Pauses(double from_ms, double until_ms) : from_ms_(from_ms), until_ms_(until_ms) {}

  // Adds what lies within the period.
  void Add(double from_ms, double until_ms) {
    if (from_ms < until_ms_ && from_ms_ < until_ms)
      pauses_.emplace_back(std::max(from_ms_, from_ms), std::min(until_ms_, until_ms));
  }

  // How much of the period they cover.
  double CoveredTime() const {
    std::vector<std::pair<double, double>> pauses = pauses_;
    std::sort(pauses.begin(), pauses.end());
    double covered_ms = 0;
    double covered_until_ms = from_ms_;
    for (const auto& [from_ms, until_ms] : pauses) {
      covered_ms += std::max(0.0, until_ms - std::max(from_ms, covered_until_ms));
      covered_until_ms = std::max(covered_until_ms, until_ms);
    }
    return covered_ms;
  }

  // The rest of the period.
  double RunningTime() const { return until_ms_ - from_ms_ - CoveredTime(); }

 private:
  double from_ms_;
  double until_ms_;
  std::vector<std::pair<double, double>> pauses_;
};

}  // namespace

std::string FormatMs(double time_ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", time_ms);
  return text;
}

HistoryIndex::HistoryIndex(const History& history) : history_(history) {
  for (const Disruption& disruption : history.disruptions)
    disruptions_by_proxy_[disruption.proxy].push_back(disruption);
  for (const RequestRecord& request : history.requests) requests_by_id_.emplace(request.id, &request);
}

const RequestRecord* HistoryIndex::FindRequest(const std::string& id) const {
  const auto found = requests_by_id_.find(id);
  return found == requests_by_id_.end() ? nullptr : found->second;
}

const std::vector<Disruption>& HistoryIndex::DisruptionsOf(const std::string& proxy) const {
  static const std::vector<Disruption> kNone;
  const auto found = disruptions_by_proxy_.find(proxy);
  return found == disruptions_by_proxy_.end() ? kNone : found->second;
}

double HistoryIndex::RunningTime(double from_ms, double until_ms, const std::string& proxy) const {
  Pauses pauses(from_ms, until_ms);
  for (const EventLoopLag& lag : history_.lags) pauses.Add(lag.from_ms, lag.until_ms);
  for (const Disruption& disruption : DisruptionsOf(proxy)) {
    if (disruption.kind == DisruptionKind::kStopped) pauses.Add(disruption.from_ms, disruption.until_ms);
  }
  return pauses.RunningTime();
}

double HistoryIndex::RunningTimeOf(const std::vector<std::string>& processes, double from_ms,
                                   double until_ms) const {
  Pauses pauses(from_ms, until_ms);
  for (const EventLoopLag& lag : history_.lags) {
    if (std::find(processes.begin(), processes.end(), lag.process) != processes.end())
      pauses.Add(lag.from_ms, lag.until_ms);
  }
  return pauses.RunningTime();
}

std::string HistoryIndex::DescribeLags(double from_ms, double until_ms) const {
  std::map<std::string, Pauses> pauses_by_process;
  for (const EventLoopLag& lag : history_.lags)
    pauses_by_process.try_emplace(lag.process, from_ms, until_ms)
        .first->second.Add(lag.from_ms, lag.until_ms);
  std::vector<std::pair<double, std::string>> lags;
  for (const auto& [process, pauses] : pauses_by_process) lags.emplace_back(pauses.CoveredTime(), process);
  std::sort(lags.rbegin(), lags.rend());
  std::string text;
  for (std::size_t i = 0; i < std::min(lags.size(), kMaxDescribedLags) && lags[i].first > 0; ++i)
    text += "; " + lags[i].second + " was not run for " + FormatMs(lags[i].first) + " ms of it";
  return text;
}

std::string HistoryIndex::DescribeDisruptions(const std::string& proxy, double from_ms,
                                              double until_ms) const {
  std::string text;
  for (const Disruption& disruption : DisruptionsOf(proxy)) {
    if (disruption.until_ms < from_ms - kDescribedMarginMs ||
        disruption.from_ms > until_ms + kDescribedMarginMs)
      continue;
    text += (text.empty() ? "; " : ", ") + Describe(disruption.kind) +
            FormatMs(disruption.from_ms - from_ms) + " to " + FormatMs(disruption.until_ms - from_ms);
  }
  return text + DescribeLags(from_ms, until_ms);
}

}  // namespace badgerbridge::multiprocess
