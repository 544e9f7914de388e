// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Look-ups in a history that several checks of the verdict need.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_HISTORY_INDEX_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_HISTORY_INDEX_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "multiprocess/history.h"

namespace badgerbridge::multiprocess {

/// A number of ms with one decimal, for people.
std::string FormatMs(double time_ms);

/// Finds records by their keys. Refers to the history, which has to outlive it.
class HistoryIndex {
 public:
  /// Builds the index.
  explicit HistoryIndex(const History& history);

  /// The history itself.
  const History& history() const { return history_; }

  /// The client's record of a request; null if there is none.
  const RequestRecord* FindRequest(const std::string& id) const;

  /// The disruptions of a proxy, in the order of the history.
  const std::vector<Disruption>& DisruptionsOf(const std::string& proxy) const;

  /// Of the time from `from_ms` to `until_ms`, the part in which the test's own processes ran and, if one is
  /// named, the proxy was not stopped.
  double RunningTime(double from_ms, double until_ms, const std::string& proxy = {}) const;

  /// Of the time from `from_ms` to `until_ms`, the part in which all of these processes of the test ran.
  double RunningTimeOf(const std::vector<std::string>& processes, double from_ms, double until_ms) const;

  /// For people: the proxy's disruptions near this period, in ms after its beginning, and which of the
  /// test's own processes were not run for longest within it; empty if neither.
  std::string DescribeDisruptions(const std::string& proxy, double from_ms, double until_ms) const;

 private:
  std::string DescribeLags(double from_ms, double until_ms) const;

  const History& history_;
  std::map<std::string, std::vector<Disruption>> disruptions_by_proxy_;
  std::unordered_map<std::string, const RequestRecord*> requests_by_id_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_HISTORY_INDEX_H_
