// SPDX-License-Identifier: Apache-2.0

/// @file
/// The members of zone failover in the model, one for each proxy that lives, and the etcd between them.
#ifndef BADGERBRIDGE_SIMULATOR_FAILOVER_MEMBERS_H_
#define BADGERBRIDGE_SIMULATOR_FAILOVER_MEMBERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "simulator/etcd_model.h"
#include "simulator/event_queue.h"
#include "simulator/model.h"
#include "simulator/random.h"
#include "simulator/request_tracker.h"
#include "zone_failover/load_reporter.h"

namespace badgerbridge::simulator {

/// Members with their calls of an etcd that has a latency and can be down.
class FailoverMembers final {
 public:
  /// Called whenever a proxy's zone quotas have changed.
  using QuotasCallback = std::function<void(TimePoint, std::size_t proxy, std::vector<double> quotas)>;

  /// Queue and model must outlive it. No member runs until Start.
  FailoverMembers(EventQueue& queue, const Model& model, std::uint64_t seed, QuotasCallback on_quotas);
  ~FailoverMembers();

  /// A proxy's process has started.
  void Start(TimePoint now, std::size_t proxy);
  /// A proxy's process has died.
  void Stop(std::size_t proxy);
  /// While etcd is down, its calls have no effect and fail.
  void SetEtcdDown(bool is_down) { etcd_is_down_ = is_down; }
  /// An operator's order to evacuate a zone, or to take the order back.
  void SetEvacuation(int zone, bool is_evacuated) {
    etcd_.SetEvacuationOrder(zone, is_evacuated ? "an operator" : "");
  }

  /// A request has arrived at a proxy; `work` in ms of a standard core.
  void RequestArrived(TimePoint now, std::size_t proxy, double work);
  /// A proxy has sent an attempt to a zone.
  void AttemptStarted(TimePoint now, std::size_t proxy, AttemptId attempt, int zone);
  /// An attempt has ended. Its utilization is left out where responses do not carry load.
  void AttemptEnded(TimePoint now, std::size_t proxy, AttemptId attempt, zone_failover::AttemptResult result);
  /// A proxy's endpoint list has changed: warm backends by zone.
  void UpdateWarmBackends(std::size_t proxy, std::vector<double> warm_backends);

  /// The etcd.
  const EtcdModel& etcd() const { return etcd_; }
  /// The member of a proxy; null if the proxy is dead.
  const zone_failover::Member* member(std::size_t proxy) const;

 private:
  struct Instance;

  zone_failover::MemberSettings SettingsOf(std::size_t proxy) const;
  bool IsCurrent(std::size_t proxy, std::uint64_t incarnation) const;
  bool UsesThreshold() const { return model_.failover.mode == ZoneFailoverModel::Mode::kThreshold; }
  void ScheduleStep(TimePoint at, std::size_t proxy);
  void Step(TimePoint now, std::size_t proxy);
  void StartNextCall(TimePoint now, std::size_t proxy);
  void CallReachesEtcd(TimePoint now, std::size_t proxy, std::uint64_t incarnation);
  void ReplyArrives(TimePoint now, std::size_t proxy, std::uint64_t incarnation);
  void PublishQuotas(TimePoint now, std::size_t proxy);
  std::vector<double> ThresholdQuotas(TimePoint now, Instance& instance) const;

  EventQueue& queue_;
  const Model& model_;
  Random random_;
  const std::uint64_t seed_;
  QuotasCallback on_quotas_;
  EtcdModel etcd_;
  bool etcd_is_down_ = false;
  std::vector<std::unique_ptr<Instance>> instances_;  // by proxy
};

}  // namespace badgerbridge::simulator

#endif  // BADGERBRIDGE_SIMULATOR_FAILOVER_MEMBERS_H_
