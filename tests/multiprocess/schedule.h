// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Actions that are due at some time of a run.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_SCHEDULE_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_SCHEDULE_H_

#include <functional>
#include <vector>

namespace badgerbridge::multiprocess {

/// Holds actions until they are due.
class Schedule {
 public:
  /// Adds an action for a moment of NowMs.
  void Add(double due_ms, std::function<void()> action);

  /// Runs the actions that are due, in the order of their adding. Those that they add wait for the next call.
  void RunDue();

 private:
  struct Entry {
    double due_ms = 0;
    std::function<void()> action;
  };
  std::vector<Entry> entries_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_SCHEDULE_H_
