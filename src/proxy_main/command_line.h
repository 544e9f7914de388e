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

/// The text of --help.
extern const std::string_view kUsage;

/// What the program is to do.
enum class Command {
  kRun,           ///< Serve.
  kPrintVersion,  ///< Print the version and end.
  kPrintHelp,     ///< Print the usage and end.
};

/// The command line, as given.
struct CommandLine {
  Command command = Command::kRun;  ///< The first of --version and --help decides, if there is one.
  std::string operator_file;        ///< The path of the operator's file; empty: none.
};

/// An argument that is unknown, or lacks its value.
struct ArgumentError {
  std::string argument;  ///< As given.
};

/// The error as one line for people, without a line end.
std::string Message(const ArgumentError& error);

/// Called by result::value() if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const ArgumentError& error,
                                             const boost::source_location& location);

/// Reads the arguments after the program's name. `default_operator_file` holds unless they name another.
boost::system::result<CommandLine, ArgumentError> ParseCommandLine(
    const std::vector<std::string_view>& arguments, std::string default_operator_file);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_COMMAND_LINE_H_
