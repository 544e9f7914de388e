// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/proxy_fleet.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <string_view>
#include <utility>

#include "http_api/address.h"
#include "multiprocess/async_socket.h"
#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {

namespace asio = boost::asio;

namespace {

// In each zone's addresses.
constexpr int kFirstProxyHost = 10;  // backends and links come before
constexpr int kClientLinkHost = 4;   // of the links from clients
constexpr int kDiscoveryLinkHost = 5;

constexpr double kAfterRestartMs = 1500;    // until a restarted proxy counts as running
constexpr double kAfterThawMs = 100;        // after SIGCONT, for which a late answer is excused
constexpr double kListenAfterTermMs = 500;  // for which a proxy goes on accepting after SIGTERM
constexpr double kMaxShutdownMs = 2500;     // beyond the longest deadline
constexpr double kReadyTimeoutMs = 30000;
constexpr double kReadyPollMs = 20;

}  // namespace

ProxyFleet::ProxyFleet(RunContext& context, const BackendFleet& backends, const WatchCacheFleet& watch_caches,
                       const EtcdCluster* etcd)
    : context_(context), backends_(backends), watch_caches_(watch_caches), etcd_(etcd) {
  for (int i = 0; i < context.model.proxies; ++i) {
    Proxy proxy;
    proxy.identity.name = "n" + std::to_string(i + 1);
    proxy.identity.index = i;
    proxy.identity.zone = i % context.model.zones;
    proxy.identity.listen_address =
        context.addresses.FindFreeAddress(proxy.identity.zone, kFirstProxyHost + i);
    proxies_.push_back(std::move(proxy));
  }
}

std::vector<std::string> ProxyFleet::Names() const {
  std::vector<std::string> names;
  for (const Proxy& proxy : proxies_) names.push_back(proxy.identity.name);
  return names;
}

void ProxyFleet::OpenLinks(Links& links, const std::vector<std::string>& discovery_addresses) {
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    ProxyIdentity& identity = proxies_[i].identity;
    const int zone = identity.zone;
    proxies_[i].client_address = links.Open(ClientsName(zone), ZoneName(zone), identity.listen_address,
                                            context_.addresses.HostOf(zone, kClientLinkHost));
    identity.discovery_address = links.Open(ZoneName(zone), kDiscoveryGroup, discovery_addresses.at(i),
                                            context_.addresses.HostOf(zone, kDiscoveryLinkHost));
  }
}

void ProxyFleet::Start() {
  for (Proxy& proxy : proxies_) StartOne(proxy);
}

void ProxyFleet::StartOne(Proxy& proxy) {
  ++proxy.starts;
  const ProxyIdentity& identity = proxy.identity;
  const std::string config = WriteProxyConfig(context_, identity, proxy.starts, backends_.backends());
  std::vector<std::string> arguments{context_.programs.proxy};
  if (context_.model.multiprocess.runs_zone_failover || watch_caches_.is_enabled()) {
    const std::vector<std::string> etcd_members =
        etcd_ ? etcd_->AddressesFor(identity.zone) : std::vector<std::string>{};
    const std::string operator_file =
        WriteOperatorFile(context_, identity, watch_caches_.AddressesFor(identity.zone), etcd_members);
    arguments.insert(arguments.end(), {"--operator", operator_file});
  }
  proxy.process = StartProcess(context_, identity.name, std::move(arguments), {"ROUTER_CONFIG=" + config});
  const auto descriptors = static_cast<rlim_t>(DescriptorLimitOf(context_, identity));
  const rlimit limit{descriptors, descriptors};
  prlimit(proxy.process->pid(), RLIMIT_NOFILE, &limit, nullptr);
}

void ProxyFleet::Restart(Proxy& proxy) {
  StartOne(proxy);
  restart_times_ms_.emplace_back();
  asio::co_spawn(context_.io,
                 MeasureReady(static_cast<std::size_t>(proxy.identity.index), restart_times_ms_.size() - 1),
                 asio::detached);
}

// Polls GET /ready until the proxy answers that it is, or the time is over.
asio::awaitable<void> ProxyFleet::MeasureReady(std::size_t proxy, std::size_t restart) {
  const double began_ms = NowMs();
  while (NowMs() - began_ms < kReadyTimeoutMs) {
    const bool is_ready = co_await ProbeReady(proxies_[proxy].identity.listen_address);
    if (is_ready) {
      restart_times_ms_[restart] = NowMs() - began_ms;
      co_return;
    }
    co_await Pause(context_.io, kReadyPollMs);
  }
}

