// SPDX-License-Identifier: Apache-2.0
#include "simulator/core.h"

#include <utility>

namespace badgerbridge::simulator {
namespace {

using namespace balancer;

class Badgerbridge : public Core {
 public:
  Badgerbridge(const Settings& settings, std::uint64_t seed) : request_table_(settings, seed) {}
  RequestId Accept(TimePoint now, Submit submit, Actions* out) override {
    return request_table_.Accept(now, submit, out);
  }
  void ClientDisconnected(TimePoint now, RequestId request, Actions* out) override {
    request_table_.ClientDisconnected(now, request, out);
  }
  void AttemptEnded(TimePoint now, const request_table::Send& attempt, Outcome outcome,
                    Actions* out) override {
    request_table_.AttemptEnded(now, attempt, outcome, out);
  }
  void UpdateEndpoints(TimePoint now, EndpointListUpdate update, Actions* out) override {
    request_table_.UpdateEndpoints(now, std::move(update), out);
  }
  void UpdateZoneQuotas(TimePoint now, ZoneQuotas quotas, Actions* out) override {
    request_table_.UpdateZoneQuotas(now, std::move(quotas), out);
  }
  void Wake(TimePoint now, Actions* out) override { request_table_.Wake(now, out); }
  std::optional<TimePoint> NextWake() const override { return request_table_.NextWake(); }
  const std::vector<request_table::RequestCounters>& counters() const override {
    return request_table_.counters();
  }

 private:
  request_table::RequestTable request_table_;
};

}  // namespace

std::unique_ptr<Core> MakeBadgerbridge(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<Badgerbridge>(settings, seed);
}

}  // namespace badgerbridge::simulator
