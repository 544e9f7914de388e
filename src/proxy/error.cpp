// SPDX-License-Identifier: Apache-2.0
#include "proxy/error.h"

#include <boost/json/serialize.hpp>
#include <string_view>

namespace badgerbridge::proxy {

namespace {

// Quotes an invalid text as a JSON string, which escapes control characters and keeps it on one line.
std::string Quoted(std::string_view text) { return boost::json::serialize(text); }

}  // namespace

std::string Message(const ConfigError& error) {
  switch (error.code) {
    case ConfigErrorCode::kMissingVariable:
      return error.where + " is not set";
    case ConfigErrorCode::kUnreadableFile:
      return "cannot read " + error.where;
    case ConfigErrorCode::kInvalidJson:
      return "the configuration is not JSON: " + error.value;
    case ConfigErrorCode::kMissingSettings:
      return "the configuration has no settings";
    case ConfigErrorCode::kInvalidNumber:
      return "not a number of at least 0: " + error.where;
    case ConfigErrorCode::kInvalidAddress:
      return error.where + " is not an address and port: '" + error.value + "'";
    case ConfigErrorCode::kInvalidSeed:
      return "seed is not a number in hexadecimal digits";
    case ConfigErrorCode::kInvalidSettings:
      return error.value;
    case ConfigErrorCode::kTooFewSockets:
      return "limits.sockets is too few to serve with";
    case ConfigErrorCode::kInvalidKnownList:
      return "known is not a list of backends: " + error.value;
  }
  return "the configuration is invalid";
}

void throw_exception_from_error(const ConfigError& error, const boost::source_location& /*location*/) {
  throw BadConfig(error);
}

std::string Message(const EndpointListError& error) {
  switch (error.code) {
    case EndpointListErrorCode::kNotAnObject:
      return "not a JSON object: a value begins with byte " + error.value;
    case EndpointListErrorCode::kInvalidJson:
      return "not JSON: " + error.value;
    case EndpointListErrorCode::kTooLong:
      return "a JSON object of more than " + error.value + " bytes";
    case EndpointListErrorCode::kInvalidField:
      return error.where + " is missing or invalid: " + error.value;
    case EndpointListErrorCode::kMissingAddress:
      return "endpoint " + Quoted(error.where) + " has no address and port: " + Quoted(error.value);
  }
  return "invalid";
}

void throw_exception_from_error(const EndpointListError& error, const boost::source_location& /*location*/) {
  throw std::runtime_error(Message(error));
}

}  // namespace badgerbridge::proxy
