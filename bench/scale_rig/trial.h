// SPDX-License-Identifier: Apache-2.0
//
// One trial: a source, relays if wanted, and hollow proxies of one size, taken through a start, changes and
// faults. Every step waits for its own end or a time limit, and says what it measured.
#ifndef BADGERBRIDGE_BENCH_SCALE_RIG_TRIAL_H_
#define BADGERBRIDGE_BENCH_SCALE_RIG_TRIAL_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "measure.h"
#include "scale_rig/control_channel.h"
#include "scale_rig/hollow_proxy.h"
#include "scale_rig/plan.h"
#include "scale_rig/statistics.h"
#include "scale_rig/watch_cache_processes.h"

namespace badgerbridge::scale {

struct TrialSettings {
  std::string name;
  Size size;
  std::size_t processes = 4;  // for hollow proxies without a ledger; those with one have another
  std::size_t members = 3;    // of the source
  bool relays = false;        // proxies follow relays of the second tier, and not the source
  std::size_t first_tier = 1, second_tier = 2;  // how many relays
  double start_per_second = 0;                  // 0: so that kStartEntries are listed a second
  std::chrono::milliseconds ready_timeout{60000};
  std::chrono::milliseconds check_timeout{15000};  // until every proxy's state is the source's
};

// What is spent over some time, by whom.
struct Usage {
  double seconds = 0;
  double opened = 0;                                                // connections, by all proxies
  double proxies_cpu_ms = 0, source_cpu_ms = 0, relays_cpu_ms = 0;  // of all of each together
  double proxies_received = 0, proxies_sent = 0;                    // bytes of payload; likewise
  double source_sent = 0, source_received = 0;
  double calls = 0;  // at the source
};

struct StartResult {
  std::size_t ready = 0;                      // proxies that were, in time
  Distribution each_ms;                       // from each one's start until it was ready
  double all_ms = 0;                          // from the first one's start until the last was ready
  std::uint64_t lists = 0;                    // whole lists read
  double received_per_proxy = 0;              // bytes
  double proxies_cpu_ms = 0;                  // of each, until ready
  double source_cpu_ms = 0, source_sent = 0;  // in all; bytes
  double opened = 0;                          // connections, by all proxies
  // Heap in use without the rig's own share; that of a ledger is 0 where none is held.
  double memory_per_proxy_kb = 0, memory_per_ledger_kb = 0;
  double resident_per_proxy_kb = 0;  // without a ledger, the rig's share included
  double calls = 0;                  // at the source
};

struct SpreadResult {
  double opened = 0;  // connections, by all proxies, until all was in force
  std::size_t writes = 0,
              missing = 0;   // missing: writes not in force at a proxy in time, summed over proxies
  Distribution in_force_ms;  // of every write at every proxy
  Distribution last_ms;      // of every write at the last proxy
  Distribution publish_ms;   // at the source, until it was written to all connections: the rig's share
  double loop_late_ms = 0;   // of the processes of hollow proxies, at worst
  Usage usage;
};

class Trial {
 public:
  Trial(TrialSettings settings, bench::Checks* checks);
  ~Trial();

  StartResult Start();
  Usage Idle(std::chrono::milliseconds time);
  // One write each to so many backends: "change", "drain" or "ready".
  SpreadResult Write(std::size_t count, const std::string& kind, std::chrono::milliseconds every);
  // A zone's backends go at once, or come back.
  SpreadResult Zone(std::size_t zone, bool gone);
  // Every tenth proxy ends and starts again, all at once; a drain is written while they list.
  StartResult RestartTenth(SpreadResult* drain);
  // The endpoint that a part of the proxies use falls silent; a drain is written at that moment.
  SpreadResult CutEndpoint();
  // Clients that watch everything and never read.
  void AddSlowReaders(std::size_t count);
  // Compares every proxy's state with the source's: how many differ. They have some seconds to come to it.
  std::size_t Check();
  // What serving lists costs the source, alone.
  boost::json::object SourceSpeed();

  const TrialSettings& settings() const { return settings_; }
  pid_t source() const { return source_->pid(); }
  const std::vector<std::string>& endpoints() const { return endpoints_; }
  std::uint64_t source_revision();
  double source_memory_mb() const { return bench::ResidentMb(source_->pid()); }
  double relays_memory_mb() const;  // of all of them

 private:
  struct Marked {
    std::chrono::steady_clock::time_point at;
    Usage sums;
  };
  Marked Mark();
  Usage Since(const Marked& mark);
  std::size_t ProcessOf(std::size_t proxy) const;
  std::size_t BackendToWrite();
  std::vector<boost::json::object> Prepare();
  void MeasureMemory(const std::vector<boost::json::object>& before, StartResult* result);
  StartResult AwaitReady(const std::vector<std::size_t>& numbers, const Marked& before,
                         std::chrono::steady_clock::time_point began);
  void StartProxies(const std::vector<std::size_t>& numbers, double per_second);
  void Forget();
  void ExpectWithin(std::chrono::milliseconds bound, const SpreadResult& result,
                    const std::string& otherwise);
  SpreadResult AwaitInForce(const boost::json::array& writes, bool last);
  void Silence(std::size_t endpoint, bool silent);
  std::vector<boost::json::object> HollowStatus();

  TrialSettings settings_;
  bench::Checks* checks_;
  std::unique_ptr<Child> source_;
  std::vector<std::unique_ptr<Child>> hollow_;  // the last one for those with a ledger, if there are any
  std::unique_ptr<RelayProcesses> relays_;
  std::vector<std::string> endpoints_;  // that proxies connect to
  std::uint64_t random_;
};

}  // namespace badgerbridge::scale

#endif  // BADGERBRIDGE_BENCH_SCALE_RIG_TRIAL_H_
