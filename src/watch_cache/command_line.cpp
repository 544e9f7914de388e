// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/command_line.h"

#include <stdexcept>
#include <utility>

#include "http_api/address.h"
#include "watch_cache/relay_file.h"

namespace badgerbridge::watch_cache {

std::string Message(const ArgumentError& error) {
  switch (error.code) {
    case ArgumentErrorCode::kInvalidAddress:
      return error.option + ": \"" + error.value + "\" is not an address with a port, such as 127.0.0.1:2379";
    case ArgumentErrorCode::kEmptyPrefix:
      return error.option + ": must not be empty; an example is /badgerbridge/";
  }
  return "";
}

void throw_exception_from_error(const ArgumentError& error, const boost::source_location&) {
  throw std::runtime_error(Message(error));
}

boost::system::result<ServiceSettings, ArgumentError> ApplyArguments(const Arguments& arguments,
                                                                     ServiceSettings settings) {
  const auto listen = http_api::ParseAddress(arguments.listen);
  if (!listen) return ArgumentError{ArgumentErrorCode::kInvalidAddress, "--listen", arguments.listen};
  settings.listen = *listen;
  for (const std::string& text : arguments.upstream) {
    const auto endpoint = http_api::ParseAddress(text);
    const bool has_port = endpoint && endpoint->port() != 0;
    if (!has_port) return ArgumentError{ArgumentErrorCode::kInvalidAddress, "--upstream", text};
    settings.upstream.endpoints.push_back(*endpoint);
  }
  if (arguments.prefix.empty()) return ArgumentError{ArgumentErrorCode::kEmptyPrefix, "--prefix", ""};
  settings.cache.prefix = arguments.prefix;
  settings.cache.must_deliver = IsDrainEvent;
  return settings;
}

}  // namespace badgerbridge::watch_cache
