// SPDX-License-Identifier: Apache-2.0
//
// `multiprocess_test role discovery`: an endpoint list and its watch for each proxy.
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

#include "multiprocess/clock.h"
#include "multiprocess/role_channel.h"
#include "multiprocess/roles.h"
#include "standins/discovery.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;

namespace {

standins::Entry EntryFrom(const SetEndpoint& command) {
  standins::Entry entry;
  entry.name = command.name;
  entry.address = command.address;
  entry.zone = command.zone;
  entry.status = command.status;
  entry.group = command.cell;
  entry.since_ms = command.started_at_unix_ms;
  return entry;
}

// The lists of all proxies, and a record of what each was notified of.
class DiscoveryRole {
 public:
  explicit DiscoveryRole(asio::io_context& io) : io_(io) {}

  // Starts the lists, and returns their addresses.
  std::vector<std::string> Begin(const BeginDiscovery& command) {
    std::vector<std::string> addresses;
    for (const std::string& proxy : command.proxies) {
      auto& list = lists_[proxy];
      list = std::make_unique<standins::Discovery>(io_);
      addresses.push_back(list->address());
    }
    return addresses;
  }

  void Set(const SetEndpoint& command) {
    standins::Discovery& list = *lists_.at(command.proxy);
    if (command.status == "Gone") {
      list.Remove(command.name);
    } else {
      list.Set(EntryFrom(command));
    }
    notifications_.push_back({command.proxy, command.name, command.status == "Ready", NowMs()});
  }

  void SetAllReachable(bool is_reachable) {
    for (auto& [proxy, list] : lists_) {
      if (is_reachable) {
        list->Up();
      } else {
        list->Down();
      }
    }
  }

  const std::vector<EndpointNotification>& notifications() const { return notifications_; }

 private:
  asio::io_context& io_;
  std::map<std::string, std::unique_ptr<standins::Discovery>> lists_;  // by proxy
  std::vector<EndpointNotification> notifications_;
};

}  // namespace

int RunDiscoveryRole() {
  asio::io_context io(1);
  RoleChannel channel(io);
  DiscoveryRole role(io);
  channel.On<BeginDiscovery>(
      [&](const BeginDiscovery& command) { channel.Send(Ready{role.Begin(command)}); });
  channel.On<SetEndpoint>([&](const SetEndpoint& command) { role.Set(command); });
  channel.On<SetReachable>([&](const SetReachable& command) { role.SetAllReachable(command.is_reachable); });
  channel.On<ReportRecords>([&](const ReportRecords&) {
    channel.SendRecords(&Records::notifications, role.notifications());
    channel.Send(Ended{});
  });
  channel.Start();
  io.run();
  return 0;
}

}  // namespace badgerbridge::multiprocess
