// SPDX-License-Identifier: Apache-2.0
//
// Errors in the proxy's configuration and in endpoint lists: the cause, the place, and the invalid value.
#ifndef BADGERBRIDGE_PROXY_ERROR_H_
#define BADGERBRIDGE_PROXY_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <stdexcept>
#include <string>

namespace badgerbridge::proxy {

/// The kind of error in a configuration.
enum class ConfigErrorCode {
  kMissingVariable,   ///< an environment variable is not set
  kUnreadableFile,    ///< the file cannot be read
  kInvalidJson,       ///< the text is not JSON
  kMissingSettings,   ///< the object "settings" is missing
  kInvalidNumber,     ///< a member is not a non-negative number
  kInvalidAddress,    ///< a member or variable is not an address and port
  kInvalidSeed,       ///< the seed is not a number in hexadecimal digits
  kInvalidSettings,   ///< the decision module rejects the settings
  kTooFewSockets,     ///< the limit on sockets leaves none for requests
  kInvalidKnownList,  ///< the last known list of backends is malformed
};

/// An error in a configuration.
struct ConfigError {
  ConfigErrorCode code = ConfigErrorCode::kInvalidJson;  ///< the kind of error
  std::string where;                                     ///< the file, variable or JSON pointer; may be empty
  std::string value;  ///< the wrong value, or what is wrong with it; may be empty
};

/// The error as one line for people, without a line feed.
std::string Message(const ConfigError& error);

/// Thrown for an invalid configuration. At startup the program exits; at a reload the previous configuration
/// stays in effect.
class BadConfig : public std::runtime_error {
 public:
  /// what() is the message of the error.
  explicit BadConfig(const ConfigError& error) : std::runtime_error(Message(error)), error_(error) {}

  /// The error with its code, place and value.
  const ConfigError& error() const { return error_; }

 private:
  ConfigError error_;
};

/// A value or a ConfigError.
template <typename T>
using ConfigResult = boost::system::result<T, ConfigError>;

/// Throws BadConfig; called by ConfigResult::value() if it holds an error.
[[noreturn]] void throw_exception_from_error(const ConfigError& error,
                                             const boost::source_location& location);

/// The kind of error in a stream of endpoint lists.
enum class EndpointListErrorCode {
  kNotAnObject,     ///< a value begins with a byte other than '{'
  kInvalidJson,     ///< a value is not JSON
  kTooLong,         ///< a value exceeds the maximum length
  kInvalidField,    ///< a field is missing, or of another type
  kMissingAddress,  ///< an endpoint that is not gone has no valid address
};

/// An error in an endpoint list.
struct EndpointListError {
  EndpointListErrorCode code = EndpointListErrorCode::kInvalidJson;  ///< the kind of error
  std::string where;                                                 ///< the field or endpoint; may be empty
  std::string value;  ///< the wrong value, or what is wrong with it; may be empty
};

/// The error as one line for people, without a line feed.
std::string Message(const EndpointListError& error);

/// A value or an EndpointListError.
template <typename T>
using EndpointListResult = boost::system::result<T, EndpointListError>;

/// Throws std::runtime_error with the message; called by EndpointListResult::value() if it holds an error.
[[noreturn]] void throw_exception_from_error(const EndpointListError& error,
                                             const boost::source_location& location);

}  // namespace badgerbridge::proxy

#endif  // BADGERBRIDGE_PROXY_ERROR_H_
