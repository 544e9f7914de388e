// SPDX-License-Identifier: Apache-2.0
#include "multiprocess/stall_injector.h"

#include <csignal>
#include <utility>

#include "multiprocess/clock.h"
#include "multiprocess/random_draw.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr double kMinStallMs = 20;
constexpr double kMaxStallMs = 400;
constexpr double kMinRunningMs = 60;  // between two stalls
constexpr double kMaxRunningMs = 500;
// After SIGTERM: just before the proxy's listener closes.
constexpr double kMinAfterTermMs = 400;
constexpr double kMaxAfterTermMs = 499;
constexpr double kMinStarvationMs = 100;      // without a processor between two stalls
constexpr std::uint64_t kFirstStream = 1000;  // of the first proxy

}  // namespace

StallInjector::StallInjector(RunContext& context, ProxyFleet& proxies)
    : context_(context), proxies_(proxies) {}

StallInjector::Target& StallInjector::TargetOf(const Proxy& proxy) {
  return targets_[static_cast<std::size_t>(proxy.identity.index)];
}

void StallInjector::Start() {
  for (Proxy& proxy : proxies_.proxies()) {
    targets_.push_back({simulator::Random(context_.seed, kFirstStream + targets_.size())});
    const double first_ms = context_.load_began_ms + DrawBetween(targets_.back().random, 0, kMaxRunningMs);
    context_.schedule.Add(first_ms, [this, &proxy] { StallAndRepeat(proxy); });
  }
}

void StallInjector::StallAndRepeat(Proxy& proxy) {
  if (is_stopped_) return;
  Target& target = TargetOf(proxy);
  // Where this process was late to continue it, the next stall waits for its turn.
  if (proxy.frozen_since_ms || NowMs() < target.continued_at_ms + kMinRunningMs) {
    context_.schedule.Add(NowMs() + kMinRunningMs, [this, &proxy] { StallAndRepeat(proxy); });
    return;
  }
  const double duration_ms = DrawBetween(target.random, kMinStallMs, kMaxStallMs);
  Stall(proxy, duration_ms);
  const double next_ms = NowMs() + duration_ms + DrawBetween(target.random, kMinRunningMs, kMaxRunningMs);
  context_.schedule.Add(next_ms, [this, &proxy] { StallAndRepeat(proxy); });
}

// Not while it is down or stopped already.
void StallInjector::Stall(Proxy& proxy, double duration_ms) {
  if (is_stopped_ || proxy.down_since_ms || proxy.frozen_since_ms) return;
  proxy.frozen_since_ms = NowMs();
  proxy.process->Signal(SIGSTOP);
  context_.schedule.Add(*proxy.frozen_since_ms + duration_ms, [this, &proxy] { Continue(proxy); });
}

void StallInjector::Continue(Proxy& proxy) {
  if (!proxy.frozen_since_ms) return;
  Target& target = TargetOf(proxy);
  RecordStarvation(proxy, target);
  const bool interrupted_work = proxy.process->IsStoppedAtWork();
  proxy.process->Signal(SIGCONT);
  const double frozen_since_ms = *proxy.frozen_since_ms;
  context_.history.disruptions.push_back(
      {proxy.identity.name, frozen_since_ms, NowMs(), DisruptionKind::kStopped, interrupted_work});
  proxy.stalled_ms += NowMs() - frozen_since_ms;
  proxy.frozen_since_ms.reset();
  target.continued_at_ms = NowMs();
  ++stalls_;
  if (interrupted_work) ++stalls_at_work_;
}

// Whether the machine ran the proxy between the stall before and this one.
void StallInjector::RecordStarvation(const Proxy& proxy, Target& target) {
  const double total_ms = proxy.process->ProcessorWaitMs();
  const double before_ms = std::exchange(target.processor_wait_ms, total_ms);
  const bool is_new_process = total_ms < before_ms;
  const double waited_ms = is_new_process ? total_ms : total_ms - before_ms;
  if (waited_ms < kMinStarvationMs) return;
  context_.history.disruptions.push_back(
      {proxy.identity.name, target.continued_at_ms, NowMs(), DisruptionKind::kStarved});
  context_.Note(proxy.identity.name + " waited " + std::to_string(static_cast<int>(waited_ms)) +
                " ms for a processor");
}

void StallInjector::OnTerminated(Proxy& proxy) {
  if (targets_.empty() || !proxy.term_sent_ms) return;
  const double due_ms =
      *proxy.term_sent_ms + DrawBetween(TargetOf(proxy).random, kMinAfterTermMs, kMaxAfterTermMs);
  context_.schedule.Add(due_ms, [this, &proxy] {
    if (proxy.term_sent_ms) Stall(proxy, DrawBetween(TargetOf(proxy).random, kMinStallMs, kMaxStallMs));
  });
}

void StallInjector::Stop() {
  is_stopped_ = true;
  if (targets_.empty()) return;
  for (Proxy& proxy : proxies_.proxies()) Continue(proxy);
}

}  // namespace badgerbridge::multiprocess
