// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What a proxy meets in the runs of the decision module and of the table of requests: settings, requests of
/// clients, endpoint lists, and servers that answer late, badly or not at all. All of it is drawn from one
/// generator.
#ifndef BADGERBRIDGE_TESTS_FINGERPRINT_SCENARIO_H_
#define BADGERBRIDGE_TESTS_FINGERPRINT_SCENARIO_H_

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "badgerbridge/balancer.h"
#include "fingerprint/digest.h"
#include "fingerprint/random.h"
#include "fingerprint/timeline.h"

namespace badgerbridge::fingerprint {

/// Settings with every field drawn from what the platform can give.
balancer::Settings DrawSettings(Random* random);

/// How an attempt at a simulated server ends, if nobody stops it before.
struct AttemptEnding {
  balancer::Outcome outcome = balancer::Outcome::kOk;
  balancer::Duration after{0};  ///< From when it was sent.
  bool never = false;           ///< It gets no answer at all.
};

/// The simulated servers and the endpoint list that the proxy gets of them.
class SimulatedFleet {
 public:
  SimulatedFleet(const balancer::Settings& settings, Random* random);

  /// All servers, as the first list that a proxy gets. Of kind kCached where the settings say that the list
  /// must be asked for.
  balancer::EndpointListUpdate FirstList(balancer::TimePoint now);
  /// Changes the fleet a little, and returns the update that tells of it; sometimes one of kind kFailed.
  balancer::EndpointListUpdate ChangeList(balancer::TimePoint now);
  /// What a call for the list returns.
  balancer::EndpointListUpdate AnswerCall();
  /// Every server starts anew at `now`, and is cold.
  balancer::EndpointListUpdate RestartAll(balancer::TimePoint now);
  /// Lets a random server begin or cease to misbehave, or changes the load that other proxies bring to all.
  void ChangeConditions();

  /// An attempt begins at a server. FinishAttempt must follow once it is over.
  AttemptEnding BeginAttempt(balancer::BackendId server, balancer::TimePoint now, double work_ms);
  void FinishAttempt(balancer::BackendId server);

  /// Requests a millisecond that the fleet can serve when all is well.
  double Capacity(double mean_work_ms) const;

 private:
  enum class Condition { kHealthy, kSlow, kErrors, kFull, kSilent, kUnreachable, kResets, kConditions };
  struct Server {
    balancer::BackendEntry entry;
    Condition condition = Condition::kHealthy;
    double speed = 1;  ///< Time over hinted work, when not crowded.
    int in_flight = 0;
  };

  balancer::BackendEntry DrawEntry(balancer::BackendId server, balancer::TimePoint now);
  balancer::BackendEntry ChangeEntry(balancer::TimePoint now);
  balancer::EndpointListUpdate WholeList(balancer::EndpointListKind kind) const;
  double ServiceTime(const Server& server, balancer::TimePoint now, double work_ms);

  balancer::Settings settings_;
  Random* random_;
  std::map<balancer::BackendId, Server> servers_;
  std::size_t most_servers_;
  balancer::BackendId next_server_ = 1;
  double places_ = 1;      // attempts that a server serves at once
  double other_load_ = 1;  // factor of all service times
  double zones_ = 1;
};

/// Draws the requests of clients.
class Clients {
 public:
  Clients(const balancer::Settings& settings, const SimulatedFleet& fleet, Random* random);

  /// A request that arrives at `now`, without its id.
  balancer::Submit DrawSubmit(balancer::TimePoint now);
  /// From one arrival to the next: often 0, since requests come in bursts.
  balancer::Duration DrawPause();
  /// Whether its client leaves before it gives up, and after what time.
  bool DrawDeparture(balancer::Duration* after);

 private:
  balancer::Settings settings_;
  Random* random_;
  double mean_work_ms_;
  double hinted_share_;  // of the requests
  double client_retry_share_;
  double departure_share_;
  double mean_pause_ms_;
  double departure_after_ms_;
};

/// Lets the fleet, the endpoint list and the zones' shares change while a run lasts.
class Surroundings {
 public:
  /// Told to the core under test.
  struct Callbacks {
    std::function<void(balancer::EndpointListUpdate)> update_list;
    std::function<void(balancer::ZoneQuotas)> set_zone_shares;
  };

  /// All pointers must outlive it.
  Surroundings(SimulatedFleet* fleet, Timeline* timeline, Random* random, Callbacks callbacks);
  /// Begins with the first list at once, and goes on for as long as the timeline runs. A run lasts
  /// `run_time`.
  void Start(balancer::TimePoint now, balancer::Duration run_time);

 private:
  void ChangeList();
  void ChangeConditions();
  void ChangeZoneShares();

  SimulatedFleet* fleet_;
  Timeline* timeline_;
  Random* random_;
  Callbacks callbacks_;
};

/// Limits for each zone, some of them without limit or not a number.
balancer::ZoneQuotas DrawZoneShares(Random* random);

/// Adds all that Inspect() gives.
void AddViews(const std::vector<balancer::BackendView>& views, Digest* digest);

}  // namespace badgerbridge::fingerprint

#endif  // BADGERBRIDGE_TESTS_FINGERPRINT_SCENARIO_H_
