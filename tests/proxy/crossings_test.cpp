// SPDX-License-Identifier: Apache-2.0
//
// Crossings: what happens when an event comes between any two handlers of an exchange. The same exchange is
// played again and again with an event put in ahead of step 0, 1, 2, … until it is over, and with pairs of
// events at any two steps. After each play the four rules are checked by what the peers saw, and that nothing
// is left behind. A planted fault for each rule shows that the checks can fail.
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

constexpr CrossingEvent kEvents[] = {
    CrossingEvent::kClientFin,    CrossingEvent::kClientReset,    CrossingEvent::kNextRequest,
    CrossingEvent::kHalfRequest,  CrossingEvent::kBackendAnswers, CrossingEvent::kBackendFin,
    CrossingEvent::kBackendReset, CrossingEvent::kStrayByte,      CrossingEvent::kConnected,
    CrossingEvent::kDrain,        CrossingEvent::kDeparture,      CrossingEvent::kListReset,
    CrossingEvent::kListSilent,   CrossingEvent::kTerm,           CrossingEvent::kHup,
    CrossingEvent::kPause};

// Plays once, and counts what the play has left behind.
std::size_t PlayOnce(const Exchange& exchange, std::vector<CrossingStep> events, RuleViolations& violations,
                     CrossingFault fault = CrossingFault::kNone) {
  const std::size_t descriptors_before = badgerbridge::testing::CountDescriptors();
  std::size_t steps = 0;
  int kept_descriptor = -1;
  {
    CrossingsPlay play(exchange, std::move(events), fault);
    steps = play.Run(violations);
    kept_descriptor = play.kept_descriptor();
  }
  if (badgerbridge::testing::CountDescriptors() != descriptors_before) ++violations.leaked;
  if (kept_descriptor >= 0) ::close(kept_descriptor);
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
       {BackendBehavior::kHalfAnswer, BackendBehavior::kNoLength, BackendBehavior::kAnswer}},
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

// The violations of some of the plays, and how many plays there were.
struct Totals {
  RuleViolations violations;
  std::size_t plays = 0;
  std::size_t steps = 0;  // plays with one event
  std::size_t pairs = 0;  // plays with two events

  void Add(const Totals& other) {
    violations.Add(other.violations);
    plays += other.plays;
    steps += other.steps;
    pairs += other.pairs;
  }
};

std::size_t PlayAndCount(const Exchange& exchange, const std::vector<CrossingStep>& events, Totals* totals) {
  RuleViolations violations;
  const std::size_t steps = PlayOnce(exchange, events, violations);
  ++totals->plays;
  totals->violations.Add(violations);
  if (violations.all() == 0) return steps;
  std::string what = exchange.name;
  for (const CrossingStep& planned : events)
    what += std::string(", ") + NameOf(planned.event) + "@" + std::to_string(planned.step);
  std::cout << what << ": lost " << violations.lost << ", twice " << violations.twice << ", late "
            << violations.late << ", leaked " << violations.leaked << '\n';
  return steps;
}

// Puts the event ahead of step 0, 1, 2, … until the play ends before it.
void PlayAtEachStep(const Exchange& exchange, CrossingEvent event, Totals* totals) {
  constexpr std::size_t kMaxSteps = 200;
  for (std::size_t step = 0;; ++step) {
    ++totals->steps;
    if (PlayAndCount(exchange, {{step, event}}, totals) < step) return;
    if (step > kMaxSteps) FAIL() << exchange.name << " does not end";
  }
}

// Two events of one exchange.
struct EventPair {
  const char* exchange;
  CrossingEvent first;   // at any step
  CrossingEvent second;  // at any other
};
constexpr EventPair kPairs[] = {
    {"not idempotent, slow connect", CrossingEvent::kClientFin, CrossingEvent::kConnected},
    {"keyed, reset once, slow connect", CrossingEvent::kClientFin, CrossingEvent::kConnected},
    {"not idempotent, slow connect", CrossingEvent::kDrain, CrossingEvent::kConnected},
    {"idempotent, new connection", CrossingEvent::kTerm, CrossingEvent::kNextRequest},
    {"not idempotent, unresponsive", CrossingEvent::kBackendAnswers, CrossingEvent::kPause},
    {"not idempotent, idle connection", CrossingEvent::kListSilent, CrossingEvent::kDrain},
};
constexpr std::size_t kMaxPairSteps = 16;

