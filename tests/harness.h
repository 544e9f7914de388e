// SPDX-License-Identifier: Apache-2.0
//
// A Balancer under test, its clock, and short ways to say what happens.
#ifndef BADGERBRIDGE_TESTS_HARNESS_H_
#define BADGERBRIDGE_TESTS_HARNESS_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "badgerbridge/balancer.h"

namespace badgerbridge::balancer::testing {

inline TimePoint At(double ms) { return TimePoint(Duration(ms)); }

inline ClassSettings Class(Idempotency effect, double latency_objective = 200, double deadline = 1000) {
  ClassSettings c;
  c.effect = effect;
  c.latency_objective = Duration(latency_objective);
  c.deadline = Duration(deadline);
  c.window = Duration(500);
  return c;
}

// Three classes: 0 safe, 1 keyed (cell), 2 unsafe.
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

class Rig {
 public:
  explicit Rig(Settings settings = Usual(), std::uint64_t seed = 1) : balancer_(std::move(settings), seed) {}

  double now = 100000;
  std::vector<Action> actions;  // of the last event

  const std::vector<Action>& Do(const Event& event) {
    actions.clear();
    balancer_.Handle(At(now), event, &actions);
    for (const Action& a : actions) {
      if (const auto* d = std::get_if<Dispatch>(&a)) ++attempts_[d->request], sent.push_back(*d);
    }
    return actions;
  }
  void List(std::vector<BackendEntry> entries, EndpointListKind kind = EndpointListKind::kFull) {
    Do(EndpointListUpdate{kind, std::move(entries)});
  }
  // What the module holds of a server.
  BackendView View(BackendId id) const {
    for (const BackendView& view : balancer_.Inspect()) {
      if (view.entry.server == id) return view;
    }
    return {};
  }
  void Servers(int n) {
    std::vector<BackendEntry> entries;
    for (int i = 1; i <= n; ++i) entries.push_back(Entry(static_cast<BackendId>(i)));
    List(entries);
  }
  // Submits and returns the server it was sent to at once, if any.
  std::optional<BackendId> Ask(RequestId id, int cls = 0, double work = 10, double patience = 1000,
                               std::uint64_t key = 0) {
    Submit s;
    s.request = id;
    s.request_class = cls;
    s.has_hint = work > 0;
    s.work_ms = work;
    s.key = key;
    s.due = At(now + patience);
    Do(s);
    return SentTo(id);
  }
  void End(RequestId id, int attempt, BackendId server, Outcome outcome, double took = 10,
           bool settled = false) {
    AttemptEnded e;
    e.request = id;
    e.attempt = attempt;
    e.server = server;
    e.outcome = outcome;
    e.settled = settled || outcome == Outcome::kOk;
    e.took = Duration(took);
    Do(e);
  }
  void Tick(double ms) {
    now += ms;
    Do(TimerFired{});
  }
  std::optional<BackendId> SentTo(RequestId id) const {
    for (const Action& a : actions) {
      const auto* d = std::get_if<Dispatch>(&a);
      if (d && d->request == id) return d->server;
    }
    return std::nullopt;
  }
  template <typename T>
  int Count() const {
    int n = 0;
    for (const Action& a : actions) n += std::holds_alternative<T>(a);
    return n;
  }

  std::vector<Dispatch> sent;

 private:
  Balancer balancer_;
  std::map<RequestId, int> attempts_;
};

}  // namespace badgerbridge::balancer::testing

#endif  // BADGERBRIDGE_TESTS_HARNESS_H_
