// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What `multiprocess_test run` prints.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_REPORT_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_REPORT_H_

#include <cstdint>
#include <string>

#include "multiprocess/run_outcome.h"
#include "simulator/model.h"

namespace badgerbridge::multiprocess {

/// Whether a run passed, with the share of the weight that its plan demands.
bool HasPassed(const simulator::Model& model, const RunOutcome& outcome);

/// The timeline, a table of the seconds, and all that is wrong, on several lines.
std::string DetailsOf(const RunOutcome& outcome);

/// The last line, of which scripts read `name=value`, without a line end.
std::string SummaryLine(const simulator::Model& model, std::uint64_t seed, const RunOutcome& outcome,
                        double elapsed_ms);

/// The line of a run that could not be carried out, without a line end.
std::string FailureLine(const simulator::Model& model, std::uint64_t seed, const std::string& reason);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_REPORT_H_
