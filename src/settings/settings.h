// SPDX-License-Identifier: Apache-2.0
//
// Reads the path=value settings of the simulator's wire.
#ifndef BADGERBRIDGE_SETTINGS_SETTINGS_H_
#define BADGERBRIDGE_SETTINGS_SETTINGS_H_

#include <stdexcept>
#include <string_view>

#include "badgerbridge/balancer.h"

namespace badgerbridge::settings {

// A needed key is absent, or a key holds what it must not; what() names the key.
class BadSettings : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Unknown keys are ignored; an absent optional key has its documented meaning.
balancer::Settings ParseSettings(std::string_view text);

}  // namespace badgerbridge::settings

#endif  // BADGERBRIDGE_SETTINGS_SETTINGS_H_
