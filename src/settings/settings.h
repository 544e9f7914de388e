// SPDX-License-Identifier: Apache-2.0
//
// Parses the platform's settings, lines of "path=value", into balancer::Settings. settings.cpp is the only
// file that maps the platform's key names to the names in the code.
#ifndef BADGERBRIDGE_SETTINGS_SETTINGS_H_
#define BADGERBRIDGE_SETTINGS_SETTINGS_H_

#include <string_view>

#include "badgerbridge/balancer.h"
#include "settings/error.h"

namespace badgerbridge::settings {

/// The settings in `text`, or the first error. Unknown keys and lines without "=" are ignored,
/// the last value of a repeated key is used, and an absent optional key has its documented default.
Result<balancer::Settings> ParseSettings(std::string_view text);

}  // namespace badgerbridge::settings

#endif  // BADGERBRIDGE_SETTINGS_SETTINGS_H_
