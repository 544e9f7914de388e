// SPDX-License-Identifier: Apache-2.0
#include "proxy/session_plays.h"

#include <array>
#include <chrono>
#include <initializer_list>
#include <iostream>
#include <optional>
#include <string>
#include <utility>

namespace badgerbridge::proxy::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using ScenarioList = std::vector<Work<SessionTotals>>;

constexpr SessionState kStates[] = {SessionState::kNewSilent,       SessionState::kNewHalfRead,
                                    SessionState::kNewWholeUnread,  SessionState::kIdle,
                                    SessionState::kIdleHalfRead,    SessionState::kIdleHalfUnread,
                                    SessionState::kIdleWholeUnread, SessionState::kConnecting,
                                    SessionState::kWriting,         SessionState::kWaiting,
                                    SessionState::kAnswering,       SessionState::kAnsweredWithClose,
                                    SessionState::kLingering};

// Time of the other event relative to the expiry of the timer. At one nanosecond before, both are ready in
// the same iteration, the event first.
constexpr nanoseconds kOffsets[] = {milliseconds(-1), nanoseconds(-1), nanoseconds(0), milliseconds(1)};

// How long no handler runs after both events: not at all, or long enough for client deadlines and the checks
// of late attempts to matter.
constexpr nanoseconds kDescheduledTimes[] = {milliseconds(0), milliseconds(250)};

// Limit of handlers between the events; each number from 1 is tried until no more handlers are ready.
constexpr std::size_t kMaxHandlersBetween = 20;

// Returns the number of handlers that ran between the events.
std::size_t RunAndAddResult(const SessionScenario& scenario, SessionTotals* totals) {
  const ScenarioResult result = RunScenario(scenario);
  totals->violations.Add(result.violations);
  ++totals->runs;
  std::cout << result.report << std::flush;
  return result.handlers_run_between;
}

void RunInOneIteration(SessionScenario scenario, SessionTotals* totals) {
  for (const nanoseconds time : kDescheduledTimes) {
    scenario.descheduled_for = time;
    RunAndAddResult(scenario, totals);
  }
}

// If fewer handlers are ready than requested, the kernel may have delivered sent data late. So the run is
// repeated before the loop ends; both runs count as one.
void RunWithHandlersBetween(SessionScenario scenario, SessionTotals* totals) {
  for (std::size_t handlers = 1; handlers <= kMaxHandlersBetween; ++handlers) {
    scenario.handlers_between = handlers;
    if (RunAndAddResult(scenario, totals) == handlers) continue;
    const std::size_t handlers_run_between = RunAndAddResult(scenario, totals);
    --totals->runs;
    if (handlers_run_between < handlers) return;
  }
}

void RunAllInterleavings(const SessionScenario& scenario, SessionTotals* totals) {
  RunInOneIteration(scenario, totals);
  RunWithHandlersBetween(scenario, totals);
}

// Combines a timer of the state with an event around its expiry.
void RunAroundExpiry(SessionState state, SessionEvent timer, SessionEvent event, SessionTotals* totals) {
  const auto expiry = ExpiryOf(timer, state);
  if (!expiry) return;
  for (const nanoseconds offset : kOffsets) {
    const nanoseconds at = *expiry + offset;
    if (offset < nanoseconds(0)) {
      RunAllInterleavings({state, event, timer, at, *expiry}, totals);
    } else {
      RunAllInterleavings({state, timer, event, *expiry, at}, totals);
    }
  }
}

// Combines two simultaneous events, `age` after the state was reached, in both orders.
void RunEventPair(SessionState state, SessionEvent one, SessionEvent other, nanoseconds age,
                  SessionTotals* totals) {
  RunAllInterleavings({state, one, other, age, age}, totals);
  if (one != other) RunAllInterleavings({state, other, one, age, age}, totals);
}

void AddTimerScenarios(SessionState state, ScenarioList* scenarios) {
  constexpr SessionEvent kTimers[] = {SessionEvent::kSessionTimer, SessionEvent::kListenerClose,
                                      SessionEvent::kDrainSweep, SessionEvent::kEvictionRetryTimer};
  constexpr SessionEvent kEvents[] = {SessionEvent::kRequest, SessionEvent::kHalfRequest,
                                      SessionEvent::kTwoRequests, SessionEvent::kClientFin,
                                      SessionEvent::kClientReset};
  for (const SessionEvent timer : kTimers) {
    for (const SessionEvent event : kEvents)
      scenarios->push_back([=](SessionTotals* totals) { RunAroundExpiry(state, timer, event, totals); });
  }
}

