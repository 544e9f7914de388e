// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/member.h"

#include <algorithm>
#include <iterator>

#include "zone_failover/keys.h"

namespace badgerbridge::zone_failover {
namespace {

constexpr double kRenewalFraction = 1.0 / 3;
constexpr Duration kMaxCampaignDelay{300};  // jitter, so that members do not campaign at the same time
constexpr TimePoint kNever{Duration(1e300)};
constexpr double kMsPerSecond = 1000.0;

bool HasPrefix(const std::string& text, const char* prefix) { return text.rfind(prefix, 0) == 0; }

}  // namespace

Member::Member(MemberSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      home_zone_(static_cast<std::size_t>(settings_.zone)),
      reporter_(settings_.zone, settings_.failover.zones, settings_.request_classes),
      failover_leader_(settings_.failover),
      random_(seed),
      backoff_(settings_.backoff) {}

bool Member::IsAdmitted() const {
  if (create_revision_ <= 0 || !decision_) return false;
  if (create_revision_ <= decision_->admitted_revision) return true;
  const MemberIncarnation self{settings_.name, create_revision_};
  const auto& readmitted = decision_->readmitted;
  return std::find(readmitted.begin(), readmitted.end(), self) != readmitted.end();
}

// Starts a new incarnation, which must be admitted again. The grants of the previous incarnation stay valid
// for as long as the leader counts them.
void Member::StartIncarnation() {
  if (IsAdmitted()) {
    earlier_valid_until_ = grants_valid_until_;
    earlier_grants_ = GrantsPerMember(*decision_);
  }
  create_revision_ = 0;
}

double Member::RandomFraction() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

// Adds jitter, so that members that start together do not send their heartbeats at the same time.
void Member::Begin(TimePoint now) {
  started_at_ = now;
  next_heartbeat_ = now;
  wake_at_ = now + settings_.heartbeat * RandomFraction();
}

std::optional<Member::Call> Member::NextCall(TimePoint now) {
  if (started_at_ == TimePoint{}) Begin(now);
  const Duration call_lost_after = settings_.call_timeout * 2;
  if (call_ && now - call_sent_at_ < call_lost_after) return std::nullopt;
  if (call_) HandleFailure(now, "a call was never answered");  // the caller lost the call
  if (now < wake_at_) return std::nullopt;
  if (!settings_.coordinated) {
    wake_at_ = now + settings_.heartbeat;
    DecideAlone(now);
    return std::nullopt;
  }
  std::optional<Call> call = DueCall(now);
  if (!call) {
    wake_at_ = std::min(next_heartbeat_, campaign_at_ == TimePoint{} ? kNever : campaign_at_);
    return std::nullopt;
  }
  call_ = call;
  call_sent_at_ = now;
  ++calls_;
  wake_at_ = now + call_lost_after;
  return call;
}

std::optional<Member::Call> Member::DueCall(TimePoint now) {
  // The lease ends by this member's clock before it ends in etcd.
  if (lease_ != 0 && now >= lease_until_) LoseLease("the lease was not renewed in time");
  if (lease_ == 0) return GrantLease{settings_.lease_ttl_s};
  if (now - renewed_at_ >= Duration(kMsPerSecond * settings_.lease_ttl_s * kRenewalFraction))
    return KeepLeaseAlive{lease_};
  if (proposal_) return *std::exchange(proposal_, std::nullopt);
  if (leader_.empty() && campaign_at_ != TimePoint{} && now >= campaign_at_) {
    campaign_at_ = TimePoint{};
    return Campaign{lease_};
  }
  if (now >= next_heartbeat_) return MakeHeartbeat(now);
  return std::nullopt;
}

Member::Call Member::MakeHeartbeat(TimePoint now) {
  last_report_ = reporter_.BuildReport(now, decision_ ? decision_->epoch : 0);
  next_heartbeat_ = std::max(now, next_heartbeat_ + settings_.heartbeat);
  return Heartbeat{lease_, Encode(last_report_), is_leader(), decision_mod_revision_};
}

void Member::HandleFailure(TimePoint now, std::string error) {
  last_error_ = std::move(error);
  call_.reset();
  proposal_.reset();
  const double jitter = 0.5 + 0.5 * RandomFraction();
  wake_at_ = now + backoff_ * jitter;
  backoff_ = std::min(settings_.max_backoff, backoff_ * 2);
}

// Keeps the grants until grants_valid_until_: the leader waits that long for a lost member.
void Member::LoseLease(const std::string& error) {
  last_error_ = error;
  lease_ = 0;
  leader_create_revision_ = 0;
  proposal_.reset();
}

void Member::LeaseRenewed(TimePoint at) {
  const FailoverSettings& failover = settings_.failover;
  const Duration ttl(kMsPerSecond * settings_.lease_ttl_s);
  renewed_at_ = at;
  lease_until_ = at + ttl * (1 - failover.max_clock_drift);
  grants_valid_until_ = at + (ttl + failover.grant_hold) * (1 - failover.max_clock_drift);
}

void Member::CallEnded(TimePoint now, const Reply& reply) {
  if (!call_) return;
  const Call call = *std::exchange(call_, std::nullopt);
  if (!reply.ok) {
    HandleFailure(now, "a call was not answered");
    if (reply.lease_gone) {
      StartIncarnation();
      LoseLease("etcd does not know the lease any more");
    }
    return;
  }
  backoff_ = settings_.backoff;
  wake_at_ = now;
  std::visit([&](const auto& ended_call) { HandleReply(now, ended_call, reply); }, call);
}

void Member::HandleReply(TimePoint /*now*/, const GrantLease& /*call*/, const Reply& reply) {
  lease_ = reply.lease;
  StartIncarnation();
  LeaseRenewed(call_sent_at_);
}

void Member::HandleReply(TimePoint /*now*/, const KeepLeaseAlive& /*call*/, const Reply& /*reply*/) {
  LeaseRenewed(call_sent_at_);
}

void Member::HandleReply(TimePoint now, const Heartbeat& /*call*/, const Reply& reply) {
  const HeartbeatKeys keys = FindKeys(reply);
  UpdateLeader(now, keys.leader);
  UpdateDecision(keys.decision);
  if (is_leader()) DecideAsLeader(now, reply);
}

void Member::HandleReply(TimePoint now, const Campaign& /*call*/, const Reply& reply) {
  if (!reply.condition_held) return;
  leader_create_revision_ = reply.revision;
  leader_ = settings_.name;
  failover_leader_.BeginTerm();
  next_heartbeat_ = now;
}

void Member::HandleReply(TimePoint now, const Propose& /*call*/, const Reply& reply) {
  if (!reply.condition_held) {
    last_error_ = "another has decided";
    leader_create_revision_ = 0;
  }
  next_heartbeat_ = now;  // reads and confirms the decision
}

Member::HeartbeatKeys Member::FindKeys(const Reply& reply) {
  HeartbeatKeys keys;
  for (const KeyValue& kv : reply.kvs) {
    if (kv.key == kLeaderKey) keys.leader = &kv;
    if (kv.key == kDecisionKey) keys.decision = &kv;
    if (kv.key == MemberKey(settings_.name)) create_revision_ = kv.create_revision;
  }
  return keys;
}

void Member::UpdateLeader(TimePoint now, const KeyValue* leader) {
  leader_ = leader ? leader->value : "";
  // The create revision of the leader's key identifies the term. A member that was suspended must not
  // continue the term of another leader.
  if (is_leader() && (!leader || leader->create_revision != leader_create_revision_))
    leader_create_revision_ = 0;
  // The campaign succeeded but its reply was lost. Without this check no member would make decisions.
  if (leader && !is_leader() && leader->value == settings_.name && lease_ != 0 && leader->lease == lease_) {
    leader_create_revision_ = leader->create_revision;
    failover_leader_.BeginTerm();
  }
  if (!leader && campaign_at_ == TimePoint{}) campaign_at_ = now + kMaxCampaignDelay * RandomFraction();
  if (leader) campaign_at_ = TimePoint{};
}

// Keeps the previous decision if the new one can't be decoded.
void Member::UpdateDecision(const KeyValue* record) {
  if (!record) {
    decision_mod_revision_ = 0;
    return;
  }
  if (record->mod_revision == decision_mod_revision_) return;
  Result<Decision> decision = DecodeDecision(record->value, settings_.failover.zones);
  if (!decision) {
    last_error_ = "the decision can't be read: " + Message(decision.error());
    return;
  }
  decision_ = std::move(*decision);
  decision_mod_revision_ = record->mod_revision;
}

void Member::AddToSnapshot(const KeyValue& kv, Snapshot* snapshot) const {
  const std::size_t zones = settings_.failover.zones;
  if (HasPrefix(kv.key, kMembersKey)) {
    Result<LoadReport> report = DecodeLoadReport(kv.value, zones);
    if (!report) return;
    snapshot->reports.push_back(
        {kv.key.substr(std::size(kMembersKey) - 1), kv.create_revision, std::move(*report)});
  } else if (kv.key == kRosterKey && snapshot->decision) {
    Result<std::vector<RosterEntry>> roster = DecodeRoster(kv.value, zones, snapshot->decision->epoch);
    if (roster) snapshot->decision->roster = std::move(*roster);
  } else if (HasPrefix(kv.key, kOrdersKey)) {
    for (std::size_t zone = 0; zone < zones; ++zone) {
      if (kv.key == OrderKey(zone)) snapshot->evacuated_by[zone] = kv.value.empty() ? "nobody" : kv.value;
    }
  }
}

Snapshot Member::SnapshotOf(const Reply& reply) const {
  Snapshot snapshot;
  snapshot.revision = reply.revision;
  if (decision_mod_revision_ != 0) snapshot.decision = decision_;
  snapshot.evacuated_by.resize(settings_.failover.zones);
  for (const KeyValue& kv : reply.kvs) AddToSnapshot(kv, &snapshot);
  return snapshot;
}

void Member::DecideAsLeader(TimePoint now, const Reply& reply) {
  const auto next = failover_leader_.NextDecision(now, SnapshotOf(reply), settings_.name);
  if (!next) return;
  proposal_ = Propose{Encode(*next), EncodeRoster(*next), leader_create_revision_, decision_mod_revision_};
}

// Applies the leader's algorithm to this member's own load report. Limits of failing and slow zones are
// reduced; limits of other zones grow in steps from the work that they have served for this member.
void Member::DecideAlone(TimePoint now) {
  Snapshot snapshot;
  snapshot.revision = 1;
  snapshot.decision = decision_;
  last_report_ = reporter_.BuildReport(now, decision_ ? decision_->epoch : 0);
  LoadReport own = last_report_;
  // The reported utilization includes the requests of other members.
  for (ZoneLoad& zone : own.zones) zone.utilization = kUnknownUtilization;
  snapshot.reports.push_back({settings_.name, 1, std::move(own)});
  if (auto next = failover_leader_.NextDecision(now, snapshot, settings_.name)) decision_ = std::move(next);
}

}  // namespace badgerbridge::zone_failover
