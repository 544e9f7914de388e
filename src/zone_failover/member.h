// SPDX-License-Identifier: Apache-2.0
/// @file
/// One proxy as a member of zone failover. It publishes its load report, campaigns when there is no leader,
/// makes the decisions while it is the leader, and computes how much the proxy may send to each zone. Pure:
/// it returns the etcd calls to make and receives their replies, one call at a time.
///
/// Keys under the prefix (keys.h), all bound to leases except the decision and its roster:
///   members/NAME   a member's load report      decider    name of the leader
///   decision       the record (decision.h)     orders/N   an operator's order to evacuate zone N
///   roll           the decision's roster
///
/// The heartbeat is one transaction. It puts the report and reads the decision, the leader and the orders,
/// and for the leader all reports, as of one revision. The read is linearizable, so it can't be stale.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_MEMBER_H_
#define BADGERBRIDGE_ZONE_FAILOVER_MEMBER_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "zone_failover/failover_leader.h"
#include "zone_failover/load_reporter.h"

namespace badgerbridge::zone_failover {

/// Settings of one member.
struct MemberSettings {
  std::string name;                 ///< identifies the member; must be unique among all members
  int zone = 0;                     ///< index of the zone in which the proxy runs
  FailoverSettings failover;        ///< the same for all members
  std::size_t request_classes = 1;  ///< number of request classes
  bool coordinated = true;          ///< false: makes no etcd calls and decides alone from its own load report
  int lease_ttl_s = 3;              ///< time to live of its lease, in seconds
  Duration heartbeat{250};          ///< interval between load reports
  Duration call_timeout{700};       ///< of one call; a call in flight for twice as long counts as lost
  Duration backoff{100};            ///< after the first failed call; doubles with each further failure
  Duration max_backoff{1000};       ///< upper bound of the backoff
};

/// An etcd key with its value.
struct KeyValue {
  std::string key;                   ///< without the prefix
  std::string value;                 ///< empty if only the key was requested
  std::int64_t create_revision = 0;  ///< revision of the key's creation
  std::int64_t mod_revision = 0;     ///< revision of the key's last write
  std::int64_t lease = 0;            ///< lease to which the key is bound; 0: none
};

/// The state machine of one member. Not thread-safe; the times passed to successive calls must not decrease.
class Member {
 public:
  /// Call: requests a new lease.
  struct GrantLease {
    int ttl_s = 0;  ///< time to live, in seconds
  };
  /// Call: renews the lease.
  struct KeepLeaseAlive {
    std::int64_t lease = 0;  ///< id of the lease
  };
  /// Call, one transaction: puts the member's load report under the lease, then reads that key, the decision,
  /// the leader and the orders. Reads the decision without its value if its mod_revision is `known_revision`.
  struct Heartbeat {
    std::int64_t lease = 0;           ///< lease of the load report's key
    std::string load_report;          ///< the encoded LoadReport
    bool read_all = false;            ///< also reads all load reports and the roster
    std::int64_t known_revision = 0;  ///< mod_revision of the decision that the member has
  };
  /// Call: creates the leader's key under the lease unless the key exists.
  struct Campaign {
    std::int64_t lease = 0;  ///< lease of the leader's key
  };
  /// Call: writes the decision and its roster if the leader's key and the decision still have these
  /// revisions.
  struct Propose {
    std::string decision;                     ///< the encoded decision
    std::string roster;                       ///< the encoded roster
    std::int64_t leader_create_revision = 0;  ///< expected create revision of the leader's key
    std::int64_t decision_mod_revision =
        0;  ///< expected mod_revision of the replaced decision; 0: there is none
  };
  /// A call to etcd; the caller adds the prefix to the keys.
  using Call = std::variant<GrantLease, KeepLeaseAlive, Heartbeat, Campaign, Propose>;

  /// The reply to a call.
  struct Reply {
    bool ok = false;             ///< the call was answered and executed, subject to `condition_held`
    bool lease_gone = false;     ///< the lease no longer exists in etcd
    bool condition_held = true;  ///< the condition of a Campaign or Propose was met
    std::int64_t lease = 0;      ///< the granted or renewed lease
    std::int64_t revision = 0;   ///< etcd's revision after the call
    std::vector<KeyValue> kvs;   ///< the keys read by a Heartbeat
  };

  /// Creates a member without a lease; `seed` initializes the jitter of its calls.
  Member(MemberSettings settings, std::uint64_t seed);

