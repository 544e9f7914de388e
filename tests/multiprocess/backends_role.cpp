// SPDX-License-Identifier: Apache-2.0
//
// `multiprocess_test role converters`: the backends of one zone.
#include <boost/asio/io_context.hpp>

#include "multiprocess/event_loop_lag.h"
#include "multiprocess/role_channel.h"
#include "multiprocess/roles.h"
#include "multiprocess/zone_backends.h"

namespace badgerbridge::multiprocess {

int RunBackendsRole() {
  boost::asio::io_context io(1);
  RoleChannel channel(io);
  EventLoopLagMonitor lag_monitor(io);
  ZoneBackends backends(io, [&](const std::string& name) { channel.Send(BackendOverloaded{name}); });
  channel.On<BeginBackends>(
      [&](const BeginBackends& command) { channel.Send(Ready{backends.Begin(command)}); });
  channel.On<ChangeBackend>([&](const ChangeBackend& command) { backends.Change(command); });
  channel.On<ReportRecords>([&](const ReportRecords&) {
    channel.SendRecords(&Records::attempts, backends.attempts());
    channel.SendRecords(&Records::lags, lag_monitor.lags());
    channel.Send(Ended{0, backends.malformed_requests()});
  });
  channel.Start();
  io.run();
  return 0;
}

}  // namespace badgerbridge::multiprocess
