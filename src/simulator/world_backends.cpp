// SPDX-License-Identifier: Apache-2.0
//
// The backends of the world, the network before them, and discovery.
#include <algorithm>
#include <bit>
#include <utility>

#include "simulator/world_types.h"

namespace badgerbridge::simulator {

using namespace balancer;

void World::ReachBackend(TimePoint now, std::uint64_t id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || found->second.ended) return;  // its connection was closed before
  Attempt& attempt = found->second;
  Backend& backend = *backends_[attempt.backend];
  const int zone = listed_[attempt.backend].zone;
  const auto ends = [&](Outcome outcome) {
    if (Cut(zone, proxies_[attempt.proxy].zone)) return;
    queue_.At(now + Duration(Between(proxies_[attempt.proxy].zone, zone)), this, kAttemptEnds, id,
              static_cast<std::uint64_t>(outcome));
  };
  // Another process than the one that it was meant for, or none: what was written on an open connection is
  // reset.
  if (!backend.up() || backend.up_since() != attempt.backend_since)
    return ends(attempt.on_idle ? Outcome::kReset : Outcome::kConnectFailed);
  if (Cut(proxies_[attempt.proxy].zone, zone)) return;
  attempt.at_backend = true;
  const double work = traces_.at(attempt.trace).work;
  referee_.Came(now, queue_.steps(), attempt.backend, work, attempt.told);
  const Backend::Begin begin = backend.Take(now, id, work);
  if (begin == Backend::Begin::kFull) {
    attempt.at_backend = false;
    return ends(Outcome::kRejected);
  }
  if (begin == Backend::Begin::kFell) {
    attempt.at_backend = false;
    referee_.Fell(now, queue_.steps(), static_cast<std::uint32_t>(attempt.backend));
    return ends(Outcome::kReset);
  }
  if (attempt.reset) ends(Outcome::kReset);
}

void World::Began(TimePoint now, std::size_t index, JobId id) {
  Trace& trace = traces_.at(attempts_.at(id).trace);
  const ClassSettings& rules = model_.classes[static_cast<std::size_t>(trace.request_class)].rules;
  const int group = rules.group == DeduplicationScope::kAll    ? 0
                    : rules.group == DeduplicationScope::kZone ? listed_[index].zone
                                                               : listed_[index].cell;
  result_.repeats_dropped += !referee_.Idempotency(now, queue_.steps(), trace, rules, group);
  Digest(id * 64 + index);
  Digest(std::bit_cast<std::uint64_t>(now.time_since_epoch().count()));
}

// Its proxy hears of it, if it still waits and the link is not silent.
void World::Leaves(TimePoint now, JobId id, Outcome outcome) {
  Attempt& attempt = attempts_.at(id);
  attempt.at_backend = false;
  if (!attempt.ended) {
    const int zone = listed_[attempt.backend].zone, proxy = proxies_[attempt.proxy].zone;
    if (!Cut(zone, proxy))
      queue_.At(now + Duration(Between(proxy, zone)), this, kAttemptEnds, id,
                static_cast<std::uint64_t>(outcome));
    return;
  }
  const std::uint64_t trace = attempt.trace;
  Forget(id);
  Release(trace);
}

void World::Finished(TimePoint now, std::size_t, JobId id, bool right) {
  Leaves(now, id, right ? Outcome::kOk : Outcome::kError);
}

void World::Dropped(TimePoint now, std::size_t, JobId id) { Leaves(now, id, Outcome::kReset); }

bool World::Cut(int from_zone, int to_zone) const {
  return from_zone != to_zone &&
         (cut_out_[static_cast<std::size_t>(from_zone)] || cut_in_[static_cast<std::size_t>(to_zone)]);
}

double World::Between(int zone, int other) {
  return Latency() + (model_.RegionOf(zone) != model_.RegionOf(other) ? model_.far.count() : 0);
}

double World::Latency() { return model_.network.latency.Draw(network_); }

// Warm backends' worth in each zone, as discovery has it.
std::vector<double> World::Warm(TimePoint now) const {
  std::vector<double> warm(static_cast<std::size_t>(model_.zones));
  for (std::size_t i = 0; i < listed_.size(); ++i) {
    if (listed_[i].state == BackendState::kReady)
      warm[static_cast<std::size_t>(listed_[i].zone)] += backends_[i]->WarmShare(now);
  }
  return warm;
}

void World::List(TimePoint now, std::size_t backend, BackendState state) {
  BackendEntry& entry = listed_[backend];
  entry.state = state;
  entry.up_since = backends_[backend]->up_since();
  changes_.push_back(entry);
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    if (!proxies_[i].alive()) continue;
    if (stale_lists_) {
      held_back_.emplace_back(i, changes_.size() - 1);
      continue;
    }
    proxies_[i].listed_until =
        std::max(proxies_[i].listed_until, now + Duration(model_.network.lag.Draw(lists_)));
    queue_.At(proxies_[i].listed_until, this, kListArrives, i, changes_.size() - 1);
  }
}

}  // namespace badgerbridge::simulator
