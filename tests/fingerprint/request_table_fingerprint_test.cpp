// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The table of requests with the decision module inside: what a simulated proxy is told to send, cancel and
/// answer.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <utility>
#include <variant>

#include "fingerprint/fingerprint.h"
#include "fingerprint/scenario.h"
#include "fingerprint/timeline.h"
#include "request_table/request_table.h"

namespace badgerbridge::fingerprint {
namespace {

using balancer::Duration;
using balancer::Outcome;
using balancer::RequestId;
using balancer::TimePoint;
using request_table::Cancel;
using request_table::RequestTable;
using request_table::Respond;
using request_table::Send;
using request_table::Withdraw;

constexpr std::uint64_t kSeeds = 40;
constexpr Duration kRunTime{20000};
constexpr TimePoint kStart{Duration(100000)};
constexpr int kEndings = 4;

/// How often the runs met what they must meet, summed over the seeds.
struct Coverage {
  std::uint64_t calls = 0;
  std::uint64_t sends = 0, retries = 0, limited_begins = 0;
  std::uint64_t cancellations = 0, withdrawals = 0, subscriptions = 0, logs = 0, late_wakes = 0;
  std::array<std::uint64_t, kEndings> answers{};
  std::uint64_t client_left = 0;
};

/// A proxy round the table: it carries out what the table says.
class SimulatedProxy {
 public:
  SimulatedProxy(std::uint64_t seed, Coverage* coverage)
      : random_(seed),
        settings_(DrawSettings(&random_)),
        fleet_(settings_, &random_),
        clients_(settings_, fleet_, &random_),
        surroundings_(&fleet_, &timeline_, &random_,
                      {[this](balancer::EndpointListUpdate update) {
                         table_.UpdateEndpoints(timeline_.now(), std::move(update), &actions_);
                         EndCall();
                       },
                       [this](balancer::ZoneQuotas shares) {
                         table_.UpdateZoneQuotas(timeline_.now(), std::move(shares), &actions_);
                         EndCall();
                       }}),
        table_(settings_, random_.Next()),
        fingerprint_("request_table", seed),
        coverage_(coverage) {}

  void Execute() {
    surroundings_.Start(kStart, kRunTime);
    timeline_.At(kStart, [this] { Arrive(); });
    for (std::size_t part = 1; part <= Fingerprint::kParts; ++part) {
      timeline_.RunUntil(kStart + kRunTime * (static_cast<double>(part) / Fingerprint::kParts));
      AddState();
      fingerprint_.EndPart();
    }
    coverage_->calls += fingerprint_.steps();
    fingerprint_.Check();
  }

 private:
  struct Attempt {
    Send send;
    bool ended = false;
  };

  // ---- what happens to the proxy ----

  void Arrive() {
    balancer::Submit submit = clients_.DrawSubmit(timeline_.now());
    if (random_.Chance(0.01))
      submit.due = timeline_.now() + Duration(random_.Between(-2, 12));  // too late, or nearly
    pending_work_ms_ = submit.work_ms < 1e6 ? submit.work_ms : 10;
    const RequestId id = table_.Accept(timeline_.now(), submit, &actions_);
    newest_request_ = id;
    work_ms_[id] = pending_work_ms_;
    Duration after{0};
    if (clients_.DrawDeparture(&after)) timeline_.After(after, [this, id] { LeaveClient(id); });
    timeline_.At(submit.due, [this, id] { LeaveClient(id); });
    timeline_.After(clients_.DrawPause(), [this] { Arrive(); });
    fingerprint_.digest().Add(id);
    EndCall();
  }

  void LeaveClient(RequestId id) {
    table_.ClientDisconnected(timeline_.now(), id, &actions_);
    EndCall();
  }

  void EndAttempt(RequestId id, int number, Outcome outcome) {
    Attempt& attempt = attempts_.at({id, number});
    if (attempt.ended) return;
    attempt.ended = true;
    fleet_.FinishAttempt(attempt.send.server);
    table_.AttemptEnded(timeline_.now(), attempt.send, outcome, &actions_);
    EndCall();
  }

  void Wake() {
    if (!next_wake_ || *next_wake_ > timeline_.now()) return;  // another call came first
    next_wake_.reset();
    // A client may leave just as a timer of the module is due, which may dispatch its request in the same
    // call.
    if (random_.Chance(0.1) && newest_request_ > 0) LeaveClient(newest_request_);
    table_.Wake(timeline_.now(), &actions_);
    EndCall();
  }

  // ---- what the table answers ----

  void EndCall() {
    const RequestTable::Actions actions = std::exchange(actions_, {});
    fingerprint_.digest().Add(actions.size());
    for (const request_table::Action& action : actions)
      std::visit([this](const auto& act) { Perform(act); }, action);
    const auto wake = table_.NextWake();
    fingerprint_.digest().Add(table_.open(), wake.has_value());
    if (wake) ScheduleWake(*wake);
    fingerprint_.EndStep();
  }

