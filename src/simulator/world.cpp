// SPDX-License-Identifier: Apache-2.0
#include "simulator/world.h"

#include <algorithm>
#include <utility>

#include "simulator/world_types.h"

namespace badgerbridge::simulator {

using namespace balancer;

namespace {

// Streams of randomness; those of backends follow.
enum Stream : std::uint64_t { kArrivals, kWorks, kNetwork, kLists, kClients, kBackends };

}  // namespace

double Result::worth_share() const {
  double asked = 0, served = 0;
  for (const ClassResult& c : classes) asked += c.worth_asked, served += c.worth_served;
  return asked > 0 ? served / asked : 0;
}

World::World(const Model& model, std::uint64_t seed, CoreFactory factory, std::uint64_t tie_seed)
    : model_(model),
      seed_(seed),
      factory_(std::move(factory)),
      queue_(tie_seed),
      referee_(model.drain_grace, static_cast<std::size_t>(model.backends), model.backend, model.MeanWork()),
      arrivals_(seed, kArrivals),
      works_(seed, kWorks),
      network_(seed, kNetwork),
      lists_(seed, kLists),
      clients_(seed, kClients),
      fronts_(static_cast<std::size_t>(model.zones)),
      cut_in_(static_cast<std::size_t>(model.zones)),
      cut_out_(static_cast<std::size_t>(model.zones)) {
  double sum = 0;
  for (const ClassModel& c : model_.classes) class_shares_.push_back(sum += c.share);
  result_.classes.resize(model_.classes.size());
  StartBackends();
  proxies_.resize(static_cast<std::size_t>(model_.proxies));
  if (model_.decision.decide != RegionsModel::Decide::kOff) StartMembers();
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    proxies_[i].zone = static_cast<int>(i) % model_.zones;
    Revive(At(0), i);
  }
  queue_.At(At(0), this, kArrive);
  for (std::size_t i = 0; i < model_.happenings.size(); ++i)
    queue_.At(At(model_.happenings[i].at), this, kHappen, i);
}

World::~World() = default;

void World::StartBackends() {
  for (int i = 0; i < model_.backends; ++i) {
    const auto index = static_cast<std::size_t>(i);
    backends_.push_back(std::make_unique<Backend>(queue_, static_cast<Backend::Watcher&>(*this), index,
                                                  model_.backend, Random(seed_, kBackends + index)));
    backends_.back()->Start(TimePoint{});
    BackendEntry entry;
    entry.server = static_cast<BackendId>(i + 1);
    entry.zone = i % model_.zones;
    entry.cell = i / model_.zones % std::max(1, model_.groups);
    listed_.push_back(entry);
  }
}

void World::StartMembers() {
  members_ = std::make_unique<Members>(
      queue_, model_, seed_, [this](TimePoint now, std::size_t index, std::vector<double> shares) {
        Proxy& proxy = proxies_[index];
        if (!proxy.alive()) return;
        proxy.core->UpdateZoneQuotas(now, {std::move(shares)}, &proxy.actions);
        Carry(now, index);
      });
}

Result World::Run(std::uint64_t most_steps) {
  const TimePoint end = At(model_.length);
  // After the load's end: whatever is open is over within the longest that a client goes on.
  while (queue_.steps() < most_steps && !referee_.breach()) {
    const bool over = queue_.now() > end && intents_.empty() && traces_.empty();
    if (over || !queue_.Step(TimePoint(Duration(1e300)))) break;
  }
  if (!referee_.breach()) CheckTotals();
  result_.steps = queue_.steps();
  result_.length = (queue_.now() - At(0)).count();
  result_.breach = referee_.breach();
  result_.slow_start = referee_.worst_slow_start();
  result_.busy.clear();
  for (const auto& backend : backends_)
    result_.busy.push_back(backend->busy_ms() / std::max(1.0, result_.length) / model_.backend.slots);
  return result_;
}

// Of each proxy that is alive: all that it took has ended in one way or is open.
void World::CheckTotals() {
  for (std::size_t i = 0; i < proxies_.size(); ++i) {
    if (!proxies_[i].alive()) continue;
    bool add_up = true;
    for (const request_table::RequestCounters& t : proxies_[i].core->counters())
      add_up &= t.accepted == t.served + t.rejected + t.failed + t.open;
    referee_.Totals(queue_.now(), queue_.steps(), add_up, static_cast<std::uint32_t>(i));
  }
}

void World::On(TimePoint now, std::uint32_t what, std::uint64_t a, std::uint64_t b) {
  switch (what) {
    case kArrive:
      return Arrive(now);
    case kTryAgain:
      if (intents_.count(a)) Try(now, a);
      return;
    case kReachProxy:
      return ReachProxy(now, a);
    case kAnswered:
      return Ended(now, a, static_cast<request_table::RequestOutcome>(b & 3),
                   static_cast<double>(b >> 2) / 1000);
    case kTimeUp:
      return TimeUp(now, a);
    case kLeave:
      return ClientLeaves(now, a);
    case kReachBackend:
      return ReachBackend(now, a);
    case kAttemptEnds:
      return EndAttempt(now, a, static_cast<Outcome>(b));
    case kAttemptTimesOut:
      return EndAttempt(now, a, Outcome::kTimeout);
    case kWake:
      return Wake(now, a, b);
    case kListArrives:
      return DeliverChange(now, a, b);
    case kHappen:
      return Happen(now, model_.happenings[a]);
    case kNoticed:
      return Noticed(a);
  }
}

void World::Forget(std::uint64_t id) {
  const auto found = attempts_.find(id);
  --traces_.at(found->second.trace).records;
  attempts_.erase(found);
}

// Once nothing of it is under way: no client waits, no attempt is out, and none that was given up runs still.
void World::Release(std::uint64_t id) {
  const auto found = traces_.find(id);
  if (found != traces_.end() && found->second.closed && found->second.records == 0) traces_.erase(found);
}

void World::Digest(std::uint64_t word) {
  // FNV-1a over words.
  result_.digest = (result_.digest ^ word) * 0x100000001b3ull;
}

}  // namespace badgerbridge::simulator
