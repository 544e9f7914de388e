// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The program's arguments as settings.
#ifndef BADGERBRIDGE_WATCH_CACHE_COMMAND_LINE_H_
#define BADGERBRIDGE_WATCH_CACHE_COMMAND_LINE_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>
#include <vector>

#include "watch_cache/service.h"

namespace badgerbridge::watch_cache {

/// The arguments, as given.
struct Arguments {
  std::string listen;                 ///< --listen: address and port.
  std::string prefix;                 ///< --prefix: of the keys that are served.
  std::string config;                 ///< --config: path of the file; empty: none.
  std::string status_socket;          ///< --status-socket: path; empty: none.
  std::vector<std::string> upstream;  ///< --upstream: addresses and ports.
  bool check = false;                 ///< --check: only check the arguments and the file.
};

/// What is wrong with an argument.
enum class ArgumentErrorCode {
  kInvalidAddress,  ///< Not an IP address with a port.
  kEmptyPrefix,     ///< The prefix is empty.
};

/// An argument that cannot be used.
struct ArgumentError {
  ArgumentErrorCode code = ArgumentErrorCode::kInvalidAddress;  ///< What is wrong.
  std::string option;                                           ///< As in "--listen".
  std::string value;                                            ///< As given.
};

/// One line for people, without a line end.
std::string Message(const ArgumentError& error);

/// Called by result::value() if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const ArgumentError& error,
                                             const boost::source_location& location);

/// Completes the settings of the file with the arguments.
boost::system::result<ServiceSettings, ArgumentError> ApplyArguments(const Arguments& arguments,
                                                                     ServiceSettings settings);

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_COMMAND_LINE_H_