  void ScheduleWake(TimePoint wake) {
    fingerprint_.digest().Add(wake);
    if (next_wake_ && *next_wake_ <= wake && *next_wake_ >= timeline_.now()) return;
    const bool late = random_.Chance(0.05);
    coverage_->late_wakes += late;
    next_wake_ = std::max(wake, timeline_.now());
    if (late) next_wake_ = *next_wake_ + Duration(random_.Between(0, 40));
    timeline_.At(*next_wake_, [this] { Wake(); });
  }

  // The first number that each adds stands for the kind of action.
  void Perform(const Send& send) {
    fingerprint_.digest().Add(1, send.request, send.attempt, send.server);
    fingerprint_.digest().Add(send.timeout, send.sent_at, send.begin_before);
    ++coverage_->sends;
    coverage_->retries += send.attempt > 0;
    coverage_->limited_begins += send.begin_before != TimePoint::max();
    const auto found = work_ms_.find(send.request);
    const double work_ms = found == work_ms_.end() ? pending_work_ms_ : found->second;
    attempts_[{send.request, send.attempt}] = {send, false};
    const AttemptEnding ending = fleet_.BeginAttempt(send.server, timeline_.now(), work_ms);
    // A busy proxy tells the table late, perhaps after the last moment at which the table answers by itself.
    const Duration late{random_.Chance(0.1) ? random_.Between(0, 10) : 0};
    ScheduleEnd(send, send.timeout + late, Outcome::kTimeout);
    if (!ending.never) ScheduleEnd(send, ending.after, ending.outcome);
  }
  void Perform(const Cancel& action) {
    fingerprint_.digest().Add(2, action.request, action.attempt);
    ++coverage_->cancellations;
    const Outcome outcome = random_.Chance(0.9) ? Outcome::kCancelled : Outcome::kOk;
    const Duration after(random_.Integer(0, 1));
    ScheduleEnd(attempts_.at({action.request, action.attempt}).send, after, outcome);
  }
  void Perform(const Withdraw& action) {
    fingerprint_.digest().Add(3, action.request, action.attempt);
    ++coverage_->withdrawals;
    if (random_.Chance(0.3)) return;  // it has been written whole, and ends as it does
    ScheduleEnd(attempts_.at({action.request, action.attempt}).send, Duration(random_.Integer(0, 1)),
                Outcome::kNotSent);
  }
  void Perform(const Respond& action) {
    fingerprint_.digest().Add(4, action.request, action.outcome, action.retry_after);
    ++coverage_->answers[static_cast<std::size_t>(action.outcome)];
  }
  void Perform(const balancer::Subscribe&) {
    fingerprint_.digest().Add(5);
    ++coverage_->subscriptions;
    timeline_.After(Duration(random_.Between(1, 300)), [this] {
      table_.UpdateEndpoints(timeline_.now(), fleet_.AnswerCall(), &actions_);
      EndCall();
    });
  }
  void Perform(const balancer::Log&) {  // its text is for people, and may change
    fingerprint_.digest().Add(6);
    ++coverage_->logs;
  }

  void ScheduleEnd(const Send& send, Duration after, Outcome outcome) {
    timeline_.After(after, [this, id = send.request, number = send.attempt, outcome] {
      EndAttempt(id, number, outcome);
    });
  }

  void AddState() {
    AddViews(table_.Inspect(), &fingerprint_.digest());
    for (const request_table::RequestCounters& counters : table_.counters()) {
      fingerprint_.digest().Add(counters.accepted, counters.served, counters.rejected, counters.failed,
                                counters.open);
      fingerprint_.digest().Add(counters.client_disconnected, counters.deadline_fallback);
      coverage_->client_left += counters.client_disconnected;
    }
  }

  Random random_;
  balancer::Settings settings_;
  SimulatedFleet fleet_;
  Clients clients_;
  Timeline timeline_;
  Surroundings surroundings_;
  RequestTable table_;
  Fingerprint fingerprint_;
  Coverage* coverage_;
  RequestTable::Actions actions_;  // of the call that is under way
  std::map<std::pair<RequestId, int>, Attempt> attempts_;
  RequestId newest_request_ = 0;
  std::map<RequestId, double> work_ms_;
  double pending_work_ms_ = 0;  // of the request that is being taken, whose number is not known yet
  std::optional<TimePoint> next_wake_;
};

void ExpectAllCovered(const Coverage& coverage) {
  EXPECT_GE(coverage.calls, 150000U);
  EXPECT_GT(coverage.sends, 10000U);
  EXPECT_GT(coverage.retries, 100U);
  EXPECT_GT(coverage.limited_begins, 10U);
  EXPECT_GT(coverage.cancellations, 10U);
  EXPECT_GT(coverage.withdrawals, 100U);
  EXPECT_GT(coverage.subscriptions, 10U);
  EXPECT_GT(coverage.logs, 10U);
  EXPECT_GT(coverage.late_wakes, 10U);
  EXPECT_GT(coverage.client_left, 100U);
  for (int ending = 0; ending < kEndings; ++ending)
    EXPECT_GT(coverage.answers[static_cast<std::size_t>(ending)], 10U) << ending;
}

TEST(RequestTableFingerprint, RandomEvents_SameActionsAsRecorded) {
  Coverage coverage;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) SimulatedProxy(seed, &coverage).Execute();
  ExpectAllCovered(coverage);
}

}  // namespace
}  // namespace badgerbridge::fingerprint
