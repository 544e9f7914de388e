// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Plays a machine that does not run a proxy for a while, again and again: each is stopped and continued at
/// moments drawn from a stream of its own, by SIGSTOP and SIGCONT.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_STALL_INJECTOR_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_STALL_INJECTOR_H_

#include <cstdint>
#include <vector>

#include "multiprocess/proxy_fleet.h"
#include "multiprocess/run_context.h"
#include "simulator/random.h"

namespace badgerbridge::multiprocess {

/// Stalls all proxies, if the plan asks for that. Its references have to outlive it.
class StallInjector {
 public:
  /// Does nothing yet.
  StallInjector(RunContext& context, ProxyFleet& proxies);

  /// Begins to stall the proxies.
  void Start();
  /// Stalls a proxy that has just been asked to end once more, just before its listener closes.
  void OnTerminated(Proxy& proxy);
  /// Continues all proxies, and stalls none any more.
  void Stop();

  /// Stalls so far.
  std::uint64_t stalls() const { return stalls_; }
  /// Those that interrupted a proxy's work.
  std::uint64_t stalls_at_work() const { return stalls_at_work_; }

 private:
  // What the injector keeps of a proxy.
  struct Target {
    simulator::Random random;
    double continued_at_ms = 0;    // when its last stall ended
    double processor_wait_ms = 0;  // until then
  };

  Target& TargetOf(const Proxy& proxy);
  void StallAndRepeat(Proxy& proxy);
  void Stall(Proxy& proxy, double duration_ms);
  void Continue(Proxy& proxy);
  void RecordStarvation(const Proxy& proxy, Target& target);

  RunContext& context_;
  ProxyFleet& proxies_;
  std::vector<Target> targets_;  // by proxy; empty: nothing is stalled
  bool is_stopped_ = false;
  std::uint64_t stalls_ = 0;
  std::uint64_t stalls_at_work_ = 0;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_STALL_INJECTOR_H_
