// SPDX-License-Identifier: Apache-2.0
//
// The checks of what backends received: how often, while draining, and in slow start.
#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "multiprocess/verdict_checks.h"
#include "simulator/slow_start_checker.h"

namespace badgerbridge::multiprocess {

namespace {

// A proxy and a backend that it was notified about.
struct NotifiedPair {
  std::string proxy;
  std::string backend;
  bool operator<(const NotifiedPair& other) const {
    return std::tie(proxy, backend) < std::tie(other.proxy, other.backend);
  }
};

using NotificationsByPair = std::map<NotifiedPair, std::vector<const EndpointNotification*>>;

// Of each pair, the notifications in the order of their sending.
NotificationsByPair SortNotifications(const History& history) {
  NotificationsByPair sorted;
  for (const EndpointNotification& notification : history.notifications)
    sorted[{notification.proxy, notification.backend}].push_back(&notification);
  for (auto& [pair, notifications] : sorted) {
    std::stable_sort(notifications.begin(), notifications.end(),
                     [](const EndpointNotification* left, const EndpointNotification* right) {
                       return left->sent_at_ms < right->sent_at_ms;
                     });
  }
  return sorted;
}

// The notification since which the backend was draining or gone at this time; null if it was ready.
const EndpointNotification* FindDrain(const std::vector<const EndpointNotification*>& notifications,
                                      double at_ms) {
  const EndpointNotification* drain = nullptr;
  for (const EndpointNotification* notification : notifications) {
    if (notification->sent_at_ms > at_ms) break;
    if (notification->is_ready) {
      drain = nullptr;
    } else if (!drain) {
      drain = notification;
    }
  }
  return drain;
}

// Since when a proxy could act on a notification. One that was stopped read it only when it was continued; a
// stop that is shorter than the grace leaves it time for that.
double ActionableSince(const CheckContext& context, const EndpointNotification& drain, double until_ms) {
  double since_ms = drain.sent_at_ms;
  for (const Disruption& disruption : context.index.DisruptionsOf(drain.proxy)) {
    if (disruption.kind == DisruptionKind::kStarved) continue;
    if (disruption.kind == DisruptionKind::kStopped &&
        disruption.until_ms - disruption.from_ms <= context.rules.drain_grace_ms)
      continue;
    if (disruption.from_ms <= until_ms && drain.sent_at_ms <= disruption.until_ms)
      since_ms = std::max(since_ms, std::min(until_ms, disruption.until_ms));
  }
  return since_ms;
}

double WorkInMeans(const SlowStartRules& rules, const AttemptRecord& attempt) {
  return attempt.work_ms > 0 ? attempt.work_ms / rules.mean_work_ms : 1;
}

// The calls of the worst window that ends with an attempt in slow start, by their number or by their work
// over the mean, as a ratio to budget and chance. `attempts` are by time.
double MaxSlowStartRatio(const SlowStartRules& rules, const BackendStart& start,
                         const std::vector<const AttemptRecord*>& attempts) {
  double max_ratio = 0;
  double work = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < attempts.size(); ++i) {
    const double now_ms = attempts[i]->received_at_ms;
    work += WorkInMeans(rules, *attempts[i]);
    const double window_begin_ms =
        std::min(now_ms, std::max(start.started_at_ms, now_ms - rules.budget_window_ms));
    for (; attempts[first]->received_at_ms < window_begin_ms; ++first)
      work -= WorkInMeans(rules, *attempts[first]);
    const double age_ms = now_ms - start.started_at_ms;
    if (age_ms < 0 || age_ms > rules.duration_ms) continue;
    const auto calls = static_cast<double>(i - first + 1);
    max_ratio = std::max(max_ratio, std::max(calls, work) / simulator::MaxCalls(rules.budget(age_ms)));
  }
  return max_ratio;
}

// Where and how often requests of one idempotency key, or of one id, ran.
std::string EffectKey(const AttemptRecord& attempt) {
  return attempt.idempotency_key.empty() ? attempt.id : "key " + attempt.idempotency_key;
}

std::vector<const AttemptRecord*> EffectsByTime(const History& history) {
  std::vector<const AttemptRecord*> effects;
  for (const AttemptRecord& attempt : history.attempts) {
    if (attempt.took_effect) effects.push_back(&attempt);
  }
  std::stable_sort(effects.begin(), effects.end(), [](const AttemptRecord* left, const AttemptRecord* right) {
    return left->received_at_ms < right->received_at_ms;
  });
  return effects;
}

// For people: where a request stood between its two effects.
std::string DescribeRepeat(const HistoryIndex& index, const AttemptRecord& first, const AttemptRecord& repeat,
                           const RequestRecord& request) {
  const double first_ms = first.received_at_ms;
  const double written_ms = request.first_sent_at_ms.value_or(request.sent_at_ms);
  std::string text = ", " + FormatMs(repeat.received_at_ms - first_ms) + " ms after the one before, at " +
                     first.backend + "; written to " + request.proxy + " " + FormatMs(first_ms - written_ms) +
                     " ms before that";
  if (request.sent_at_ms > written_ms)
    text += " and, after the connection had ended, " + FormatMs(repeat.received_at_ms - request.sent_at_ms) +
            " ms before the second";
  return text + index.DescribeDisruptions(request.proxy, written_ms, repeat.received_at_ms);
}

// Whether the client caused the repeat: it wrote the request, the proxy was killed while it had it, and the
// client wrote it again, to the proxy's next process, which can't know of it. A client can't tell that from a
// close of an idle connection. Both effects of one writing are the proxies'.
bool WasWrittenAgainAfterKill(const HistoryIndex& index, const AttemptRecord& first,
                              const AttemptRecord& repeat, const RequestRecord& request) {
  if (first.id != repeat.id || !request.first_sent_at_ms) return false;
  const double written_ms = *request.first_sent_at_ms;
  const double written_again_ms = request.sent_at_ms;
  const bool has_one_effect_each =
      first.received_at_ms < written_again_ms && repeat.received_at_ms >= written_again_ms;
  if (written_ms >= written_again_ms || !has_one_effect_each) return false;
  const std::vector<Disruption>& disruptions = index.DisruptionsOf(request.proxy);
  return std::any_of(disruptions.begin(), disruptions.end(), [&](const Disruption& disruption) {
    return disruption.kind == DisruptionKind::kDown && disruption.from_ms >= written_ms &&
           disruption.from_ms <= written_again_ms;
  });
}

// `previous`: the effect of this request or key before this one; null if there is none.
void CheckEffect(CheckContext& context, const AttemptRecord& attempt, const AttemptRecord* previous) {
  const RequestRecord* request = context.index.FindRequest(attempt.id);
  if (!request) {
    ++context.verdict.unaccounted;
    context.AddViolation(attempt.id + " ran at " + attempt.backend + ", and no client sent it");
    return;
  }
  const Idempotency idempotency = context.rules.classes[request->request_class].idempotency;
  const bool is_repeat = idempotency != Idempotency::kIdempotent && previous;
  if (is_repeat && WasWrittenAgainAfterKill(context.index, *previous, attempt, *request)) {
    ++context.verdict.repeats_after_kill;
  } else if (is_repeat) {
    ++context.verdict.repeated_effects;
    context.AddViolation(attempt.id + " took effect a second time, at " + attempt.backend +
                         DescribeRepeat(context.index, *previous, attempt, *request));
  }
  if (idempotency == Idempotency::kNotIdempotent && request->outcome == RequestOutcome::kRejected) {
    ++context.verdict.repeated_effects;
    context.AddViolation(attempt.id + " was rejected by " + request->proxy + ", and ran at " +
                         attempt.backend);
  }
}

}  // namespace

