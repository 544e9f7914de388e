// SPDX-License-Identifier: Apache-2.0
//
// Tests events that occur between any two handlers of an exchange. Runs each exchange repeatedly with an
// event injected before step 0, 1, 2, … until its end, and with pairs of events at any two steps. After each
// run checks the four rules (RuleViolations) by what the peers observed. A seeded fault for each rule shows
// that its check can fail.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "proxy/crossings_play.h"
#include "proxy/crossings_rig.h"

namespace badgerbridge::proxy::testing {
namespace {

constexpr InjectedEvent kEvents[] = {InjectedEvent::kClientFin,
                                     InjectedEvent::kClientReset,
                                     InjectedEvent::kNextRequest,
                                     InjectedEvent::kPartialRequest,
                                     InjectedEvent::kBackendAnswers,
                                     InjectedEvent::kBackendFin,
                                     InjectedEvent::kBackendReset,
                                     InjectedEvent::kUnsolicitedByte,
                                     InjectedEvent::kConnected,
                                     InjectedEvent::kDrain,
                                     InjectedEvent::kGone,
                                     InjectedEvent::kListReset,
                                     InjectedEvent::kListSilent,
                                     InjectedEvent::kTerm,
                                     InjectedEvent::kHup,
                                     InjectedEvent::kPause};

// Runs an exchange once and counts leaked descriptors.
std::size_t RunOnce(const Exchange& exchange, std::vector<ScheduledEvent> events, RuleViolations& violations,
                    SeededFault fault = SeededFault::kNone) {
  const std::size_t descriptors_before = badgerbridge::testing::CountDescriptors();
  std::size_t steps = 0;
  int leaked_descriptor = -1;
  {
    InterleavingRun run(exchange, std::move(events), fault);
    steps = run.Run(violations);
    leaked_descriptor = run.leaked_descriptor();
  }
  if (badgerbridge::testing::CountDescriptors() != descriptors_before) ++violations.leaked;
  if (leaked_descriptor >= 0) ::close(leaked_descriptor);
  return steps;
}

const std::vector<Exchange>& Exchanges() {
  const std::string key = "Idempotency-Key: k1\r\n";
  static const std::vector<Exchange> all = {
      {"idempotent, new connection", Get("a1"), {"a1"}, {BackendBehavior::kAnswer}},
      {"not idempotent, idle connection",
       Post("a1", "certify", "END"),
       {"a1"},
       {BackendBehavior::kAnswer},
       true},
      {"not idempotent, slow connect",
       Post("a1", "certify", "END"),
       {"a1"},
       {BackendBehavior::kAnswer},
       false,
       true},
      {"not idempotent, rejected once",
       Post("a1", "certify", "END"),
       {"a1"},
       {BackendBehavior::kUnprocessed, BackendBehavior::kAnswer}},
      {"keyed, reset once",
       Post("a1", "convert", "END", key),
       {"a1"},
       {BackendBehavior::kReset, BackendBehavior::kAnswer}},
      {"keyed, reset once, slow connect",
       Post("a1", "convert", "END", key),
       {"a1"},
       {BackendBehavior::kReset, BackendBehavior::kAnswer},
       false,
       true},
      {"keyed, reset once, short window, slow connect",
       Post("a1", "convert", "END", key),
       {"a1"},
       {BackendBehavior::kReset, BackendBehavior::kAnswer},
       false,
       true,
       20},
      {"keyed, a large body",
       Post("a1", "convert", std::string(60000, 'x') + "END", key),
       {"a1"},
       {BackendBehavior::kAnswer}},
      {"two at once", Get("a1") + Get("a2"), {"a1", "a2"}, {BackendBehavior::kAnswer}},
      {"the last of its connection", Get("a1", "Connection: close\r\n"), {"a1"}, {BackendBehavior::kAnswer}},
      {"not idempotent, unresponsive",
       Timed(Post("a1", "certify", "END"), 20),
       {"a1"},
       {BackendBehavior::kNothing}},
      {"idempotent, half an answer",
       Get("a1"),
       {"a1"},
       {BackendBehavior::kPartialAnswer, BackendBehavior::kNoLength, BackendBehavior::kAnswer}},
      {"idempotent, answered twice",
       Get("a1") + Get("a2"),
       {"a1", "a2"},
       {BackendBehavior::kAnswerTwice, BackendBehavior::kAnswer}},
      {"three at once, of three classes",
       Get("a1") + Post("a2", "certify", "END") + Post("a3", "convert", "END", key),
       {"a1", "a2", "a3"},
       {BackendBehavior::kAnswer}},
      {"keyed, endless answer",
       Timed(Post("a1", "convert", "END", key), 20),
       {"a1"},
       {BackendBehavior::kEndless}},
  };
  return all;
}

// The violations in a number of runs.
struct Totals {
  RuleViolations violations;
  std::size_t runs = 0;
  std::size_t steps = 0;  // runs with one event
  std::size_t pairs = 0;  // runs with two events

