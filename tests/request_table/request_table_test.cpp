// SPDX-License-Identifier: Apache-2.0
#include "request_table/request_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <random>

#include "request_table/request_table_harness.h"

namespace badgerbridge::request_table::testing {
namespace {

using balancer::testing::ThreeClassSettings;

TEST(RequestTableTest, SuccessfulAttemptServesRequestOnce) {
  Harness harness(ThreeClassSettings(), 1);
  AddServers(harness, 2);
  const RequestId id = harness.Accept(2, 500);
  ASSERT_EQ(harness.in_flight.size(), 1u);
  EXPECT_EQ(harness.in_flight[0].timeout, Duration(500) - kAnswerMargin);
  harness.now += 20;
  harness.EndAttempt(0, Outcome::kOk);
  EXPECT_EQ(harness.requests[id].outcome, RequestOutcome::kServed);
  EXPECT_EQ(harness.table().counters()[2].served, 1u);
}

/// Events that may occur at the same time.
enum class TableEvent { kAttemptEnds, kServerDrains, kClientDisconnects, kTimersFire };

/// Sends one request to one of two servers; then delivers all events at the same time, in the given order.
void ExpectOneCompletion(int request_class, Outcome outcome, double elapsed_ms,
                         const std::array<TableEvent, 4>& order) {
  Harness harness(ThreeClassSettings(), 7);
  AddServers(harness, 2);
  const RequestId id = harness.Accept(request_class, 300);
  ASSERT_EQ(harness.in_flight.size(), 1u);
  const BackendId server = harness.in_flight[0].server;
  harness.now += elapsed_ms;
  for (const TableEvent event : order) {
    switch (event) {
      case TableEvent::kAttemptEnds:
        harness.EndAttempt(0, outcome);
        break;
      case TableEvent::kServerDrains:
        harness.UpdateEndpoint(Entry(server, 0, harness.servers.at(server).cell, BackendState::kDraining));
        break;
      case TableEvent::kClientDisconnects:
        harness.Disconnect(id);
        break;
      case TableEvent::kTimersFire:
        harness.Wake();
        break;
    }
  }
  EXPECT_EQ(harness.requests[id].responses + harness.requests[id].disconnected, 1);
  EXPECT_EQ(harness.table().open(), 0u);
}

TEST(RequestTableTest, SimultaneousEventsInAnyOrderCompleteRequestOnce) {
  constexpr std::array kOutcomes = {Outcome::kOk, Outcome::kError, Outcome::kReset, Outcome::kRejected,
                                    Outcome::kTimeout};
  // With time left for another attempt, and at the time of the deadline fallback.
  const std::array elapsed_ms = {40.0, 300 - kDeadlineFallbackMargin.count()};
  for (const int request_class : {0, 1, 2}) {
    for (const Outcome outcome : kOutcomes) {
      for (const double elapsed : elapsed_ms) {
        std::array order = {TableEvent::kAttemptEnds, TableEvent::kServerDrains,
                            TableEvent::kClientDisconnects, TableEvent::kTimersFire};
        do {
          SCOPED_TRACE(::testing::Message()
                       << "class " << request_class << " outcome " << static_cast<int>(outcome) << " order "
                       << static_cast<int>(order[0]) << static_cast<int>(order[1])
                       << static_cast<int>(order[2]) << static_cast<int>(order[3]));
          ExpectOneCompletion(request_class, outcome, elapsed, order);
        } while (std::next_permutation(order.begin(), order.end()));
      }
    }
  }
}

TEST(RequestTableTest, UnendedAttemptIsAnsweredByDeadlineFallback) {
  Harness harness(ThreeClassSettings(), 3);
  AddServers(harness, 1);
  const RequestId id = harness.Accept(2, 200);
  ASSERT_EQ(harness.in_flight.size(), 1u);
  harness.now += 200 - kDeadlineFallbackMargin.count();  // the end of the attempt is not reported
  harness.Wake();
  EXPECT_EQ(harness.requests[id].outcome, RequestOutcome::kDeadlineFallback);
  EXPECT_EQ(harness.table().counters()[2].deadline_fallback, 1u);
  harness.EndAttempt(0, Outcome::kOk);  // too late
  EXPECT_EQ(harness.responses, 1);
}

// The attempt's connection may still be being established when the request completes.
TEST(RequestTableTest, CompletedRequestWithdrawsAttemptInFlight) {
  for (const int request_class : {0, 1, 2}) {
    Harness harness(ThreeClassSettings(), 3);
    AddServers(harness, 1);
    const RequestId left = harness.Accept(request_class, 500);
    const RequestId kept = harness.Accept(request_class, 500);
    const RequestId late = harness.Accept(request_class, 200);
    ASSERT_EQ(harness.in_flight.size(), 3u);
    harness.Disconnect(left);
    EXPECT_EQ(harness.withdrawals, 1);
    harness.Disconnect(left);
    harness.EndAttempt(0, Outcome::kNotSent);
    EXPECT_EQ(harness.withdrawals, 1);
    harness.now += 200 - kDeadlineFallbackMargin.count();
    harness.Wake();
    EXPECT_EQ(harness.requests[late].outcome, RequestOutcome::kDeadlineFallback);
    EXPECT_EQ(harness.withdrawals, 2);
    harness.EndAttempt(0, Outcome::kOk);
    EXPECT_EQ(harness.requests[kept].outcome, RequestOutcome::kServed);
    EXPECT_EQ(harness.withdrawals, 2) << "an ended attempt is not withdrawn";
  }
}

// A server group remembers an idempotency key for a window that starts with the first attempt that may have
// run. A retry carries the time until which it may begin, and is not sent without such a time.
TEST(RequestTableTest, RetryWithIdempotencyKeyMustBeginWithinWindow) {
  for (const double window : {0.0, 100.0, 10000.0}) {
    Settings settings = ThreeClassSettings();
    settings.classes[1].deduplication_window = Duration(window);
    Harness harness(settings, 3);
    harness.UpdateEndpoint(Entry(1, 0, 0));
    harness.UpdateEndpoint(Entry(2, 0, 0));
    const RequestId id = harness.Accept(1, 30000);
    ASSERT_EQ(harness.in_flight.size(), 1u);
    const TimePoint first = harness.in_flight[0].sent_at;
    EXPECT_EQ(harness.in_flight[0].begin_before, TimePoint::max()) << "nothing may have run yet";
    if (window > 0) harness.now += 20;
    harness.EndAttempt(0, Outcome::kReset);
    if (window == 0) {
      EXPECT_TRUE(harness.in_flight.empty());
      EXPECT_EQ(harness.requests[id].responses, 1);
      continue;
    }
    ASSERT_EQ(harness.in_flight.size(), 1u);
    EXPECT_GT(harness.in_flight[0].begin_before, At(harness.now));
    EXPECT_LT(harness.in_flight[0].begin_before, first + Duration(window));
    harness.now += window;  // while its connection is being established
    harness.EndAttempt(0, Outcome::kConnectFailed);
    EXPECT_TRUE(harness.in_flight.empty());
    EXPECT_EQ(harness.requests[id].responses, 1);
  }
}

TEST(RequestTableTest, RequestWithoutTimeLeftIsNotSent) {
  for (const double timeout : {0.0, 1.0, 4.9, 5.0}) {
    constexpr double now = 100000;
    Submit submit;
    submit.due = At(now + timeout);
    RequestTable table(ThreeClassSettings(), 1);
    RequestTable::Actions actions;
    table.UpdateEndpoints(At(now), {EndpointListKind::kFull, {Entry(1), Entry(2)}}, &actions);
    const RequestId id = table.Accept(At(now), submit, &actions);
    for (const Action& action : actions) EXPECT_FALSE(std::holds_alternative<Send>(action)) << timeout;
    if (table.IsOpen(id)) table.Wake(At(now + timeout), &actions);
    EXPECT_FALSE(table.IsOpen(id)) << timeout;
  }
}

TEST(RequestTableTest, AttemptsAreBoundedWhateverSettingsAllow) {
  Settings settings = ThreeClassSettings();
  settings.max_attempts = 9;
  Harness harness(settings, 5);
  AddServers(harness, 8);
  for (int i = 0; i < 50; ++i) {
    const RequestId id = harness.Accept(0, 900);
    while (!harness.in_flight.empty()) {
      harness.now += 1;
      harness.EndAttempt(0, Outcome::kConnectFailed);
    }
    harness.now += 900;
    harness.Wake();
    EXPECT_EQ(harness.requests[id].responses, 1);
    EXPECT_LE(harness.requests[id].attempts, 4);
  }
}

/// Sums over all random runs, to show that they cover the checked cases.
struct RandomRunTotals {
  int sends = 0;
  int retries = 0;
  int cancels = 0;
  int deadline_fallbacks = 0;
};

/// Drives one harness by random events.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed) : random_(seed), harness_(RandomSettings(seed), seed) {
    AddServers(harness_, 6);
  }

