// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/command_line.h"

#include <stdexcept>
#include <utility>

namespace badgerbridge::proxy_main {

namespace {
constexpr std::string_view kOperatorOption = "--operator";
constexpr std::string_view kOperatorOptionWithValue = "--operator=";
}  // namespace

const std::string_view kUsage =
    "usage: badgerbridge [--operator FILE] [--version] [--help]\n"
    "  --operator FILE  the operator's own file (or BADGERBRIDGE_OPERATOR); without it all that it names is "
    "off\n"
    "The rest comes from ROUTER_CONFIG, ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY.\n";

std::string Message(const ArgumentError& error) {
  return "unknown or incomplete argument " + error.argument + "; see --help";
}

void throw_exception_from_error(const ArgumentError& error, const boost::source_location&) {
  throw std::runtime_error(Message(error));
}

boost::system::result<CommandLine, ArgumentError> ParseCommandLine(
    const std::vector<std::string_view>& arguments, std::string default_operator_file) {
  CommandLine command_line{Command::kRun, std::move(default_operator_file)};
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string_view argument = arguments[i];
    const bool has_next = i + 1 < arguments.size();
    if (argument == kOperatorOption && has_next) {
      command_line.operator_file = arguments[++i];
    } else if (argument.starts_with(kOperatorOptionWithValue)) {
      command_line.operator_file = argument.substr(kOperatorOptionWithValue.size());
    } else if (argument == "--version") {
      command_line.command = Command::kPrintVersion;
      return command_line;
    } else if (argument == "--help") {
      command_line.command = Command::kPrintHelp;
      return command_line;
    } else {
      return ArgumentError{std::string(argument)};
    }
  }
  return command_line;
}

}  // namespace badgerbridge::proxy_main
