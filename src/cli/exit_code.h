// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The exit codes of badgerbridge-ctl. Scripts rely on the numbers.
#ifndef BADGERBRIDGE_CLI_EXIT_CODE_H_
#define BADGERBRIDGE_CLI_EXIT_CODE_H_

#include <algorithm>

namespace badgerbridge::cli {

/// How a command ended; the higher, the worse.
enum class ExitCode : int {
  kSuccess = 0,         ///< everything was done
  kPartialFailure = 1,  ///< some of what was asked for was not done
  kUsage = 2,           ///< wrong arguments, or a file that cannot be used
  kConflict = 3,        ///< another order, or another writer in etcd, is in the way
  kNotAllowed = 4,      ///< the agent or etcd denied permission
  kUnreachable = 5,     ///< an agent, a watch cache or etcd did not answer
};

/// The code of a command that ended in both ways.
inline ExitCode Worst(ExitCode first, ExitCode second) { return std::max(first, second); }

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_EXIT_CODE_H_
