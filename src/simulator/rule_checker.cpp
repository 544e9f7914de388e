// SPDX-License-Identifier: Apache-2.0
#include "simulator/rule_checker.h"

#include <utility>

namespace badgerbridge::simulator {

using balancer::Idempotency;

std::string_view Name(Rule rule) {
  switch (rule) {
    case Rule::kNoRequestLost:
      return "no request is lost";
    case Rule::kNoRepeatedEffect:
      return "nothing takes effect twice";
    case Rule::kDrainsKept:
      return "drains are kept";
    case Rule::kSlowStartKept:
      return "a cold converter is not pushed over";
    case Rule::kCountersConsistent:
      return "totals add up";
  }
  return "";
}

void RuleChecker::Violate(Rule rule, std::string description) {
  if (!violation_) violation_ = Violation{rule, queue_.now(), queue_.steps(), std::move(description)};
}

void RuleChecker::OnResponse(Submission& submission, const balancer::ClassSettings& rules,
                             bool is_rejection) {
  if (submission.is_answered) Violate(Rule::kNoRequestLost, "a second answer");
  if (submission.has_disconnected) return;
  if (queue_.now() > submission.deadline) Violate(Rule::kNoRequestLost, "an answer after the client's time");
  submission.is_answered = true;
  submission.is_rejected = is_rejection && rules.idempotency == Idempotency::kNotIdempotent;
  if (submission.is_rejected && submission.effects > 0)
    Violate(Rule::kNoRepeatedEffect, "a refusal of what has taken effect");
}

void RuleChecker::OnDeadline(const Submission& submission, bool is_proxy_alive) {
  if (!submission.is_answered && !submission.has_disconnected && is_proxy_alive)
    Violate(Rule::kNoRequestLost,
            "no answer in the client's time from proxy " + std::to_string(submission.proxy));
}

void RuleChecker::OnAttemptSent(const Submission& submission, std::optional<TimePoint> draining_since,
                                std::size_t backend) {
  if (submission.is_answered) Violate(Rule::kNoRequestLost, "an attempt after the final answer");
  if (submission.pending_attempts > 1)
    Violate(Rule::kNoRepeatedEffect, "two attempts of a request out at a time");
  if (!draining_since || queue_.now() - *draining_since <= drain_grace_) return;
  const auto since_ms = static_cast<long>((queue_.now() - *draining_since).count());
  Violate(Rule::kDrainsKept, "proxy " + std::to_string(submission.proxy) + " sends to converter " +
                                 std::to_string(backend) + " " + std::to_string(since_ms) +
                                 " ms after it was told off");
}

bool RuleChecker::OnAttemptRuns(Submission& submission, const balancer::ClassSettings& rules,
                                int deduplication_scope) {
  if (submission.is_rejected) Violate(Rule::kNoRepeatedEffect, "what was refused takes effect");
  const bool is_first = submission.effects == 0;
  const bool is_dropped = !is_first && rules.idempotency == Idempotency::kIdempotencyKey &&
                          deduplication_scope == submission.effect_scope &&
                          queue_.now() - submission.first_effect_at <= rules.deduplication_window;
  if (is_dropped) return false;
  ++submission.effects;
  if (is_first) {
    submission.effect_scope = deduplication_scope;
    submission.first_effect_at = queue_.now();
  } else if (rules.idempotency != Idempotency::kIdempotent) {
    Violate(Rule::kNoRepeatedEffect, "a second effect of a request");
  }
  return true;
}

void RuleChecker::OnBackendCalled(std::size_t backend, double work, bool proxy_was_notified) {
  if (!slow_starts_[backend].AddCall(queue_.now(), work, proxy_was_notified)) return;
  Violate(Rule::kSlowStartKept,
          "converter " + std::to_string(backend) + " was sent more than its slow start allows");
}

void RuleChecker::OnBackendOverloaded(std::size_t backend) {
  Violate(Rule::kSlowStartKept, "converter " + std::to_string(backend) + " was pushed over while cold");
}

void RuleChecker::OnFinalCounters(bool are_consistent, std::size_t proxy) {
  if (!are_consistent)
    Violate(Rule::kCountersConsistent, "the tally of proxy " + std::to_string(proxy) + " does not add up");
}

SlowStartUsage RuleChecker::MaxSlowStartUsage() const {
  SlowStartUsage usage;
  for (const SlowStartChecker& checker : slow_starts_) usage.Merge(checker.max_usage());
  return usage;
}

}  // namespace badgerbridge::simulator
