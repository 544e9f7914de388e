// SPDX-License-Identifier: Apache-2.0
//
// What a whole proxy holds of its backends, from the list as discovery gives it to the module: the ledger,
// names and ids, the pool, the module, and what the regions keep. The product's own parts, without sockets.
#include "slopes_proxy.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <optional>
#include <thread>

#include "allocations.h"
#include "proxy/backend_pool.h"
#include "proxy/clock.h"
#include "proxy/discovery.h"
#include "proxy/proxy.h"
#include "proxy_main/membership_source.h"
#include "proxy_main/zone_failover_source.h"
#include "slopes.h"
#include "slopes_configuration.h"
#include "slopes_names.h"

namespace badgerbridge::bench {
namespace {

constexpr int kSizes[] = {1000, 3000, 10000, 30000, kBackends};
constexpr int kRepetitions = 3;
constexpr int kChanges = 30;
constexpr std::chrono::milliseconds kRest{
    60};  // lists that come sooner are put off (app/membership_source.cpp)
constexpr std::chrono::seconds kMostWait{30};
constexpr std::chrono::milliseconds kOneWait{100};

proxy::ListedEndpoint ListedOf(int index) {
  proxy::ListedEndpoint listed;
  listed.name = BackendName(index);
  listed.zone = ZoneName(index % kZones);
  listed.kind = "standard";
  listed.address = http_api::ParseAddress(BackendAddress(index));
  listed.group = index / 16;
  listed.since_ms = 1.79e12 + index * 1000.0;
  return listed;
}

std::vector<proxy::ListedEndpoint> ListedUpTo(int count) {
  std::vector<proxy::ListedEndpoint> listed;
  for (int i = 0; i < count; ++i) listed.push_back(ListedOf(i));
  return listed;
}

// Everything between the source of the list and the module. Discovery is the authority, so that whole lists
// can be handed in without a connection; the way through the ledger is the same as for etcd's.
class ProxyRig {
 public:
  explicit ProxyRig(bool with_ledger, bool with_regions)
      : config_(ConfigurationOf(0)),
        backends_(io_, clock_, proxy::BackendPool::Limits::From(config_)),
        proxy_(io_, clock_, backends_, config_),
        reader_(config_) {
    if (with_regions) {
      operator_config::ZoneFailoverSettings settings;
      settings.coordinated = false;
      settings.zones = config_.zones;
      regions_.emplace(io_, clock_, config_, settings, [](std::vector<double>) {});
      proxy_.SetTrafficObserver(&*regions_);
    }
    if (!with_ledger) return;
    operator_config::EtcdSettings settings;
    settings.endpoints = {"127.0.0.1:1"};
    settings.is_authoritative = false;
    membership_.emplace(
        io_, config_, settings,
        [this](const proxy::EndpointList& list) { proxy_.UpdateList(proxy::EndpointListKind::kDelta, list); },
        [] {});
  }

  struct Cost {
    double cpu_ms = 0;
    double longest_ms = 0;  // of one event: for so long the loop does nothing else
  };

  // Until the pool holds `pooled` backends: what is put off, to leave the loop to others, is waited for.
  Cost Take(bool whole, const std::vector<proxy::ListedEndpoint>& listed, std::size_t pooled) {
    Cost cost;
    Measure(&cost, [&] {
      const proxy::EndpointList list = reader_.Take(whole, ++index_, listed);
      if (membership_) {
        membership_->Discovered(list);
      } else {
        proxy_.UpdateList(whole ? proxy::EndpointListKind::kFull : proxy::EndpointListKind::kDelta, list);
      }
    });
    const auto give_up = std::chrono::steady_clock::now() + kMostWait;
    RunReady();
    while (backends_.known() != pooled && std::chrono::steady_clock::now() < give_up) RunOne(&cost);
    return cost;
  }

  std::size_t pooled() const { return backends_.known(); }
  proxy_main::MembershipSource* membership() { return membership_ ? &*membership_ : nullptr; }

 private:
  template <typename Work>
  static void Measure(Cost* cost, Work work) {
    const double before = ThreadCpuMs();
    work();
    const double took = ThreadCpuMs() - before;
    cost->cpu_ms += took;
    cost->longest_ms = std::max(cost->longest_ms, took);
  }

  // What is due, such as timers, and is no part of the cost.
  void RunReady() {
    if (io_.stopped()) io_.restart();
    io_.poll();
  }

  void RunOne(Cost* cost) {
    if (io_.stopped()) io_.restart();
    Measure(cost, [&] { io_.run_one_for(kOneWait); });
  }

