// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The decision module alone: what it does with the requests of a simulated proxy, and with events that no
/// proxy sends.
#include <gtest/gtest.h>

#include <array>
#include <limits>
#include <map>
#include <variant>

#include "badgerbridge/balancer.h"
#include "fingerprint/fingerprint.h"
#include "fingerprint/scenario.h"
#include "fingerprint/timeline.h"

namespace badgerbridge::fingerprint {
namespace {

using balancer::BackendId;
using balancer::Duration;
using balancer::Outcome;
using balancer::RequestId;
using balancer::TimePoint;

constexpr std::uint64_t kSeeds = 40;
constexpr Duration kRunTime{30000};
constexpr TimePoint kStart{Duration(100000)};
constexpr int kOutcomes = 9;

/// How often the runs met what they must meet, summed over the seeds.
struct Coverage {
  std::uint64_t events = 0;
  std::uint64_t dispatches = 0, retries = 0, timeouts = 0, limited_begins = 0;
  std::uint64_t cancellations = 0, rejections = 0, rejections_with_advice = 0, failures = 0;
  std::uint64_t timers = 0, subscriptions = 0, logs = 0;
  std::uint64_t ejected = 0, silent = 0, cold = 0, over_cold_budget = 0;  // servers in Inspect()
  std::uint64_t streams = 0, departures = 0;
  std::array<std::uint64_t, kOutcomes> outcomes{};
};

/// A proxy round the module: it sends what the module dispatches, and tells it what became of it.
class SimulatedProxy {
 public:
  SimulatedProxy(std::uint64_t seed, Coverage* coverage)
      : random_(seed),
        settings_(DrawSettings(&random_)),
        fleet_(settings_, &random_),
        clients_(settings_, fleet_, &random_),
        surroundings_(&fleet_, &timeline_, &random_,
                      {[this](const balancer::EndpointListUpdate& update) { Handle(update); },
                       [this](const balancer::ZoneQuotas& shares) { Handle(shares); }}),
        balancer_(settings_, random_.Next()),
        fingerprint_("decision_module", seed),
        coverage_(coverage) {}

  void Execute() {
    surroundings_.Start(kStart, kRunTime);
    timeline_.At(kStart, [this] { Arrive(); });
    timeline_.At(kStart, [this] { InspectRegularly(); });
    timeline_.At(kStart, [this] { SendNonsense(); });
    // Long enough for servers that are gone to be forgotten.
    if (random_.Chance(0.2)) quiet_from_ = kStart + kRunTime * 0.5;
    const TimePoint end = kStart + kRunTime + (quiet_from_ == TimePoint::max() ? Duration(0) : kQuietTime);
    for (std::size_t part = 1; part <= Fingerprint::kParts; ++part) {
      timeline_.RunUntil(kStart + (end - kStart) * (static_cast<double>(part) / Fingerprint::kParts));
      fingerprint_.EndPart();
    }
    coverage_->events += fingerprint_.steps();
    fingerprint_.Check();
  }

 private:
  static constexpr Duration kQuietTime{65000};

  struct Attempt {
    BackendId server = 0;
    TimePoint sent_at{};
    bool ended = false;
    bool must_end_cancelled = false;
  };
  struct Request {
    double work_ms = 0;
    TimePoint due{};
    std::vector<Attempt> attempts;
    bool settled = false;
  };

  // ---- what happens to the proxy ----

  void Arrive() {
    if (timeline_.now() >= quiet_from_ && timeline_.now() < quiet_from_ + kQuietTime) {
      timeline_.At(quiet_from_ + kQuietTime, [this] { Arrive(); });
      return;
    }
    balancer::Submit submit = clients_.DrawSubmit(timeline_.now());
    submit.request = ++last_request_;
    requests_[submit.request] = {submit.work_ms < 1e6 ? submit.work_ms : 10, submit.due, {}, false};
    timeline_.At(submit.due, [this, id = submit.request] { EndOfClientsTime(id); });
    Duration after{0};
    if (clients_.DrawDeparture(&after))
      timeline_.After(after, [this, id = submit.request] { LeaveClient(id); });
    timeline_.After(clients_.DrawPause(), [this] { Arrive(); });
    Handle(submit);
  }

