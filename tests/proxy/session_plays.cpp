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
using Plays = std::vector<Work<SessionTotals>>;

constexpr SessionState kStates[] = {SessionState::kNewSilent,       SessionState::kNewHalfRead,
                                    SessionState::kNewWholeUnread,  SessionState::kIdle,
                                    SessionState::kIdleHalfRead,    SessionState::kIdleHalfUnread,
                                    SessionState::kIdleWholeUnread, SessionState::kConnecting,
                                    SessionState::kWriting,         SessionState::kWaiting,
                                    SessionState::kAnswering,       SessionState::kAnsweredWithClose,
                                    SessionState::kLingering};

// How long before (below 0) or after the timer's expiry the other event comes. A nanosecond before: both are
// due at once, and the event is ready first.
constexpr nanoseconds kOffsets[] = {milliseconds(-1), nanoseconds(-1), nanoseconds(0), milliseconds(1)};

// For which the process does not run once both events have happened: none, and so long that a client's time
// and the rules on lateness count.
constexpr nanoseconds kSleeps[] = {milliseconds(0), milliseconds(250)};

// Handlers between the events in the forced orders: one after the other, until no more are ready.
constexpr std::size_t kMaxHandlersBetween = 20;

// Returns the number of handlers that ran between the events.
std::size_t Play(const PlayPlan& plan, SessionTotals* totals) {
  const PlayResult result = PlayOnce(plan);
  totals->found.Add(result.found);
  ++totals->plays;
  std::cout << result.violations << std::flush;
  return result.ran_between;
}

void PlayAtOnce(PlayPlan plan, SessionTotals* totals) {
  for (const nanoseconds asleep : kSleeps) {
    plan.asleep = asleep;
    Play(plan, totals);
  }
}

// Where no more handlers are ready the kernel may only have been late to hand over what was sent: the play is
// made once more, which counts as one with the first, before that is believed.
void PlayForced(PlayPlan plan, SessionTotals* totals) {
  for (std::size_t handlers = 1; handlers <= kMaxHandlersBetween; ++handlers) {
    plan.handlers_between = handlers;
    if (Play(plan, totals) == handlers) continue;
    const std::size_t ran_between = Play(plan, totals);
    --totals->plays;
    if (ran_between < handlers) return;
  }
}

void PlayBoth(const PlayPlan& plan, SessionTotals* totals) {
  PlayAtOnce(plan, totals);
  PlayForced(plan, totals);
}

// A timer of the state and an event round its expiry.
void PlayRoundExpiry(SessionState state, Stimulus timer, Stimulus event, SessionTotals* totals) {
  const auto expiry = ExpiryOf(timer, state);
  if (!expiry) return;
  for (const nanoseconds offset : kOffsets) {
    const nanoseconds at = *expiry + offset;
    if (offset < nanoseconds(0)) {
      PlayBoth({state, event, timer, at, *expiry}, totals);
    } else {
      PlayBoth({state, timer, event, *expiry, at}, totals);
    }
  }
}

// Two events at one time, `age` after the state was reached, in both orders.
void PlayEvents(SessionState state, Stimulus one, Stimulus other, nanoseconds age, SessionTotals* totals) {
  PlayBoth({state, one, other, age, age}, totals);
  if (one != other) PlayBoth({state, other, one, age, age}, totals);
}

void AddTimers(SessionState state, Plays* plays) {
  constexpr Stimulus kTimers[] = {Stimulus::kSessionTimer, Stimulus::kListenerClose, Stimulus::kDrainSweep,
                                  Stimulus::kEvictionRetryTimer};
  constexpr Stimulus kEvents[] = {Stimulus::kRequest, Stimulus::kHalfRequest, Stimulus::kTwoRequests,
                                  Stimulus::kClientFin, Stimulus::kClientReset};
  for (const Stimulus timer : kTimers) {
    for (const Stimulus event : kEvents)
      plays->push_back([=](SessionTotals* totals) { PlayRoundExpiry(state, timer, event, totals); });
  }
}

