// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/endpoint_publisher.h"

#include <boost/json.hpp>
#include <utility>

#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr std::uint64_t kLagStream = 1;

SetEndpoint NotificationOf(const Backend& backend, const ProxyIdentity& proxy) {
  SetEndpoint command;
  command.proxy = proxy.name;
  command.name = backend.name;
  command.address = backend.AddressFor(proxy.zone);
  command.zone = ZoneName(backend.zone);
  command.status = ToWire(backend.status);
  command.cell = backend.cell;
  command.started_at_unix_ms = backend.started_at_unix_ms;
  return command;
}

}  // namespace

EndpointPublisher::EndpointPublisher(RunContext& context, RoleProcess& discovery, EtcdCluster* etcd,
                                     const ProxyFleet& proxies)
    : context_(context),
      discovery_(discovery),
      etcd_(etcd),
      proxies_(proxies),
      random_(context.seed, kLagStream) {}

void EndpointPublisher::Publish(const Backend& backend) {
  const bool uses_etcd = context_.model.multiprocess.watch_caches > 0;
  if (uses_etcd) WriteToEtcd(backend);
  // Discovery then lists the backends of the start, and no change.
  if (uses_etcd && context_.has_load_begun()) return;
  for (const Proxy& proxy : proxies_.proxies()) {
    SetEndpoint notification = NotificationOf(backend, proxy.identity);
    if (!context_.has_load_begun()) {
      discovery_.Send(notification);
    } else if (is_paused_) {
      held_back_.push_back(std::move(notification));
    } else {
      const double due_ms = NowMs() + context_.model.network.list_delay.Draw(random_);
      context_.schedule.Add(
          due_ms, [this, notification = std::move(notification)] { discovery_.Send(notification); });
    }
  }
}

void EndpointPublisher::SetPaused(bool is_paused) {
  is_paused_ = is_paused;
  if (is_paused_) return;
  for (const SetEndpoint& notification : std::exchange(held_back_, {})) discovery_.Send(notification);
}

// A backend's key, for the proxies of each zone; its departure is the key's deletion. From the moment of the
// write it counts as notified to every proxy: none is ever out of reach of all watch caches.
void EndpointPublisher::WriteToEtcd(const Backend& backend) {
  for (int zone = 0; zone < context_.model.zones; ++zone) {
    WriteMember command;
    command.key = MembersPrefix(zone) + backend.name;
    if (backend.status != BackendStatus::kGone)
      command.value = boost::json::serialize(EndpointJson(backend, zone));
    command.backend = backend.name;
    command.is_ready = backend.status == BackendStatus::kReady;
    for (const Proxy& proxy : proxies_.proxies()) {
      if (proxy.identity.zone == zone) command.proxies.push_back(proxy.identity.name);
    }
    etcd_->process().Send(command);
  }
}

}  // namespace badgerbridge::multiprocess
