// SPDX-License-Identifier: Apache-2.0
#include "settings/error.h"

#include <stdexcept>

namespace badgerbridge::settings {

std::string Message(const SettingsError& error) {
  switch (error.code) {
    case SettingsErrorCode::kAbsent:
      return "setting absent: " + error.key;
    case SettingsErrorCode::kNotANumber:
      return "setting not a number: " + error.key;
    case SettingsErrorCode::kNotAnInteger:
      return "setting not a whole number: " + error.key;
    case SettingsErrorCode::kOutOfRange:
      return "setting out of range: " + error.key;
    case SettingsErrorCode::kUnknownValue:
      break;
  }
  return "setting of unknown meaning: " + error.key;
}

void throw_exception_from_error(const SettingsError& error, const boost::source_location& /*location*/) {
  throw std::runtime_error(Message(error));
}

}  // namespace badgerbridge::settings
