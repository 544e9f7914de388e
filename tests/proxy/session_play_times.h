// SPDX-License-Identifier: Apache-2.0
//
// Times and sizes of the scenarios for a client connection.
#ifndef BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_TIMES_H_
#define BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_TIMES_H_

#include <chrono>
#include <cstddef>

namespace badgerbridge::proxy::testing {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

// Time limits of the proxy.
inline constexpr milliseconds kKeepAlive{2200};  // also for an incomplete request, and for a new connection
inline constexpr milliseconds kLinger{
    1000};  // a client has this long to close a connection after its shutdown
inline constexpr milliseconds kTypicalRead{
    1000};  // for reading an answer, at max_clients; more than kTimeLeft
inline constexpr milliseconds kWriteTimeout{5000};  // for writing an answer
inline constexpr milliseconds kListenerOpen{500};   // how long connections are accepted after SIGTERM
inline constexpr milliseconds kSweepInterval{100};  // during a drain
inline constexpr milliseconds kSilentBeforeEviction{
    250};  // at max_clients: age of a new connection without a request
inline constexpr milliseconds kEvictionRetry{25};  // at max_clients: between two attempts to evict
inline constexpr milliseconds kTimeLeft{900};      // deadline of each request
inline constexpr milliseconds kConnectShare{225};  // part of kTimeLeft for connecting to the backend
inline constexpr milliseconds kAttemptsDue{895};   // all attempts of a request end by then

// Tolerances of the checks.
inline constexpr milliseconds kMaxAttemptDelay{
    100};  // an attempt may begin this long after its client disconnects
inline constexpr milliseconds kMaxExcessDeadline{
    150};  // a forwarded deadline may exceed the client's remaining time by this
inline constexpr milliseconds kSigtermToRefusal{700};  // from SIGTERM until a new connection may be refused

// Parameters of the runs.
inline constexpr milliseconds kDescheduledBefore{10};  // no handler runs for this time before the first event
inline constexpr milliseconds kSecondHalfDelay{100};   // between the two halves of a request
inline constexpr milliseconds kMaxWait{50};            // longest wait for a handler if no timer is set
inline constexpr milliseconds kMaxRunTime{10000};
inline constexpr int kMaxHandlers = 20000;  // far more than any run needs; beyond it the event loop spins
inline constexpr std::size_t kLargeBody = 60000;    // bytes
inline constexpr int kSmallBuffer = 2048;           // bytes
inline constexpr int kConnectionBurst = 3;          // opened at the same time
inline constexpr std::size_t kFirstHalfBytes = 50;  // bytes; ends in the middle of the header

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_TIMES_H_
