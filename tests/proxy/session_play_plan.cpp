// SPDX-License-Identifier: Apache-2.0
#include "proxy/session_play_plan.h"

#include "proxy/session_play_times.h"

namespace badgerbridge::proxy::testing {

namespace {

bool IsNew(SessionState state) {
  return state == SessionState::kNewSilent || state == SessionState::kNewHalfRead ||
         state == SessionState::kNewWholeUnread;
}

}  // namespace

const char* NameOf(SessionState state) {
  constexpr const char* kNames[] = {"none",
                                    "new, silent",
                                    "new, half read",
                                    "new, whole unread",
                                    "idle",
                                    "idle, half read",
                                    "idle, half unread",
                                    "idle, whole unread",
                                    "connecting",
                                    "writing",
                                    "waiting",
                                    "answering",
                                    "answered with close",
                                    "lingering"};
  return kNames[static_cast<int>(state)];
}

const char* NameOf(SessionEvent event) {
  constexpr const char* kNames[] = {
      "timer",          "listener close", "drain sweep", "eviction retry",     "request",
      "half a request", "two requests",   "client FIN",  "client RST",         "SIGTERM",
      "drain",          "connect done",   "new client",  "silent connections", "connections with requests"};
  return kNames[static_cast<int>(event)];
}

bool IsTimer(SessionEvent event) { return event <= SessionEvent::kEvictionRetryTimer; }

std::optional<milliseconds> ExpiryOf(SessionEvent timer, SessionState state) {
  if (timer == SessionEvent::kListenerClose) return kListenerOpen;
  if (timer == SessionEvent::kDrainSweep) return kSweepInterval;
  if (timer == SessionEvent::kEvictionRetryTimer)
    return IsNew(state) ? kSilentBeforeEviction : kEvictionRetry;
  switch (state) {
    case SessionState::kNone:
      return std::nullopt;
    case SessionState::kConnecting:
      return kConnectShare;
    case SessionState::kWriting:
    case SessionState::kWaiting:
      return kAttemptsDue;
    case SessionState::kAnswering:
      return kWriteTimeout;
    case SessionState::kAnsweredWithClose:
    case SessionState::kLingering:
      return kLinger;
    default:
      return kKeepAlive;
  }
}

std::string Describe(const SessionScenario& scenario) {
  const auto at = [](nanoseconds time) {
    return "@" + std::to_string(time.count() / 1000000) + "." + std::to_string(time.count() / 100000 % 10) +
           "ms";
  };
  std::string text = NameOf(scenario.state);
  text += std::string(": ") + NameOf(scenario.first) + at(scenario.first_at);
  text += scenario.handlers_between ? ", " + std::to_string(*scenario.handlers_between) + " handlers, "
                                    : ", at once ";
  text += NameOf(scenario.second) + at(scenario.second_at);
  if (scenario.descheduled_for.count() > 0)
    text += ", descheduled for " + at(scenario.descheduled_for).substr(1);
  return text;
}

}  // namespace badgerbridge::proxy::testing