  /// As LoadReporter::RequestArrived.
  void RequestArrived(TimePoint now, double work) { reporter_.RequestArrived(now, work); }
  /// As LoadReporter::AttemptStarted.
  void AttemptStarted(TimePoint now, std::uint64_t attempt, std::size_t zone) {
    reporter_.AttemptStarted(now, attempt, zone);
  }
  /// As LoadReporter::AttemptEnded.
  void AttemptEnded(TimePoint now, std::uint64_t attempt, const AttemptResult& result) {
    reporter_.AttemptEnded(now, attempt, result);
  }
  /// As LoadReporter::UpdateWarmBackends.
  void UpdateWarmBackends(std::vector<double> warm_backends) {
    reporter_.UpdateWarmBackends(std::move(warm_backends));
  }

  /// Returns the next call if one is due and no call is in flight.
  std::optional<Call> NextCall(TimePoint now);
  /// Handles the reply to the call in flight; ignored if there is none.
  void CallEnded(TimePoint now, const Reply& reply);
  /// Time of the next NextCall if no call is in flight.
  TimePoint wake_at() const { return wake_at_; }

  /// By zone: work per ms that this proxy may send to the zone now; kUnlimited: without a limit.
  std::vector<double> ZoneQuotas(TimePoint now) const;

  /// True while its grants are valid after the last renewal of its lease. Always false if it is not
  /// coordinated.
  bool IsInContact(TimePoint now) const { return settings_.coordinated && now < grants_valid_until_; }
  /// True if, by the last reply, this member holds the leader's key.
  bool is_leader() const { return leader_create_revision_ != 0; }
  /// True if the decision allows this member to use grants.
  bool IsAdmitted() const;
  /// The decision on which this member acts; nothing until it has read or made one.
  const std::optional<Decision>& decision() const { return decision_; }
  /// Name of the leader as last read; empty: there is none.
  const std::string& leader() const { return leader_; }
  /// The most recent error, for operators; empty if there was none.
  const std::string& last_error() const { return last_error_; }
  /// Number of calls made so far.
  std::uint64_t calls() const { return calls_; }

 private:
  // Keys in a heartbeat's reply; null if missing.
  struct HeartbeatKeys {
    const KeyValue* leader = nullptr;
    const KeyValue* decision = nullptr;
  };

  void Begin(TimePoint now);
  std::optional<Call> DueCall(TimePoint now);
  Call MakeHeartbeat(TimePoint now);
  void HandleFailure(TimePoint now, std::string error);
  double RandomFraction();  // in [0, 1)
  void StartIncarnation();
  void LoseLease(const std::string& error);
  void LeaseRenewed(TimePoint at);

  void HandleReply(TimePoint now, const GrantLease& call, const Reply& reply);
  void HandleReply(TimePoint now, const KeepLeaseAlive& call, const Reply& reply);
  void HandleReply(TimePoint now, const Heartbeat& call, const Reply& reply);
  void HandleReply(TimePoint now, const Campaign& call, const Reply& reply);
  void HandleReply(TimePoint now, const Propose& call, const Reply& reply);

  HeartbeatKeys FindKeys(const Reply& reply);
  void UpdateLeader(TimePoint now, const KeyValue* leader);
  void UpdateDecision(const KeyValue* record);
  Snapshot SnapshotOf(const Reply& reply) const;
  void AddToSnapshot(const KeyValue& kv, Snapshot* snapshot) const;
  void DecideAsLeader(TimePoint now, const Reply& reply);
  void DecideAlone(TimePoint now);

  bool HomeZoneFails() const;
  std::vector<double> QuotasWithoutDecision(TimePoint now) const;
  std::vector<double> QuotasByGrants(TimePoint now) const;
  std::vector<double> QuotasByStandby(TimePoint now) const;

  const MemberSettings settings_;
  const std::size_t home_zone_;
  LoadReporter reporter_;
  FailoverLeader failover_leader_;  // only used while this member is the leader or decides alone
  std::mt19937_64 random_;

  // The call in flight and the schedule of the next calls.
  std::optional<Call> call_;
  TimePoint call_sent_at_{};
  TimePoint wake_at_{};
  TimePoint started_at_{};
  TimePoint next_heartbeat_{};
  TimePoint campaign_at_{};  // TimePoint{}: no campaign is scheduled
  Duration backoff_;
  std::uint64_t calls_ = 0;
  std::string last_error_;

  // The lease, by this member's clock.
  std::int64_t lease_ = 0;            // 0: none
  std::int64_t create_revision_ = 0;  // of this member's key; 0: not known
  TimePoint renewed_at_{};            // start of the call that last renewed the lease
  TimePoint lease_until_{};
  TimePoint grants_valid_until_{};

  // Grants of the previous incarnation, which the leader still counts.
  TimePoint earlier_valid_until_{};
  Matrix earlier_grants_;  // per member

  std::optional<Decision> decision_;
  std::int64_t decision_mod_revision_ = 0;
  std::string leader_;
  std::int64_t leader_create_revision_ = 0;  // of its own leader key; 0: not the leader
  std::optional<Propose> proposal_;
  LoadReport last_report_;
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_MEMBER_H_
