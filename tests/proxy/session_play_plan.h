// SPDX-License-Identifier: Apache-2.0
//
// A scenario for a client connection: a state and two events.
#ifndef BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_PLAN_H_
#define BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_PLAN_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace badgerbridge::proxy::testing {

enum class SessionState {
  kNone,               // no connection yet; the events open connections
  kNewSilent,          // connected
  kNewHalfRead,        // connected; half a request has been read
  kNewWholeUnread,     // connected; a whole request is in the kernel's buffer
  kIdle,               // its request was answered, and it has sent nothing since
  kIdleHalfRead,       // idle, then half a request has been read
  kIdleHalfUnread,     // idle, then half a request is in the kernel's buffer
  kIdleWholeUnread,    // idle, then a whole request is in the kernel's buffer
  kConnecting,         // the connection to the backend is not established
  kWriting,            // the backend doesn't read the request
  kWaiting,            // the backend has the request and hasn't answered
  kAnswering,          // the client doesn't read the answer
  kAnsweredWithClose,  // answered with `Connection: close` as requested; not read by the client
  kLingering,          // shut down while idle; the client hasn't closed its side
};
const char* NameOf(SessionState state);

enum class SessionEvent {
  // Timers, which expire without an action.
  kSessionTimer,        // the timeout of the state
  kListenerClose,       // after a SIGTERM sent when the state was reached
  kDrainSweep,          // after a drain begun when the state was reached
  kEvictionRetryTimer,  // at a limit of one client, reached by this connection
  // Actions.
  kRequest,      // a whole request, or the second half of one that is half written
  kHalfRequest,  // the first half; the second follows after kSecondHalfDelay
  kTwoRequests,  // in one write; the first has no time left
  kClientFin,
  kClientReset,
  kSigterm,                 // SIGTERM
  kDrain,                   // requested through the control API
  kConnectDone,             // the connection to the backend is established
  kNewClient,               // another client connects and sends a request, which reaches max_clients
  kSilentConnections,       // clients connect, and send a request after `request_delay`
  kConnectionsWithRequest,  // clients connect and send a request
};
const char* NameOf(SessionEvent event);
bool IsTimer(SessionEvent event);

// When the timer expires, counted from when the state was reached. Empty if it doesn't apply to the state.
std::optional<std::chrono::milliseconds> ExpiryOf(SessionEvent timer, SessionState state);

struct SessionScenario {
  using Nanoseconds = std::chrono::nanoseconds;

  SessionState state = SessionState::kNone;
  SessionEvent first = SessionEvent::kRequest;
  SessionEvent second = SessionEvent::kRequest;
  Nanoseconds first_at{0};  // counted from when the state was reached
  Nanoseconds second_at{0};
  std::optional<std::size_t> handlers_between{};  // empty: both events in one iteration
  Nanoseconds descheduled_for{0};                 // after both events, before the next handler runs
  std::chrono::milliseconds request_delay{100};   // of kSilentConnections
};
std::string Describe(const SessionScenario& scenario);

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_PLAN_H_