void PlayPairs(const Exchange& exchange, const EventPair& pair, std::size_t first_step, std::size_t max_steps,
               Totals* totals) {
  for (std::size_t second_step = 0; second_step <= max_steps; ++second_step) {
    ++totals->pairs;
    PlayAndCount(exchange, {{first_step, pair.first}, {second_step, pair.second}}, totals);
  }
}

const Exchange& ExchangeOf(std::string_view name) {
  const auto found = std::find_if(Exchanges().begin(), Exchanges().end(),
                                  [&](const Exchange& exchange) { return exchange.name == name; });
  if (found == Exchanges().end()) throw std::logic_error("no such exchange: " + std::string(name));
  return *found;
}

// The plays with events, in pieces that don't depend on one another. The plays without events are made here.
std::vector<Work<Totals>> AllWork(Totals* totals) {
  std::vector<Work<Totals>> work;
  std::map<std::string, std::size_t> steps;  // of the plays without events, by exchange
  for (const Exchange& exchange : Exchanges()) {
    steps[exchange.name] = PlayAndCount(exchange, {}, totals);
    for (const CrossingEvent event : kEvents)
      work.push_back([&exchange, event](Totals* into) { PlayAtEachStep(exchange, event, into); });
  }
  for (const EventPair& pair : kPairs) {
    const Exchange& exchange = ExchangeOf(pair.exchange);
    const std::size_t max_steps = std::min(steps[pair.exchange], kMaxPairSteps);
    for (std::size_t first = 0; first <= max_steps; ++first)
      work.push_back(
          [&, first, max_steps](Totals* into) { PlayPairs(exchange, pair, first, max_steps, into); });
  }
  return work;
}

// A fault in a play, and the rule that must find it.
struct PlantedFault {
  CrossingFault fault;
  std::size_t exchange;  // by its place in Exchanges()
  CrossingEvent event;   // ahead of any step
  int RuleViolations::*rule;
};
constexpr PlantedFault kPlantedFaults[] = {
    {CrossingFault::kAnswerSwallowed, 0, CrossingEvent::kNone, &RuleViolations::lost},
    {CrossingFault::kDeniesThatItRan, 3, CrossingEvent::kNone, &RuleViolations::twice},
    {CrossingFault::kDrainHeldBack, 2, CrossingEvent::kDrain, &RuleViolations::late},
    {CrossingFault::kLeaveNotSeen, 2, CrossingEvent::kClientFin, &RuleViolations::late},
    {CrossingFault::kDescriptorKept, 0, CrossingEvent::kNone, &RuleViolations::leaked},
};

bool IsFound(const PlantedFault& planted) {
  constexpr std::size_t kMaxSteps = 12;
  RuleViolations violations;
  for (std::size_t step = 0; step < kMaxSteps && violations.*planted.rule == 0; ++step)
    PlayOnce(Exchanges()[planted.exchange], {{step, planted.event}}, violations, planted.fault);
  return violations.*planted.rule > 0;
}

TEST(Crossings, NoRuleIsBrokenByAnEventBetweenAnyTwoSteps) {
  Totals totals;
  RunInProcesses(AllWork(&totals), &totals);

  int planted_found = 0;
  for (const PlantedFault& planted : kPlantedFaults) {
    const bool is_found = IsFound(planted);
    EXPECT_TRUE(is_found) << "planted fault " << static_cast<int>(planted.fault);
    planted_found += is_found ? 1 : 0;
  }

  const RuleViolations& violations = totals.violations;
  std::cout << "crossings: exchanges=" << totals.plays << " steps=" << totals.steps
            << " pairs=" << totals.pairs << " lost=" << violations.lost << " twice=" << violations.twice
            << " late=" << violations.late << " leaked=" << violations.leaked
            << " planted_caught=" << planted_found << "/" << std::size(kPlantedFaults) << std::endl;
  EXPECT_EQ(violations.all(), 0);
  EXPECT_GE(totals.steps, 5796u);
  EXPECT_GE(totals.pairs, 1542u);
  EXPECT_EQ(planted_found, 5);
}

}  // namespace
}  // namespace badgerbridge::proxy::testing
