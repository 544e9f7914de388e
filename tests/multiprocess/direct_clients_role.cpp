// SPDX-License-Identifier: Apache-2.0
//
// `multiprocess_test role raw_clients`: the direct clients of one zone.
#include <boost/asio/io_context.hpp>
#include <memory>

#include "http_api/address.h"
#include "multiprocess/direct_clients.h"
#include "multiprocess/event_loop_lag.h"
#include "multiprocess/role_channel.h"
#include "multiprocess/roles.h"
#include "multiprocess/when_done.h"
#include "multiprocess/work_distribution.h"

namespace badgerbridge::multiprocess {

namespace {

DirectClientClass ClassFrom(const ClientClass& message) {
  DirectClientClass request_class;
  request_class.name = message.name;
  request_class.idempotency = static_cast<Idempotency>(message.idempotency);
  request_class.share = message.share;
  request_class.max_deadline_ms = message.deadline_ms;
  request_class.work = WorkDistributionOf(message);
  return request_class;
}

DirectClientSettings SettingsFrom(const BeginDirectClients& command) {
  DirectClientSettings settings;
  settings.id_prefix = command.id_prefix;
  settings.seed = command.seed;
  settings.clients = command.clients;
  for (const ClientClass& request_class : command.classes)
    settings.classes.push_back(ClassFrom(request_class));
  for (const ProxyAddress& proxy : command.proxies)
    settings.proxies.push_back({proxy.name, http_api::ParseAddress(proxy.address).value()});
  return settings;
}

}  // namespace

int RunDirectClientsRole() {
  boost::asio::io_context io(1);
  RoleChannel channel(io);
  EventLoopLagMonitor lag_monitor(io);
  std::unique_ptr<DirectClients> clients;
  std::vector<RequestRecord> requests;
  std::vector<CloseRaceRecord> close_races;
  WhenDone when_done(io);
  channel.On<BeginDirectClients>([&](const BeginDirectClients& command) {
    clients = std::make_unique<DirectClients>(
        io, SettingsFrom(command), [&](const RequestRecord& request) { requests.push_back(request); },
        [&](const CloseRaceRecord& race) { close_races.push_back(race); });
    channel.Send(Ready{});
  });
  channel.On<StartLoad>([&](const StartLoad&) { clients->Start(); });
  channel.On<StopLoad>([&](const StopLoad&) { clients->Stop(); });
  const auto report = [&] {
    channel.SendRecords(&Records::requests, requests);
    channel.SendRecords(&Records::close_races, close_races);
    channel.SendRecords(&Records::lags, lag_monitor.lags());
    channel.Send(Ended{clients->requests_started(), 0});
  };
  channel.On<ReportRecords>([&](const ReportRecords&) {
    clients->Stop();
    when_done.Call([&] { return clients->IsDone(); }, report);
  });
  channel.Start();
  io.run();
  return 0;
}

}  // namespace badgerbridge::multiprocess
