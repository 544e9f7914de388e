// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/client_fleet.h"

#include <algorithm>
#include <utility>

#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr double kReadyPollMs = 50;

std::vector<ClientClass> ClassesFrom(const simulator::Model& model) {
  std::vector<ClientClass> classes;
  for (const simulator::ClassModel& request_class : model.classes) {
    classes.push_back({request_class.name, static_cast<int>(request_class.rules.idempotency),
                       request_class.share, request_class.rules.deadline.count(),
                       static_cast<int>(request_class.work.kind), request_class.work.mean,
                       request_class.work.spread});
  }
  return classes;
}

bool AllReported(const std::vector<std::unique_ptr<RoleProcess>>& processes) {
  return std::all_of(processes.begin(), processes.end(),
                     [](const auto& process) { return process->has_reported(); });
}

}  // namespace

ClientFleet::ClientFleet(RunContext& context, ProxyFleet& proxies)
    : context_(context),
      proxies_(proxies),
      ready_proxies_(static_cast<std::size_t>(context.model.zones)),
      expected_proxies_(static_cast<std::size_t>(context.model.zones)) {
  for (int zone = 0; zone < context.model.zones; ++zone) StartPacedClients(zone);
}

std::vector<ProxyAddress> ClientFleet::ProxiesOf(int zone, bool is_direct) const {
  std::vector<ProxyAddress> addresses;
  for (const Proxy& proxy : proxies_.proxies()) {
    const ProxyIdentity& identity = proxy.identity;
    if (identity.zone == zone)
      addresses.push_back({identity.name, is_direct ? identity.listen_address : proxy.client_address});
  }
  return addresses;
}

void ClientFleet::StartPacedClients(int zone) {
  paced_.push_back(std::make_unique<RoleProcess>(context_, "clients", ClientsName(zone)));
  const auto zone_index = static_cast<std::size_t>(zone);
  paced_.back()->On<ReadyProxies>(
      [this, zone_index](const ReadyProxies& event) { ready_proxies_[zone_index] = event.count; });
  const simulator::ClientModel& model = context_.model.clients;
  BeginClients command;
  command.id_prefix = ClientsName(zone) + "-";
  command.seed = context_.seed;
  command.requests_per_s = model.requests_per_second / context_.model.zones;
  command.max_attempts = model.max_submissions;
  command.mean_retry_delay_ms = model.retry_delay.Mean();
  command.proxies = ProxiesOf(zone, false);
  command.classes = ClassesFrom(context_.model);
  expected_proxies_[zone_index] = command.proxies.size();
  paced_.back()->Send(command);
}

void ClientFleet::StartDirectClients() {
  const int clients_per_proxy = context_.model.multiprocess.raw_clients;
  for (int zone = 0; clients_per_proxy > 0 && zone < context_.model.zones; ++zone) {
    const std::string name = "raw-" + ClientsName(zone);
    direct_.push_back(std::make_unique<RoleProcess>(context_, "raw_clients", name));
    BeginDirectClients command;
    command.id_prefix = name + "-";
    command.seed = context_.seed;
    command.proxies = ProxiesOf(zone, true);
    command.clients = static_cast<std::size_t>(clients_per_proxy) * command.proxies.size();
    command.classes = ClassesFrom(context_.model);
    direct_.back()->Send(command);
  }
}

void ClientFleet::AwaitProxies() {
  double polled_at_ms = 0;
  context_.WaitUntil(
      [&] {
        if (NowMs() - polled_at_ms > kReadyPollMs) {
          for (const auto& process : paced_) process->Send(CountReadyProxies{});
          polled_at_ms = NowMs();
        }
        proxies_.RequireRunning();
        return ready_proxies_ == expected_proxies_;
      },
      "every proxy is ready");
}

void ClientFleet::Scale(double factor) {
  for (const auto& process : paced_) process->Send(ScaleLoad{factor});
}

bool ClientFleet::HaveReported() const { return AllReported(paced_) && AllReported(direct_); }

}  // namespace badgerbridge::multiprocess
