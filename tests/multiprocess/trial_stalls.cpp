// SPDX-License-Identifier: Apache-2.0
//
// Proxies that the system does not run for a while, again and again: each is stopped and continued at moments
// drawn from a stream of its own, by SIGSTOP and SIGCONT.
#include <csignal>
#include <utility>

#include "multiprocess/roles.h"
#include "multiprocess/trial.h"

namespace badgerbridge::multiprocess {

namespace {

constexpr double kLeastStopped = 20, kMostStopped = 400;  // ms
constexpr double kLeastRunning = 60, kMostRunning = 500;  // ms between two stops
// When a proxy that was asked to end is stopped besides, in ms after SIGTERM: just before it stops to accept.
constexpr double kBeforeDoorFrom = 400, kBeforeDoorUntil = 499;
constexpr double kStarved = 100;         // ms without a processor between two stops
constexpr std::uint64_t kStream = 1000;  // of the first proxy

double Between(simulator::Random& random, double low, double high) {
  return low + random.DrawUnit() * (high - low);
}

}  // namespace

void Trial::StartStalls() {
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    proxies_[i].stalls = std::make_unique<simulator::Random>(seed_, kStream + i);
    due_.push_back(
        {began_ + Between(*proxies_[i].stalls, 0, kMostRunning), [this, i] { StallAndRepeat(proxies_[i]); }});
  }
}

void Trial::StallAndRepeat(Proxy& proxy) {
  if (load_over_) return;
  // Where this process was late to continue it, the next stop waits for its turn.
  if (proxy.frozen_since >= 0 || NowMs() < proxy.continued_at + kLeastRunning) {
    due_.push_back({NowMs() + kLeastRunning, [this, &proxy] { StallAndRepeat(proxy); }});
    return;
  }
  const double lasts = Between(*proxy.stalls, kLeastStopped, kMostStopped);
  Stall(proxy, lasts);
  const double next = NowMs() + lasts + Between(*proxy.stalls, kLeastRunning, kMostRunning);
  due_.push_back({next, [this, &proxy] { StallAndRepeat(proxy); }});
}

// None while it is stopped already.
void Trial::Stall(Proxy& proxy, double lasts) {
  if (load_over_ || proxy.down_since >= 0 || proxy.frozen_since >= 0) return;
  proxy.frozen_since = NowMs();
  proxy.process->Signal(SIGSTOP);
  due_.push_back({proxy.frozen_since + lasts, [this, &proxy] { Continue(proxy); }});
}

void Trial::Continue(Proxy& proxy) {
  if (proxy.frozen_since < 0) return;
  NoteStarved(proxy);
  const bool at_work = proxy.process->StoppedAtWork();
  proxy.process->Signal(SIGCONT);
  history_.excuses.push_back({proxy.name, proxy.frozen_since, NowMs(), Excuse::Why::kStopped, at_work});
  proxy.stopped_for += NowMs() - proxy.frozen_since;
  proxy.frozen_since = -1;
  proxy.continued_at = NowMs();
  ++outcome_.stalls;
  outcome_.stalls_at_work += at_work;
}

// Whether the machine ran it between the stop before and this one.
void Trial::NoteStarved(Proxy& proxy) {
  const double waited = proxy.process->WaitedForProcessor();
  const double before = std::exchange(proxy.waited, waited);
  const double since = waited < before ? waited : waited - before;  // less: it is a new process
  if (since < kStarved) return;
  history_.excuses.push_back({proxy.name, proxy.continued_at, NowMs(), Excuse::Why::kStarved});
  Note(proxy.name + " waited " + std::to_string(static_cast<int>(since)) + " ms for a processor");
}

void Trial::StallAtDoor(Proxy& proxy) {
  if (!proxy.stalls) return;
  due_.push_back({proxy.term_at + Between(*proxy.stalls, kBeforeDoorFrom, kBeforeDoorUntil), [this, &proxy] {
                    if (proxy.term_at >= 0) Stall(proxy, Between(*proxy.stalls, kLeastStopped, kMostStopped));
                  }});
}

void Trial::EndStalls() {
  load_over_ = true;
  for (Proxy& proxy : proxies_) {
    if (proxy.stalls) Continue(proxy);
  }
}

}  // namespace badgerbridge::multiprocess