  void Add(const Totals& other) {
    violations.Add(other.violations);
    runs += other.runs;
    steps += other.steps;
    pairs += other.pairs;
  }
};

std::size_t RunAndCount(const Exchange& exchange, const std::vector<ScheduledEvent>& events, Totals* totals) {
  RuleViolations violations;
  const std::size_t steps = RunOnce(exchange, events, violations);
  ++totals->runs;
  totals->violations.Add(violations);
  if (violations.all() == 0) return steps;
  std::string what = exchange.name;
  for (const ScheduledEvent& planned : events)
    what += std::string(", ") + NameOf(planned.event) + "@" + std::to_string(planned.step);
  std::cout << what << ": lost " << violations.lost << ", twice " << violations.twice << ", late "
            << violations.late << ", leaked " << violations.leaked << '\n';
  return steps;
}

// Injects the event before step 0, 1, 2, … until the run ends before that step.
void RunAtEachStep(const Exchange& exchange, InjectedEvent event, Totals* totals) {
  constexpr std::size_t kMaxSteps = 200;
  for (std::size_t step = 0;; ++step) {
    ++totals->steps;
    if (RunAndCount(exchange, {{step, event}}, totals) < step) return;
    if (step > kMaxSteps) FAIL() << exchange.name << " does not end";
  }
}

// Two events injected into one exchange.
struct EventPair {
  const char* exchange;
  InjectedEvent first;   // at each step
  InjectedEvent second;  // at each step, independently of the first
};
constexpr EventPair kPairs[] = {
    {"not idempotent, slow connect", InjectedEvent::kClientFin, InjectedEvent::kConnected},
    {"keyed, reset once, slow connect", InjectedEvent::kClientFin, InjectedEvent::kConnected},
    {"not idempotent, slow connect", InjectedEvent::kDrain, InjectedEvent::kConnected},
    {"idempotent, new connection", InjectedEvent::kTerm, InjectedEvent::kNextRequest},
    {"not idempotent, unresponsive", InjectedEvent::kBackendAnswers, InjectedEvent::kPause},
    {"not idempotent, idle connection", InjectedEvent::kListSilent, InjectedEvent::kDrain},
};
constexpr std::size_t kMaxPairSteps = 16;

void RunPairs(const Exchange& exchange, const EventPair& pair, std::size_t first_step, std::size_t max_steps,
              Totals* totals) {
  for (std::size_t second_step = 0; second_step <= max_steps; ++second_step) {
    ++totals->pairs;
    RunAndCount(exchange, {{first_step, pair.first}, {second_step, pair.second}}, totals);
  }
}

const Exchange& ExchangeOf(std::string_view name) {
  const auto found = std::find_if(Exchanges().begin(), Exchanges().end(),
                                  [&](const Exchange& exchange) { return exchange.name == name; });
  if (found == Exchanges().end()) throw std::logic_error("no such exchange: " + std::string(name));
  return *found;
}

// Returns the runs with events as independent units of work. Does the runs without events itself, to count
// their steps.
std::vector<Work<Totals>> AllWork(Totals* totals) {
  std::vector<Work<Totals>> work;
  std::map<std::string, std::size_t> steps;  // steps of the runs without events, by exchange
  for (const Exchange& exchange : Exchanges()) {
    steps[exchange.name] = RunAndCount(exchange, {}, totals);
    for (const InjectedEvent event : kEvents)
      work.push_back([&exchange, event](Totals* into) { RunAtEachStep(exchange, event, into); });
  }
  for (const EventPair& pair : kPairs) {
    const Exchange& exchange = ExchangeOf(pair.exchange);
    const std::size_t max_steps = std::min(steps[pair.exchange], kMaxPairSteps);
    for (std::size_t first = 0; first <= max_steps; ++first)
      work.push_back(
          [&, first, max_steps](Totals* into) { RunPairs(exchange, pair, first, max_steps, into); });
  }
  return work;
}

// A seeded fault, and the rule whose check must detect it.
struct SeededFaultCase {
  SeededFault fault;
  std::size_t exchange;  // index in Exchanges()
  InjectedEvent event;   // injected before each step
  int RuleViolations::*rule;
};
constexpr SeededFaultCase kSeededFaults[] = {
    {SeededFault::kAnswerDropped, 0, InjectedEvent::kNone, &RuleViolations::lost},
    {SeededFault::kFalseUnprocessed, 3, InjectedEvent::kNone, &RuleViolations::twice},
    {SeededFault::kDrainWithheld, 2, InjectedEvent::kDrain, &RuleViolations::late},
    {SeededFault::kDisconnectNotSeen, 2, InjectedEvent::kClientFin, &RuleViolations::late},
    {SeededFault::kDescriptorLeaked, 0, InjectedEvent::kNone, &RuleViolations::leaked},
};

bool IsDetected(const SeededFaultCase& seeded) {
  constexpr std::size_t kMaxSteps = 12;
  RuleViolations violations;
  for (std::size_t step = 0; step < kMaxSteps && violations.*seeded.rule == 0; ++step)
    RunOnce(Exchanges()[seeded.exchange], {{step, seeded.event}}, violations, seeded.fault);
  return violations.*seeded.rule > 0;
}

TEST(Crossings, NoRuleIsBrokenByAnEventBetweenAnyTwoSteps) {
  Totals totals;
  RunInProcesses(AllWork(&totals), &totals);

  int detected_faults = 0;
  for (const SeededFaultCase& seeded : kSeededFaults) {
    const bool is_detected = IsDetected(seeded);
    EXPECT_TRUE(is_detected) << "seeded fault " << static_cast<int>(seeded.fault);
    detected_faults += is_detected ? 1 : 0;
  }

  const RuleViolations& violations = totals.violations;
  std::cout << "crossings: exchanges=" << totals.runs << " steps=" << totals.steps
            << " pairs=" << totals.pairs << " lost=" << violations.lost << " twice=" << violations.twice
            << " late=" << violations.late << " leaked=" << violations.leaked
            << " planted_caught=" << detected_faults << "/" << std::size(kSeededFaults) << std::endl;
  EXPECT_EQ(violations.all(), 0);
  EXPECT_GE(totals.steps, 5796u);
  EXPECT_GE(totals.pairs, 1542u);
  EXPECT_EQ(detected_faults, 5);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
