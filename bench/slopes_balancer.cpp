// SPDX-License-Identifier: Apache-2.0
//
// The decision module alone: requests, changes of the list and whole lists, with 10 to 110,000 servers.
#include <algorithm>
#include <functional>
#include <queue>
#include <random>

#include "allocations.h"
#include "badgerbridge/balancer.h"
#include "slopes.h"

namespace badgerbridge::bench {
namespace {

using namespace balancer;

constexpr int kSizes[] = {10, 100, 1000, 10000, 30000, 110000};
constexpr int kRepetitions = 5;
constexpr int kBatch = 64;     // requests at once: about as many as are open at 941 a second and 60 ms
constexpr int kBatches = 60;   // that are measured, after as many that are not
constexpr int kChanges = 200;  // of one server each
constexpr double kServiceMs = 40;

Settings SettingsOf() {
  Settings settings;
  settings.balancer_count = kProxies;
  ClassSettings safe;
  safe.idempotency = Idempotency::kIdempotent;
  safe.latency_objective = Duration(300);
  safe.deadline = Duration(1200);
  ClassSettings keyed = safe;
  keyed.idempotency = Idempotency::kIdempotencyKey;
  keyed.deduplication_scope = DeduplicationScope::kCell;
  keyed.deduplication_window = Duration(750);
  ClassSettings unsafe = safe;
  unsafe.idempotency = Idempotency::kNotIdempotent;
  settings.classes = {safe, keyed, unsafe};
  settings.max_attempts = 4;
  settings.max_retry_after = Duration(600);
  settings.tick = Duration(5);
  settings.slow_start_floor = 0.35;
  settings.slow_start_window = Duration(8800);
  settings.overload_factor = 3;
  settings.overload_duration = Duration(1500);
  return settings;
}

BackendEntry EntryOf(int index) {
  BackendEntry entry;
  entry.server =
      static_cast<BackendId>(index) * 2654435761u;  // ids are hashes of names: spread, and distinct
  entry.zone = index % kZones;
  entry.cell = index / 16;
  return entry;
}

EndpointListUpdate WholeList(int servers) {
  EndpointListUpdate list;
  list.kind = EndpointListKind::kFull;
  for (int i = 0; i < servers; ++i) list.entries.push_back(EntryOf(i));
  return list;
}

// A balancer with a clock, its timers and the requests that it has sent.
class Rig {
 public:
  explicit Rig(int servers) : balancer_(SettingsOf(), 7), servers_(servers) {}

  // CPU in ms.
  double Take(const EndpointListUpdate& list) {
    actions_.clear();
    const double before = ThreadCpuMs();
    balancer_.Handle(Now(), list, &actions_);
    const double took = ThreadCpuMs() - before;
    Look();
    return took;
  }

  struct Cost {
    double submit_us = 0, end_us = 0, timers_percent = 0;  // of one request; share of a core at the peak
  };

  Cost Serve(int batches) {
    double submit = 0, end = 0, timers = 0;
    for (int batch = 0; batch < batches; ++batch) {
      double before = ThreadCpuMs();
      for (int i = 0; i < kBatch; ++i) balancer_.Handle(Now(), NextRequest(), &actions_);
      submit += ThreadCpuMs() - before;
      Look();
      now_ += kServiceMs;
      before = ThreadCpuMs();
      FireTimers();
      timers += ThreadCpuMs() - before;
      const std::vector<Dispatch> out = std::exchange(sent_, {});
      before = ThreadCpuMs();
      for (const Dispatch& sent : out) {
        balancer_.Handle(Now(),
                         AttemptEnded{sent.request, 0, sent.server, true, Outcome::kOk, Duration(kServiceMs)},
                         &actions_);
      }
      end += ThreadCpuMs() - before;
      served_ += static_cast<int>(out.size());
      Look();
      now_ += kBatch / kRequestsPerSecond * 1000 - kServiceMs;
      FireTimers();
    }
    const double requests = static_cast<double>(batches) * kBatch;
    const double seconds = requests / kRequestsPerSecond;
    return {submit * 1000 / requests, end * 1000 / requests, timers / 10 / seconds};
  }

  double ChangeUs() {
    std::uniform_int_distribution<int> any(0, servers_ - 1);
    double took = 0;
    for (int i = 0; i < kChanges; ++i) {
      EndpointListUpdate change;
      change.entries = {EntryOf(any(random_))};
      change.entries[0].state = BackendState::kDraining;
      took += Take(change);
      change.entries[0].state = BackendState::kReady;
      took += Take(change);
      now_ += 1;
    }
    return took * 1000 / (2 * kChanges);
  }

