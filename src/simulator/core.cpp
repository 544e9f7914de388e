// SPDX-License-Identifier: Apache-2.0
#include "simulator/core.h"

#include <utility>

namespace badgerbridge::simulator {
namespace {

using namespace balancer;

class Badgerbridge : public Core {
 public:
  Badgerbridge(const Settings& settings, std::uint64_t seed) : exchange_(settings, seed) {}
  RequestId Take(TimePoint now, Submit submit, Actions* out) override {
    return exchange_.Take(now, submit, out);
  }
  void Gone(TimePoint now, RequestId request, Actions* out) override { exchange_.Gone(now, request, out); }
  void Ended(TimePoint now, const request_table::Send& attempt, Outcome outcome, Actions* out) override {
    exchange_.Ended(now, attempt, outcome, out);
  }
  void List(TimePoint now, EndpointListUpdate update, Actions* out) override {
    exchange_.List(now, std::move(update), out);
  }
  void Shares(TimePoint now, ZoneQuotas shares, Actions* out) override {
    exchange_.Shares(now, std::move(shares), out);
  }
  void Wake(TimePoint now, Actions* out) override { exchange_.Wake(now, out); }
  std::optional<TimePoint> NextWake() const override { return exchange_.NextWake(); }
  const std::vector<request_table::Tally>& tallies() const override { return exchange_.tallies(); }

 private:
  request_table::Exchange exchange_;
};

}  // namespace

std::unique_ptr<Core> MakeBadgerbridge(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<Badgerbridge>(settings, seed);
}

}  // namespace badgerbridge::simulator
