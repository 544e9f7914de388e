// SPDX-License-Identifier: Apache-2.0
//
// bench/fleet: twenty instances on one machine under stand-in load, drained together; again with one of them
// stopped; what status, an idle agent and a polled control socket cost. About a minute; ends with one line
// of figures, exit 1 if an invariant broke or a figure was missed.
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "measure.h"
#include "standins/site.h"

namespace {

using namespace badgerbridge;
using namespace badgerbridge::bench;
using namespace badgerbridge::standins;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kInstances = 20;

// How long each instance took under an order, by badgerbridge-ctl's own account.
std::map<std::string, double> Times(const CommandResult& result,
                                    std::map<std::string, std::string>* results) {
  std::map<std::string, double> times;
  const boost::json::value answer = boost::json::parse(result.out);
  for (const auto& agent : answer.as_array()) {
    for (const auto& part : agent.at("order").at("instances").as_array()) {
      const std::string name(part.at("instance").as_string());
      times[name] = part.at("took_ms").to_number<double>() / 1000;
      if (results)
        (*results)[name] =
            std::string(part.at("result").as_string()) + ": " + std::string(part.at("text").as_string());
    }
  }
  return times;
}

double Slowest(const std::map<std::string, double>& times) {
  double slowest = 0;
  for (const auto& [name, time] : times) slowest = std::max(slowest, time);
  return slowest;
}

}  // namespace