  void Step() {
    const int kind = RandomBelow(100);
    if (kind < 25) {
      const int third = RandomBelow(3) == 0 ? RandomBelow(20) : 0;
      const int second = RandomBelow(10) == 0 ? 1 + RandomBelow(8) : 20 + RandomBelow(900);
      harness_.Accept(RandomBelow(3), second, third);
    } else if (kind < 65 && !harness_.in_flight.empty()) {
      EndRandomAttempt();
    } else if (kind < 68 && !harness_.requests.empty()) {
      auto request = harness_.requests.begin();
      std::advance(request, RandomBelow(harness_.requests.size()));
      harness_.Disconnect(request->first);
    } else if (kind < 71) {
      UpdateRandomEndpoint();
    } else {
      AdvanceTime();
    }
  }

  /// Drops completed requests without an attempt in flight, to bound the cost of the checks.
  void DropCompletedRequests() {
    std::erase_if(harness_.requests, [this](const auto& entry) {
      const auto& [id, request] = entry;
      return (request.responses > 0 || request.disconnected) &&
             std::none_of(harness_.in_flight.begin(), harness_.in_flight.end(),
                          [id = id](const Send& send) { return send.request == id; });
    });
  }

  /// Ends all attempts and advances the clock; no request may be open afterwards.
  void Finish() {
    while (!harness_.in_flight.empty()) harness_.EndAttempt(0, Outcome::kReset);
    for (int i = 0; i < 3000 && harness_.table().open() > 0; ++i) {
      harness_.now = std::max(harness_.now, harness_.NextWake()->time_since_epoch().count());
      harness_.Wake();
      while (!harness_.in_flight.empty()) harness_.EndAttempt(0, Outcome::kConnectFailed);
    }
    EXPECT_EQ(harness_.table().open(), 0u);
  }

