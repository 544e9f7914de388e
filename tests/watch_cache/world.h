// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// A simulation of a source, three watch caches in two tiers and sixteen readers in virtual time, from a
/// seed. The core of the watch cache and etcd::Follower are production code, the source is the store of the
/// etcd stand-in, and connections are queues of messages. Faults occur on the connections, at the caches and
/// at the source. Whenever a reader applies a message, its state is compared with the source's state at the
/// reader's revision.
#ifndef BADGERBRIDGE_TESTS_WATCH_CACHE_WORLD_H_
#define BADGERBRIDGE_TESTS_WATCH_CACHE_WORLD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "watch_cache/simulation_client.h"
#include "watch_cache/simulation_history.h"

namespace badgerbridge::watch_cache::simulation {

class Source;
class CacheNode;
class Reader;

/// A fault in the messages of one watch cache, which the checks must detect.
enum class Mutation {
  kNone,           ///< No fault.
  kLostDelete,     ///< A deletion is left out.
  kMergedDrain,    ///< A drain and the event that replaces it become one message, without the drain.
  kWrongResume,    ///< A watch starts one revision later than requested.
  kEarlyProgress,  ///< A progress notification has a revision whose events were not sent.
};

/// Numbers of faults and events in a run.
struct Counts {
  std::uint64_t steps = 0;
  std::uint64_t applied = 0;
  std::uint64_t checked_drains = 0;
  std::uint64_t reads = 0;
  std::uint64_t cuts = 0;
  std::uint64_t stalls = 0;
  std::uint64_t restarts = 0;
  std::uint64_t compactions = 0;
  std::uint64_t restores = 0;
  std::uint64_t outages = 0;
  std::uint64_t snapshots = 0;
  std::uint64_t resumes = 0;
  std::uint64_t repeated_lists = 0;
  std::uint64_t compacted_watches = 0;
  std::uint64_t slow_subscribers_seen = 0;
  std::uint64_t fragments = 0;
  std::uint64_t tampered_messages = 0;
};

/// The simulation.
class World {
 public:
  explicit World(std::uint64_t seed, Mutation mutation = Mutation::kNone);
  ~World();

  /// Performs one random write, read, fault or advance of the time.
  void Step();
  /// Ends all faults. Returns whether all readers reach the source's state.
  bool Converge();

  const std::vector<std::string>& violations() const { return violations_; }
  Counts counts() const;

  // ---- for the servers and clients
  Time now() const { return now_; }
  unsigned Draw(unsigned n) { return static_cast<unsigned>(random_() % n); }
  bool Chance(unsigned percent) { return Draw(100) < percent; }
  bool faults_enabled() const { return faults_enabled_; }
  void After(Time delay, std::function<void()> task);
  void AddViolation(std::string description);
  std::uint64_t NextId() { return next_id_++; }
  History& history() { return history_; }
  Counts& count() { return counts_; }

 private:
  struct Scheduled {
    Time at;
    std::uint64_t order;
    std::function<void()> task;
    bool operator>(const Scheduled& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void Advance(Time by);
  void Write();
  void CheckBounds();
  void ToggleRandomCache();
  void StartAllCaches();
  bool HaveAllConverged() const;
  void ReadFromRandomCache();
  Client& RandomClient();

  std::mt19937_64 random_;
  Time now_{1000};
  bool faults_enabled_ = true;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> queue_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_id_ = 1;
  std::uint64_t next_value_ = 1;
  History history_;
  Counts counts_;
  std::vector<std::string> violations_;
  std::unique_ptr<Source> source_;
  std::vector<std::unique_ptr<CacheNode>> caches_;
  std::vector<std::unique_ptr<Reader>> readers_;
};

}  // namespace badgerbridge::watch_cache::simulation

#endif  // BADGERBRIDGE_TESTS_WATCH_CACHE_WORLD_H_
