// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/watch_cache_fleet.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace badgerbridge::multiprocess {

namespace {

// In the addresses of zone 0, or of each zone.
constexpr int kFirstWatchCacheHost = 200;
constexpr int kLinkHost = 7;      // of the links to watch caches
constexpr int kUpstreamHost = 8;  // of the links from them

}  // namespace

WatchCacheFleet::WatchCacheFleet(RunContext& context) : context_(context) {
  for (int i = 0; i < context.model.multiprocess.watch_caches; ++i) {
    WatchCache cache;
    cache.name = "relay-" + std::to_string(i + 1);
    cache.region = i % context.model.regions;
    cache.follows_etcd = i < context.model.regions;
    cache.listen_address = context.addresses.FindFreeAddress(0, kFirstWatchCacheHost + i);
    caches_.push_back(std::move(cache));
  }
}

void WatchCacheFleet::OpenLinks(Links& links, const std::vector<std::string>& etcd_addresses) {
  const std::string upstream_host = context_.addresses.HostOf(0, kUpstreamHost);
  for (WatchCache& cache : caches_) {
    for (int zone = 0; zone < context_.model.zones; ++zone) {
      cache.addresses_by_zone.push_back(links.Open(ZoneName(zone), cache.name, cache.listen_address,
                                                   context_.addresses.HostOf(zone, kLinkHost)));
    }
    if (cache.follows_etcd) {
      for (const std::string& member : etcd_addresses)
        cache.upstreams.push_back(links.Open(cache.name, kEtcdGroup, member, upstream_host));
      continue;
    }
    for (const WatchCache& parent : caches_) {
      if (parent.follows_etcd)
        cache.upstreams.push_back(links.Open(cache.name, parent.name, parent.listen_address, upstream_host));
    }
  }
}

void WatchCacheFleet::Start() {
  for (WatchCache& cache : caches_) StartOne(cache);
}

void WatchCacheFleet::StartOne(WatchCache& cache) {
  std::string upstreams;
  for (const std::string& address : cache.upstreams) upstreams += (upstreams.empty() ? "" : ",") + address;
  cache.process = StartProcess(context_, cache.name,
                               {context_.programs.watch_cache, "--listen", cache.listen_address, "--upstream",
                                upstreams, "--prefix", kMembersPrefix});
}

std::vector<std::string> WatchCacheFleet::AddressesFor(int zone) const {
  std::vector<std::string> addresses;
  for (const bool is_own_region : {true, false}) {
    for (const WatchCache& cache : caches_) {
      if (!cache.follows_etcd && (cache.region == context_.model.RegionOf(zone)) == is_own_region)
        addresses.push_back(cache.addresses_by_zone[static_cast<std::size_t>(zone)]);
    }
  }
  return addresses;
}

void WatchCacheFleet::SetCuts(const WatchCache& cache, Links& links, bool is_in_cut, bool is_out_cut) const {
  if (cache.follows_etcd) return links.SetCuts(cache.name, kEtcdGroup, is_out_cut, is_in_cut);
  for (const WatchCache& parent : caches_) {
    if (parent.follows_etcd) links.SetCuts(cache.name, parent.name, is_out_cut, is_in_cut);
  }
}

void WatchCacheFleet::Apply(const simulator::MultiprocessFault& fault, Links& links) {
  using Way = simulator::ScenarioEvent::Direction;
  WatchCache& cache = caches_.at(static_cast<std::size_t>(fault.value) - 1);
  context_.Note(fault.name + ": " + cache.name);
  if (fault.name == "relay_cut") {
    SetCuts(cache, links, fault.direction != Way::kOut, fault.direction != Way::kIn);
  } else if (fault.name == "relay_heal") {
    SetCuts(cache, links, false, false);
  } else if (fault.name == "relay_start") {
    if (!cache.process) StartOne(cache);
  } else if (cache.process) {
    SignalOne(cache, fault.name);
  }
}

void WatchCacheFleet::SignalOne(WatchCache& cache, const std::string& what) {
  if (what == "relay_kill") {
    cache.process->Signal(SIGCONT);
    cache.process->Signal(SIGKILL);
    cache.process.reset();
  } else if (what == "relay_stop") {
    cache.process->Signal(SIGTERM);
  } else {
    cache.process->Signal(what == "relay_freeze" ? SIGSTOP : SIGCONT);
  }
}

void WatchCacheFleet::CheckEnded() {
  for (WatchCache& cache : caches_) {
    if (!cache.process || cache.process->IsRunning()) continue;
    if (cache.process->status() != 0)
      context_.AddFault(ProcessFaultKind::kEnded, cache.name, cache.process->DescribeEnd());
    context_.Note(cache.name + " has ended");
    cache.process.reset();
  }
}

void WatchCacheFleet::Stop() {
  for (WatchCache& cache : caches_) {
    if (!cache.process) continue;
    cache.process->Signal(SIGCONT);
    cache.process->Signal(SIGTERM);
  }
  context_.WaitUntil(
      [&] {
        return std::none_of(caches_.begin(), caches_.end(),
                            [](WatchCache& cache) { return cache.process && cache.process->IsRunning(); });
      },
      "every watch cache ends when asked to");
  CheckEnded();
}

}  // namespace badgerbridge::multiprocess
