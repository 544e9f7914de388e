// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A test harness for the request table: it simulates clients, servers and the clock, and checks the
/// invariants after each step.
#ifndef BADGERBRIDGE_TESTS_REQUEST_TABLE_REQUEST_TABLE_HARNESS_H_
#define BADGERBRIDGE_TESTS_REQUEST_TABLE_REQUEST_TABLE_HARNESS_H_

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "harness.h"
#include "request_table/request_table.h"

namespace badgerbridge::request_table::testing {

using namespace balancer;
using balancer::testing::At;
using balancer::testing::Entry;

/// Whether an attempt with this outcome may have had an effect (the protocol's table of outcomes).
inline bool MayHaveRun(Outcome outcome) {
  return outcome != Outcome::kRejected && outcome != Outcome::kConnectFailed && outcome != Outcome::kNotSent;
}

/// A request table with its clients, servers and clock. After each step it checks the invariants stated in
/// request_table.h, and the retry rules that the table and the decision module enforce together.
class Harness {
 public:
  Harness(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), table_(settings_, seed) {}

  /// The state of a request as observed from outside the table.
  struct Request {
    int request_class = 0;
    TimePoint deadline{};
    int attempts = 0;
    int responses = 0;
    bool in_flight = false;  // its newest attempt has not ended
    bool may_have_run = false;
    bool disconnected = false;
    bool withdrawn = false;  // the attempt in flight has been withdrawn
    int cell = 0;            // cell of the first attempt that may have run
    TimePoint first_run{};
    RequestOutcome outcome = RequestOutcome::kFailed;
  };

  double now = 100000;  // ms
  std::map<RequestId, Request> requests;
  std::vector<Send> in_flight;  // attempts that have not ended
  std::map<BackendId, BackendEntry> servers;
  int sends = 0;
  int retries = 0;
  int cancels = 0;
  int responses = 0;
  int withdrawals = 0;

  /// Sends a request of a client with a deadline after `timeout_ms`. `key` 0: no routing key.
  RequestId Accept(int request_class, double timeout_ms, std::uint64_t key = 0) {
    Submit submit;
    submit.request_class = request_class;
    submit.due = At(now + timeout_ms);
    submit.key = key;
    submit.has_hint = true;
    submit.work_ms = 10;
    Actions actions;
    // Recorded first, because the call that returns the id may already append actions for it.
    Request request;
    request.request_class = request_class;
    request.deadline = submit.due;
    const RequestId id = next_request_++;
    requests[id] = request;
    EXPECT_EQ(table_.Accept(At(now), submit, &actions), id);
    Check(actions);
    return id;
  }

  void Disconnect(RequestId id) {
    Actions actions;
    if (requests.at(id).responses == 0) requests.at(id).disconnected = true;
    table_.ClientDisconnected(At(now), id, &actions);
    Check(actions);
  }

  /// Ends the attempt at `index` of `in_flight`.
  void EndAttempt(std::size_t index, Outcome outcome) {
    const Send send = in_flight.at(index);
    in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    Request& request = requests.at(send.request);
    request.in_flight = false;
    request.withdrawn = false;
    if (MayHaveRun(outcome) && !request.may_have_run) {
      request.may_have_run = true;
      request.first_run = send.sent_at;
      request.cell = servers.at(send.server).cell;
    }
    Actions actions;
    table_.AttemptEnded(At(now), send, outcome, &actions);
    if (outcome == Outcome::kOk && !request.disconnected && request.responses == 0) {
      ASSERT_FALSE(actions.empty());
      const auto* respond = std::get_if<Respond>(&actions.front());
      ASSERT_TRUE(respond && respond->request == send.request && respond->outcome == RequestOutcome::kServed);
    }
    Check(actions);
  }

  void UpdateEndpoint(const BackendEntry& entry) {
    servers[entry.server] = entry;
    Actions actions;
    table_.UpdateEndpoints(At(now), {EndpointListKind::kDelta, {entry}}, &actions);
    Check(actions);
  }

  void Wake() {
    Actions actions;
    table_.Wake(At(now), &actions);
    Check(actions);
  }

  std::optional<TimePoint> NextWake() const { return table_.NextWake(); }
  const RequestTable& table() const { return table_; }

 private:
  using Actions = RequestTable::Actions;

  const ClassSettings& SettingsOf(const Request& request) const {
    return settings_.classes[static_cast<std::size_t>(request.request_class)];
  }

