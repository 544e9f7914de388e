// SPDX-License-Identifier: Apache-2.0
//
// A Balancer under test, its clock, and short ways to say what happens.
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

/// A request class with the latency objective and the deadline in ms; keyed ones are remembered for 500 ms.
inline ClassSettings Class(Idempotency effect, double latency_objective = 200, double deadline = 1000) {
  ClassSettings c;
  c.effect = effect;
  c.latency_objective = Duration(latency_objective);
  c.deadline = Duration(deadline);
  c.window = Duration(500);
  return c;
}

/// Settings of one proxy with three classes: 0 idempotent, 1 idempotent by key within a cell, 2 not
/// idempotent.
inline Settings Usual() {
  Settings s;
  s.classes = {Class(Idempotency::kIdempotent), Class(Idempotency::kIdempotencyKey),
               Class(Idempotency::kNotIdempotent)};
  s.classes[1].group = DeduplicationScope::kCell;
  s.max_attempts = 4;
  s.balancer_count = 1;
  s.slow_start_floor = 0.25;
  s.slow_start_window = Duration(10000);
  s.overload_factor = 3;
  s.overload_duration = Duration(1000);
  s.tick = Duration(5);
  return s;
}

/// A backend of the endpoint list; `up_since` in ms, 0: long ago.
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

/// A Balancer and its clock. Nothing happens but what a test says: timers that are set don't fire by
/// themselves.
class Rig {
 public:
  explicit Rig(Settings settings = Usual(), std::uint64_t seed = 1) : balancer_(std::move(settings), seed) {}

  double now = 100000;          ///< In ms; a test may advance it.
  std::vector<Action> actions;  ///< Of the last event.
  std::vector<Dispatch> sent;   ///< Of all events.

  /// Passes an event on; what is to be done because of it.
  const std::vector<Action>& Handle(const Event& event) {
    actions.clear();
    balancer_.Handle(At(now), event, &actions);
    for (const Action& action : actions) {
      if (const auto* dispatch = std::get_if<Dispatch>(&action)) sent.push_back(*dispatch);
    }
    return actions;
  }

  /// An endpoint list arrives, or a change of it.
  void UpdateEndpoints(std::vector<BackendEntry> entries, EndpointListKind kind = EndpointListKind::kFull) {
    Handle(EndpointListUpdate{kind, std::move(entries)});
  }

  /// A list of ready, warm backends with the ids 1 to `count` arrives.
  void ListBackends(int count) {
    std::vector<BackendEntry> entries;
    for (int i = 1; i <= count; ++i) entries.push_back(Entry(static_cast<BackendId>(i)));
    UpdateEndpoints(entries);
  }

  /// What the balancer holds of a backend.
  BackendView View(BackendId id) const {
    for (const BackendView& view : balancer_.Inspect()) {
      if (view.entry.server == id) return view;
    }
    return {};
  }

  /// Submits a request and returns the backend that it was sent to at once, if any. `work` in ms, 0: no hint;
  /// the client gives up after `patience` ms.
  std::optional<BackendId> SubmitRequest(RequestId id, int request_class = 0, double work = 10,
                                         double patience = 1000, std::uint64_t key = 0) {
    Submit s;
    s.request = id;
    s.request_class = request_class;
    s.has_hint = work > 0;
    s.work_ms = work;
    s.key = key;
    s.due = At(now + patience);
    Handle(s);
    return SentTo(id);
  }

  /// An attempt ends `took` ms after its dispatch; a success settles the request.
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

  /// `ms` pass, and a timer fires.
  void AdvanceTime(double ms) {
    now += ms;
    Handle(TimerFired{});
  }

  /// Where the last event had a request sent to, if anywhere.
  std::optional<BackendId> SentTo(RequestId id) const {
    for (const Action& action : actions) {
      const auto* dispatch = std::get_if<Dispatch>(&action);
      if (dispatch && dispatch->request == id) return dispatch->server;
    }
    return std::nullopt;
  }

  /// Number of actions of type T that the last event caused.
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
