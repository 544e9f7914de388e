// SPDX-License-Identifier: Apache-2.0
//
// Cores with one fault each, which the checker of rules must find.
#include "simulator/rule_checker.h"

#include <gtest/gtest.h>

#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "simulator/delegating_core.h"
#include "simulator/simulation.h"
#include "simulator/small_model.h"

namespace badgerbridge::simulator {
namespace {

using namespace balancer;
using Kind = ScenarioEvent::Kind;

// Retries a certify request after an error, though it has run.
class RepeatingCore : public DelegatingCore {
 public:
  using DelegatingCore::DelegatingCore;
  RequestId Accept(TimePoint now, Submit submit, Actions* actions) override {
    classes_.push_back(submit.request_class);
    return core_->Accept(now, submit, actions);
  }
  void AttemptEnded(TimePoint now, const request_table::Send& attempt, Outcome outcome,
                    Actions* actions) override {
    const bool certify = classes_[attempt.request - 1] == 2;
    if (certify && attempt.attempt == 0 && outcome == Outcome::kError) {
      request_table::Send again = attempt;
      again.attempt = 1;
      again.sent_at = now;
      actions->push_back(again);
      return;
    }
    core_->AttemptEnded(now, attempt, outcome, actions);
  }

 private:
  std::vector<int> classes_;  // by request
};

// Does not respond to rejected requests.
class SilentCore : public DelegatingCore {
 public:
  using DelegatingCore::DelegatingCore;
  void Wake(TimePoint now, Actions* actions) override {
    core_->Wake(now, actions);
    std::erase_if(*actions, [](const request_table::Action& action) {
      return std::holds_alternative<request_table::Respond>(action);
    });
  }
};

// DrainIgnoringCore drains.
class DrainIgnoringCore : public DelegatingCore {
 public:
  using DelegatingCore::DelegatingCore;
  void UpdateEndpoints(TimePoint now, EndpointListUpdate update, Actions* actions) override {
    for (BackendEntry& entry : update.entries) entry.state = BackendState::kReady;
    core_->UpdateEndpoints(now, std::move(update), actions);
  }
};

// Sends all previews to the backend that started last.
class HerdingCore : public DelegatingCore {
 public:
  using DelegatingCore::DelegatingCore;
  void UpdateEndpoints(TimePoint now, EndpointListUpdate update, Actions* actions) override {
    if (update.kind == EndpointListKind::kDelta) newest_ = update.entries.front().server;
    core_->UpdateEndpoints(now, std::move(update), actions);
  }
  RequestId Accept(TimePoint now, Submit submit, Actions* actions) override {
    const RequestId request = core_->Accept(now, submit, actions);
    for (request_table::Action& action : *actions) {
      if (auto* send = std::get_if<request_table::Send>(&action);
          send && newest_ != 0 && submit.request_class == 0)
        send->server = newest_;
    }
    return request;
  }

 private:
  BackendId newest_ = 0;
};

/// The first violation of a run with this core, if there is one.
template <typename CoreType>
std::optional<Violation> FirstViolation(const Model& model) {
  return Simulation(model, 1, FactoryOf<CoreType>()).Run().violation;
}

TEST(RuleChecker, CoreWithOneFault_ItsRuleIsViolated) {
  Model wrong = SmallModel();
  wrong.events = {{1000, Kind::kErrors, -1, 1, 0.02}};
  const auto twice = FirstViolation<RepeatingCore>(wrong);
  ASSERT_TRUE(twice);
  EXPECT_EQ(twice->rule, Rule::kNoRepeatedEffect) << twice->description;

  Model crowd = SmallModel();
  crowd.events = {{1000, Kind::kLoad, -1, 1, 4}};
  const auto lost = FirstViolation<SilentCore>(crowd);
  ASSERT_TRUE(lost);
  EXPECT_EQ(lost->rule, Rule::kNoRequestLost) << lost->description;

  Model drains = SmallModel();
  drains.events = {{1000, Kind::kDrain, -1, 0.25, 0}};
  const auto drain = FirstViolation<DrainIgnoringCore>(drains);
  ASSERT_TRUE(drain);
  EXPECT_EQ(drain->rule, Rule::kDrainsKept) << drain->description;

  Model starts = SmallModel();
  starts.events = {{1000, Kind::kStart, 0, 0.25, 0}};
  const auto cold = FirstViolation<HerdingCore>(starts);
  ASSERT_TRUE(cold);
  EXPECT_EQ(cold->rule, Rule::kSlowStartKept) << cold->description;
  EXPECT_FALSE(FirstViolation<DelegatingCore>(starts)) << "and is not, where nothing is wrong";
}

}  // namespace
}  // namespace badgerbridge::simulator
