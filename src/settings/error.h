// SPDX-License-Identifier: Apache-2.0
//
// Errors of the settings text, with the key and the invalid value.
#ifndef BADGERBRIDGE_SETTINGS_ERROR_H_
#define BADGERBRIDGE_SETTINGS_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>

namespace badgerbridge::settings {

/// Why a setting is invalid.
enum class SettingsErrorCode {
  kAbsent,        ///< a required key is absent
  kNotANumber,    ///< the value is not a finite number
  kNotAnInteger,  ///< the value is a number with a fraction
  kOutOfRange,    ///< the value is outside the bounds of the key
  kUnknownValue,  ///< the value is not one of those that the key accepts
};

/// The first error of the settings.
struct SettingsError {
  SettingsErrorCode code = SettingsErrorCode::kAbsent;  ///< what went wrong
  std::string key;                                      ///< the path of the setting
  std::string value;                                    ///< the invalid value; empty for kAbsent
};

/// A one-line message, without a line end. It contains the key but not the value.
std::string Message(const SettingsError& error);

/// A value, or the error that prevented it.
template <typename T>
using Result = boost::system::result<T, SettingsError>;

/// Called by Result::value() if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const SettingsError& error,
                                             const boost::source_location& location);

}  // namespace badgerbridge::settings

#endif  // BADGERBRIDGE_SETTINGS_ERROR_H_
