// SPDX-License-Identifier: Apache-2.0
//
// What one play of a client's connection consists of: a state and two events.
#ifndef BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_PLAN_H_
#define BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_PLAN_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace badgerbridge::proxy::testing {

enum class SessionState {
  kNone,               // the play's connections come by its events
  kNewSilent,          // connected
  kNewHalfRead,        // and half a request has been read
  kNewWholeUnread,     // and a whole one is in the kernel's buffer
  kIdle,               // has had an answer, and sent nothing since
  kIdleHalfRead,       // and half a request has been read
  kIdleHalfUnread,     // and half a request is in the kernel's buffer
  kIdleWholeUnread,    // and a whole one is
  kConnecting,         // a connection to the backend has not come up
  kWriting,            // the backend does not read the request
  kWaiting,            // it has the request
  kAnswering,          // the client does not read the answer
  kAnsweredWithClose,  // as the client wished; it has not read it
  kLingering,          // ended while idle; the client has not closed its side
};
const char* NameOf(SessionState state);

enum class Stimulus {
  // Timers: nothing is done, but their time comes.
  kSessionTimer,        // the one that rules the state
  kListenerClose,       // after SIGTERM, which came when the state was reached
  kDrainSweep,          // after a drain that began when the state was reached
  kEvictionRetryTimer,  // at the limit of clients, which this connection alone reaches
  // Events.
  kRequest,      // a whole one, or what is missing of one that is half written
  kHalfRequest,  // half of one; the rest follows kSecondHalfDelay later
  kTwoRequests,  // at once; the first has no time left
  kClientFin,
  kClientReset,
  kTerm,               // SIGTERM
  kDrain,              // by the control API
  kConnectDone,        // the connection to the backend comes up
  kNewcomer,           // another client connects and asks; with it the limit of clients is reached
  kSilentConnections,  // clients connect; they ask kRequestDelay later
  kAskingConnections,  // clients connect and ask
};
const char* NameOf(Stimulus stimulus);
bool IsTimer(Stimulus stimulus);

// When the timer expires, after the state was reached. Nothing: it does not rule this state.
std::optional<std::chrono::milliseconds> ExpiryOf(Stimulus timer, SessionState state);

struct PlayPlan {
  using Nanoseconds = std::chrono::nanoseconds;

  SessionState state = SessionState::kNone;
  Stimulus first = Stimulus::kRequest;
  Stimulus second = Stimulus::kRequest;
  Nanoseconds first_at{0};  // after the state was reached
  Nanoseconds second_at{0};
  std::optional<std::size_t> handlers_between{};  // nothing: one batch
  Nanoseconds asleep{0};                          // after both, before the next handler runs
  std::chrono::milliseconds request_delay{100};   // of kSilentConnections
};
std::string Describe(const PlayPlan& plan);

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_PLAN_H_
