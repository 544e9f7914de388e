// SPDX-License-Identifier: Apache-2.0
//
// Reads the platform's settings, as lines "path=value", into the balancer's. settings.cpp is the only file
// that holds both the platform's words and the code's terms.
#ifndef BADGERBRIDGE_SETTINGS_SETTINGS_H_
#define BADGERBRIDGE_SETTINGS_SETTINGS_H_

#include <string_view>

#include "badgerbridge/balancer.h"
#include "settings/error.h"

namespace badgerbridge::settings {

/// The settings that `text` holds, or the first error in it. Unknown keys and lines without "=" are ignored,
/// the last value of a repeated key is used, and an absent optional key has its documented default.
Result<balancer::Settings> ParseSettings(std::string_view text);

}  // namespace badgerbridge::settings

#endif  // BADGERBRIDGE_SETTINGS_SETTINGS_H_
