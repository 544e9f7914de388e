// SPDX-License-Identifier: Apache-2.0
//
// The errors of the settings' text: what went wrong, at which key, and the value that was wrong.
#ifndef BADGERBRIDGE_SETTINGS_ERROR_H_
#define BADGERBRIDGE_SETTINGS_ERROR_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>

namespace badgerbridge::settings {

/// What is wrong with a setting.
enum class SettingsErrorCode {
  kAbsent,        ///< a required key is absent
  kNotANumber,    ///< the value is not a finite number
  kNotAnInteger,  ///< the value is a number with a fraction
  kOutOfRange,    ///< the value is outside the bounds of the key
  kUnknownWord,   ///< the value is none of the words that the key takes
};

/// The first error of the settings.
struct SettingsError {
  SettingsErrorCode code = SettingsErrorCode::kAbsent;  ///< what went wrong
  std::string key;                                      ///< the path of the setting
  std::string value;                                    ///< the value that was wrong; empty for kAbsent
};

/// One line for people, without a line end. It names the key and not the value.
std::string Message(const SettingsError& error);

/// A value, or the error that prevented it.
template <typename T>
using Result = boost::system::result<T, SettingsError>;

/// Called by Result::value() if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const SettingsError& error,
                                             const boost::source_location& location);

}  // namespace badgerbridge::settings

#endif  // BADGERBRIDGE_SETTINGS_ERROR_H_