  boost::asio::io_context io_{1};
  proxy::ProxyClock clock_;
  proxy::Config config_;
  proxy::BackendPool backends_;
  proxy::Proxy proxy_;
  proxy::EndpointListReader reader_;
  std::optional<proxy_main::ZoneFailoverSource> regions_;
  std::optional<proxy_main::MembershipSource> membership_;
  std::uint64_t index_ = 0;
};

double ReaderBytes(const proxy::Config& config, const std::vector<proxy::ListedEndpoint>& listed) {
  const std::size_t before = LiveBytes();
  proxy::EndpointListReader reader(config);
  reader.Take(true, 1, listed);
  return static_cast<double>(LiveBytes() - before);
}

double PoolBytes(const proxy::Config& config, const std::vector<proxy::ListedEndpoint>& listed) {
  boost::asio::io_context io(1);
  proxy::ProxyClock clock;
  proxy::EndpointListReader reader(config);
  const proxy::EndpointList list = reader.Take(true, 1, listed);
  proxy::BackendPool backends(io, clock, proxy::BackendPool::Limits::From(config));
  const std::size_t before = LiveBytes();
  backends.Update(list);
  return static_cast<double>(LiveBytes() - before);
}

double ChangeUs(ProxyRig& rig, int size) {
  double took = 0;
  std::this_thread::sleep_for(kRest);
  for (int i = 0; i < kChanges; ++i) {
    proxy::ListedEndpoint one = ListedOf(i * 97 % size);
    one.state = i % 2 ? proxy::BackendState::kReady : proxy::BackendState::kDraining;
    const double ms = rig.Take(false, {one}, static_cast<std::size_t>(size)).cpu_ms;
    took += ms;
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(1 + 10 * ms));
  }
  return took * 1000 / kChanges;
}

}  // namespace

boost::json::value DescribedMembers(int backends) {
  ProxyRig rig(true, false);
  rig.Take(true, ListedUpTo(backends), static_cast<std::size_t>(backends));
  return rig.membership()->Describe();
}

void MeasureProxy(Report& report) {
  Series reader("proxy: names and ids, memory", "bytes", "backends");
  Series pool("proxy: pool, memory", "bytes", "backends");
  Series plain("proxy: all without ledger, memory", "bytes", "backends");
  Series all("proxy: all with ledger and regions, memory", "bytes", "backends");
  Series peak("proxy: all with ledger and regions, memory at the peak of a whole list", "bytes", "backends");
  Series whole("proxy: a whole list from source to module, CPU", "ms", "backends");
  Series longest("proxy: the longest event of that, CPU", "ms", "backends");
  Series change("proxy: one change from source to module, CPU", "us", "backends");
  Series described("proxy: the ledger described for people, JSON", "bytes", "backends");
  Series describing("proxy: the ledger described for people, CPU", "ms", "backends");
  const proxy::Config config = ConfigurationOf(0);
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    for (const int size : kSizes) {
      const std::vector<proxy::ListedEndpoint> listed = ListedUpTo(size);
      reader.Add(size, ReaderBytes(config, listed));
      pool.Add(size, PoolBytes(config, listed));
      {
        const std::size_t before = LiveBytes();
        ProxyRig rig(false, false);
        rig.Take(true, listed, listed.size());
        plain.Add(size, static_cast<double>(LiveBytes() - before));
        report.checks.Expect(rig.pooled() == listed.size(), "proxy: backends are missing");
      }
      const std::size_t before = LiveBytes();
      ResetPeak();
      ProxyRig rig(true, true);
      const ProxyRig::Cost cost = rig.Take(true, listed, listed.size());
      whole.Add(size, cost.cpu_ms);
      longest.Add(size, cost.longest_ms);
      all.Add(size, static_cast<double>(LiveBytes() - before));
      peak.Add(size, static_cast<double>(PeakBytes() - before));
      report.checks.Expect(rig.pooled() == listed.size(), "proxy: backends are missing behind the ledger");
      change.Add(size, ChangeUs(rig, size));
      const double began = ThreadCpuMs();
      const std::string text = boost::json::serialize(rig.membership()->Describe());
      describing.Add(size, ThreadCpuMs() - began);
      described.Add(size, static_cast<double>(text.size()));
    }
  }
  report.Fit(reader, "proxy_names_bytes_per_backend");
  report.Fit(pool, "proxy_pool_bytes_per_backend");
  report.Fit(plain, "proxy_plain_bytes_per_backend");
  report.Fit(all, "proxy_all_bytes_per_backend");
  report.Fit(peak, "proxy_peak_bytes_per_backend");
  report.Fit(whole, "proxy_whole_list_ms_per_backend", Weighting::kAbsolute);
  report.Fit(longest, "proxy_longest_event_ms_per_backend", Weighting::kAbsolute);
  report.Fit(change, "proxy_change_us_per_backend", Weighting::kAbsolute);
  report.Figure("proxy_change_us", change.Points().back().y, "proxy: one change at the largest size, us");
  report.Fit(described, "proxy_described_bytes_per_backend");
  report.Fit(describing, "proxy_described_ms_per_backend", Weighting::kAbsolute);
}

}  // namespace badgerbridge::bench
