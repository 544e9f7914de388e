// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/run.h"

#include <algorithm>
#include <map>
#include <utility>

#include "multiprocess/clock.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr double kSettleMs = 1500;  // after the load's end, for what is in flight
constexpr int kLoadStepMs = 2;
constexpr double kMaxQuotaCheckIntervalMs = 1000;  // on average: quotas that are rarely checked prove nothing

std::unique_ptr<EtcdCluster> StartEtcd(RunContext& context) {
  if (context.model.multiprocess.etcd_members <= 0) return nullptr;
  return std::make_unique<EtcdCluster>(context);
}

double MaxDeadlineMs(const simulator::Model& model) {
  double max_ms = 0;
  for (const simulator::ClassModel& request_class : model.classes)
    max_ms = std::max(max_ms, request_class.rules.deadline.count());
  return max_ms;
}

}  // namespace

MultiprocessRun::MultiprocessRun(boost::asio::io_context& io, simulator::Model model, std::uint64_t seed,
                                 RunPrograms programs)
    : context_(io, std::move(model), seed, std::move(programs)),
      backends_(context_),
      links_(context_),
      discovery_(context_, "discovery", "discovery"),
      etcd_(StartEtcd(context_)),
      watch_caches_(context_),
      proxies_(context_, backends_, watch_caches_, etcd_.get()),
      publisher_(context_, discovery_, etcd_.get(), proxies_),
      stalls_(context_, proxies_) {}

RunOutcome MultiprocessRun::Play() {
  AwaitRoles();
  OpenLinks();
  StartInstallation();
  if (context_.model.multiprocess.runs_zone_failover) MonitorZoneFailover();
  BeginLoad();
  PlayLoad();
  EndLoad();
  if (zone_failover_monitor_) StopMonitoring();
  proxies_.RecordOpenDisruptions();
  CollectRecords();
  proxies_.Stop();
  watch_caches_.Stop();
  return TakeOutcome();
}

void MultiprocessRun::AwaitRoles() {
  discovery_.Send(BeginDiscovery{proxies_.Names()});
  context_.WaitUntil(
      [&] {
        return backends_.IsReady() && links_.process().is_ready() && discovery_.is_ready() &&
               (!etcd_ || etcd_->process().is_ready());
      },
      "all roles are ready");
}

void MultiprocessRun::OpenLinks() {
  backends_.OpenLinks(links_);
  proxies_.OpenLinks(links_, discovery_.addresses());
  if (etcd_) etcd_->OpenLinks(links_);
  watch_caches_.OpenLinks(links_, etcd_ ? etcd_->addresses() : std::vector<std::string>{});
  links_.Apply();
}

void MultiprocessRun::StartInstallation() {
  for (const Backend& backend : backends_.backends()) publisher_.Publish(backend);
  watch_caches_.Start();
  proxies_.Start();
  clients_ = std::make_unique<ClientFleet>(context_, proxies_);
  clients_->AwaitProxies();
  clients_->StartDirectClients();
}

// Notes what all proxies report of zone failover, and waits for the first decision.
void MultiprocessRun::MonitorZoneFailover() {
  std::vector<std::string> zones;
  for (int zone = 0; zone < context_.model.zones; ++zone) zones.push_back(ZoneName(zone));
  std::map<std::string, std::string> sockets;
  for (const std::string& name : proxies_.Names()) sockets[name] = PathOfProxyFile(context_, name, ".sock");
  zone_failover_monitor_ = std::make_unique<ZoneFailoverMonitor>(
      context_.io, zones, sockets, [this](const std::string& change) { context_.Note(change); });
  zone_failover_monitor_->Start();
  context_.WaitUntil([&] { return zone_failover_monitor_->epoch() > 0; },
                     "there is a leader of zone failover");
}

void MultiprocessRun::StopMonitoring() {
  zone_failover_monitor_->Stop();
  for (const std::string& line : zone_failover_monitor_->Describe()) context_.Note(line);
  const std::size_t checks = zone_failover_monitor_->complete_checks();
  if (static_cast<double>(checks) < context_.model.duration_ms / kMaxQuotaCheckIntervalMs)
    context_.AddFault(ProcessFaultKind::kFewQuotaChecks, "", std::to_string(checks));
}

void MultiprocessRun::BeginLoad() {
  context_.BeginLoad();
  context_.Note("the load begins, " + std::to_string(context_.processes_started) + " processes");
  nemesis_ = std::make_unique<Nemesis>(
      context_, NemesisTargets{backends_, links_, discovery_, etcd_.get(), watch_caches_, proxies_,
                               publisher_, *clients_, stalls_});
  nemesis_->Start();
  clients_->SendAll(StartLoad{});
  if (context_.model.multiprocess.stalls_proxies) stalls_.Start();
}

void MultiprocessRun::PlayLoad() {
  const double max_deadline_ms = MaxDeadlineMs(context_.model);
  while (NowMs() < context_.load_began_ms + context_.model.duration_ms) {
    context_.RunEvents(kLoadStepMs);
    context_.schedule.RunDue();
    proxies_.CheckEnded(max_deadline_ms);
    watch_caches_.CheckEnded();
  }
}

void MultiprocessRun::EndLoad() {
  context_.Note("the load ends");
  stalls_.Stop();
  clients_->SendAll(StopLoad{});
  const double settled_ms = NowMs() + kSettleMs;
  context_.WaitUntil([&] { return NowMs() > settled_ms; }, "requests in flight end");
}

// The clients' first: what they still have in flight ends meanwhile.
void MultiprocessRun::CollectRecords() {
  clients_->SendAll(ReportRecords{});
  context_.WaitUntil([&] { return clients_->HaveReported(); }, "the records of the clients");
  std::vector<RoleProcess*> roles{&discovery_, &links_.process()};
  if (etcd_) roles.push_back(&etcd_->process());
  for (const auto& process : backends_.processes()) roles.push_back(process.get());
  for (RoleProcess* role : roles) role->Send(ReportRecords{});
  context_.WaitUntil(
      [&] {
        return std::all_of(roles.begin(), roles.end(),
                           [](RoleProcess* role) { return role->has_reported(); });
      },
      "the records of all roles");
}

RunOutcome MultiprocessRun::TakeOutcome() {
  RunOutcome outcome;
  outcome.verdict = Judge(RulesFrom(context_.model), context_.history);
  outcome.seconds = SummarizeSeconds(context_.history.requests, context_.load_began_ms);
  outcome.processes = context_.processes_started;
  outcome.timeline = std::move(context_.timeline);
  outcome.faults = std::move(context_.faults);
  if (etcd_) outcome.audit = etcd_->audit();
  if (zone_failover_monitor_) {
    outcome.epoch = zone_failover_monitor_->epoch();
    outcome.max_quota_ratio = zone_failover_monitor_->max_quota_ratio();
  }
  outcome.restart_times_ms = proxies_.restart_times_ms();
  outcome.stalls = stalls_.stalls();
  outcome.stalls_at_work = stalls_.stalls_at_work();
  return outcome;
}

}  // namespace badgerbridge::multiprocess
