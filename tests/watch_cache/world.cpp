// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/world.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "watch_cache/simulation_cache_node.h"
#include "watch_cache/simulation_reader.h"
#include "watch_cache/simulation_source.h"

namespace badgerbridge::watch_cache::simulation {

World::World(std::uint64_t seed, Mutation mutation)
    : random_(seed), source_(std::make_unique<Source>(*this)) {
  const auto add_cache = [this](std::vector<Server*> upstreams, Mutation cache_mutation) {
    caches_.push_back(std::make_unique<CacheNode>(*this, std::move(upstreams), cache_mutation));
    return caches_.back().get();
  };
  Server* const first = add_cache({source_.get()}, mutation);
  Server* const second = add_cache({source_.get()}, Mutation::kNone);
  Server* const third = add_cache({first, second}, Mutation::kNone);
  const std::vector<std::vector<Server*>> reader_servers = {
      {first, second}, {third}, {third, first}, {second, third, first}};
  constexpr std::size_t kReaders = 16;
  for (std::size_t i = 0; i < kReaders; ++i) {
    readers_.push_back(std::make_unique<Reader>(*this, "reader " + std::to_string(i),
                                                reader_servers[i % reader_servers.size()]));
  }
}

// A client uses its server until the client is destroyed, so readers are destroyed before caches, and caches
// before their upstreams.
World::~World() {
  readers_.clear();
  while (!caches_.empty()) caches_.pop_back();
}

void World::After(Time delay, std::function<void()> task) {
  queue_.push({now_ + delay, next_order_++, std::move(task)});
}

void World::AddViolation(std::string description) {
  violations_.push_back("step " + std::to_string(counts_.steps) + ": " + std::move(description));
}

void World::Advance(Time by) {
  const Time until = now_ + by;
  for (;;) {
    std::optional<Time> next;
    const auto at = [&](Time time) { next = next ? std::min(*next, time) : time; };
    if (!queue_.empty()) at(queue_.top().at);
    for (const auto& cache : caches_) {
      if (const auto wake = cache->NextWake()) at(*wake);
    }
    for (const auto& reader : readers_) at(reader->client().follower().NextWake());
    if (!next || *next > until) break;
    now_ = std::max(now_, *next);
    if (!queue_.empty() && queue_.top().at <= now_) {
      const auto task = queue_.top().task;
      queue_.pop();
      task();
      continue;
    }
    for (const auto& cache : caches_) cache->Tick();
    for (const auto& reader : readers_) reader->client().Tick();
  }
  now_ = until;
}

void World::Write() {
  pb::TxnRequest request;
  const auto put = [&](unsigned key) {
    auto* op = request.add_success()->mutable_request_put();
    op->set_key(kPrefix + "k" + std::to_string(key));
    op->set_value((Chance(35) ? "drain" : "ready") + std::to_string(next_value_++));
  };
  switch (Draw(10)) {
    case 0:
    case 1: {
      auto* op = request.add_success()->mutable_request_delete_range();
      op->set_key(kPrefix + "k" + std::to_string(Draw(kKeys)));
      if (Chance(20)) op->set_range_end(kPrefix + "k5");  // several keys in one request
      break;
    }
    case 2:  // outside the prefix
      request.add_success()->mutable_request_put()->set_key("/elsewhere");
      break;
    case 3:  // several keys in one revision
      for (unsigned key = Draw(kKeys); key < kKeys; key += 1 + Draw(3)) put(key);
      break;
    default:
      put(Draw(kKeys));
  }
  source_->Txn(request);
}

Client& World::RandomClient() {
  const unsigned i = Draw(static_cast<unsigned>(readers_.size() + caches_.size()));
  if (i < readers_.size()) return readers_[i]->client();
  CacheNode& cache = *caches_[i - readers_.size()];
  return cache.up() ? cache.upstream() : readers_[0]->client();
}

// A linearizable read of all keys, which must include all writes before it began.
void World::ReadFromRandomCache() {
  CacheNode& cache = *caches_[Draw(3)];
  if (!cache.up()) return;
  const std::uint64_t cluster_id = source_->cluster_id();
  const std::int64_t revision = source_->store().revision();
  cache.Range(
      ListAll(), [this, cluster_id, revision](const Status& status, const pb::RangeResponse& response) {
        if (!status.ok()) return;
        ++counts_.reads;
        const auto& header = response.header();
        if (header.cluster_id() < cluster_id ||
            (header.cluster_id() == cluster_id && header.revision() < revision))
          AddViolation("a linearizable read is answered at revision " + std::to_string(header.revision()) +
                       ", begun after " + std::to_string(revision));
        if (const auto problem =
                history_.Check(header.cluster_id(), header.revision(), ToKeyTexts(response.kvs())))
          AddViolation("a read " + *problem);
      });
}

void World::CheckBounds() {
  for (const auto& cache : caches_) cache->CheckBounds();
}

void World::Step() {
  ++counts_.steps;
  const unsigned kind = Draw(1000);  // per mille
  if (kind < 350) {
    Write();
  } else if (kind < 390) {
    ReadFromRandomCache();
  } else if (kind < 400) {
    RandomClient().Cut();
  } else if (kind < 425) {
    Client& client = RandomClient();
    ++counts_.stalls;
    client.Stall(!client.stalled());
  } else if (kind < 430) {
    source_->Compact();
  } else if (kind < 432) {
    ToggleRandomCache();
  } else if (kind < 440) {
    StartAllCaches();
  } else if (kind < 442) {
    ++counts_.outages;
    source_->SetLeader(false);
  } else if (kind < 450) {
    source_->SetLeader(true);
  } else if (kind < 451 && Chance(50)) {
    source_->Restore();
  } else if (kind < 470) {
    source_->NotifyProgress();
  } else {
    Advance(Time(Draw(kind < 990 ? 12 : 400)));
  }
  CheckBounds();
}

void World::ToggleRandomCache() {
  CacheNode& cache = *caches_[Draw(3)];
  ++counts_.restarts;
  if (cache.up()) {
    cache.Stop();
  } else {
    cache.Start();
  }
}

void World::StartAllCaches() {
  for (const auto& cache : caches_) {
    if (!cache->up()) cache->Start();
  }
}

bool World::Converge() {
  faults_enabled_ = false;
  source_->SetLeader(true);
  StartAllCaches();
  for (const auto& cache : caches_) cache->upstream().Stall(false);
  for (const auto& reader : readers_) reader->client().Stall(false);
  for (int i = 0; i < 600 && !HaveAllConverged(); ++i) {
    Advance(Time(100));
    source_->NotifyProgress();
    CheckBounds();
  }
  return HaveAllConverged();
}

bool World::HaveAllConverged() const {
  const KeyTexts* current = history_.At(source_->cluster_id(), source_->store().revision());
  return std::all_of(readers_.begin(), readers_.end(), [&](const auto& reader) {
    return reader->cluster_id() == source_->cluster_id() && reader->held() == *current;
  });
}

Counts World::counts() const {
  Counts counts = counts_;
  for (const auto& cache : caches_) cache->AddCounts(&counts);
  for (const auto& reader : readers_) {
    counts.snapshots += reader->client().follower().snapshots();
    counts.resumes += reader->client().follower().resumes();
  }
  return counts;
}

}  // namespace badgerbridge::watch_cache::simulation