void CheckIdempotency(CheckContext& context) {
  std::map<std::string, const AttemptRecord*> last_effects;
  for (const AttemptRecord* attempt : EffectsByTime(context.index.history())) {
    const AttemptRecord*& last = last_effects[EffectKey(*attempt)];
    CheckEffect(context, *attempt, last);
    last = attempt;
  }
}

void CheckDrains(CheckContext& context) {
  const NotificationsByPair notifications = SortNotifications(context.index.history());
  const double allowed_ms = context.rules.drain_grace_ms + context.rules.max_transit_ms;
  for (const AttemptRecord& attempt : context.index.history().attempts) {
    const RequestRecord* request = context.index.FindRequest(attempt.id);
    if (!request) continue;
    const auto found = notifications.find({request->proxy, attempt.backend});
    if (found == notifications.end()) continue;
    const double received_ms = attempt.received_at_ms;
    const EndpointNotification* drain = FindDrain(found->second, received_ms);
    if (!drain) continue;
    const double since_ms = ActionableSince(context, *drain, received_ms);
    if (received_ms - since_ms <= allowed_ms) continue;
    const std::vector<std::string> processes{kLinkProxyProcess, attempt.backend_process};
    if (context.index.RunningTimeOf(processes, since_ms, received_ms) <= allowed_ms) continue;
    ++context.verdict.sends_after_drain;
    context.AddViolation(attempt.id + " came to " + attempt.backend + " " +
                         std::to_string(static_cast<int>(received_ms - drain->sent_at_ms)) + " ms after " +
                         request->proxy + " was notified that it takes no more" +
                         context.index.DescribeDisruptions(request->proxy, drain->sent_at_ms, received_ms));
  }
}

void CheckSlowStarts(CheckContext& context) {
  if (!context.rules.slow_start) return;
  std::map<std::string, std::vector<const AttemptRecord*>> by_backend;
  for (const AttemptRecord& attempt : context.index.history().attempts)
    by_backend[attempt.backend].push_back(&attempt);
  for (auto& [backend, attempts] : by_backend) {
    std::stable_sort(attempts.begin(), attempts.end(),
                     [](const AttemptRecord* left, const AttemptRecord* right) {
                       return left->received_at_ms < right->received_at_ms;
                     });
  }
  Verdict& verdict = context.verdict;
  for (const BackendStart& start : context.index.history().backend_starts) {
    ++verdict.slow_starts;
    const double ratio = MaxSlowStartRatio(*context.rules.slow_start, start, by_backend[start.backend]);
    verdict.max_slow_start_ratio = std::max(verdict.max_slow_start_ratio, ratio);
    if (ratio <= 1) continue;
    ++verdict.slow_start_violations;
    context.AddViolation(start.backend + " was sent " + std::to_string(ratio) +
                         " of its slow-start budget and chance");
  }
}

void CheckOverloads(CheckContext& context) {
  const std::vector<std::string>& backends = context.index.history().overloaded_backends;
  context.verdict.overloaded_backends = backends.size();
  for (const std::string& backend : backends)
    context.AddViolation(backend + " failed under overload in slow start");
}

}  // namespace badgerbridge::multiprocess
