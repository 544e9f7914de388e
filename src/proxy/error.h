// SPDX-License-Identifier: Apache-2.0
//
// The errors of the proxy's configuration and of discovery's lists: what went wrong, where, and the wrong
// value.
#ifndef BADGERBRIDGE_PROXY_ERROR_H_
#define BADGERBRIDGE_PROXY_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <stdexcept>
#include <string>

namespace badgerbridge::proxy {

/// What is wrong with a configuration.
enum class ConfigErrorCode {
  kMissingVariable,   ///< an environment variable is not set
  kUnreadableFile,    ///< the file cannot be read
  kInvalidJson,       ///< the text is not JSON
  kMissingSettings,   ///< there is no object of settings
  kInvalidNumber,     ///< a member is not a number of at least 0
  kInvalidAddress,    ///< a member or variable is not an address and port
  kInvalidSeed,       ///< the seed is not a number in hexadecimal digits
  kInvalidSettings,   ///< the decision module rejects the settings
  kTooFewSockets,     ///< the limit of sockets leaves none to serve with
  kInvalidKnownList,  ///< the last known list of backends is malformed
};

/// An error in a configuration.
struct ConfigError {
  ConfigErrorCode code = ConfigErrorCode::kInvalidJson;  ///< what went wrong
  std::string where;                                     ///< the file, variable or JSON pointer; may be empty
  std::string value;  ///< the wrong value, or what is wrong with it; may be empty
};

/// The error as one line for people, without a line feed.
std::string Message(const ConfigError& error);

/// Thrown for a configuration that is not to be used: at start-up it ends the program, at a reload the former
/// configuration stays.
class BadConfig : public std::runtime_error {
 public:
  /// what() is the message of the error.
  explicit BadConfig(const ConfigError& error) : std::runtime_error(Message(error)), error_(error) {}

  /// What is wrong.
  const ConfigError& error() const { return error_; }

 private:
  ConfigError error_;
};

/// A value, or the error of the configuration that prevented it.
template <typename T>
using ConfigResult = boost::system::result<T, ConfigError>;

/// Called by ConfigResult::value() where there is no value: throws BadConfig.
[[noreturn]] void throw_exception_from_error(const ConfigError& error,
                                             const boost::source_location& location);

/// What is wrong with bytes that should be endpoint lists.
enum class EndpointListErrorCode {
  kNotAnObject,     ///< a value begins with a byte that begins no JSON object
  kInvalidJson,     ///< a value is not JSON
  kTooLong,         ///< a value is longer than any list
  kInvalidField,    ///< a field is missing, or of another type
  kMissingAddress,  ///< an endpoint that is not gone has no valid address
};

/// An error in an endpoint list.
struct EndpointListError {
  EndpointListErrorCode code = EndpointListErrorCode::kInvalidJson;  ///< what went wrong
  std::string where;                                                 ///< the field or endpoint; may be empty
  std::string value;  ///< the wrong value, or what is wrong with it; may be empty
};

/// The error as one line for people, without a line feed.
std::string Message(const EndpointListError& error);

/// A value, or the error of the list that prevented it.
template <typename T>
using EndpointListResult = boost::system::result<T, EndpointListError>;

/// Called by EndpointListResult::value() where there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const EndpointListError& error,
                                             const boost::source_location& location);

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_ERROR_H_
