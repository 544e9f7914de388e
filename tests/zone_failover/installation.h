// SPDX-License-Identifier: Apache-2.0
//
// Simulates many members with one etcd in virtual time, with random faults. Each step checks the total that
// all members may send against each zone's limit.
#ifndef BADGERBRIDGE_TESTS_ZONE_FAILOVER_INSTALLATION_H_
#define BADGERBRIDGE_TESTS_ZONE_FAILOVER_INSTALLATION_H_

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "simulator/etcd_model.h"
#include "zone_failover/member.h"

namespace badgerbridge::zone_failover {

constexpr std::size_t kZones = 4;

// A member with its clock and its call in flight.
struct SimulatedMember {
  std::string name;
  std::size_t zone = 0;
  std::unique_ptr<Member> member;
  double clock_rate = 1;
  double clock_offset_ms = 0;
  bool stopped = false;   // the process is suspended
  bool isolated = false;  // etcd is unreachable
  bool dead = false;      // the process has ended
  double demand = 0;      // work per ms
  std::uint64_t attempts = 0;

  std::optional<Member::Call> call;
  double call_arrives_at = 0;   // at etcd, ms
  double reply_arrives_at = 0;  // at the member, ms
  bool call_is_lost = false;
  bool reply_is_lost = false;
  std::optional<Member::Reply> reply;
};

// A zone's backends.
struct SimulatedZone {
  double capacity = 0;                      // work per ms; 0: the zone fails
  std::optional<double> utilization = 0.4;  // as reported by the backends
  double load = 0;                          // work since the last update of the utilization
};

class Installation {
 public:
  Installation(std::uint64_t seed, int members);

  // Advances the time by 10 ms, then checks the totals.
  void Step();
  // Injects or ends a random fault with a low probability.
  void MaybeFault();
  // Ends all faults and evacuation orders.
  void EndFaults();

  TimePoint ClockOf(const SimulatedMember& one) const {
    return TimePoint(Duration(one.clock_offset_ms + now_ * one.clock_rate));
  }
  const std::vector<SimulatedMember>& members() const { return members_; }
  const Decision& newest_decision() const { return decisions_.back().decision; }
  // Maximum over time and zones of the total that all members may send, relative to the limit.
  double max_limit_use() const { return max_limit_use_; }

 private:
  struct DecisionAt {
    double ms = 0;
    Decision decision;
  };
  // Total that all members may send to a receiver.
  struct Total {
    double granted = 0;     // quotas of members with a limit
    double own_demand = 0;  // demand of members without a limit
  };

  double RandomFraction() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }  // in [0, 1)
  void Start(SimulatedMember* one);
  void UpdateUtilization();
  void Deliver(SimulatedMember* one);
  void StepMember(SimulatedMember* one);
  void Serve(SimulatedMember* one, TimePoint at);
  void RestoreOrBackUpEtcd();
  void ReadDecision();
  Total TotalOf(std::size_t receiver, bool healthy) const;
  void CheckReceiver(std::size_t receiver);
  std::string Describe(std::size_t receiver) const;

  std::mt19937_64 random_;
  FailoverSettings settings_;
  std::vector<SimulatedMember> members_;
  std::vector<SimulatedZone> zones_;
  simulator::EtcdModel etcd_;
  std::optional<simulator::EtcdModel> backup_;
  bool etcd_is_down_ = false;
  double now_ = 0;  // ms
  std::int64_t decision_revision_ = 0;
  std::deque<DecisionAt> decisions_;  // of the last 12 s
  double max_limit_use_ = 0;
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_TESTS_ZONE_FAILOVER_INSTALLATION_H_