asio::awaitable<bool> ProxyFleet::ProbeReady(std::string address) {
  constexpr std::string_view kRequest = "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  constexpr std::string_view kReadyStatus = "HTTP/1.1 200 ";
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  asio::ip::tcp::socket socket(context_.io);
  const asio::ip::tcp::endpoint endpoint = http_api::ParseAddress(address).value();
  co_await socket.async_connect(endpoint, token);
  if (!error) co_await asio::async_write(socket, asio::buffer(kRequest.data(), kRequest.size()), token);
  std::array<char, 64> answer{};
  if (!error) co_await socket.async_read_some(asio::buffer(answer), token);
  co_return !error && std::string_view(answer.data(), kReadyStatus.size()) == kReadyStatus;
}

void ProxyFleet::RecordDisruption(const Proxy& proxy, double from_ms, double until_ms, DisruptionKind kind) {
  context_.history.disruptions.push_back({proxy.identity.name, from_ms, until_ms, kind});
}

void ProxyFleet::Kill(Proxy& proxy) {
  if (proxy.down_since_ms) return;
  proxy.down_since_ms = NowMs();
  proxy.process->Signal(SIGCONT);
  proxy.process->Signal(SIGKILL);
}

void ProxyFleet::Revive(Proxy& proxy) {
  if (!proxy.down_since_ms) return;
  Restart(proxy);
  RecordDisruption(proxy, *proxy.down_since_ms, NowMs() + kAfterRestartMs, DisruptionKind::kDown);
  proxy.down_since_ms.reset();
}

void ProxyFleet::Freeze(Proxy& proxy) {
  proxy.process->Signal(SIGSTOP);
  proxy.frozen_since_ms = NowMs();
}

void ProxyFleet::Thaw(Proxy& proxy) {
  proxy.process->Signal(SIGCONT);
  RecordDisruption(proxy, *proxy.frozen_since_ms, NowMs() + kAfterThawMs, DisruptionKind::kStopped);
  proxy.frozen_since_ms.reset();
}

void ProxyFleet::Terminate(Proxy& proxy) {
  proxy.process->Signal(SIGTERM);
  proxy.term_sent_ms = NowMs();
  proxy.stalled_before_term_ms = proxy.stalled_ms;
}

void ProxyFleet::RequireRunning() {
  for (Proxy& proxy : proxies_) {
    if (!proxy.process->IsRunning())
      throw RunFailure({RunErrorKind::kProcessEnded, proxy.identity.name, proxy.process->DescribeEnd(), 0});
  }
}

void ProxyFleet::CheckEnded(double max_deadline_ms) {
  for (Proxy& proxy : proxies_) {
    const double stalled_since_term_ms = proxy.stalled_ms - proxy.stalled_before_term_ms;
    const double max_shutdown_ms = max_deadline_ms + kMaxShutdownMs + stalled_since_term_ms;
    if (proxy.term_sent_ms && NowMs() - *proxy.term_sent_ms > max_shutdown_ms && proxy.process->IsRunning()) {
      context_.AddFault(ProcessFaultKind::kNotEnded, proxy.identity.name);
      proxy.process->Signal(SIGKILL);
    }
    if (proxy.down_since_ms || proxy.process->IsRunning()) continue;
    if (proxy.term_sent_ms && proxy.process->status() == 0) {
      // Connections after the listener is closed are refused. Requests that it had accepted are not excused.
      RecordDisruption(proxy, *proxy.term_sent_ms + kListenAfterTermMs, NowMs() + kAfterRestartMs,
                       DisruptionKind::kNotListening);
      proxy.term_sent_ms.reset();
      Restart(proxy);
      continue;
    }
    context_.AddFault(ProcessFaultKind::kEnded, proxy.identity.name, proxy.process->DescribeEnd());
    proxy.down_since_ms = NowMs();
  }
}

void ProxyFleet::RecordOpenDisruptions() {
  for (const Proxy& proxy : proxies_) {
    const std::optional<double> since_ms = std::max(proxy.down_since_ms, proxy.frozen_since_ms);
    const auto kind = proxy.down_since_ms ? DisruptionKind::kDown : DisruptionKind::kStopped;
    if (since_ms) RecordDisruption(proxy, *since_ms, NowMs(), kind);
  }
}

void ProxyFleet::Stop() {
  for (Proxy& proxy : proxies_) {
    if (proxy.down_since_ms) continue;
    proxy.process->Signal(SIGCONT);
    proxy.process->Signal(SIGTERM);
  }
  context_.WaitUntil(
      [&] {
        return std::none_of(proxies_.begin(), proxies_.end(),
                            [](Proxy& proxy) { return proxy.process->IsRunning(); });
      },
      "every proxy ends when asked to");
  for (const Proxy& proxy : proxies_) {
    if (!proxy.down_since_ms && proxy.process->status() != 0)
      context_.AddFault(ProcessFaultKind::kBadExit, proxy.identity.name, proxy.process->DescribeEnd());
  }
}

}  // namespace badgerbridge::multiprocess