  void Check(const Actions& actions) {
    for (const Action& action : actions) std::visit([this](const auto& a) { Record(a); }, action);
    CheckCounters();
    for (const auto& [id, request] : requests) {
      EXPECT_EQ(table_.IsOpen(id), request.responses == 0 && !request.disconnected) << id;
      // An attempt in flight is withdrawn exactly if its request is complete.
      EXPECT_EQ(request.in_flight && !table_.IsOpen(id), request.withdrawn) << id;
      if (table_.IsOpen(id)) {
        EXPECT_LT(now, request.deadline.time_since_epoch().count()) << id;
      }
    }
  }

  void CheckCounters() const {
    std::size_t open = 0;
    for (const RequestCounters& counters : table_.counters()) {
      EXPECT_EQ(counters.accepted, counters.served + counters.rejected + counters.failed + counters.open);
      EXPECT_GE(counters.failed, counters.client_disconnected + counters.deadline_fallback);
      open += counters.open;
    }
    EXPECT_EQ(open, table_.open());
  }

  void Record(const Send& send) {
    ++sends;
    if (send.attempt > 0) ++retries;
    Request& request = requests.at(send.request);
    EXPECT_FALSE(request.in_flight) << "one attempt in flight at a time";
    EXPECT_EQ(request.responses, 0) << "no attempt is sent for a completed request";
    EXPECT_EQ(send.attempt, request.attempts);
    EXPECT_LT(send.attempt, settings_.max_attempts);
    EXPECT_GT(send.timeout.count(), 0);
    EXPECT_LT(At(now) + send.timeout, request.deadline);
    EXPECT_EQ(send.sent_at, At(now));
    EXPECT_EQ(servers.at(send.server).state, BackendState::kReady);
    CheckRetryRules(send, request);
    request.in_flight = true;
    ++request.attempts;
    in_flight.push_back(send);
  }

  /// Checks which attempts may be sent after one that may have had an effect (the protocol's rules for each
  /// class).
  void CheckRetryRules(const Send& send, const Request& request) const {
    const ClassSettings& settings = SettingsOf(request);
    if (request.may_have_run) {
      EXPECT_NE(settings.idempotency, Idempotency::kNotIdempotent);
      if (settings.idempotency == Idempotency::kIdempotencyKey) {
        EXPECT_EQ(servers.at(send.server).cell, request.cell);
        EXPECT_LE(At(now) - request.first_run, settings.deduplication_window);
        EXPECT_LE(send.begin_before - request.first_run, settings.deduplication_window);
        EXPECT_LT(At(now), send.begin_before);
      }
    }
    if (!request.may_have_run || settings.idempotency == Idempotency::kIdempotent) {
      EXPECT_EQ(send.begin_before, TimePoint::max());
    }
  }

  void Record(const Cancel& cancel) {
    ++cancels;
    EXPECT_EQ(cancel.attempt, requests.at(cancel.request).attempts - 1);
  }

  void Record(const Withdraw& withdraw) {
    ++withdrawals;
    Request& request = requests.at(withdraw.request);
    EXPECT_TRUE(request.in_flight);
    EXPECT_FALSE(request.withdrawn);
    EXPECT_EQ(withdraw.attempt, request.attempts - 1);
    request.withdrawn = true;
  }

  void Record(const Respond& respond) {
    ++responses;
    Request& request = requests.at(respond.request);
    EXPECT_EQ(++request.responses, 1);
    EXPECT_FALSE(request.disconnected);
    EXPECT_LT(At(now), request.deadline);
    request.outcome = respond.outcome;
    if (respond.outcome != RequestOutcome::kRejected) return;
    EXPECT_FALSE(request.in_flight && SettingsOf(request).idempotency == Idempotency::kNotIdempotent);
    if (SettingsOf(request).idempotency == Idempotency::kNotIdempotent) {
      EXPECT_FALSE(request.may_have_run) << "a rejection says that a retry is harmless";
    }
  }

  void Record(const Subscribe&) {}
  void Record(const Log&) {}

  Settings settings_;
  RequestTable table_;
  RequestId next_request_ = 1;
};

/// Adds ready servers with ids from 1 on, in two cells.
inline void AddServers(Harness& harness, int count) {
  for (int i = 1; i <= count; ++i) harness.UpdateEndpoint(Entry(static_cast<BackendId>(i), 0, i % 2));
}

}  // namespace badgerbridge::request_table::testing

#endif  // BADGERBRIDGE_TESTS_REQUEST_TABLE_REQUEST_TABLE_HARNESS_H_
