// SPDX-License-Identifier: Apache-2.0
//
// `multiprocess_test role etcd`: stand-in members, writes on command, and the audit of zone failover.
#include <boost/asio/io_context.hpp>
#include <memory>

#include "http_api/address.h"
#include "multiprocess/clock.h"
#include "multiprocess/decision_audit.h"
#include "multiprocess/role_channel.h"
#include "multiprocess/roles.h"
#include "standins/etcd.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;

namespace {

constexpr const char* kEvacuationValue = "the plan";  // of an order's key

// The members, and a record of the notifications that their writes are.
class EtcdRole {
 public:
  explicit EtcdRole(asio::io_context& io) : io_(io) {}

  // Starts the members, and returns their addresses.
  std::vector<std::string> Begin(const BeginEtcd& command) {
    prefix_ = command.zone_failover_prefix;
    members_ = static_cast<std::size_t>(command.members);
    standins::EtcdSettings settings;
    settings.members = command.members;
    etcd_ = std::make_unique<standins::Etcd>(io_, settings);
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < members_; ++i) addresses.push_back(http_api::ToText(etcd_->address(i)));
    return addresses;
  }

  void SetAllReachable(bool is_reachable) {
    for (std::size_t i = 0; i < members_; ++i) {
      if (is_reachable) {
        etcd_->Up(i);
      } else {
        etcd_->Down(i);
      }
    }
  }

  std::string Leader() const { return FindLeaderIn(etcd_->store(), prefix_); }

  void Order(const OrderEvacuation& command) {
    const std::string key = prefix_ + "orders/" + std::to_string(command.zone);
    PutOrDelete(key, command.is_evacuated ? kEvacuationValue : "");
  }

  void Write(const WriteMember& command) {
    PutOrDelete(command.key, command.value);
    for (const std::string& proxy : command.proxies)
      notifications_.push_back({proxy, command.backend, command.is_ready, NowMs()});
  }

  const std::vector<EndpointNotification>& notifications() const { return notifications_; }

  DecisionAudit Audit() const { return etcd_ ? AuditDecisions(etcd_->store(), prefix_) : DecisionAudit{}; }

 private:
  void PutOrDelete(const std::string& key, const std::string& value) {
    if (value.empty()) return etcd_->Delete(key);
    etcd_->Put(key, value);
  }

  asio::io_context& io_;
  std::unique_ptr<standins::Etcd> etcd_;
  std::string prefix_;
  std::size_t members_ = 0;
  std::vector<EndpointNotification> notifications_;
};

}  // namespace

int RunEtcdRole() {
  asio::io_context io(1);
  RoleChannel channel(io);
  EtcdRole role(io);
  channel.On<BeginEtcd>([&](const BeginEtcd& command) { channel.Send(Ready{role.Begin(command)}); });
  channel.On<SetReachable>([&](const SetReachable& command) { role.SetAllReachable(command.is_reachable); });
  channel.On<FindLeader>([&](const FindLeader&) { channel.Send(LeaderFound{role.Leader()}); });
  channel.On<OrderEvacuation>([&](const OrderEvacuation& command) { role.Order(command); });
  channel.On<WriteMember>([&](const WriteMember& command) { role.Write(command); });
  channel.On<ReportRecords>([&](const ReportRecords&) {
    channel.SendRecords(&Records::notifications, role.notifications());
    channel.Send(role.Audit());
    channel.Send(Ended{});
  });
  channel.Start();
  io.run();
  return 0;
}

}  // namespace badgerbridge::multiprocess