void AddEvents(SessionState state, Plays* plays) {
  constexpr std::array<Stimulus, 2> kPairs[] = {{Stimulus::kTerm, Stimulus::kRequest},
                                                {Stimulus::kTerm, Stimulus::kClientFin},
                                                {Stimulus::kDrain, Stimulus::kRequest},
                                                {Stimulus::kDrain, Stimulus::kClientFin},
                                                {Stimulus::kConnectDone, Stimulus::kClientFin},
                                                {Stimulus::kConnectDone, Stimulus::kClientReset},
                                                {Stimulus::kConnectDone, Stimulus::kTerm},
                                                {Stimulus::kConnectDone, Stimulus::kRequest},
                                                {Stimulus::kTerm, Stimulus::kHalfRequest},
                                                {Stimulus::kDrain, Stimulus::kHalfRequest},
                                                {Stimulus::kTerm, Stimulus::kTwoRequests},
                                                {Stimulus::kDrain, Stimulus::kTwoRequests},
                                                {Stimulus::kTerm, Stimulus::kDrain},
                                                {Stimulus::kNewcomer, Stimulus::kTerm}};
  for (const auto& [one, other] : kPairs) {
    if ((one == Stimulus::kConnectDone) && state != SessionState::kConnecting) continue;
    plays->push_back([=, one = one, other = other](SessionTotals* totals) {
      PlayEvents(state, one, other, milliseconds(20), totals);
    });
  }
}

// A newcomer reaches the limit of clients, at the ages that count there.
void AddNewcomers(SessionState state, Plays* plays) {
  constexpr milliseconds kAges[] = {milliseconds(249),  milliseconds(250),  milliseconds(251),
                                    milliseconds(1999), milliseconds(2000), milliseconds(2001)};
  for (const Stimulus event : {Stimulus::kRequest, Stimulus::kClientFin}) {
    plays->push_back([=](SessionTotals* totals) {
      for (const milliseconds age : kAges) PlayEvents(state, Stimulus::kNewcomer, event, age, totals);
    });
  }
}

// Connections that come round the close of the listener, with and without their requests.
void AddAcceptQueue(Plays* plays) {
  // The requests of silent ones come while the proxy still has to answer them, and when it has not.
  constexpr milliseconds kDelays[] = {milliseconds(0), milliseconds(100), milliseconds(199),
                                      milliseconds(250), milliseconds(1200)};
  plays->push_back([](SessionTotals* totals) {
    PlayRoundExpiry(SessionState::kNone, Stimulus::kListenerClose, Stimulus::kAskingConnections, totals);
  });
  for (const milliseconds delay : kDelays) {
    plays->push_back([delay](SessionTotals* totals) {
      for (const nanoseconds offset : kOffsets) {
        const nanoseconds close = *ExpiryOf(Stimulus::kListenerClose, SessionState::kNone);
        PlayPlan plan{SessionState::kNone, Stimulus::kListenerClose, Stimulus::kSilentConnections, close,
                      close + offset};
        if (offset < nanoseconds(0)) {
          std::swap(plan.first, plan.second);
          std::swap(plan.first_at, plan.second_at);
        }
        plan.request_delay = delay;
        PlayBoth(plan, totals);
      }
    });
  }
}

}  // namespace

std::vector<Work<SessionTotals>> SessionPlaysOf(SessionState state) {
  Plays plays;
  if (state == SessionState::kNone) {
    AddAcceptQueue(&plays);
  } else {
    AddTimers(state, &plays);
    AddEvents(state, &plays);
    AddNewcomers(state, &plays);
  }
  return plays;
}

std::vector<Work<SessionTotals>> AllSessionPlays() {
  Plays all;
  for (const SessionState state : kStates) {
    for (Work<SessionTotals>& piece : SessionPlaysOf(state)) all.push_back(std::move(piece));
  }
  return all;
}

}  // namespace badgerbridge::proxy::testing
