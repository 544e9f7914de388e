// SPDX-License-Identifier: Apache-2.0
#include "membership/registration.h"

#include <algorithm>
#include <utility>

namespace badgerbridge::membership {
namespace {

namespace pb = etcdserverpb;

// The lease is renewed this often within its TTL, so that it survives two failed renewals.
constexpr int kKeepAlivesPerTtl = 3;

constexpr std::int64_t kAbsentKeyRevision = 0;  // etcd's mod_revision of a key that does not exist

bool IsNotFound(const etcd::Status& status) {
  return status.ending == etcd::Ending::kStatus && status.code == etcd::Code::kNotFound;
}

Time KeepAliveInterval(std::int64_t ttl_s) { return Time(std::chrono::seconds(ttl_s)) / kKeepAlivesPerTtl; }

}  // namespace

Registration::Registration(RegistrationSettings settings)
    : settings_(std::move(settings)), backoff_(settings_.initial_backoff) {}

void Registration::ScheduleRetry(Time now) {
  wait_until_ = now + backoff_;
  backoff_ = std::min(settings_.max_backoff, backoff_ * 2);
}

void Registration::RecordFailure(Time now, const char* operation, const etcd::Status& status) {
  condition_ = {ConditionReason::kCallFailed, operation, status};
  ScheduleRetry(now);
}

void Registration::ResetBackoff() {
  backoff_ = settings_.initial_backoff;
  wait_until_ = Time(0);
}

void Registration::DropLease() {
  lease_ = 0;
  is_written_ = false;
  step_ = stopped_at_ ? Step::kEnded : Step::kGrantLease;
}

void Registration::Finish(RegistrationCondition condition) {
  condition_ = std::move(condition);
  revoke_at_ = Time(0);
  step_ = lease_ != 0 ? Step::kRevokeLease : Step::kEnded;
  wait_until_ = Time(0);
}

void Registration::Stop(Time now) {
  if (stopped_at_ || has_ended()) return;
  stopped_at_ = now;
  wait_until_ = Time(0);
  const bool is_ending = revoke_at_.has_value();
  if (is_ending) return;
  condition_ = {ConditionReason::kStopped, "", {}};
  if (lease_ == 0) {
    step_ = Step::kEnded;
    return;
  }
  // If a call is in flight, its response is processed first. The steps check stopped_at_, so none of them
  // misses the stop.
  revoke_at_ = now + (is_written_ ? settings_.drain_time : Time(0));
  if (state() == MemberState::kReady && is_written_) settings_.member.state = MemberState::kDraining;
  if (step_ == Step::kRegistered) step_ = is_written_ ? Step::kReadKey : Step::kRevokeLease;
}

Registration::Action Registration::Next(Time now) {
  if (has_ended()) return End{};
  // If etcd cannot be reached, gives up after this time: the lease has expired by then.
  if (stopped_at_ && now >= *stopped_at_ + settings_.drain_time + settings_.lease_ttl) {
    step_ = Step::kEnded;
    return End{};
  }
  if (revoke_at_ && now >= *revoke_at_ && step_ != Step::kRevokeLease) {
    step_ = Step::kRevokeLease;
    wait_until_ = Time(0);
  }
  if (now < wait_until_) return WaitUntil(wait_until_);
  last_call_at_ = now;
  if (step_ == Step::kRegistered) {
    if (now < next_keep_alive_) return WaitUntil(next_keep_alive_);
    step_ = Step::kKeepLeaseAlive;
  }
  return MakeCall();
}

// Waits until `until`, or until the lease is due to be revoked if that is earlier.
Registration::Wait Registration::WaitUntil(Time until) const {
  if (revoke_at_ && step_ != Step::kRevokeLease) return Wait{std::min(until, *revoke_at_)};
  return Wait{until};
}

// The call of the current step.
Registration::Action Registration::MakeCall() const {
  switch (step_) {
    case Step::kGrantLease: {
      GrantLease grant;
      grant.request.set_ttl(settings_.lease_ttl.count());
      return grant;
    }
    case Step::kReadKey: {
      ReadKey read;
      read.request.set_key(Key());
      return read;
    }
    case Step::kWriteKey:
      return MakeWriteKey();
    case Step::kKeepLeaseAlive: {
      KeepLeaseAlive keep_alive;
      keep_alive.request.set_id(lease_);
      return keep_alive;
    }
    case Step::kRevokeLease: {
      RevokeLease revoke;
      revoke.request.set_id(lease_);
      return revoke;
    }
    case Step::kRegistered:
    case Step::kEnded:
      break;
  }
  return End{};
}

Registration::WriteKey Registration::MakeWriteKey() const {
  WriteKey write;
  pb::Compare* compare = write.request.add_compare();
  compare->set_key(Key());
  compare->set_target(pb::Compare::MOD);
  compare->set_mod_revision(last_read_key_ ? last_read_key_->mod_revision() : kAbsentKeyRevision);
  pb::PutRequest* put = write.request.add_success()->mutable_request_put();
  put->set_key(Key());
  put->set_value(SerializeMember(settings_.member));
  put->set_lease(lease_);
  return write;
}

void Registration::OnLeaseGranted(Time now, const etcd::Status& status,
                                  const pb::LeaseGrantResponse& response) {
  if (step_ != Step::kGrantLease) return;
  if (!status.ok() || response.id() == 0) return RecordFailure(now, "granting a lease", status);
  ResetBackoff();
  ++grants_;
  lease_ = response.id();
  // Counted from the request: the TTL in etcd cannot have started earlier.
  next_keep_alive_ = last_call_at_ + KeepAliveInterval(std::max<std::int64_t>(1, response.ttl()));
  is_written_ = false;
  step_ = Step::kReadKey;
}

void Registration::OnKeyRead(Time now, const etcd::Status& status, const pb::RangeResponse& response) {
  if (step_ != Step::kReadKey) return;
  if (!status.ok()) return RecordFailure(now, "reading the key", status);
  ResetBackoff();
  last_read_key_.reset();
  if (response.kvs_size() > 0) last_read_key_ = response.kvs(0);
  if (!last_read_key_ && is_written_) {
    // The key was removed because its lease expired, or by an operator. Renewing the lease tells which.
    is_missing_ = true;
    step_ = Step::kKeepLeaseAlive;
    return;
  }
  step_ = ReconcileWithKey();
}

// Adopts the state in the key that was read, and returns the next step.
Registration::Step Registration::ReconcileWithKey() {
  if (!last_read_key_) return Step::kWriteKey;
  const Result<Member> stored = ParseMember(settings_.member.name, last_read_key_->value());
  if (!stored) return Step::kWriteKey;
  if (stored->start_time_ms > settings_.member.start_time_ms) {
    Finish({ConditionReason::kNewerIncarnation, settings_.member.name, {}});
    return step_;
  }
  const bool is_same_incarnation = stored->start_time_ms == settings_.member.start_time_ms;
  if (is_same_incarnation && !stopped_at_) settings_.member.state = stored->state;
  if (last_read_key_->lease() != lease_ || *stored != settings_.member) return Step::kWriteKey;
  is_written_ = true;
  return Step::kRegistered;
}

void Registration::OnKeyWritten(Time now, const etcd::Status& status, const pb::TxnResponse& response) {
  if (step_ != Step::kWriteKey) return;
  step_ = Step::kReadKey;  // etcd may have executed a failed call: read the key before the next write
  if (IsNotFound(status)) return DropLease();  // the lease has expired
  if (!status.ok()) return RecordFailure(now, "writing the key", status);
  ResetBackoff();
  if (!response.succeeded()) return;
  is_written_ = true;
  step_ = Step::kRegistered;
}

void Registration::OnLeaseKeptAlive(Time now, const etcd::Status& status,
                                    const pb::LeaseKeepAliveResponse& response) {
  if (step_ != Step::kKeepLeaseAlive) return;
  if (!status.ok()) return RecordFailure(now, "keeping the lease alive", status);
  ResetBackoff();
  if (response.ttl() <= 0) {
    condition_ = {ConditionReason::kLeaseLost, "", {}};
    is_missing_ = false;
    return DropLease();
  }
  if (is_missing_) return Finish({ConditionReason::kKeyDeleted, settings_.member.name, {}});
  next_keep_alive_ = last_call_at_ + KeepAliveInterval(response.ttl());
  step_ = Step::kReadKey;  // the backend may have been drained, or replaced by a newer incarnation
}

void Registration::OnLeaseRevoked(Time now, const etcd::Status& status, const pb::LeaseRevokeResponse&) {
  if (step_ != Step::kRevokeLease) return;
  if (!status.ok() && !IsNotFound(status)) {
    ScheduleRetry(now);                   // keeps condition(), the reason why the registration ends
    if (!stopped_at_) stopped_at_ = now;  // so that Next gives up after a bounded time
    return;
  }
  lease_ = 0;
  step_ = Step::kEnded;
}

}  // namespace badgerbridge::membership
