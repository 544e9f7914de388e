// SPDX-License-Identifier: Apache-2.0
#include "proxy_main/proxy_process.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <iostream>
#include <string>
#include <utility>

namespace badgerbridge::proxy_main {
namespace {

using operator_config::OperatorFile;
using proxy::EndpointList;
using proxy::EndpointListKind;

// Reduces the limit on client connections by the admin API's file descriptors, including its listener's.
proxy::Config ReserveAdminApiDescriptors(proxy::Config config, const OperatorFile& operator_file) {
  if (operator_file.admin_api) {
    const std::size_t reserved = operator_file.admin_api->max_connections + 1;
    config.max_clients -= std::min(config.max_clients - 1, reserved);
  }
  return config;
}

}  // namespace

ProxyProcess::ProxyProcess(proxy::Config config, const OperatorFile& operator_file,
                           proxy::Environment environment)
    : config_(ReserveAdminApiDescriptors(std::move(config), operator_file)),
      environment_(std::move(environment)),
      hangup_signals_(io_, SIGHUP),
      stop_signals_(io_, SIGTERM, SIGINT),
      backends_(io_, clock_, proxy::BackendPool::Limits::From(config_)),
      proxy_(io_, clock_, backends_, config_) {
  proxy::EndpointListReader reader(config_);
  const EndpointList configured = ReadConfiguredEndpoints(reader);
  StartZoneFailover(operator_file);
  StartMembership(operator_file, configured);
  StartDiscovery(std::move(reader), configured);
  AwaitHangupSignal();
  listener_.emplace(io_, clock_, proxy_, config_);
  AwaitStopSignal();
  StartAdminApi(operator_file);
}

void ProxyProcess::Run() {
  while (!io_.stopped()) {
    try {
      io_.run();
    } catch (const std::exception& error) {
      // A handler threw. Its request or call ends at its own deadline; the event loop continues.
      std::cerr << "badgerbridge: " << error.what() << '\n';
    }
  }
}

EndpointList ProxyProcess::ReadConfiguredEndpoints(proxy::EndpointListReader& reader) const {
  EndpointList configured;
  if (!config_.known.is_null()) {
    proxy::EndpointListResult<EndpointList> list = reader.Read(config_.known);
    if (!list) {
      throw proxy::BadConfig(
          {proxy::ConfigErrorCode::kInvalidKnownList, "/known", proxy::Message(list.error())});
    }
    configured = std::move(*list);
  }
  configured.snapshot = true;
  return configured;
}

void ProxyProcess::StartDiscovery(proxy::EndpointListReader reader, const EndpointList& configured) {
  const bool is_polled = config_.settings.polls_endpoint_list;
  discovery_.emplace(
      io_, config_.discovery, std::move(reader), is_polled, config_.seed,
      [this](const EndpointList& list) { OnEndpointList(list); }, [this] { proxy_.EndpointListFailed(); },
      proxy::Discovery::Timing::For(is_polled));
  proxy_.SetSubscribeHandler([this] { discovery_->Watch(); });
  backends_.SetUnreadListCheck([this] { return discovery_->HasUnread(); });
  proxy_.UpdateList(EndpointListKind::kCached, configured);
  if (!is_polled) discovery_->Watch();
}

void ProxyProcess::StartAdminApi(const OperatorFile& operator_file) {
  if (operator_file.admin_api) admin_api_.emplace(io_, *operator_file.admin_api, AdminApiDependencies());
}

#ifdef BADGERBRIDGE_HAS_ETCD

void ProxyProcess::StartZoneFailover(const OperatorFile& operator_file) {
  if (!operator_file.zone_failover) return;
  zone_failover_.emplace(io_, clock_, config_, *operator_file.zone_failover,
                         [this](balancer::ZoneQuotas quotas) { proxy_.UpdateZoneQuotas(std::move(quotas)); });
  proxy_.SetTrafficObserver(&zone_failover_->traffic_observer());
}

void ProxyProcess::StartMembership(const OperatorFile& operator_file, const EndpointList& configured) {
  if (!operator_file.etcd) return;
  membership_.emplace(
      io_, config_, *operator_file.etcd,
      [this](const EndpointList& list) { proxy_.ApplyMembershipChange(list); },
      [this] { proxy_.SetListComplete(true); });
  if (configured.endpoints.empty()) proxy_.SetListComplete(false);
  membership_->SetConfiguredEndpoints(configured);
}

void ProxyProcess::OnEndpointList(const EndpointList& list) {
  if (membership_) {
    membership_->UpdateFromDiscovery(list);
    return proxy_.UpdateList(EndpointListKind::kDelta, {});  // discovery has answered the poll
  }
  proxy_.UpdateList(list.snapshot ? EndpointListKind::kFull : EndpointListKind::kDelta, list);
}

admin_api::AdminApi::Dependencies ProxyProcess::AdminApiDependencies() {
  const proxy::EndpointListReader& endpoint_list =
      membership_ ? membership_->endpoint_list() : discovery_->reader();
  admin_api::AdminApi::Dependencies dependencies{
      config_, clock_, proxy_, *listener_, endpoint_list, reloads_, [this] { Stop(); }};
  if (membership_) {
    dependencies.describe_members = [this] { return membership_->DescribeStatus(); };
    dependencies.release_members = [this] { return membership_->ReleaseRetained(); };
  }
  if (zone_failover_) dependencies.describe_zones = [this] { return zone_failover_->DescribeStatus(); };
  return dependencies;
}

#else

void ProxyProcess::StartZoneFailover(const OperatorFile&) {}

void ProxyProcess::StartMembership(const OperatorFile&, const EndpointList&) {}

void ProxyProcess::OnEndpointList(const EndpointList& list) {
  proxy_.UpdateList(list.snapshot ? EndpointListKind::kFull : EndpointListKind::kDelta, list);
}

admin_api::AdminApi::Dependencies ProxyProcess::AdminApiDependencies() {
  return {config_, clock_, proxy_, *listener_, discovery_->reader(), reloads_, [this] { Stop(); }};
}

#endif

void ProxyProcess::AwaitHangupSignal() {
  hangup_signals_.async_wait([this](const boost::system::error_code& error, int) {
    if (error) return;
    AwaitHangupSignal();
    Reload();
  });
}

void ProxyProcess::AwaitStopSignal() {
  stop_signals_.async_wait([this](const boost::system::error_code& error, int) {
    if (!error) Stop();
  });
}

// Applies only discovery's address from the file. Other settings and requests in flight are unaffected. An
// invalid file changes nothing.
void ProxyProcess::Reload() {
  try {
    discovery_->ChangeAddress(proxy::RereadConfig(environment_).value().discovery);
    ++reloads_.applied;
    reloads_.last_error.clear();
  } catch (const std::exception& error) {
    std::cerr << "badgerbridge: the old configuration stays: " << error.what() << '\n';
    ++reloads_.rejected;
    reloads_.last_error = error.what();
  }
}

void ProxyProcess::Stop() {
  listener_->Stop([this] { io_.stop(); });
}

}  // namespace badgerbridge::proxy_main
