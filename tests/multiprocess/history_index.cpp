// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/history_index.h"

#include <algorithm>
#include <cstdio>

namespace badgerbridge::multiprocess {

namespace {

constexpr double kDescribedMarginMs =
    500;  // before and after a period, of the disruptions that are described

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

// How much of the time from `from_ms` to `until_ms` these periods cover; they may overlap.
double CoveredTime(std::vector<EventLoopLag> pauses, double from_ms) {
  std::sort(pauses.begin(), pauses.end(),
            [](const EventLoopLag& left, const EventLoopLag& right) { return left.from_ms < right.from_ms; });
  double covered = 0;
  double covered_until = from_ms;
  for (const EventLoopLag& pause : pauses) {
    covered += std::max(0.0, pause.until_ms - std::max(pause.from_ms, covered_until));
    covered_until = std::max(covered_until, pause.until_ms);
  }
  return covered;
}

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
  std::vector<EventLoopLag> pauses;
  const auto add_pause = [&](double pause_from, double pause_until) {
    if (pause_from < until_ms && from_ms < pause_until)
      pauses.push_back({std::max(from_ms, pause_from), std::min(until_ms, pause_until)});
  };
  for (const EventLoopLag& lag : history_.lags) add_pause(lag.from_ms, lag.until_ms);
  for (const Disruption& disruption : DisruptionsOf(proxy)) {
    if (disruption.kind == DisruptionKind::kStopped) add_pause(disruption.from_ms, disruption.until_ms);
  }
  return until_ms - from_ms - CoveredTime(std::move(pauses), from_ms);
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
  return text;
}

}  // namespace badgerbridge::multiprocess
