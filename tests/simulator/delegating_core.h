// SPDX-License-Identifier: Apache-2.0
//
// A core for tests that change one thing of the product's.
#ifndef BADGERBRIDGE_TESTS_SIMULATOR_DELEGATING_CORE_H_
#define BADGERBRIDGE_TESTS_SIMULATOR_DELEGATING_CORE_H_

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "simulator/core.h"

namespace badgerbridge::simulator {

/// Passes every call on to the product's core; tests override one of them.
class DelegatingCore : public Core {
 public:
  DelegatingCore(const balancer::Settings& settings, std::uint64_t seed)
      : core_(MakeRequestTableCore(settings, seed)) {}
  balancer::RequestId Accept(balancer::TimePoint now, balancer::Submit submit, Actions* actions) override {
    return core_->Accept(now, submit, actions);
  }
  void ClientDisconnected(balancer::TimePoint now, balancer::RequestId request, Actions* actions) override {
    core_->ClientDisconnected(now, request, actions);
  }
  void AttemptEnded(balancer::TimePoint now, const request_table::Send& attempt, balancer::Outcome outcome,
                    Actions* actions) override {
    core_->AttemptEnded(now, attempt, outcome, actions);
  }
  void UpdateEndpoints(balancer::TimePoint now, balancer::EndpointListUpdate update,
                       Actions* actions) override {
    core_->UpdateEndpoints(now, std::move(update), actions);
  }
  void Wake(balancer::TimePoint now, Actions* actions) override { core_->Wake(now, actions); }
  std::optional<balancer::TimePoint> NextWake() const override { return core_->NextWake(); }
  const std::vector<request_table::RequestCounters>& counters() const override { return core_->counters(); }

 protected:
  std::unique_ptr<Core> core_;
};

/// A factory of such cores.
template <typename CoreType>
CoreFactory FactoryOf() {
  return [](const balancer::Settings& settings, std::uint64_t seed) {
    return std::make_unique<CoreType>(settings, seed);
  };
}

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_TESTS_SIMULATOR_DELEGATING_CORE_H_