  int served() const { return served_; }

 private:
  TimePoint Now() const { return TimePoint(Duration(now_)); }

  Submit NextRequest() {
    Submit submit;
    submit.request = ++requests_;
    submit.due = Now() + Duration(1000);
    submit.request_class = static_cast<int>(requests_ % 3);
    submit.key = submit.request_class == 0 ? 0 : random_();
    submit.has_hint = true;
    submit.work_ms = 20;
    return submit;
  }

  void FireTimers() {
    while (!timers_.empty() && timers_.top().first <= now_) {
      const std::uint64_t token = timers_.top().second;
      timers_.pop();
      balancer_.Handle(Now(), TimerFired{token}, &actions_);
      Look();
    }
  }

  void Look() {
    for (const Action& action : actions_) {
      if (const auto* sent = std::get_if<Dispatch>(&action)) sent_.push_back(*sent);
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers_.push({timer->at.time_since_epoch().count(), timer->token});
    }
    actions_.clear();
  }

  using Timer = std::pair<double, std::uint64_t>;
  Balancer balancer_;
  int servers_;
  double now_ = 1e9;
  std::uint64_t requests_ = 0;
  int served_ = 0;
  std::mt19937_64 random_{11};
  std::vector<Action> actions_;
  std::vector<Dispatch> sent_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
};

}  // namespace

void MeasureModule(Report& report) {
  Series whole("module: a whole list in one event, CPU", "ms", "servers");
  Series memory("module: memory", "bytes", "servers");
  Series submit("module: one request submitted, CPU", "us", "servers");
  Series end("module: one attempt ended, CPU", "us", "servers");
  Series timers("module: timers, share of a core at 941 requests/s", "%", "servers");
  Series change("module: a change of one server, CPU", "us", "servers");
  Series gone("module: a zone's servers (1 in 24) gone in one event, CPU", "ms", "servers in all");
  Series back("module: and back in one event, CPU", "ms", "servers in all");
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    for (const int size : kSizes) {
      const EndpointListUpdate list = WholeList(size);
      const std::size_t before = LiveBytes();
      Rig rig(size);
      whole.Add(size, rig.Take(list));
      memory.Add(size, static_cast<double>(LiveBytes() - before));
      rig.Serve(kBatches);
      const Rig::Cost cost = rig.Serve(kBatches);
      submit.Add(size, cost.submit_us);
      end.Add(size, cost.end_us);
      timers.Add(size, cost.timers_percent);
      change.Add(size, rig.ChangeUs());
      report.checks.Expect(rig.served() >= kBatch * kBatches, "module: half of the requests went nowhere");
      if (size < 1000) continue;
      EndpointListUpdate leaves;
      for (const BackendEntry& entry : list.entries) {
        if (entry.zone == 5) leaves.entries.push_back(entry);
      }
      EndpointListUpdate returns = leaves;
      for (BackendEntry& entry : leaves.entries) entry.state = BackendState::kGone;
      gone.Add(size, rig.Take(leaves));
      back.Add(size, rig.Take(returns));
    }
  }
  const auto at_full_size = [](const Series& series) { return series.Points().back().y; };
  report.Fit(memory, "module_bytes_per_server", Weighting::kRelative, 1000);
  report.Fit(whole, "module_whole_list_ms_per_server", Weighting::kAbsolute, 1000);
  report.Figure("module_whole_list_ms", at_full_size(whole), "module: 110,000 servers in one event, ms");
  report.Fit(submit, "module_submit_us_per_server", Weighting::kAbsolute, 1000);
  report.Figure("module_submit_us", at_full_size(submit), "module: a request submitted with 110,000, us");
  report.Fit(end, "module_end_us_per_server", Weighting::kAbsolute, 1000);
  report.Figure("module_end_us", at_full_size(end), "module: an attempt ended with 110,000, us");
  report.Fit(timers, "module_timers_percent_per_server", Weighting::kAbsolute);
  report.Figure("module_timers_percent", at_full_size(timers), "module: timers with 110,000, % of a core");
  report.Fit(change, "module_change_us_per_server", Weighting::kAbsolute);
  report.Figure("module_change_us", at_full_size(change), "module: a change with 110,000, us");
  report.Fit(gone, "module_zone_gone_ms_per_server", Weighting::kAbsolute);
  report.Figure("module_zone_gone_ms", at_full_size(gone), "module: 4,583 of 110,000 gone in one event, ms");
  report.Fit(back, "module_zone_back_ms_per_server", Weighting::kAbsolute);
  report.Figure("module_zone_back_ms", at_full_size(back), "module: and back, ms");
}

}  // namespace badgerbridge::bench