  void EndOfClientsTime(RequestId id) {
    LeaveClient(id);
    for (std::size_t attempt = 0; attempt < requests_[id].attempts.size(); ++attempt)
      EndAttempt(id, attempt, Outcome::kTimeout);
  }

  void LeaveClient(RequestId id) {
    if (requests_[id].settled) return;
    requests_[id].settled = true;
    ++coverage_->departures;
    Handle(balancer::ClientDisconnected{id});
  }

  void EndAttempt(RequestId id, std::size_t number, Outcome outcome) {
    Request& request = requests_[id];
    Attempt& attempt = request.attempts[number];
    if (attempt.ended) return;
    attempt.ended = true;
    fleet_.FinishAttempt(attempt.server);
    balancer::AttemptEnded end;
    end.request = id;
    end.attempt = static_cast<int>(number);
    end.server = attempt.server;
    end.outcome = attempt.must_end_cancelled ? Outcome::kCancelled : outcome;
    end.took = timeline_.now() - attempt.sent_at;
    if (random_.Chance(0.001)) end.took = Duration(std::numeric_limits<double>::quiet_NaN());
    if (end.outcome == Outcome::kOk) request.settled = true;
    end.settled = request.settled;
    ++coverage_->outcomes[static_cast<std::size_t>(end.outcome)];
    Handle(end);
  }

  void StartStream(RequestId id, std::size_t attempt) {
    if (requests_[id].attempts[attempt].ended) return;
    ++coverage_->streams;
    Handle(balancer::StreamStarted{id, static_cast<int>(attempt)});
  }

  /// Events that the module must ignore or refuse.
  void SendNonsense() {
    const RequestId known = 1 + random_.Next() % (last_request_ + 1);
    balancer::Submit submit = clients_.DrawSubmit(timeline_.now());
    submit.request = RequestId{1} << 40;
    submit.request_class = random_.Chance(0.5) ? -1 : 100;
    Handle(submit);
    if (last_request_ > 0 && !requests_[last_request_].settled) {  // submitted already
      submit.request = last_request_;
      Handle(submit);
    }
    balancer::AttemptEnded end;
    end.request = known;
    end.attempt = random_.Integer(-1, 5);
    if (end.attempt < 0 || end.attempt > 3) Handle(end);
    Handle(balancer::ClientDisconnected{RequestId{1} << 41});
    Handle(balancer::StreamStarted{RequestId{1} << 41, 0});
    Handle(balancer::TimerFired{random_.Next()});
    timeline_.After(Duration(random_.Between(500, 4000)), [this] { SendNonsense(); });
  }

  void InspectRegularly() {
    const std::vector<balancer::BackendView> views = balancer_.Inspect();
    AddViews(views, &fingerprint_.digest());
    for (const balancer::BackendView& view : views) {
      coverage_->ejected += view.ejected;
      coverage_->silent += view.unresponsive;
      coverage_->cold += view.capacity_share < 1;
      coverage_->over_cold_budget +=
          view.capacity_share < 1 && view.slow_start_sent >= view.slow_start_budget;
    }
    timeline_.After(Duration(250), [this] { InspectRegularly(); });
  }

  // ---- what the module answers ----

  void Handle(const balancer::Event& event) {
    std::vector<balancer::Action> actions;
    balancer_.Handle(timeline_.now(), event, &actions);
    fingerprint_.digest().Add(actions.size());
    for (const balancer::Action& action : actions)
      std::visit([this](const auto& act) { Perform(act); }, action);
    fingerprint_.EndStep();
  }

