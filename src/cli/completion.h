// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// badgerbridge-ctl completion: the script that completes its command line in a shell.
#ifndef BADGERBRIDGE_CLI_COMPLETION_H_
#define BADGERBRIDGE_CLI_COMPLETION_H_

namespace badgerbridge::cli {

/// The script for bash. Its lists of commands and options are kept by hand.
extern const char kBashCompletion[];

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_COMPLETION_H_