void AddEventScenarios(SessionState state, ScenarioList* scenarios) {
  constexpr std::array<SessionEvent, 2> kPairs[] = {{SessionEvent::kSigterm, SessionEvent::kRequest},
                                                    {SessionEvent::kSigterm, SessionEvent::kClientFin},
                                                    {SessionEvent::kDrain, SessionEvent::kRequest},
                                                    {SessionEvent::kDrain, SessionEvent::kClientFin},
                                                    {SessionEvent::kConnectDone, SessionEvent::kClientFin},
                                                    {SessionEvent::kConnectDone, SessionEvent::kClientReset},
                                                    {SessionEvent::kConnectDone, SessionEvent::kSigterm},
                                                    {SessionEvent::kConnectDone, SessionEvent::kRequest},
                                                    {SessionEvent::kSigterm, SessionEvent::kHalfRequest},
                                                    {SessionEvent::kDrain, SessionEvent::kHalfRequest},
                                                    {SessionEvent::kSigterm, SessionEvent::kTwoRequests},
                                                    {SessionEvent::kDrain, SessionEvent::kTwoRequests},
                                                    {SessionEvent::kSigterm, SessionEvent::kDrain},
                                                    {SessionEvent::kNewClient, SessionEvent::kSigterm}};
  for (const auto& [one, other] : kPairs) {
    if ((one == SessionEvent::kConnectDone) && state != SessionState::kConnecting) continue;
    scenarios->push_back([=, one = one, other = other](SessionTotals* totals) {
      RunEventPair(state, one, other, milliseconds(20), totals);
    });
  }
}

// A new client reaches max_clients when the connection under test is around the ages that matter for
// eviction.
void AddNewClientScenarios(SessionState state, ScenarioList* scenarios) {
  constexpr milliseconds kAges[] = {milliseconds(249),  milliseconds(250),  milliseconds(251),
                                    milliseconds(1999), milliseconds(2000), milliseconds(2001)};
  for (const SessionEvent event : {SessionEvent::kRequest, SessionEvent::kClientFin}) {
    scenarios->push_back([=](SessionTotals* totals) {
      for (const milliseconds age : kAges) RunEventPair(state, SessionEvent::kNewClient, event, age, totals);
    });
  }
}

// Connections opened around the close of the listening socket, with and without requests.
void AddAcceptQueueScenarios(ScenarioList* scenarios) {
  // Requests of silent connections arrive while the proxy must still answer them, and later.
  constexpr milliseconds kDelays[] = {milliseconds(0), milliseconds(100), milliseconds(199),
                                      milliseconds(250), milliseconds(1200)};
  scenarios->push_back([](SessionTotals* totals) {
    RunAroundExpiry(SessionState::kNone, SessionEvent::kListenerClose, SessionEvent::kConnectionsWithRequest,
                    totals);
  });
  for (const milliseconds delay : kDelays) {
    scenarios->push_back([delay](SessionTotals* totals) {
      for (const nanoseconds offset : kOffsets) {
        const nanoseconds close = *ExpiryOf(SessionEvent::kListenerClose, SessionState::kNone);
        SessionScenario scenario{SessionState::kNone, SessionEvent::kListenerClose,
                                 SessionEvent::kSilentConnections, close, close + offset};
        if (offset < nanoseconds(0)) {
          std::swap(scenario.first, scenario.second);
          std::swap(scenario.first_at, scenario.second_at);
        }
        scenario.request_delay = delay;
        RunAllInterleavings(scenario, totals);
      }
    });
  }
}

}  // namespace

std::vector<Work<SessionTotals>> SessionScenariosOf(SessionState state) {
  ScenarioList scenarios;
  if (state == SessionState::kNone) {
    AddAcceptQueueScenarios(&scenarios);
  } else {
    AddTimerScenarios(state, &scenarios);
    AddEventScenarios(state, &scenarios);
    AddNewClientScenarios(state, &scenarios);
  }
  return scenarios;
}

std::vector<Work<SessionTotals>> AllSessionScenarios() {
  ScenarioList all;
  for (const SessionState state : kStates) {
    for (Work<SessionTotals>& piece : SessionScenariosOf(state)) all.push_back(std::move(piece));
  }
  return all;
}

}  // namespace badgerbridge::proxy::testing
