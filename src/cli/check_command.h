// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-ctl check: checks a configuration file, and starts nothing.
#ifndef BADGERBRIDGE_CLI_CHECK_COMMAND_H_
#define BADGERBRIDGE_CLI_CHECK_COMMAND_H_

#include <iosfwd>
#include <string>

#include "cli/error.h"

namespace badgerbridge::cli {

/// Checks an operator's, fleet or context file; its tables tell its kind. Warnings go to `err`.
/// InvalidFile: all that is wrong with it.
Result<ExitCode> CheckFile(const std::string& path, std::ostream& err);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_CHECK_COMMAND_H_
