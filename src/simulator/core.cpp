// SPDX-License-Identifier: Apache-2.0
#include "simulator/core.h"

#include <utility>

namespace badgerbridge::simulator {
namespace {

using namespace balancer;

class RequestTableCore : public Core {
 public:
  RequestTableCore(const Settings& settings, std::uint64_t seed) : request_table_(settings, seed) {}
  RequestId Accept(TimePoint now, Submit submit, Actions* actions) override {
    return request_table_.Accept(now, submit, actions);
  }
  void ClientDisconnected(TimePoint now, RequestId request, Actions* actions) override {
    request_table_.ClientDisconnected(now, request, actions);
  }
  void AttemptEnded(TimePoint now, const request_table::Send& attempt, Outcome outcome,
                    Actions* actions) override {
    request_table_.AttemptEnded(now, attempt, outcome, actions);
  }
  void UpdateEndpoints(TimePoint now, EndpointListUpdate update, Actions* actions) override {
    request_table_.UpdateEndpoints(now, std::move(update), actions);
  }
  void UpdateZoneQuotas(TimePoint now, ZoneQuotas quotas, Actions* actions) override {
    request_table_.UpdateZoneQuotas(now, std::move(quotas), actions);
  }
  void Wake(TimePoint now, Actions* actions) override { request_table_.Wake(now, actions); }
  std::optional<TimePoint> NextWake() const override { return request_table_.NextWake(); }
  const std::vector<request_table::RequestCounters>& counters() const override {
    return request_table_.counters();
  }

 private:
  request_table::RequestTable request_table_;
};

}  // namespace

std::unique_ptr<Core> MakeRequestTableCore(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<RequestTableCore>(settings, seed);
}

}  // namespace badgerbridge::simulator
