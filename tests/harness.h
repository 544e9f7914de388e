// SPDX-License-Identifier: Apache-2.0
//
// A Balancer under test with its clock, and helpers to create settings, backends and events.
#ifndef BADGERBRIDGE_TESTS_HARNESS_H_
#define BADGERBRIDGE_TESTS_HARNESS_H_

#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer::testing {

/// The point in time `ms` after the origin of the clock.
inline TimePoint At(double ms) { return TimePoint(Duration(ms)); }

/// A request class with `latency_objective` and `deadline` in ms; backends remember idempotency keys for 500
/// ms.
inline ClassSettings Class(Idempotency effect, double latency_objective = 200, double deadline = 1000) {
  ClassSettings c;
  c.idempotency = effect;
  c.latency_objective = Duration(latency_objective);
  c.deadline = Duration(deadline);
  c.deduplication_window = Duration(500);
  return c;
}

/// Settings of a single proxy with three classes: 0 is idempotent, 1 idempotent by key within a cell, and 2
/// not idempotent.
inline Settings ThreeClassSettings() {
  Settings s;
  s.classes = {Class(Idempotency::kIdempotent), Class(Idempotency::kIdempotencyKey),
               Class(Idempotency::kNotIdempotent)};
  s.classes[1].deduplication_scope = DeduplicationScope::kCell;
  s.max_attempts = 4;
  s.balancer_count = 1;
  s.slow_start_floor = 0.25;
  s.slow_start_window = Duration(10000);
  s.overload_factor = 3;
  s.overload_duration = Duration(1000);
  s.tick = Duration(5);
  return s;
}

/// An entry of the endpoint list. `up_since` in ms; 0: long ago, so it is warm.
inline BackendEntry Entry(BackendId id, int zone = 0, int cell = 0, BackendState state = BackendState::kReady,
                          double up_since = 0) {
  BackendEntry e;
  e.server = id;
  e.zone = zone;
  e.cell = cell;
  e.state = state;
  e.up_since = At(up_since);
  return e;
}

/// A Balancer and its clock. Timers don't fire on their own: time passes only by calls of the test.
class BalancerHarness {
 public:
  explicit BalancerHarness(Settings settings = ThreeClassSettings(), std::uint64_t seed = 1)
      : balancer_(std::move(settings), seed) {}

  double now = 100000;          ///< In ms; a test may advance it.
  std::vector<Action> actions;  ///< Actions of the last event.
  std::vector<Dispatch> sent;   ///< Dispatches of all events, in order.

  /// Handles an event at `now` and returns the resulting actions.
  const std::vector<Action>& Handle(const Event& event) {
    actions.clear();
    balancer_.Handle(At(now), event, &actions);
    for (const Action& action : actions) {
      if (const auto* dispatch = std::get_if<Dispatch>(&action)) sent.push_back(*dispatch);
    }
    return actions;
  }

  /// Delivers an endpoint list or an incremental update.
  void UpdateEndpoints(std::vector<BackendEntry> entries, EndpointListKind kind = EndpointListKind::kFull) {
    Handle(EndpointListUpdate{kind, std::move(entries)});
  }

  /// Delivers a full list of ready, warm backends with the ids 1 to `count`.
  void ListBackends(int count) {
    std::vector<BackendEntry> entries;
    for (int i = 1; i <= count; ++i) entries.push_back(Entry(static_cast<BackendId>(i)));
    UpdateEndpoints(entries);
  }

  /// The state of a backend; a default view if the balancer has none.
  BackendView View(BackendId id) const {
    for (const BackendView& view : balancer_.Inspect()) {
      if (view.entry.server == id) return view;
    }
    return {};
  }

  /// Submits a request and returns the backend to which it was sent immediately, if any. `work` is the hint
  /// in ms, 0 for none; the client stops waiting after `client_timeout_ms`.
  std::optional<BackendId> SubmitRequest(RequestId id, int request_class = 0, double work = 10,
                                         double client_timeout_ms = 1000, std::uint64_t key = 0) {
    Submit s;
    s.request = id;
    s.request_class = request_class;
    s.has_hint = work > 0;
    s.work_ms = work;
    s.key = key;
    s.due = At(now + client_timeout_ms);
    Handle(s);
    return SentTo(id);
  }

  /// Ends an attempt `took` ms after its dispatch; a success settles the request.
  void EndAttempt(RequestId id, int attempt, BackendId server, Outcome outcome, double took = 10,
                  bool settled = false) {
    AttemptEnded e;
    e.request = id;
    e.attempt = attempt;
    e.server = server;
    e.outcome = outcome;
    e.settled = settled || outcome == Outcome::kOk;
    e.took = Duration(took);
    Handle(e);
  }

  /// Advances the clock by `ms` and fires a timer.
  void AdvanceTime(double ms) {
    now += ms;
    Handle(TimerFired{});
  }

  /// The backend to which the last event sent a request, if any.
  std::optional<BackendId> SentTo(RequestId id) const {
    for (const Action& action : actions) {
      const auto* dispatch = std::get_if<Dispatch>(&action);
      if (dispatch && dispatch->request == id) return dispatch->server;
    }
    return std::nullopt;
  }

  /// Number of actions of type T caused by the last event.
  template <typename T>
  int CountActions() const {
    int count = 0;
    for (const Action& action : actions) count += std::holds_alternative<T>(action) ? 1 : 0;
    return count;
  }

 private:
  Balancer balancer_;
};

}  // namespace badgerbridge::balancer::testing

#endif  // BADGERBRIDGE_TESTS_HARNESS_H_
