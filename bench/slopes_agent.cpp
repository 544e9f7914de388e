// SPDX-License-Identifier: Apache-2.0
//
// badgerbridge-agent with 1 to 20 instances, as processes: its memory and its CPU when nothing happens, its
// status, and what badgerbridge-ctl needs to show it. Two backends; no load.
#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <filesystem>

#include "slopes.h"
#include "standins/site.h"

namespace badgerbridge::bench {
namespace {

using std::chrono::milliseconds;

constexpr int kSizes[] = {1, 5, 10, 20};
constexpr milliseconds kIdle{5000};
constexpr int kCalls = 5;

double ChildrenCpuMs() {
  rusage usage{};
  getrusage(RUSAGE_CHILDREN, &usage);
  const auto ms = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_usec) / 1e3;
  };
  return ms(usage.ru_utime) + ms(usage.ru_stime);
}

double Descriptors(pid_t pid) {
  std::error_code none;
  double count = 0;
  for ([[maybe_unused]] const auto& one :
       std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", none))
    ++count;
  return count;
}

}  // namespace

void MeasureAgent(Report& report) {
  Series memory("agent: resident memory", "MB", "instances");
  Series cpu("agent: CPU when nothing happens, share of a core", "%", "instances");
  Series descriptors("agent: descriptors", "descriptors", "instances");
  Series status("agent: its status, JSON", "bytes", "instances");
  Series tool("badgerbridge-ctl status: CPU of the tool", "ms", "instances");
  Series proxy("proxy: resident memory with two backends", "MB", "instances of the agent");
  Series proxy_descriptors("proxy: descriptors with two backends", "descriptors", "instances of the agent");
  for (const int instances : kSizes) {
    boost::asio::io_context io(1);
    standins::SiteSettings settings;
    settings.proxies = instances;
    settings.backends = 2;
    standins::Site site(io, settings);
    site.StartAgent();
    report.checks.Expect(site.Until([&] { return site.All("ready"); }),
                         "agent: not all instances became ready");
    site.For(milliseconds(2000));
    const double before = CpuMs(site.agent());
    site.For(kIdle);
    cpu.Add(instances, (CpuMs(site.agent()) - before) / static_cast<double>(kIdle.count()) * 100);
    memory.Add(instances, ResidentMb(site.agent()));
    descriptors.Add(instances, Descriptors(site.agent()));
    proxy.Add(instances, ResidentMb(site.PidOf(site.Name(0))));
    proxy_descriptors.Add(instances, Descriptors(site.PidOf(site.Name(0))));
    for (int call = 0; call < kCalls; ++call) {
      const http_api::Reply reply = site.Call("GET", "/v1/status");
      report.checks.Expect(reply.ok(), "agent: no status");
      status.Add(instances, static_cast<double>(boost::json::serialize(reply.body).size()));
      const double used = ChildrenCpuMs();
      report.checks.Expect(site.Ctl({"status"}).code == 0, "badgerbridge-ctl status fails");
      tool.Add(instances, ChildrenCpuMs() - used);
    }
  }
  report.Fit(memory, "agent_mb_per_instance", Weighting::kAbsolute);
  report.Fit(cpu, "agent_cpu_percent_per_instance", Weighting::kAbsolute);
  report.Fit(descriptors, "agent_descriptors_per_instance", Weighting::kAbsolute);
  report.Fit(status, "agent_status_bytes_per_instance");
  report.Fit(tool, "tool_status_ms_per_instance", Weighting::kAbsolute);
  const std::vector<Point> proxies = proxy.Points();
  report.Figure("proxy_empty_mb", proxies.back().y, "proxy: resident memory with two backends, MB");
  report.Figure("proxy_empty_descriptors", proxy_descriptors.Points().back().y,
                "proxy: its descriptors, idle");
}

}  // namespace badgerbridge::bench
