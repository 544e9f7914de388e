// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Makes one chosen memory allocation or system call of the code under test fail.
#ifndef BADGERBRIDGE_TESTS_SUPPORT_FAULT_INJECTION_H_
#define BADGERBRIDGE_TESTS_SUPPORT_FAULT_INJECTION_H_

#include <string>

namespace badgerbridge::testing {

/// What can be made to fail: an allocation throws std::bad_alloc, a system call returns -1 and sets errno.
enum class Call {
  kAllocation,  ///< operator new, and the aligned_alloc that Asio uses.
  kAccept,      ///< accept(2) and accept4(2).
  kSocket,      ///< socket(2).
  kConnect,     ///< connect(2).
  kSetsockopt,  ///< setsockopt(2).
  kShutdown,    ///< shutdown(2).
  kEpollCtl,    ///< epoll_ctl(2), when it adds a descriptor.
  kPoll,        ///< poll(2).
  kCount,       ///< How many there are.
};

/// The name of a call, for messages.
const char* NameOf(Call call);

/// One planned fault. While it exists, the calls made inside a CountedScope are counted from 0, and those
/// from number `first` on fail until `failures` have. At most one exists at a time; for single-threaded
/// programs.
///
/// How: the program's own operator new, aligned_alloc, accept, … take the place of the C++ and C libraries'.
class PlannedFault {
 public:
  /// Plans the fault. `error`: the errno of a failing system call; unused for allocations.
  PlannedFault(Call call, long first, int failures = 1, int error = 0);
  /// From here on nothing fails.
  ~PlannedFault();
  PlannedFault(const PlannedFault&) = delete;
  PlannedFault& operator=(const PlannedFault&) = delete;

  /// Whether the planned call was reached.
  bool happened() const;

  /// Where the first fault happened: the addresses of the callers in this program, for addr2line. Empty: it
  /// has not.
  std::string Site() const;
};

/// While one exists, calls are counted. At most one exists at a time.
class CountedScope {
 public:
  /// Begins to count.
  CountedScope();
  /// Ends counting.
  ~CountedScope();
  CountedScope(const CountedScope&) = delete;
  CountedScope& operator=(const CountedScope&) = delete;
};

/// Switches counting inside a CountedScope off or on, for what a test does there itself. Returns whether it
/// was on.
bool Counting(bool on);

}  // namespace badgerbridge::testing

#endif  // BADGERBRIDGE_TESTS_SUPPORT_FAULT_INJECTION_H_
