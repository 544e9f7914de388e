// SPDX-License-Identifier: Apache-2.0
//
// bench/scale: how the control plane grows with proxies, backends and services, by hollow proxies beside a
// few whole ones. docs/CAPACITY.md uses its slopes. Ends with one line of figures; exit 1 if an invariant
// broke: a proxy that ends with another state than the source's, a write that is not in force everywhere in
// time, a drain later than 500 ms or another change later than 5 s (beyond what the rig's own processes were
// late), a proxy that is not ready within 10 s.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "scale_rig/experiments.h"
#include "scale_rig/roles.h"

namespace {

using namespace badgerbridge;
using namespace badgerbridge::scale;

// A connection a proxy: as many descriptors as may be had.
void RaiseDescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  RaiseDescriptorLimit();
  CLI::App app("Scale runs of the control plane with hollow proxies", "bench/scale");
  std::string role;
  bool small = false, compare = false, single = false;
  TrialSettings one;
  one.name = "trial";
  app.add_option("--role", role, "what a child of this program does")->group("");
  app.add_flag("--small", small, "under a minute, for CI");
  app.add_flag("--compare", compare, "the same size with and without relays");
  app.add_flag("--single", single, "one trial of the size given by the options below");
  app.add_option("--proxies", one.size.proxies, "hollow proxies");
  app.add_option("--ledgers", one.size.ledgers, "of them, how many hold a ledger");
  app.add_option("--backends", one.size.backends, "backends, spread over the services");
  app.add_option("--services", one.size.services, "services");
  app.add_option("--services-per-proxy", one.size.services_per_proxy,
                 "services that a proxy follows; 0: all backends under one flat prefix");
  app.add_option("--processes", one.processes, "processes that hold the hollow proxies");
  app.add_option("--start-per-second", one.start_per_second,
                 "proxies started a second; 0: by their lists' size");
  app.add_flag("--relays", one.relays, "two tiers of relays between the source and the proxies");
  app.add_option("--first-tier", one.first_tier, "relays of the first tier");
  app.add_option("--second-tier", one.second_tier, "relays of the second tier");
  app.add_flag("--plant-lost-deletions", one.size.loses_deletions,
               "one proxy misses deletions: the run must fail");
  app.add_flag("--plant-late-drains", one.size.late_drains, "one proxy is late by 2 s: the run must fail");
  app.add_option("--seed", one.size.seed, "of what is written, and which services are followed");
  CLI11_PARSE(app, count, arguments);
  if (role == "source") return RunSource();
  if (role == "hollow") return RunHollowProxies();
  if (one.size.loses_deletions) one.check_timeout = std::chrono::seconds(2);  // it will never be the source's
  bench::Checks checks;
  Report report;
  try {
    if (single) {
      RunSingle(one, &report, &checks);
    } else if (compare) {
      RunComparison(one, &report, &checks);
    } else if (small) {
      RunSmall(&report, &checks);
    } else {
      RunFull(&report, &checks);
    }
  } catch (const std::exception& problem) {
    checks.Expect(false, problem.what());
  }
  report.PrintLast(checks.broken);
  return checks.broken == 0 ? 0 : 1;
}
