// SPDX-License-Identifier: Apache-2.0
/// @file
/// One proxy's part in zone failover: it publishes its load report, campaigns for leader when there is none,
/// decides while it is the leader, and tells at each moment how much this proxy may send to each zone. Pure:
/// it says which call to etcd is to be made next and is told the reply; one call at a time.
///
/// Under the prefix (keys.h), all with leases but the decision and its roster:
///   members/NAME   a member's load report      decider    name of the leader
///   decision       the record (decision.h)     orders/N   an operator's order to evacuate zone N
///   roll           the decision's roster
///
/// One call does most of it: a transaction puts the report and reads the decision, the leader and the orders,
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
  std::string name;                 ///< unique among all members; a name is an identity
  int zone = 0;                     ///< where the proxy runs
  FailoverSettings failover;        ///< alike for all members
  std::size_t request_classes = 1;  ///< number of classes of requests
  bool coordinated = true;          ///< false: no calls to etcd; it decides alone, by its own load report
  int lease_ttl_s = 3;              ///< time to live of its lease, in seconds
  Duration heartbeat{250};          ///< between two load reports
  Duration call_timeout{700};       ///< of one call; one that is out for twice as long counts as lost
  Duration backoff{100};            ///< after the first failed call; doubles with each
  Duration max_backoff{1000};       ///< bound of the backoff
};

/// A key of etcd with its value.
struct KeyValue {
  std::string key;                   ///< without the prefix
  std::string value;                 ///< empty if only the key was asked for
  std::int64_t create_revision = 0;  ///< at which it was made
  std::int64_t mod_revision = 0;     ///< at which it was last written
  std::int64_t lease = 0;            ///< that it is bound to; 0: none
};

/// The state machine of one member. Not thread-safe; times never go back.
class Member {
 public:
  /// Call: a new lease.
  struct GrantLease {
    int ttl_s = 0;  ///< its time to live, in seconds
  };
  /// Call: renews the lease.
  struct KeepLeaseAlive {
    std::int64_t lease = 0;  ///< to renew
  };
  /// Call, one transaction: puts the member's load report under the lease, then reads that key, the decision,
  /// the leader and the orders. A decision of the revision `known_revision` is read without its value.
  struct Heartbeat {
    std::int64_t lease = 0;           ///< of the load report
    std::string load_report;          ///< its text
    bool read_all = false;            ///< reads all load reports and the roster too
    std::int64_t known_revision = 0;  ///< mod_revision of the decision that the member knows
  };
  /// Call: makes the leader's key under the lease if there is no such key.
  struct Campaign {
    std::int64_t lease = 0;  ///< of the leader's key
  };
  /// Call: writes the decision and its roster if the leader's key and the decision are of these revisions.
  struct Propose {
    std::string decision;                     ///< its text
    std::string roster;                       ///< its text
    std::int64_t leader_create_revision = 0;  ///< of the leader's key
    std::int64_t decision_mod_revision = 0;   ///< of the decision that it replaces; 0: there is none
  };
  /// A call to etcd; the prefix of keys is the caller's to add.
  using Call = std::variant<GrantLease, KeepLeaseAlive, Heartbeat, Campaign, Propose>;

  /// The reply to a call.
  struct Reply {
    bool ok = false;             ///< it was answered and done, unless `condition_held` says otherwise
    bool lease_gone = false;     ///< etcd does not know the lease any more
    bool condition_held = true;  ///< the conditions of Campaign and Propose
    std::int64_t lease = 0;      ///< that was granted or renewed
    std::int64_t revision = 0;   ///< of etcd after the call
    std::vector<KeyValue> kvs;   ///< read by a Heartbeat
  };

  /// A member that has made no call yet; `seed` of its jitter.
  Member(MemberSettings settings, std::uint64_t seed);

  /// A client's request came in; `work` in ms on a standard core.
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

  /// The next call, if one is due and none is out.
  std::optional<Call> NextCall(TimePoint now);
  /// The call that is out has ended.
  void CallEnded(TimePoint now, const Reply& reply);
  /// When to ask for the next call, if none is out.
  TimePoint wake_at() const { return wake_at_; }

  /// By zone: work a ms that this proxy may send there now; kUnlimited: without limit.
  std::vector<double> ZoneQuotas(TimePoint now) const;

  /// Whether its grants are valid: it renewed its lease lately. Never if it is not coordinated.
  bool IsInContact(TimePoint now) const { return settings_.coordinated && now < grants_valid_until_; }
  /// Whether it holds the leader's key, as far as it knows.
  bool is_leader() const { return leader_create_revision_ != 0; }
  /// Whether the decision lets it use grants.
  bool IsAdmitted() const;
  /// The decision that it acts on; nothing until it has read one.
  const std::optional<Decision>& decision() const { return decision_; }
  /// Name of the leader, as last read; empty: there is none.
  const std::string& leader() const { return leader_; }
  /// The last error, for people; it stays until the next.
  const std::string& last_error() const { return last_error_; }
  /// Calls made so far.
  std::uint64_t calls() const { return calls_; }

 private:
  // Keys of a heartbeat's reply; null where they are not there.
  struct HeartbeatKeys {
    const KeyValue* leader = nullptr;
    const KeyValue* decision = nullptr;
  };

  void Begin(TimePoint now);
  std::optional<Call> DueCall(TimePoint now);
  Call MakeHeartbeat(TimePoint now);
  void Failed(TimePoint now, std::string error);
  double DrawUnit();  // from [0, 1)
  void StartIncarnation();
  void LoseLease(const std::string& error);
  void LeaseRenewed(TimePoint at);

  void Succeeded(TimePoint now, const GrantLease& call, const Reply& reply);
  void Succeeded(TimePoint now, const KeepLeaseAlive& call, const Reply& reply);
  void Succeeded(TimePoint now, const Heartbeat& call, const Reply& reply);
  void Succeeded(TimePoint now, const Campaign& call, const Reply& reply);
  void Succeeded(TimePoint now, const Propose& call, const Reply& reply);

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
  const std::size_t home_;  // its zone
  LoadReporter reporter_;
  FailoverLeader failover_leader_;  // idle unless this member is the leader, or decides alone
  std::mt19937_64 random_;

  // The call that is out, and when the next one is due.
  std::optional<Call> call_;
  TimePoint call_sent_at_{};
  TimePoint wake_at_{};
  TimePoint began_{};
  TimePoint next_heartbeat_{};
  TimePoint campaign_at_{};  // TimePoint{}: it does not campaign
  Duration backoff_;
  std::uint64_t calls_ = 0;
  std::string last_error_;

  // Its lease, by this member's clock.
  std::int64_t lease_ = 0;            // 0: none
  std::int64_t create_revision_ = 0;  // of its key; 0: not known
  TimePoint renewed_at_{};            // when the call that last renewed the lease was made
  TimePoint lease_until_{};
  TimePoint grants_valid_until_{};

  // Grants of its incarnation before this lease, which the leader still counts.
  TimePoint earlier_valid_until_{};
  Matrix earlier_grants_;  // of one member

  std::optional<Decision> decision_;
  std::int64_t decision_mod_revision_ = 0;
  std::string leader_;
  std::int64_t leader_create_revision_ = 0;  // of this member's own term; 0: it is not the leader
  std::optional<Propose> proposal_;
  LoadReport last_report_;
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_MEMBER_H_
