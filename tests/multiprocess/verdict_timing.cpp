// SPDX-License-Identifier: Apache-2.0
//
// The checks of when attempts were sent: after their client's disconnect, with which deadline, and what a
// stop of the proxy between its last look and its write explains.
#include <algorithm>
#include <cmath>

#include "multiprocess/verdict_checks.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr double kMaxSendAfterDisconnectMs = 100;  // from a client's close until an attempt begins
constexpr double kDeadlineToleranceMs = 150;       // beyond what the client has left

// From a proxy's look (at the clock, at the client's connection) to its write it does little, but it may wait
// for a processor. It promises a little less than is left, and takes a request's time from the last bytes
// that it finds, so from those of the next request where these came some ms later.
constexpr double kMaxSendingMs = 20;
constexpr double kMaxDeadlineMarginMs = 15;
constexpr double kMaxPipelinedGapMs = 40;
constexpr double kStopTakesEffectMs = 5;    // from SIGSTOP's sending
constexpr double kMaxStopRaceShare = 0.05;  // of the stops

// When a proxy may have looked for the last time before it sent an attempt.
struct LookPeriod {
  double from_ms = 0;
  double until_ms = 0;
};

// Whether an attempt that came with the end of a stop was about to be sent when that began: the stop
// interrupted the proxy's work, and the proxy had looked for the last time in this period.
bool StoppedWhileSending(const HistoryIndex& index, const RequestRecord& request,
                         const AttemptRecord& attempt, const LookPeriod& look) {
  const std::vector<Disruption>& disruptions = index.DisruptionsOf(request.proxy);
  return std::any_of(disruptions.begin(), disruptions.end(), [&](const Disruption& stop) {
    return stop.kind == DisruptionKind::kStopped && stop.interrupted_work &&
           request.sent_at_ms <= stop.from_ms + kStopTakesEffectMs &&
           std::abs(attempt.received_at_ms - stop.until_ms) <= kMaxSendingMs &&
           look.from_ms <= stop.from_ms + kStopTakesEffectMs && look.until_ms >= stop.from_ms - kMaxSendingMs;
  });
}

void CheckDisconnect(CheckContext& context, const AttemptRecord& attempt, const RequestRecord& request) {
  if (!request.closed_at_ms || attempt.received_at_ms < *request.closed_at_ms) return;
  const double closed_ms = *request.closed_at_ms;
  if (context.index.RunningTime(closed_ms, attempt.received_at_ms) <=
      kMaxSendAfterDisconnectMs + context.rules.link_delay_ms)
    return;
  if (StoppedWhileSending(context.index, request, attempt, {request.sent_at_ms, closed_ms})) {
    ++context.verdict.stop_races;
    return;
  }
  ++context.verdict.sends_after_disconnect;
  context.AddViolation(
      attempt.id + " came to " + attempt.backend + " " + FormatMs(attempt.received_at_ms - closed_ms) +
      " ms after its client had closed, which was " + FormatMs(closed_ms - request.sent_at_ms) +
      " ms after its last byte, by " + request.proxy +
      context.index.DescribeDisruptions(request.proxy, closed_ms, attempt.received_at_ms));
}

// When the last byte of the request was written to the connection that this attempt came of. The first one,
// if the attempt came before the second or carries more time than its client had left by then.
double SentAt(const RequestRecord& request, const AttemptRecord& attempt) {
  if (!request.first_sent_at_ms || !request.deadline_ms) return request.sent_at_ms;
  const double left_ms = *request.deadline_ms - request.sent_at_ms;
  const bool is_of_first = attempt.received_at_ms < request.sent_at_ms || attempt.time_left_ms > left_ms;
  return is_of_first ? *request.first_sent_at_ms : request.sent_at_ms;
}

void CheckDeadline(CheckContext& context, const AttemptRecord& attempt, const RequestRecord& request) {
  if (!request.deadline_ms || !attempt.time_left_ms) return;
  const double left_ms = *request.deadline_ms - attempt.received_at_ms;
  const double sent_ms = SentAt(request, attempt);
  const double transit_ms = attempt.received_at_ms - sent_ms;
  const double held_up_ms = transit_ms - context.index.RunningTime(sent_ms, attempt.received_at_ms);
  if (*attempt.time_left_ms <= left_ms + held_up_ms + kDeadlineToleranceMs + context.rules.link_delay_ms)
    return;
  const double looked_ms = *request.deadline_ms - *attempt.time_left_ms;  // it promised what was left then
  if (StoppedWhileSending(context.index, request, attempt,
                          {looked_ms - kMaxDeadlineMarginMs, looked_ms + kMaxPipelinedGapMs})) {
    ++context.verdict.stop_races;
    return;
  }
  ++context.verdict.excess_deadlines;
  context.AddViolation(attempt.id + " came to " + attempt.backend + " with " +
                       FormatMs(*attempt.time_left_ms) + " ms left, its client had " + FormatMs(left_ms) +
                       ", " + FormatMs(transit_ms) + " ms after its last byte, by " + request.proxy +
                       context.index.DescribeDisruptions(request.proxy, sent_ms, attempt.received_at_ms));
}

}  // namespace

void CheckDisconnects(CheckContext& context) {
  if (!context.rules.has_prompt_links) return;
  for (const AttemptRecord& attempt : context.index.history().attempts) {
    if (const RequestRecord* request = context.index.FindRequest(attempt.id))
      CheckDisconnect(context, attempt, *request);
  }
}

void CheckDeadlines(CheckContext& context) {
  if (!context.rules.has_prompt_links) return;
  for (const AttemptRecord& attempt : context.index.history().attempts) {
    if (const RequestRecord* request = context.index.FindRequest(attempt.id))
      CheckDeadline(context, attempt, *request);
  }
}

void CheckStopRaces(CheckContext& context) {
  Verdict& verdict = context.verdict;
  const std::vector<Disruption>& disruptions = context.index.history().disruptions;
  const auto stops = std::count_if(disruptions.begin(), disruptions.end(), [](const Disruption& disruption) {
    return disruption.kind == DisruptionKind::kStopped;
  });
  const double max_races = std::max(1.0, kMaxStopRaceShare * static_cast<double>(stops));
  if (static_cast<double>(verdict.stop_races) <= max_races) return;
  verdict.excess_stop_races = verdict.stop_races;
  context.AddViolation(std::to_string(verdict.stop_races) + " attempts were overtaken by " +
                       std::to_string(stops) + " stops: too much time passes between a look and the write");
}

}  // namespace badgerbridge::multiprocess
