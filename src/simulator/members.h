// SPDX-License-Identifier: Apache-2.0
//
// The members of the regions in the model: a zone_failover::Member for each proxy that lives, calling an etcd
// that has a latency and can be out of reach. What they decide goes to the proxies' cores as ZoneQuotas.
#ifndef BADGERBRIDGE_SIMULATOR_MEMBERS_H_
#define BADGERBRIDGE_SIMULATOR_MEMBERS_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "simulator/etcd.h"
#include "simulator/event_queue.h"
#include "simulator/model.h"
#include "simulator/random.h"

namespace badgerbridge::simulator {

class Members final : public Actor {
 public:
  using OnShares = std::function<void(TimePoint, std::size_t proxy, std::vector<double>)>;

  // `on_shares` is called whenever a proxy's shares are others than before.
  Members(EventQueue& queue, const Model& model, std::uint64_t seed, OnShares on_shares);
  ~Members();

  void Start(TimePoint now, std::size_t proxy);
  void Stop(std::size_t proxy);  // its process has died
  void EtcdDown(bool down) { down_ = down; }
  void Order(int zone, bool leave) { etcd_.Order(zone, leave ? "an operator" : ""); }

  void Arrived(TimePoint now, std::size_t proxy, double work);
  void Sent(TimePoint now, std::size_t proxy, std::uint64_t attempt, int zone);
  void Ended(TimePoint now, std::size_t proxy, std::uint64_t attempt, int request_class,
             balancer::Outcome outcome, Duration took, double work, double used);
  void Listed(std::size_t proxy, std::vector<double> warm);

  const EtcdModel& etcd() const { return etcd_; }
  const zone_failover::Member* member(std::size_t proxy) const;

 private:
  enum What : std::uint32_t { kAsk, kReach, kReply };
  struct One;

  void On(TimePoint now, std::uint32_t what, std::uint64_t proxy, std::uint64_t incarnation) override;
  void Ask(TimePoint now, std::size_t proxy);
  void Tell(TimePoint now, std::size_t proxy);
  std::vector<double> Cliff(TimePoint now, One& one);

  EventQueue& queue_;
  const Model& model_;
  Random random_;
  std::uint64_t seed_;
  OnShares on_shares_;
  EtcdModel etcd_;
  bool down_ = false;
  std::vector<std::unique_ptr<One>> all_;
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_MEMBERS_H_
