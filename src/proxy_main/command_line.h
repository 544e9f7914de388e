// SPDX-License-Identifier: Apache-2.0
//
// The proxy's command line. No I/O.
#ifndef BADGERBRIDGE_PROXY_MAIN_COMMAND_LINE_H_
#define BADGERBRIDGE_PROXY_MAIN_COMMAND_LINE_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace badgerbridge::proxy_main {

/// The output of --help, with a trailing newline.
extern const std::string_view kUsage;

/// The action selected on the command line.
enum class Command {
  kRun,           ///< Serve requests.
  kPrintVersion,  ///< Print the version and exit.
  kPrintHelp,     ///< Print the usage and exit.
};

/// The parsed command line.
struct CommandLine {
  Command command = Command::kRun;  ///< The first of --version and --help takes precedence.
  std::string operator_file;        ///< The path of the operator's file; empty: none.
};

/// An argument that is unknown or lacks its value.
struct ArgumentError {
  std::string argument;  ///< The argument as given.
};

/// A one-line description of the error for operators, without a trailing newline.
std::string Message(const ArgumentError& error);

/// Called by result::value() if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const ArgumentError& error,
                                             const boost::source_location& location);

/// Parses the arguments after the program's name. `default_operator_file` applies unless they name another.
boost::system::result<CommandLine, ArgumentError> ParseCommandLine(
    const std::vector<std::string_view>& arguments, std::string default_operator_file);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_COMMAND_LINE_H_