  void AddTo(RandomRunTotals* totals) const {
    totals->sends += harness_.sends;
    totals->retries += harness_.retries;
    totals->cancels += harness_.cancels;
    for (const RequestCounters& counters : harness_.table().counters()) {
      totals->deadline_fallbacks += static_cast<int>(counters.deadline_fallback);
    }
  }

 private:
  int RandomBelow(std::uint64_t limit) { return static_cast<int>(random_() % limit); }

  Settings RandomSettings(std::uint64_t seed) {
    Settings settings = ThreeClassSettings();
    settings.max_attempts = 1 + RandomBelow(4);
    if (seed % 3 == 0) settings.max_retry_after = Duration(600);
    return settings;
  }

  void EndRandomAttempt() {
    constexpr Outcome kOutcomes[] = {
        Outcome::kOk,        Outcome::kOk,      Outcome::kOk,      Outcome::kOk,    Outcome::kError,
        Outcome::kRejected,  Outcome::kNotSent, Outcome::kTimeout, Outcome::kReset, Outcome::kConnectFailed,
        Outcome::kCancelled, Outcome::kUnknown};
    const Outcome outcome = kOutcomes[RandomBelow(std::size(kOutcomes))];
    harness_.EndAttempt(static_cast<std::size_t>(RandomBelow(harness_.in_flight.size())), outcome);
  }

  void UpdateRandomEndpoint() {
    const auto server = static_cast<BackendId>(1 + RandomBelow(8));
    constexpr BackendState kStates[] = {BackendState::kGone, BackendState::kDraining, BackendState::kReady,
                                        BackendState::kReady};
    const BackendState state = kStates[RandomBelow(std::size(kStates))];
    const double up_since = RandomBelow(3) == 0 ? harness_.now - RandomBelow(12000) : 0;
    harness_.UpdateEndpoint(Entry(server, 0, static_cast<int>(server % 2), state, up_since));
  }

  /// Advances the clock by a random time, at most to the next timer, and fires the timer if it is due.
  void AdvanceTime() {
    const auto wake = harness_.NextWake();
    const double until = wake ? std::max(harness_.now, wake->time_since_epoch().count()) : harness_.now + 5;
    harness_.now = RandomBelow(8) == 0 ? until : std::min(until, harness_.now + RandomBelow(30));
    if (wake && harness_.now >= wake->time_since_epoch().count()) harness_.Wake();
  }

  std::mt19937_64 random_;
  Harness harness_;
};

TEST(RequestTableTest, RandomEventsKeepInvariants) {
  constexpr std::uint64_t kSeeds = 60;
  constexpr int kStepsPerSeed = 4000;
  constexpr int kStepsBetweenCleanups = 200;
  RandomRunTotals totals;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomRun run(seed);
    for (int step = 1; step <= kStepsPerSeed; ++step) {
      run.Step();
      if (::testing::Test::HasFailure()) FAIL() << "seed " << seed << " step " << step;
      if (step % kStepsBetweenCleanups == 0) run.DropCompletedRequests();
    }
    run.Finish();
    run.AddTo(&totals);
  }
  EXPECT_GT(totals.sends, 20000);
  EXPECT_GT(totals.cancels, 0);
  EXPECT_GT(totals.retries, 1000);
  EXPECT_GT(totals.deadline_fallbacks, 10);
}

}  // namespace
}  // namespace badgerbridge::request_table::testing
