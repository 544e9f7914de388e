// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Conversion of the command-line arguments to settings.
#ifndef BADGERBRIDGE_WATCH_CACHE_COMMAND_LINE_H_
#define BADGERBRIDGE_WATCH_CACHE_COMMAND_LINE_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>
#include <vector>

#include "watch_cache/service.h"

namespace badgerbridge::watch_cache {

/// The command-line arguments, not yet validated.
struct Arguments {
  std::string listen;                 ///< --listen: address and port.
  std::string prefix;                 ///< --prefix: common prefix of the keys that are served.
  std::string config;                 ///< --config: path of the configuration file; empty: none.
  std::string status_socket;          ///< --status-socket: path; empty: none.
  std::vector<std::string> upstream;  ///< --upstream: addresses and ports.
  bool check = false;                 ///< --check: validate the arguments and the file, then exit.
};

/// Why an argument is invalid.
enum class ArgumentErrorCode {
  kInvalidAddress,  ///< Not an IP address with a port.
  kEmptyPrefix,     ///< The prefix is empty.
};

/// An invalid argument.
struct ArgumentError {
  ArgumentErrorCode code = ArgumentErrorCode::kInvalidAddress;  ///< The reason.
  std::string option;                                           ///< The option's name with its dashes.
  std::string value;                                            ///< The value from the command line.
};

/// A one-line description for operators, without a trailing newline.
std::string Message(const ArgumentError& error);

/// Called by result::value() if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const ArgumentError& error,
                                             const boost::source_location& location);

/// Adds the arguments to the settings from the configuration file. Fails with the first invalid argument.
boost::system::result<ServiceSettings, ArgumentError> ApplyArguments(const Arguments& arguments,
                                                                     ServiceSettings settings);

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_COMMAND_LINE_H_
