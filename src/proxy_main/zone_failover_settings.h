// SPDX-License-Identifier: Apache-2.0
//
// Builds the zone failover settings of a member from the platform's configuration and the operator's
// [regions] table. No I/O.
#ifndef BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_SETTINGS_H_
#define BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_SETTINGS_H_

#include <boost/assert/source_location.hpp>
#include <boost/system/result.hpp>
#include <string>
#include <vector>

#include "operator_config/operator_file.h"
#include "proxy/config.h"
#include "zone_failover/member.h"

namespace badgerbridge::proxy_main {

/// The zones in the operator's table differ from those of the configuration, or are in a different order.
/// Members refer to zones by index in their messages, so all must use the same order.
struct ZoneMismatchError {
  std::vector<std::string> listed;    ///< Zones in the operator's table.
  std::vector<std::string> expected;  ///< Zones in the configuration.
};

/// A one-line description of the error for operators, without a trailing newline.
std::string Message(const ZoneMismatchError& error);

/// Called by result::value() if there is no value: throws std::runtime_error with the message.
[[noreturn]] void throw_exception_from_error(const ZoneMismatchError& error,
                                             const boost::source_location& location);

/// The settings of this proxy's member. Error: the zones differ.
boost::system::result<zone_failover::MemberSettings, ZoneMismatchError> MakeMemberSettings(
    const proxy::Config& config, const operator_config::ZoneFailoverSettings& table);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_SETTINGS_H_
