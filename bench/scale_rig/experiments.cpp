// SPDX-License-Identifier: Apache-2.0
#include "scale_rig/experiments.h"

#include <chrono>
#include <cstdio>

#include "scale_rig/json.h"
#include "scale_rig/real_proxies.h"

namespace badgerbridge::scale {
namespace {

using bench::Point;
using std::chrono::milliseconds;

constexpr milliseconds kIdle{2000}, kWriteEvery{25}, kRealListTimeout{30000};
constexpr std::size_t kChanges = 40, kDrains = 10, kSlowReaders = 4, kZoneThatGoes = 5;

// What every size is measured by.
struct Basics {
  StartResult start;
  Usage idle;
  SpreadResult changes;
  double source_mb = 0;
};

Basics MeasureBasics(Trial& trial, milliseconds idle, std::size_t changes) {
  const std::string& name = trial.settings().name;
  const std::size_t proxies = trial.settings().size.proxies;
  Basics basics;
  basics.start = trial.Start();
  PrintStart(name + ", start", basics.start, proxies);
  basics.idle = trial.Idle(idle);
  PrintUsage(name + ", idle", basics.idle, proxies);
  basics.changes = trial.Write(changes, "change", kWriteEvery);
  PrintSpread(name + ", changes", basics.changes);
  PrintUsage(name + ", while changes", basics.changes.usage, proxies);
  basics.source_mb = trial.source_memory_mb();
  return basics;
}

std::string Described(const TrialSettings& settings) {
  const Size& size = settings.size;
  std::string text =
      std::to_string(size.proxies) + " proxies, " + std::to_string(size.backends) + " backends";
  if (!size.flat())
    text +=
        ", " + std::to_string(size.services_per_proxy) + " of " + std::to_string(size.services) + " services";
  if (settings.relays)
    text += ", relays " + std::to_string(settings.first_tier) + "+" + std::to_string(settings.second_tier);
  return text;
}

TrialSettings Sized(std::size_t proxies, std::size_t backends, std::size_t ledgers, std::size_t processes) {
  TrialSettings settings;
  settings.size.proxies = proxies;
  settings.size.backends = backends;
  settings.size.ledgers = ledgers;
  settings.processes = processes;
  settings.name = Described(settings);
  return settings;
}

void SetSpread(const std::string& key, const SpreadResult& result, Report* report) {
  report->Set(key + "_p50_ms", result.in_force_ms.p50);
  report->Set(key + "_p99_ms", result.in_force_ms.p99);
  report->Set(key + "_worst_ms", result.in_force_ms.worst);
}

void SetBasics(const Basics& basics, const Size& size, Report* report) {
  const auto proxies = static_cast<double>(size.proxies);
  report->Set("proxies", proxies);
  report->Set("backends", static_cast<double>(size.backends));
  report->Set("ready", static_cast<double>(basics.start.ready));
  report->Set("start_all_ms", basics.start.all_ms);
  report->Set("ready_p50_ms", basics.start.each_ms.p50);
  report->Set("ready_p99_ms", basics.start.each_ms.p99);
  report->Set("ready_worst_ms", basics.start.each_ms.worst);
  report->Set("start_kb_per_proxy", basics.start.received_per_proxy / 1024);
  report->Set("start_calls", basics.start.calls);
  report->Set("start_opened", basics.start.opened);
  report->Set("proxy_kb", basics.start.memory_per_proxy_kb);
  report->Set("proxy_resident_kb", basics.start.resident_per_proxy_kb);
  report->Set("idle_cpu_ms_per_proxy_s", basics.idle.proxies_cpu_ms / proxies / basics.idle.seconds);
  report->Set("idle_bytes_in_per_proxy_s", basics.idle.proxies_received / proxies / basics.idle.seconds);
  report->Set("idle_calls_s", basics.idle.calls / basics.idle.seconds);
  report->Set("source_idle_cpu_ms_s", basics.idle.source_cpu_ms / basics.idle.seconds);
  SetSpread("change", basics.changes, report);
  report->Set("change_last_p50_ms", basics.changes.last_ms.p50);
  report->Set("change_publish_p50_ms", basics.changes.publish_ms.p50);
}

// The bad moments, one after the other; the state is compared with the source's after each.
void TakeThroughFaults(Trial& trial, Report* report) {
  const std::string& name = trial.settings().name;
  const SpreadResult drains = trial.Write(kDrains, "drain", kWriteEvery);
  PrintSpread(name + ", drains", drains);
  SetSpread("drain", drains, report);
  const SpreadResult gone = trial.Zone(kZoneThatGoes, true);
  PrintSpread(name + ", a zone's backends go", gone);
  SetSpread("zone_gone", gone, report);
  std::size_t differ =
      trial.Check();  // before they come back: a deletion that was missed would not show then
  const SpreadResult back = trial.Zone(kZoneThatGoes, false);
  PrintSpread(name + ", and come back", back);
  SetSpread("zone_back", back, report);
  differ += trial.Check();
  SpreadResult drain;
  const StartResult tenth = trial.RestartTenth(&drain);
  PrintStart(name + ", a tenth starts at once", tenth, (trial.settings().size.proxies + 9) / 10);
  PrintSpread(name + ", a drain meanwhile", drain);
  report->Set("tenth_all_ms", tenth.all_ms);
  report->Set("tenth_ready_worst_ms", tenth.each_ms.worst);
  report->Set("tenth_drain_worst_ms", drain.in_force_ms.worst);
  differ += trial.Check();
  const SpreadResult cut = trial.CutEndpoint();
  PrintSpread(name + ", the endpoint in use is cut off, a drain", cut);
  report->Set("cut_drain_worst_ms", cut.in_force_ms.worst);
  differ += trial.Check();
  trial.AddSlowReaders(kSlowReaders);
  const SpreadResult slow = trial.Write(kChanges, "change", kWriteEvery);
  PrintSpread(name + ", changes beside slow readers", slow);
  SetSpread("slow_change", slow, report);
  differ += trial.Check();
  report->Set("differ", static_cast<double>(differ));
}

void PrintSourceSpeed(Trial& trial, Report* report) {
  const auto speed = trial.SourceSpeed();
  std::printf(
      "rig: the source alone makes a page of 1,000 in %.2f ms, %.0f entries a second of %.0f bytes, on one "
      "thread\n",
      NumberAt(speed, "page_ms"), NumberAt(speed, "entries_per_second"), NumberAt(speed, "bytes_per_entry"));
  report->Set("rig_source_entries_s", NumberAt(speed, "entries_per_second"));
  report->Set("entry_bytes", NumberAt(speed, "bytes_per_entry"));
}

struct Step {
  Size size;
  Basics basics;
};

void ReportProxySlopes(const std::vector<Step>& steps, Report* report) {
  std::vector<Point> idle, change, publish, last, memory, calls;
  for (const Step& step : steps) {
    const auto x = static_cast<double>(step.size.proxies);
    const Usage& used = step.basics.changes.usage;
    const double idle_cpu = step.basics.idle.source_cpu_ms / step.basics.idle.seconds;
    idle.push_back({x, idle_cpu});
    change.push_back({x, (used.source_cpu_ms - idle_cpu * used.seconds) /
                             static_cast<double>(step.basics.changes.writes)});
    publish.push_back({x, step.basics.changes.publish_ms.p50});
    last.push_back({x, step.basics.changes.last_ms.p50});
    memory.push_back({x, step.basics.source_mb * 1024});
    calls.push_back({x, step.basics.start.calls});
  }
  PrintSlope("the source's CPU while idle", "ms/s a proxy", "slope_source_idle_ms", idle, report);
  PrintSlope("the source's CPU for a change", "ms a proxy", "slope_source_change_ms", change, report);
  PrintSlope("the source's time to write a change to all", "ms a proxy", "slope_publish_ms", publish, report);
  PrintSlope("a change's time to the last proxy", "ms a proxy", "slope_last_ms", last, report);
  PrintSlope("the source's memory", "KB a proxy", "slope_source_kb", memory, report);
  PrintSlope("calls at the source for a start", "a proxy", "slope_start_calls", calls, report);
}

void ReportBackendSlopes(const std::vector<Step>& steps, Report* report) {
  std::vector<Point> bytes, cpu, ready, ledger;
  for (const Step& step : steps) {
    const auto x = static_cast<double>(step.size.backends);
    bytes.push_back({x, step.basics.start.received_per_proxy});
    cpu.push_back({x, step.basics.start.proxies_cpu_ms});
    ready.push_back({x, step.basics.start.each_ms.p50});
    ledger.push_back({x, step.basics.start.memory_per_ledger_kb * 1024});
  }
  PrintSlope("a proxy's bytes at its start", "bytes a backend", "slope_start_bytes", bytes, report);
  PrintSlope("a proxy's CPU at its start", "ms a backend", "slope_start_cpu_ms", cpu, report);
  PrintSlope("a proxy's time until ready", "ms a backend", "slope_ready_ms", ready, report);
  PrintSlope("a ledger's memory", "bytes a backend", "slope_ledger_bytes", ledger, report);
}

std::vector<Step> MeasureSteps(const std::vector<TrialSettings>& sizes, milliseconds idle,
                               std::size_t changes, bench::Checks* checks) {
  std::vector<Step> steps;
  for (const TrialSettings& settings : sizes) {
    Trial trial(settings, checks);
    steps.push_back({settings.size, MeasureBasics(trial, idle, changes)});
    trial.Check();
  }
  return steps;
}

// Whole proxies that follow the same prefix: their list at the end, what they cost.
void MeasureRealProxies(Trial& trial, std::size_t count, Report* report, bench::Checks* checks) {
  RealProxies real(count, trial.endpoints(), WholePrefix(trial.settings().size));
  const auto has_list = [&] {
    return real.AwaitList(trial.source_revision(), trial.settings().size.backends, kRealListTimeout);
  };
  checks->Expect(has_list(), "whole proxies have not the source's list in time");
  const double before = real.cpu_ms();
  const auto began = std::chrono::steady_clock::now();
  trial.Write(kChanges, "change", kWriteEvery);
  checks->Expect(has_list(), "whole proxies have not the source's changes in time");
  const double ms = (real.cpu_ms() - before) / static_cast<double>(count * kChanges);
  const double mb = Summarize(real.memory_mb()).worst;
  std::printf(
      "%zu whole proxies with %zu backends: %.1f MB resident at most, %.2f ms of CPU a change (%.1f s, %zu "
      "changes)\n",
      count, trial.settings().size.backends, mb, ms, bench::Since(began) / 1e3, kChanges);
  report->Set("real_proxies", static_cast<double>(count));
  report->Set("real_proxy_mb", mb);
}

void RunWhole(const TrialSettings& settings, std::size_t real_proxies, Report* report,
              bench::Checks* checks) {
  Trial trial(settings, checks);
  PrintSourceSpeed(trial, report);
  SetBasics(MeasureBasics(trial, kIdle, kChanges), settings.size, report);
  trial.Check();
  if (real_proxies > 0) MeasureRealProxies(trial, real_proxies, report, checks);
  TakeThroughFaults(trial, report);
}

// The same steps with two tiers of relays between; the endpoint that is cut off is a relay that stands still.
void RunBehindRelays(TrialSettings settings, Report* report, bench::Checks* checks) {
  if (!RelayProcesses::Available()) {
    std::printf("no badgerbridge-relay beside this program: the trial with relays is left out\n");
    return;
  }
  settings.relays = true;
  settings.name = Described(settings);
  report->UsePrefix("relay_");
  RunWhole(settings, 0, report, checks);
}

}  // namespace

void RunSingle(const TrialSettings& given, Report* report, bench::Checks* checks) {
  TrialSettings settings = given;
  settings.name = Described(settings);
  RunWhole(settings, 0, report, checks);
}

void RunSmall(Report* report, bench::Checks* checks) {
  const std::vector<Step> by_proxies =
      MeasureSteps({Sized(10, 300, 0, 2), Sized(20, 300, 0, 2), Sized(30, 300, 0, 2), Sized(40, 300, 0, 2)},
                   milliseconds(500), 10, checks);
  ReportProxySlopes(by_proxies, report);
  const std::vector<Step> by_backends =
      MeasureSteps({Sized(4, 2000, 2, 1), Sized(4, 4000, 2, 1), Sized(4, 6000, 2, 1), Sized(4, 8000, 2, 1)},
                   milliseconds(200), 10, checks);
  ReportBackendSlopes(by_backends, report);
  RunWhole(Sized(60, 500, 2, 2), 1, report, checks);
  RunBehindRelays(Sized(60, 500, 2, 2), report, checks);
}

void RunFull(Report* report, bench::Checks* checks) {
  const std::vector<Step> by_proxies = MeasureSteps(
      {Sized(125, 1000, 0, 4), Sized(250, 1000, 0, 4), Sized(500, 1000, 0, 4), Sized(1000, 1000, 0, 4)},
      kIdle, kChanges, checks);
  ReportProxySlopes(by_proxies, report);
  const std::vector<Step> by_backends = MeasureSteps(
      {Sized(4, 10000, 2, 1), Sized(4, 30000, 2, 1), Sized(4, 60000, 2, 1), Sized(4, 110000, 2, 1)},
      milliseconds(500), 10, checks);
  ReportBackendSlopes(by_backends, report);
  RunWhole(Sized(1000, 2000, 0, 4), 3, report, checks);
  // All backends of an installation, each proxy with the service that it serves.
  TrialSettings services = Sized(1000, 110000, 0, 4);
  services.size.services = 6500;
  services.size.services_per_proxy = 1;
  services.name = Described(services);
  report->UsePrefix("services_");
  RunWhole(services, 0, report, checks);
  TrialSettings relays = Sized(1000, 2000, 0, 4);
  relays.second_tier = 4;
  RunBehindRelays(relays, report, checks);
}

void RunComparison(const TrialSettings& given, Report* report, bench::Checks* checks) {
  for (const bool relays : {false, true}) {
    if (relays && !RelayProcesses::Available()) {
      std::printf("no badgerbridge-relay beside this program: the trial with relays is left out\n");
      return;
    }
    TrialSettings settings = given;
    settings.relays = relays;
    settings.name = Described(settings);
    Trial trial(settings, checks);
    const std::string key = relays ? "relay_" : "direct_";
    const Basics basics = MeasureBasics(trial, kIdle, kChanges);
    const SpreadResult gone = trial.Zone(kZoneThatGoes, true);
    PrintSpread(settings.name + ", a zone's backends go", gone);
    trial.Check();
    const auto proxies = static_cast<double>(settings.size.proxies);
    report->Set(key + "ready_all_ms", basics.start.all_ms);
    report->Set(key + "ready_p99_ms", basics.start.each_ms.p99);
    report->Set(key + "start_calls", basics.start.calls);
    report->Set(key + "start_source_kb", basics.start.source_sent / 1024);
    report->Set(key + "start_source_cpu_ms", basics.start.source_cpu_ms);
    report->Set(key + "start_kb_per_proxy", basics.start.received_per_proxy / 1024);
    report->Set(key + "proxy_kb", basics.start.memory_per_proxy_kb);
    report->Set(key + "idle_bytes_in_per_proxy_s",
                basics.idle.proxies_received / proxies / basics.idle.seconds);
    report->Set(key + "idle_calls_s", basics.idle.calls / basics.idle.seconds);
    report->Set(key + "source_idle_cpu_ms_s", basics.idle.source_cpu_ms / basics.idle.seconds);
    report->Set(key + "relays_mb", trial.relays_memory_mb());
    report->Set(key + "change_p99_ms", basics.changes.in_force_ms.p99);
    report->Set(key + "change_last_worst_ms", basics.changes.last_ms.worst);
    report->Set(key + "zone_last_ms", gone.last_ms.worst);
  }
}

}  // namespace badgerbridge::scale
