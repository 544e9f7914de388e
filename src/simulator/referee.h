// SPDX-License-Identifier: Apache-2.0
//
// The four rules, checked at each step of a run, and the totals at its end, from what really happened in the
// model, not from what a core says of itself. The first breach ends the run.
#ifndef BADGERBRIDGE_SIMULATOR_REFEREE_H_
#define BADGERBRIDGE_SIMULATOR_REFEREE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "badgerbridge/balancer.h"
#include "simulator/slow_start.h"

namespace badgerbridge::simulator {

using balancer::Duration;
using balancer::TimePoint;

enum class Rule {
  kLost,    // what a running proxy took gets one final answer in the client's time, and nothing more is sent
            // for it
  kTwice,   // nothing takes effect twice, and a refusal says that nothing did
  kDrain,   // nothing new to a backend later than the grace after the proxy was told
  kCold,    // a cold backend is not pushed over
  kTotals,  // taken = served + refused + failed + open
};
std::string_view Name(Rule rule);

struct Breach {
  Rule rule = Rule::kLost;
  TimePoint at{};
  std::uint64_t step = 0;
  std::string what;  // one line
};

// A request, from its sending to the moment at which nothing of it is under way.
struct Trace {
  int request_class = 0;
  std::uint32_t proxy = 0, incarnation = 0;  // which, and which of its starts
  TimePoint sent{}, due{};
  int attempts_out = 0;             // that its proxy still waits for
  int records = 0;                  // of attempts that are out, or run still
  balancer::RequestId request = 0;  // the proxy's number of it
  int effects = 0, group = -1;      // of the backend where it first took effect
  TimePoint effect_at{};
  bool answered = false, refused = false, left = false, closed = false;
  std::uint64_t intent = 0;
  double work = 0;
};

class Referee {
 public:
  // `mean_work`: of a request, ms of a standard core.
  Referee(Duration drain_grace, std::size_t backends, const BackendModel& backend, double mean_work)
      : drain_grace_(drain_grace), slow_starts_(backends, SlowStart(backend, mean_work)) {}

  void Answered(TimePoint now, std::uint64_t step, Trace& trace, const balancer::ClassSettings& rules,
                bool refused);
  // Its client's time is up.
  void TimeUp(TimePoint now, std::uint64_t step, const Trace& trace, bool proxy_lives);
  void Sent(TimePoint now, std::uint64_t step, const Trace& trace, std::optional<TimePoint> draining_since,
            std::uint32_t backend);
  // An attempt of it begins to run. False: a repeat that the group drops, and answers without an effect.
  bool Idempotency(TimePoint now, std::uint64_t step, Trace& trace, const balancer::ClassSettings& rules,
                   int group);
  // It started as a new process; a whole request has come to it. `told`: SlowStart::Came.
  void Started(TimePoint now, std::size_t backend) { slow_starts_[backend].Start(now); }
  void Came(TimePoint now, std::uint64_t step, std::size_t backend, double work, bool told);
  void Fell(TimePoint now, std::uint64_t step, std::uint32_t backend);
  void Totals(TimePoint now, std::uint64_t step, bool add_up, std::uint32_t proxy);

  const std::optional<Breach>& breach() const { return breach_; }
  SlowStartShares worst_slow_start() const;  // of all backends

 private:
  void Break(Rule rule, TimePoint now, std::uint64_t step, std::string what);
  const Duration drain_grace_;
  std::vector<SlowStart> slow_starts_;  // of the backends, by their numbers
  std::optional<Breach> breach_;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_REFEREE_H_