int main() {
  signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  boost::asio::io_context io(1);
  SiteSettings settings;
  settings.proxies = kInstances;
  settings.backends = 10;
  settings.service = milliseconds(60);
  Site site(io, settings);
  Checks checks;
  std::cout << "starting " << kInstances << " instances" << std::endl;
  const auto begin = Clock::now();
  site.StartAgent();
  checks.Expect(site.Until([&] { return site.All("ready"); }), "not all instances became ready");
  std::printf("ready after %.1f s\n", std::chrono::duration<double>(Clock::now() - begin).count());

  // What it costs to do nothing, before any load.
  site.For(milliseconds(2000));
  const double idle_before = CpuMs(site.agent());
  site.For(milliseconds(20000));
  const double idle_percent = (CpuMs(site.agent()) - idle_before) / 20000 * 100;
  const double agent_mb = ResidentMb(site.agent());
  std::printf("idle agent: %.2f %% of a core over 20 s, %.1f MB\n", idle_percent, agent_mb);
  checks.Expect(agent_mb < 16, "an idle agent holds 16 MB or more");
  checks.Expect(idle_percent < 0.5, "an idle agent uses CPU");

  std::vector<double> status_ms;
  std::vector<double> tool_ms;
  for (int i = 0; i < 15; ++i) {
    const auto at = Clock::now();
    checks.Expect(site.Call("GET", "/v1/status").ok(), "no status");
    status_ms.push_back(std::chrono::duration<double, std::milli>(Clock::now() - at).count());
    const CommandResult tool = site.Ctl({"status"});
    checks.Expect(tool.code == 0, "badgerbridge-ctl status: " + tool.err);
    tool_ms.push_back(static_cast<double>(tool.took.count()));
  }
  std::sort(status_ms.begin(), status_ms.end());
  std::sort(tool_ms.begin(), tool_ms.end());
  std::printf("status of %d: %.1f ms by a call (median; %.1f to %.1f), %.0f ms by the tool (%.0f to %.0f)\n",
              kInstances, status_ms[7], status_ms.front(), status_ms.back(), tool_ms[7], tool_ms.front(),
              tool_ms.back());
  checks.Expect(tool_ms[7] < 100, "a status takes 100 ms or more");

  // Under load from here on.
  Load load;
  load.per_second = 300;
  auto clients = std::make_unique<Clients>(io, site.addresses(), load);
  checks.Expect(site.Until([&] { return clients->ready() == kInstances; }), "the front did not take all in");
  clients->Start();
  site.For(milliseconds(3000));

  // The control socket polled once a second, against the same proxy's CPU under the same load without.
  const pid_t polled = site.PidOf("n1"), alone = site.PidOf("n2");
  const double polled_before = CpuMs(polled), alone_before = CpuMs(alone);
  for (int i = 0; i < 20; ++i) {
    boost::asio::co_spawn(
        io, http_api::CallUnix(site.folder() + "/n1.sock", "GET", "/v1/status", "", milliseconds(1000)),
        [](std::exception_ptr, http_api::Reply) {});
    site.For(milliseconds(1000));
  }
  const double poll_percent = (CpuMs(polled) - polled_before - (CpuMs(alone) - alone_before)) / 20000 * 100;
  std::printf("control socket polled once a second: %+.2f %% of a core beyond its neighbour's %.2f %%\n",
              poll_percent, (CpuMs(alone) - alone_before) / 20000 * 100);
  checks.Expect(poll_percent < 1, "a polled control socket costs 1 % or more");

  // Each alone, then all together.
  double alone_s = 0;
  for (const char* name : {"n3", "n9", "n14", "n18", "n20"}) {
    const CommandResult drained = site.Ctl({"drain", name, "-o", "json"});
    checks.Expect(drained.code == 0, "drain alone: " + drained.err + drained.out);
    const double took = Slowest(Times(drained, nullptr));
    std::printf("%s alone: %.2f s\n", name, took);
    alone_s = std::max(alone_s, took);
    checks.Expect(site.Ctl({"undrain", name}).code == 0, "undrain");
  }
  checks.Expect(site.Until([&] { return clients->ready() == kInstances; }),
                "the front did not take them back");
  site.For(milliseconds(1000));
  std::map<std::string, std::string> said;
  const CommandResult together = site.Ctl({"drain", "--all", "-o", "json"});
  checks.Expect(together.code == 0, "drain together: " + together.err);
  const auto times = Times(together, &said);
  const double drained_s = static_cast<double>(together.took.count()) / 1000, slowest_s = Slowest(times);
  for (const auto& [name, text] : said)
    std::printf("  %s  %.2f s  %s\n", name.c_str(), times.at(name), text.c_str());
  checks.Expect(times.size() == kInstances, "the account does not name all instances");
  checks.Expect(drained_s <= 1.2 * alone_s + 0.0,
                "all together took longer than 1.2 times the slowest alone");
  clients->Stop();
  checks.Expect(site.Until([&] { return clients->Done(); }), "requests are still out");
  const Account first = clients->account();
  clients.reset();
  checks.Expect(site.Ctl({"undrain", "--all"}).code == 0, "undrain all");

  // Totals of the proxies themselves against the clients'.
  std::uint64_t taken = 0;
  const http_api::Reply status = site.Call("GET", "/v1/status");
  for (const auto& one : status.body.at("instances").as_array()) {
    const auto& r = one.at("requests");
    const auto n = [&](const char* key) { return r.at(key).to_number<std::uint64_t>(); };
    checks.Expect(n("taken") == n("served") + n("refused") + n("failed") + n("open"), "totals do not add up");
    taken += n("taken");
  }
  checks.Expect(taken == first.sent, "the proxies took " + std::to_string(taken) +
                                         " requests, the clients sent " + std::to_string(first.sent));

  // Once more, with one that hangs. The front leaves it out first: what a stopped process holds is not
  // answered.
  load.seed = 2;
  clients = std::make_unique<Clients>(io, site.addresses(), load);
  checks.Expect(site.Until([&] { return clients->ready() == kInstances; }),
                "the front did not take all in again");
  clients->Start();
  site.For(milliseconds(2000));
  const std::size_t hung = 6;
  clients->Avoid(hung, true);
  site.For(milliseconds(2500));
  const pid_t stopped = site.PidOf(site.Name(hung));
  kill(stopped, SIGSTOP);
  said.clear();
  const CommandResult around = site.Ctl({"drain", "--all", "--deadline", "8s", "-o", "json"});
  kill(stopped, SIGCONT);
  checks.Expect(around.code == 1, "a drain of which one hangs must say that some did not");
  auto around_times = Times(around, &said);
  std::printf("  %s  %s\n", site.Name(hung).c_str(), said[site.Name(hung)].c_str());
  checks.Expect(said[site.Name(hung)].find("failed: not in time: telling it to drain (no answer within") == 0,
                "the line of the one that hangs: " + said[site.Name(hung)]);
  around_times.erase(site.Name(hung));
  const double others_s = Slowest(around_times);
  checks.Expect(around_times.size() == kInstances - 1 && others_s <= 1.2 * slowest_s,
                "the other nineteen took longer than 1.2 times before");
  for (const auto& [name, text] : said)
    checks.Expect(name == site.Name(hung) || text == "done: drained", name + ": " + text);
  clients->Stop();
  checks.Expect(site.Until([&] { return clients->Done(); }), "requests are still out");
  const Account second = clients->account();

  const std::uint64_t lost = first.lost + second.lost;
  const std::uint64_t doubled = first.doubled + second.doubled + site.ledger().doubled();
  checks.Expect(lost == 0 && doubled == 0, "requests were lost or doubled");
  checks.Expect(site.ledger().malformed == 0, "a malformed request reached a converter");
  checks.Expect(first.served + second.served <= site.ledger().runs(), "an answer without a run");
  std::printf(
      "clients: %llu sent, %llu served, %llu refused, %llu failed, %llu found no proxy, %llu sent once "
      "more\n",
      static_cast<unsigned long long>(first.sent + second.sent),
      static_cast<unsigned long long>(first.served + second.served),
      static_cast<unsigned long long>(first.refused + second.refused),
      static_cast<unsigned long long>(first.failed + second.failed),
      static_cast<unsigned long long>(first.unsent + second.unsent),
      static_cast<unsigned long long>(first.resent + second.resent));
  std::printf(
      "fleet: instances=%d taken=%llu answered=%llu lost=%llu doubled=%llu drained_s=%.2f slowest_s=%.2f "
      "alone_s=%.2f hung_others_s=%.2f hung_ratio=%.2f status_ms=%.1f tool_ms=%.0f idle_cpu_pct=%.2f "
      "agent_mb=%.1f "
      "poll_cpu_pct=%.2f broken=%d\n",
      kInstances, static_cast<unsigned long long>(first.sent + second.sent),
      static_cast<unsigned long long>(first.answered() + second.answered()),
      static_cast<unsigned long long>(lost), static_cast<unsigned long long>(doubled), drained_s, slowest_s,
      alone_s, others_s, others_s / slowest_s, status_ms[7], tool_ms[7], idle_percent, agent_mb, poll_percent,
      checks.broken);
  return checks.broken == 0 ? 0 : 1;
}
