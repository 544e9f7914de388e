// SPDX-License-Identifier: Apache-2.0
//
// Times and sizes of the plays of a client's connection.
#ifndef BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_TIMES_H_
#define BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_TIMES_H_

#include <chrono>
#include <cstddef>

namespace badgerbridge::proxy::testing {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

// Of the product.
inline constexpr milliseconds kKeepAlive{2200};  // also of half a request, and of a connection without one
inline constexpr milliseconds kLinger{1000};     // of a connection that has been shut down
inline constexpr milliseconds kTypicalRead{
    1000};  // of an answer, at the limit of clients; more than kTimeLeft
inline constexpr milliseconds kWriteTimeout{5000};         // of an answer
inline constexpr milliseconds kListenerOpen{500};          // after SIGTERM
inline constexpr milliseconds kSweepInterval{100};         // of a drain
inline constexpr milliseconds kSilentBeforeEviction{250};  // at the limit: a new connection without a request
inline constexpr milliseconds kEvictionRetry{25};  // at the limit: between two searches for one to evict
inline constexpr milliseconds kTimeLeft{900};      // of each request
inline constexpr milliseconds kConnectShare{225};  // of it, for the connection to the backend
inline constexpr milliseconds kAttemptsDue{895};   // its attempts end by then

// Of the rules.
inline constexpr milliseconds kMaxAttemptDelay{100};    // of an attempt after its client has left
inline constexpr milliseconds kMaxExcessDeadline{150};  // passed on to a backend
inline constexpr milliseconds kTermToRefusal{700};  // from SIGTERM until a young connection may be refused

// Of the plays.
inline constexpr milliseconds kAsleepBefore{
    10};  // the process does not run for so long before the first event
inline constexpr milliseconds kSecondHalfDelay{100};  // from the first half of a request to the second
inline constexpr milliseconds kMaxWait{50};           // for a handler, where no timer is set
inline constexpr milliseconds kMaxPlayTime{10000};
inline constexpr int kMaxHandlers = 20000;        // far more than any play needs: the loop spins
inline constexpr std::size_t kLargeBody = 60000;  // bytes
inline constexpr int kSmallBuffer = 2048;         // bytes
inline constexpr int kConnections = 3;            // that come at once
inline constexpr std::size_t kHalf = 50;          // bytes of a request: in the midst of its header

}  // namespace badgerbridge::proxy::testing

#endif  // BADGERBRIDGE_TESTS_PROXY_SESSION_PLAY_TIMES_H_
