// SPDX-License-Identifier: Apache-2.0
//
// The checks of what clients recorded.
#include <algorithm>

#include "multiprocess/verdict_checks.h"

namespace badgerbridge::multiprocess {

namespace {

// How long a running proxy may have a request, unread, on an idle connection that it closes: between its look
// at the socket and the close it does next to nothing, but it may wait for a processor.
constexpr double kMaxCloseRaceMs = 100;
// How long before the previous response a request may have been sent to cross the close which that response
// announces.
constexpr double kMaxSentBeforeResponseMs = 30;
// Direct clients wait for what a stop delays. A longer one was ended late by the test itself.
constexpr double kMaxPlannedStopMs = 450;
// From the link proxy's accepting a connection to its own connection to the proxy, while it runs.
constexpr double kMaxLinkProxyConnectMs = 50;

constexpr double kMaxUnjudgedShare = 0.01;  // of the requests: a run with more of them tells too little

// For people: where a lost request stood on its connection.
std::string DescribePosition(const RequestRecord& request) {
  if (!request.is_direct) return "";
  const std::string unread = request.unread_bytes.value_or(0) > 0 ? ", unread by the proxy" : "";
  if (!request.previous_response_at_ms) return ", on a new connection" + unread;
  const double idle_ms = request.sent_at_ms - *request.previous_response_at_ms;
  if (idle_ms >= 0) return ", idle for " + FormatMs(idle_ms) + " ms";
  return ", pipelined behind one that was answered " + FormatMs(-idle_ms) + " ms after it was written";
}

bool Excuses(const HistoryIndex& index, const Disruption& disruption, const RequestRecord& request) {
  if (disruption.from_ms > request.ended_at_ms || request.sent_at_ms > disruption.until_ms) return false;
  switch (disruption.kind) {
    case DisruptionKind::kDown:
      return true;
    case DisruptionKind::kStopped:
      return (!request.is_direct || disruption.until_ms - disruption.from_ms > kMaxPlannedStopMs) &&
             !request.closed_by_peer;
    case DisruptionKind::kStarved:
      return !request.closed_by_peer;
    case DisruptionKind::kNotListening:
      return !request.is_direct && index.RunningTimeOf({kLinkProxyProcess}, request.sent_at_ms,
                                                       disruption.from_ms) <= kMaxLinkProxyConnectMs;
  }
  return false;
}

// Whether the time of a client that gave up was over only because the system did not run it or the link proxy
// between it and its proxy: a response may have been on its way.
bool MayHaveHeldUpResponse(const HistoryIndex& index, const RequestRecord& request) {
  if (request.closed_by_peer || !request.deadline_ms || request.ended_at_ms <= *request.deadline_ms)
    return false;
  std::vector<std::string> processes{request.client_process};
  if (!request.is_direct) processes.emplace_back(kLinkProxyProcess);
  return index.RunningTimeOf(processes, request.sent_at_ms, request.ended_at_ms) <=
         *request.deadline_ms - request.sent_at_ms;
}

void CheckLost(CheckContext& context, const RequestRecord& request) {
  const std::vector<Disruption>& disruptions = context.index.DisruptionsOf(request.proxy);
  if (std::any_of(disruptions.begin(), disruptions.end(), [&](const Disruption& disruption) {
        return Excuses(context.index, disruption, request);
      })) {
    ++context.verdict.excused;
    return;
  }
  if (MayHaveHeldUpResponse(context.index, request)) {
    ++context.verdict.unjudged;
    return;
  }
  ++context.verdict.lost;
  const std::string what = request.closed_by_peer ? " had its connection closed with no answer by "
                                                  : " had no answer in its time from ";
  context.AddViolation(
      request.id + what + request.proxy + ", " + FormatMs(request.ended_at_ms - request.sent_at_ms) +
      " ms after its last byte" + DescribePosition(request) +
      context.index.DescribeDisruptions(request.proxy, request.sent_at_ms, request.ended_at_ms));
}

double EarnedWeight(const ClassRules& rules, const RequestRecord& request) {
  const bool in_time = request.ended_at_ms - request.sent_at_ms <= rules.latency_objective_ms;
  return rules.priority_weight * (in_time ? 1 : rules.late_weight);
}

void CountOutcome(CheckContext& context, const RequestRecord& request) {
  Verdict& verdict = context.verdict;
  switch (request.outcome) {
    case RequestOutcome::kServed:
      ++verdict.served;
      verdict.earned_weight += EarnedWeight(context.rules.classes[request.request_class], request);
      break;
    case RequestOutcome::kRejected:
      ++verdict.rejected;
      break;
    case RequestOutcome::kFailed:
      ++verdict.failed;
      break;
    case RequestOutcome::kUnsent:
      ++verdict.unsent;
      break;
    case RequestOutcome::kCancelled:
      ++verdict.cancelled;
      break;
    case RequestOutcome::kLost:
      CheckLost(context, request);
      break;
  }
}

// All that is unjudged counts as lost where it is more than a few requests.
void LimitUnjudged(CheckContext& context) {
  Verdict& verdict = context.verdict;
  const double max_unjudged = std::max(1.0, kMaxUnjudgedShare * static_cast<double>(verdict.requests));
  if (static_cast<double>(verdict.unjudged) <= max_unjudged) return;
  verdict.lost += verdict.unjudged;
  context.AddViolation(std::to_string(verdict.unjudged) + " of " + std::to_string(verdict.requests) +
                       " requests had no answer while their clients or the link proxy were not run");
}

bool IsAnswered(RequestOutcome outcome) {
  return outcome == RequestOutcome::kServed || outcome == RequestOutcome::kRejected ||
         outcome == RequestOutcome::kFailed;
}

// What is wrong about sending a request a second time; null: nothing.
const char* FindCloseRaceFault(const HistoryIndex& index, const CloseRaceRecord& race) {
  if (!race.previous_response_at_ms) return "on a new connection";
  const double answered_at_ms = *race.previous_response_at_ms;
  if (race.sent_at_ms < answered_at_ms &&
      index.RunningTime(race.sent_at_ms, answered_at_ms, race.proxy) > kMaxSentBeforeResponseMs)
    return "while the connection was not idle";
  if (!race.is_unread) return "and had been read";
  if (index.RunningTime(race.sent_at_ms, race.close_seen_at_ms, race.proxy) > kMaxCloseRaceMs)
    return "and was there long before";
  return nullptr;
}

}  // namespace

void CheckRequests(CheckContext& context) {
  Verdict& verdict = context.verdict;
  for (const RequestRecord& request : context.index.history().requests) {
    ++verdict.requests;
    const bool is_first_attempt = request.id.find('.') == std::string::npos;
    if (is_first_attempt && request.outcome != RequestOutcome::kCancelled)
      verdict.offered_weight += context.rules.classes[request.request_class].priority_weight;
    if (IsAnswered(request.outcome) && request.deadline_ms && request.ended_at_ms > *request.deadline_ms)
      ++verdict.late;
    CountOutcome(context, request);
    if (!request.has_wrong_response) continue;
    ++verdict.wrong_responses;
    context.AddViolation(request.id + " had an answer that is not its own, or more than one, from " +
                         request.proxy);
  }
  LimitUnjudged(context);
}

void CheckCloseRaces(CheckContext& context) {
  for (const CloseRaceRecord& race : context.index.history().close_races) {
    ++context.verdict.close_races;
    const char* fault = FindCloseRaceFault(context.index, race);
    if (!fault) continue;
    ++context.verdict.lost;
    context.AddViolation(
        race.id + " was sent " + fault + ", and its connection was closed with no answer by " + race.proxy +
        ", " + FormatMs(race.close_seen_at_ms - race.sent_at_ms) + " ms after its last byte" +
        context.index.DescribeDisruptions(race.proxy, race.sent_at_ms, race.close_seen_at_ms));
  }
}

void CheckAccounting(CheckContext& context) {
  const std::uint64_t started = context.index.history().requests_started;
  const std::uint64_t recorded = context.index.history().requests.size();
  if (started == recorded) return;
  context.verdict.unaccounted += std::max(started, recorded) - std::min(started, recorded);
  context.AddViolation(std::to_string(started) + " requests were begun, and " + std::to_string(recorded) +
                       " accounted for");
}

}  // namespace badgerbridge::multiprocess
