// SPDX-License-Identifier: Apache-2.0
//
// The commands on etcd in builds without its client.
#include "cli/members_command_line.h"
#include "cli/zones_command_line.h"

namespace badgerbridge::cli {

Result<ExitCode> RunMembersDrain(const GlobalOptions& /*global*/, const MembersOptions& /*options*/) {
  return BuiltWithoutEtcd{};
}

Result<ExitCode> RunMembersUndrain(const GlobalOptions& /*global*/, const MembersOptions& /*options*/) {
  return BuiltWithoutEtcd{};
}

Result<ExitCode> RunMembersRegister(const GlobalOptions& /*global*/, const MembersOptions& /*options*/) {
  return BuiltWithoutEtcd{};
}

Result<ExitCode> RunZones(const GlobalOptions& /*global*/, const ZonesOptions& /*options*/) {
  return BuiltWithoutEtcd{};
}

Result<ExitCode> RunZonesEvacuate(const GlobalOptions& /*global*/, const ZonesOptions& /*options*/) {
  return BuiltWithoutEtcd{};
}

Result<ExitCode> RunZonesReturn(const GlobalOptions& /*global*/, const ZonesOptions& /*options*/) {
  return BuiltWithoutEtcd{};
}

Result<ExitCode> RunZonesHistory(const GlobalOptions& /*global*/, const ZonesOptions& /*options*/) {
  return BuiltWithoutEtcd{};
}

}  // namespace badgerbridge::cli
