// SPDX-License-Identifier: Apache-2.0
#include "simulator/referee.h"

#include <utility>

namespace badgerbridge::simulator {

std::string_view Name(Rule rule) {
  switch (rule) {
    case Rule::kLost:
      return "no request is lost";
    case Rule::kTwice:
      return "nothing takes effect twice";
    case Rule::kDrain:
      return "drains are kept";
    case Rule::kCold:
      return "a cold converter is not pushed over";
    case Rule::kTotals:
      return "totals add up";
  }
  return "";
}

void Referee::Break(Rule rule, TimePoint now, std::uint64_t step, std::string what) {
  if (!breach_) breach_ = Breach{rule, now, step, std::move(what)};
}

void Referee::Answered(TimePoint now, std::uint64_t step, Trace& trace, const balancer::ClassSettings& rules,
                       bool refused) {
  if (trace.answered) Break(Rule::kLost, now, step, "a second answer");
  if (trace.left) return;
  if (now > trace.due) Break(Rule::kLost, now, step, "an answer after the client's time");
  trace.answered = true;
  trace.refused = refused && rules.effect == balancer::Idempotency::kNotIdempotent;
  if (trace.refused && trace.effects > 0)
    Break(Rule::kTwice, now, step, "a refusal of what has taken effect");
}

void Referee::TimeUp(TimePoint now, std::uint64_t step, const Trace& trace, bool proxy_lives) {
  if (!trace.answered && !trace.left && proxy_lives)
    Break(Rule::kLost, now, step, "no answer in the client's time from proxy " + std::to_string(trace.proxy));
}

void Referee::Sent(TimePoint now, std::uint64_t step, const Trace& trace,
                   std::optional<TimePoint> draining_since, std::uint32_t backend) {
  if (trace.answered) Break(Rule::kLost, now, step, "an attempt after the final answer");
  if (trace.attempts_out > 1) Break(Rule::kTwice, now, step, "two attempts of a request out at a time");
  if (draining_since && now - *draining_since > drain_grace_)
    Break(Rule::kDrain, now, step,
          "proxy " + std::to_string(trace.proxy) + " sends to converter " + std::to_string(backend) + " " +
              std::to_string(static_cast<long>((now - *draining_since).count())) +
              " ms after it was told off");
}

bool Referee::Idempotency(TimePoint now, std::uint64_t step, Trace& trace,
                          const balancer::ClassSettings& rules, int group) {
  if (trace.refused) Break(Rule::kTwice, now, step, "what was refused takes effect");
  const bool first = trace.effects == 0;
  const bool dropped = !first && rules.effect == balancer::Idempotency::kIdempotencyKey &&
                       group == trace.group && now - trace.effect_at <= rules.window;
  if (dropped) return false;
  ++trace.effects;
  if (first) trace.group = group, trace.effect_at = now;
  if (!first && rules.effect != balancer::Idempotency::kIdempotent)
    Break(Rule::kTwice, now, step, "a second effect of a request");
  return true;
}

void Referee::Came(TimePoint now, std::uint64_t step, std::size_t backend, double work, bool told) {
  if (!slow_starts_[backend].Came(now, work, told)) return;
  Break(Rule::kCold, now, step,
        "converter " + std::to_string(backend) + " was sent more than its slow start allows");
}

SlowStartShares Referee::worst_slow_start() const {
  SlowStartShares worst;
  for (const SlowStart& one : slow_starts_) worst.Raise(one.worst());
  return worst;
}

void Referee::Fell(TimePoint now, std::uint64_t step, std::uint32_t backend) {
  Break(Rule::kCold, now, step, "converter " + std::to_string(backend) + " was pushed over while cold");
}

void Referee::Totals(TimePoint now, std::uint64_t step, bool add_up, std::uint32_t proxy) {
  if (!add_up)
    Break(Rule::kTotals, now, step, "the tally of proxy " + std::to_string(proxy) + " does not add up");
}

}  // namespace badgerbridge::simulator