  // The first number that each adds stands for the kind of action.
  void Perform(const balancer::Dispatch& action) {
    fingerprint_.digest().Add(1, action.request, action.server, action.timeout, action.begin_before);
    Request& request = requests_[action.request];
    const std::size_t number = request.attempts.size();
    request.attempts.push_back({action.server, timeline_.now(), false, false});
    ++coverage_->dispatches;
    coverage_->retries += number > 0;
    coverage_->timeouts += action.timeout > Duration(0);
    coverage_->limited_begins += action.begin_before != TimePoint::max();
    const AttemptEnding ending = fleet_.BeginAttempt(action.server, timeline_.now(), request.work_ms);
    const auto end_as = [this, id = action.request, number](Outcome outcome) {
      return [this, id, number, outcome] { EndAttempt(id, number, outcome); };
    };
    if (action.timeout > Duration(0)) timeline_.After(action.timeout, end_as(Outcome::kTimeout));
    if (ending.never) return;
    timeline_.After(ending.after, end_as(ending.outcome));
    if (random_.Chance(0.05))
      timeline_.After(ending.after * 0.5, [this, id = action.request, number] { StartStream(id, number); });
  }
  void Perform(const balancer::CancelAttempt& action) {
    fingerprint_.digest().Add(2, action.request, action.attempt);
    ++coverage_->cancellations;
    const auto number = static_cast<std::size_t>(action.attempt);
    requests_[action.request].attempts[number].must_end_cancelled = random_.Chance(0.9);
    timeline_.After(Duration(random_.Chance(0.5) ? 0 : 1),
                    [this, id = action.request, number] { EndAttempt(id, number, Outcome::kOk); });
  }
  void Perform(const balancer::Reject& action) {
    fingerprint_.digest().Add(3, action.request, action.retry_after);
    ++coverage_->rejections;
    coverage_->rejections_with_advice += action.retry_after > Duration(0);
    requests_[action.request].settled = true;
  }
  void Perform(const balancer::FailRequest& action) {
    fingerprint_.digest().Add(4, action.request);
    ++coverage_->failures;
    requests_[action.request].settled = true;
  }
  void Perform(const balancer::SetTimer& action) {
    fingerprint_.digest().Add(5, action.at, action.token);
    ++coverage_->timers;
    // Some callers round times: a timer may come late, or a little early.
    Duration error{0};
    if (random_.Chance(0.1)) error = Duration(random_.Between(-0.5, 5));
    timeline_.At(action.at + error, [this, token = action.token] { Handle(balancer::TimerFired{token}); });
  }
  void Perform(const balancer::Subscribe&) {
    fingerprint_.digest().Add(6);
    ++coverage_->subscriptions;
    if (random_.Chance(0.2)) return;  // the answer is lost
    timeline_.After(Duration(random_.Between(1, 300)), [this] { Handle(fleet_.AnswerCall()); });
  }
  void Perform(const balancer::Log&) {  // its text is for people, and may change
    fingerprint_.digest().Add(7);
    ++coverage_->logs;
  }

  Random random_;
  balancer::Settings settings_;
  SimulatedFleet fleet_;
  Clients clients_;
  Timeline timeline_;
  Surroundings surroundings_;
  balancer::Balancer balancer_;
  Fingerprint fingerprint_;
  Coverage* coverage_;
  std::map<RequestId, Request> requests_;
  RequestId last_request_ = 0;
  TimePoint quiet_from_ = TimePoint::max();
};

void ExpectAllCovered(const Coverage& coverage) {
  EXPECT_GE(coverage.events, 200000U);
  EXPECT_GT(coverage.dispatches, 10000U);
  EXPECT_GT(coverage.retries, 100U);
  EXPECT_GT(coverage.timeouts, 10U);
  EXPECT_GT(coverage.limited_begins, 10U);
  EXPECT_GT(coverage.cancellations, 10U);
  EXPECT_GT(coverage.rejections, 100U);
  EXPECT_GT(coverage.rejections_with_advice, 100U);
  EXPECT_GT(coverage.failures, 10U);
  EXPECT_GT(coverage.timers, 1000U);
  EXPECT_GT(coverage.subscriptions, 10U);
  EXPECT_GT(coverage.logs, 10U);
  EXPECT_GT(coverage.ejected, 10U);
  EXPECT_GT(coverage.silent, 10U);
  EXPECT_GT(coverage.cold, 10U);
  EXPECT_GT(coverage.over_cold_budget, 10U);
  EXPECT_GT(coverage.streams, 100U);
  EXPECT_GT(coverage.departures, 100U);
  for (int outcome = 0; outcome < kOutcomes; ++outcome)
    EXPECT_GT(coverage.outcomes[static_cast<std::size_t>(outcome)], 10U) << outcome;
}

TEST(DecisionModuleFingerprint, RandomEvents_SameActionsAsRecorded) {
  Coverage coverage;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) SimulatedProxy(seed, &coverage).Execute();
  ExpectAllCovered(coverage);
}

}  // namespace
}  // namespace badgerbridge::fingerprint
