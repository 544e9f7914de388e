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

const char* NameOf(Stimulus stimulus) {
  constexpr const char* kNames[] = {
      "timer",          "listener close", "drain sweep", "eviction retry",     "request",
      "half a request", "two requests",   "client FIN",  "client RST",         "SIGTERM",
      "drain",          "connect done",   "newcomer",    "silent connections", "asking connections"};
  return kNames[static_cast<int>(stimulus)];
}

bool IsTimer(Stimulus stimulus) { return stimulus <= Stimulus::kEvictionRetryTimer; }

std::optional<milliseconds> ExpiryOf(Stimulus timer, SessionState state) {
  if (timer == Stimulus::kListenerClose) return kListenerOpen;
  if (timer == Stimulus::kDrainSweep) return kSweepInterval;
  if (timer == Stimulus::kEvictionRetryTimer) return IsNew(state) ? kSilentBeforeEviction : kEvictionRetry;
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

std::string Describe(const PlayPlan& plan) {
  const auto at = [](nanoseconds time) {
    return "@" + std::to_string(time.count() / 1000000) + "." + std::to_string(time.count() / 100000 % 10) +
           "ms";
  };
  std::string text = NameOf(plan.state);
  text += std::string(": ") + NameOf(plan.first) + at(plan.first_at);
  text +=
      plan.handlers_between ? ", " + std::to_string(*plan.handlers_between) + " handlers, " : ", at once ";
  text += NameOf(plan.second) + at(plan.second_at);
  if (plan.asleep.count() > 0) text += ", asleep " + at(plan.asleep).substr(1);
  return text;
}

}  // namespace badgerbridge::proxy::testing
