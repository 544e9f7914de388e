// SPDX-License-Identifier: Apache-2.0
#include "zone_failover/member.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "zone_failover/keys.h"

namespace badgerbridge::zone_failover {
namespace {

constexpr double kRenewAt = 1.0 / 3;  // of the lease
constexpr double kHomeFails = 0.5;    // share of attempts
constexpr double kHomeSlow = 3;
constexpr double kFewAttempts = 3;
constexpr Duration kCampaignWithin{300};  // members stand at moments drawn from so much, not all at once
constexpr TimePoint kNever{Duration(1e300)};

}  // namespace

Member::Member(MemberSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      meter_(settings_.zone, settings_.rules.zones, settings_.classes),
      decides_(settings_.rules),
      random_(seed),
      backoff_(settings_.backoff) {}

bool Member::admitted() const {
  if (created_ <= 0 || !decision_) return false;
  if (created_ <= decision_->admitted) return true;
  return std::any_of(decision_->returned.begin(), decision_->returned.end(), [&](const auto& one) {
    return one.created == created_ && one.member == settings_.name;
  });
}

// Whatever is admitted from here on is another life of this member's key. What the last one was granted holds
// for as long as the decider counts it.
void Member::StartIncarnation() {
  if (admitted()) {
    held_until_ = valid_until_;
    held_ = SlicesOf(*decision_);
  }
  created_ = 0;
}

double Member::Unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

std::optional<Member::Call> Member::Next(TimePoint now) {
  if (began_ == TimePoint{}) {
    began_ = now;
    // A fleet that starts at once must not beat in step.
    next_heartbeat_ = now;
    wake_ = now + settings_.heartbeat * Unit();
  }
  if (out_ && now - sent_at_ < settings_.call_timeout * 2) return std::nullopt;
  if (out_) Failed(now, "a call was never answered");  // whoever carries it out has lost it
  if (now < wake_) return std::nullopt;
  if (!settings_.together) {
    wake_ = now + settings_.heartbeat;
    DecideAlone(now);
    return std::nullopt;
  }
  // A lease ends here before it ends there.
  if (lease_ != 0 && now >= lease_until_) LoseLease("the lease was not renewed in time");
  std::optional<Call> call;
  if (lease_ == 0) {
    call = Grant{settings_.ttl_s};
  } else if (now - renewed_ >= Duration(1000.0 * settings_.ttl_s * kRenewAt)) {
    call = KeepAlive{lease_};
  } else if (proposal_) {
    call = *std::exchange(proposal_, std::nullopt);
  } else if (decider_.empty() && campaign_at_ != TimePoint{} && now >= campaign_at_) {
    call = Campaign{lease_};
    campaign_at_ = TimePoint{};
  } else if (now >= next_heartbeat_) {
    last_ = meter_.Take(now, decision_ ? decision_->epoch : 0);
    call = Heartbeat{lease_, Encode(last_), deciding(), decision_modified_};
    next_heartbeat_ = std::max(now, next_heartbeat_ + settings_.heartbeat);
  } else {
    wake_ = std::min(next_heartbeat_, campaign_at_ == TimePoint{} ? kNever : campaign_at_);
    return std::nullopt;
  }
  out_ = call;
  sent_at_ = now;
  ++calls_;
  wake_ = now + settings_.call_timeout * 2;
  return call;
}

void Member::Failed(TimePoint now, std::string why) {
  last_error_ = std::move(why);
  out_.reset();
  proposal_.reset();
  const double part = 0.5 + 0.5 * Unit();
  wake_ = now + backoff_ * part;
  backoff_ = std::min(settings_.most_backoff, backoff_ * 2);
}

// What it may do stands for as long as the decider waits for it (valid_until_), and no longer.
void Member::LoseLease(const std::string& why) {
  last_error_ = why;
  lease_ = 0;
  decider_created_ = 0;
  proposal_.reset();
}

void Member::Done(TimePoint now, const Reply& reply) {
  if (!out_) return;
  const Call call = *std::exchange(out_, std::nullopt);
  if (!reply.ok) {
    Failed(now, "a call was not answered");
    if (reply.lease_gone) {
      StartIncarnation();
      LoseLease("etcd does not know the lease any more");
    }
    return;
  }
  backoff_ = settings_.backoff;
  wake_ = now;
  const auto renewed = [&](TimePoint at) {
    renewed_ = at;
    const Duration ttl(1000.0 * settings_.ttl_s);
    lease_until_ = at + ttl * (1 - settings_.rules.drift);
    valid_until_ = at + (ttl + settings_.rules.hold) * (1 - settings_.rules.drift);
  };
  if (std::holds_alternative<Grant>(call)) {
    lease_ = reply.lease;
    StartIncarnation();
    renewed(sent_at_);
  } else if (std::holds_alternative<KeepAlive>(call)) {
    renewed(sent_at_);
  } else if (std::holds_alternative<Heartbeat>(call)) {
    Read(now, reply);
  } else if (std::holds_alternative<Campaign>(call)) {
    if (reply.held) {
      decider_created_ = reply.revision;
      decider_ = settings_.name;
      decides_.Reset();
      next_heartbeat_ = now;
    }
  } else if (std::holds_alternative<Propose>(call)) {
    if (!reply.held) {
      last_error_ = "another has decided";
      decider_created_ = 0;
    }
    next_heartbeat_ = now;  // go by it, and confirm it
  }
}

void Member::Read(TimePoint now, const Reply& reply) {
  const Kv* decider = nullptr;
  const Kv* record = nullptr;
  for (const Kv& kv : reply.kvs) {
    if (kv.key == kDeciderKey) decider = &kv;
    if (kv.key == kDecisionKey) record = &kv;
    if (kv.key == MemberKey(settings_.name)) created_ = kv.created;
  }
  decider_ = decider ? decider->value : "";
  // A term is known by the revision at which its key was made: one that slept does not take up another's.
  if (decider_created_ != 0 && (!decider || decider->created != decider_created_)) decider_created_ = 0;
  // Its own standing, whose answer was lost on the way: else nobody would ever decide.
  if (decider && decider_created_ == 0 && decider->value == settings_.name && lease_ != 0 &&
      decider->lease == lease_) {
    decider_created_ = decider->created;
    decides_.Reset();
  }
  if (!decider && campaign_at_ == TimePoint{}) campaign_at_ = now + kCampaignWithin * Unit();
  if (decider) campaign_at_ = TimePoint{};
  std::string why;
  if (record && record->modified != decision_modified_) {
    auto read = DecodeDecision(record->value, settings_.rules.zones, &why);
    if (read) {
      decision_ = std::move(read);
      decision_modified_ = record->modified;
    } else {
      last_error_ = "the decision can't be read: " + why;  // the last one stays
    }
  }
  if (!record) decision_modified_ = 0;
  if (deciding()) Decide(now, reply);
}

void Member::Decide(TimePoint now, const Reply& reply) {
  Snapshot snapshot;
  snapshot.revision = reply.revision;
  if (decision_modified_ != 0) snapshot.decision = decision_;
  snapshot.evacuated.resize(settings_.rules.zones);
  std::string why;
  for (const Kv& kv : reply.kvs) {
    if (kv.key.rfind(kMembersKey, 0) == 0) {
      auto evidence = DecodeEvidence(kv.value, settings_.rules.zones, &why);
      if (evidence)
        snapshot.reports.push_back(
            {kv.key.substr(std::size(kMembersKey) - 1), kv.created, std::move(*evidence)});
    } else if (kv.key == kRosterKey && snapshot.decision) {
      DecodeRoster(kv.value, settings_.rules.zones, &*snapshot.decision);
    } else if (kv.key.rfind(kOrdersKey, 0) == 0) {
      for (std::size_t z = 0; z < settings_.rules.zones; ++z) {
        if (kv.key == OrderKey(z)) snapshot.evacuated[z] = kv.value.empty() ? "nobody" : kv.value;
      }
    }
  }
  const auto next = decides_.Decide(now, snapshot, settings_.name);
  if (!next) return;
  proposal_ = Propose{Encode(*next), EncodeRoster(*next), decider_created_, decision_modified_};
}

// The same rules over its own word: what it sends to a zone that fails, or is slow, is cut; what it sends to
// others grows by steps from what it has been able to send there.
void Member::DecideAlone(TimePoint now) {
  Snapshot snapshot;
  snapshot.revision = 1;
  snapshot.decision = decision_;
  last_ = meter_.Take(now, decision_ ? decision_->epoch : 0);
  Evidence own = last_;
  for (ZoneReport& z : own.zones) z.used = -1;  // of all, not of what this member sends
  snapshot.reports.push_back({settings_.name, 1, std::move(own)});
  if (auto next = decides_.Decide(now, snapshot, settings_.name)) decision_ = std::move(next);
}

bool Member::HomeFails() const {
  if (last_.zones.empty()) return false;
  const ZoneReport& home = last_.zones[static_cast<std::size_t>(settings_.zone)];
  return home.attempts >= kFewAttempts && !last_.doubt &&
         (home.bad > kHomeFails * home.attempts || home.slow > kHomeSlow);
}

std::vector<double> Member::Shares(TimePoint now) {
  const std::size_t n = settings_.rules.zones;
  const auto home = static_cast<std::size_t>(settings_.zone);
  std::vector<double> shares(n, 0);
  shares[home] = kFree;
  if (!decision_) {
    // Nobody has ever decided: for a while its own zone alone, then as if this were switched off.
    const bool off = settings_.together ? began_ != TimePoint{} && now - began_ > settings_.rules.hold : true;
    if (off) shares.assign(n, kFree);
    return shares;
  }
  const Decision& d = *decision_;
  const double members = std::max(1, d.zones[home].members);
  if (!settings_.together || in_touch(now)) {
    const bool may = !settings_.together || admitted();
    for (std::size_t r = 0; r < n; ++r) {
      const double grant = d.grants.at(home, r);
      shares[r] = grant == kFree ? kFree : grant / members;
      if (may || grant == kFree) continue;
      // Before it is admitted: no more than it had, and than it will have.
      const double had = now < held_until_ ? held_.at(home, r) : 0;
      if (had != kFree) shares[r] = std::min(shares[r], had);
    }
    return shares;
  }
  // Out of touch: its own zone as it finds it, and if that fails, its part of what was kept for that.
  const bool counts = created_ > 0 && created_ <= d.admitted &&
                      now - valid_until_ < settings_.rules.forget * (1 - settings_.rules.drift);
  if (!counts || !HomeFails()) return shares;
  for (std::size_t r = 0; r < n; ++r) {
    if (r != home) shares[r] = d.standby.at(home, r) / (members + d.zones[home].lost);
  }
  return shares;
}

}  // namespace badgerbridge::zone_failover
