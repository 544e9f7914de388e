// SPDX-License-Identifier: Apache-2.0
#include "membership/registration.h"

#include <algorithm>

#include "membership/value.h"

namespace badgerbridge::membership {

namespace pb = etcdserverpb;

Registration::Registration(RegistrationSettings settings)
    : settings_(std::move(settings)), backoff_(settings_.first_backoff) {}

void Registration::Trouble(Time now, const std::string& what, const etcd::Status& status) {
  why_ = what + ": " + status.Text();
  wait_until_ = now + backoff_;
  backoff_ = std::min(settings_.most_backoff, backoff_ * 2);
}

void Registration::Finish(const std::string& why) {
  why_ = why;
  revoke_at_ = Time(0);  // what it still holds is given back
  step_ = lease_ != 0 ? Step::kRevoke : Step::kEnded;
  wait_until_ = Time(0);
}

void Registration::Stop(Time now) {
  if (stop_at_ || ended()) return;
  stop_at_ = now;
  wait_until_ = Time(0);
  if (revoke_at_) return;  // on its way already
  why_ = "it was ended";
  if (lease_ == 0) {
    step_ = Step::kEnded;
    return;
  }
  // While something is out its answer comes first; nothing is skipped, since each step looks at stop_at_.
  revoke_at_ = now + (written_ ? settings_.drain_for : Time(0));
  if (settings_.member.state == State::kReady && written_) settings_.member.state = State::kDraining;
  if (step_ == Step::kHold) step_ = written_ ? Step::kRead : Step::kRevoke;
}

Registration::Action Registration::Next(Time now) {
  if (ended()) return End{};
  // Its time is over, also where etcd can't be reached: the lease runs out by itself.
  if (stop_at_ && now >= *stop_at_ + settings_.drain_for + Time(settings_.ttl_s * 1000)) {
    step_ = Step::kEnded;
    return End{};
  }
  if (revoke_at_ && now >= *revoke_at_ && step_ != Step::kRevoke) {
    step_ = Step::kRevoke;
    wait_until_ = Time(0);
  }
  const auto no_later = [&](Time until) {
    return Wait{revoke_at_ && step_ != Step::kRevoke ? std::min(until, *revoke_at_) : until};
  };
  if (now < wait_until_) return no_later(wait_until_);
  asked_ = now;
  switch (step_) {
    case Step::kGrant: {
      Grant grant;
      grant.request.set_ttl(settings_.ttl_s);
      return grant;
    }
    case Step::kRead: {
      Read read;
      read.request.set_key(Key());
      return read;
    }
    case Step::kWrite: {
      Write write;
      pb::Compare* compare = write.request.add_compare();
      compare->set_key(Key());
      compare->set_target(pb::Compare::MOD);
      compare->set_mod_revision(there_ ? there_->mod_revision() : 0);  // 0: it is not there
      pb::PutRequest* put = write.request.add_success()->mutable_request_put();
      put->set_key(Key());
      put->set_value(ValueOf(settings_.member));
      put->set_lease(lease_);
      return write;
    }
    case Step::kHold:
      if (now < beat_) return no_later(beat_);
      step_ = Step::kKeepAlive;
      [[fallthrough]];
    case Step::kKeepAlive: {
      KeepAlive alive;
      alive.request.set_id(lease_);
      return alive;
    }
    case Step::kRevoke: {
      Revoke revoke;
      revoke.request.set_id(lease_);
      return revoke;
    }
    case Step::kEnded:
      break;
  }
  return End{};
}

void Registration::Granted(Time now, const etcd::Status& status, const pb::LeaseGrantResponse& response) {
  if (step_ != Step::kGrant) return;
  if (!status.ok() || response.id() == 0) return Trouble(now, "a lease", status);
  Went();
  ++grants_;
  lease_ = response.id();
  // Counted from when it was asked: etcd's clock began no sooner.
  beat_ = asked_ + Time(std::max<std::int64_t>(1, response.ttl()) * 1000 / 3);
  written_ = false;
  step_ = Step::kRead;
}

void Registration::WasRead(Time now, const etcd::Status& status, const pb::RangeResponse& response) {
  if (step_ != Step::kRead) return;
  if (!status.ok()) return Trouble(now, "reading the key", status);
  Went();
  there_.reset();
  if (response.kvs_size() > 0) there_ = response.kvs(0);
  if (!there_ && written_) {  // with its lease, or by somebody's hand? The lease tells.
    missing_ = true;
    step_ = Step::kKeepAlive;
    return;
  }
  Member found;
  if (there_ && !ReadMember(settings_.member.name, there_->value(), &found)) {
    if (found.since_ms > settings_.member.since_ms)
      return Finish("a newer start of " + settings_.member.name + " is registered");
    if (found.since_ms == settings_.member.since_ms && !stop_at_) settings_.member.state = found.state;
    if (there_->lease() == lease_ && found == settings_.member) {
      written_ = true;
      step_ = Step::kHold;
      return;
    }
  }
  step_ = Step::kWrite;
}

void Registration::Written(Time now, const etcd::Status& status, const pb::TxnResponse& response) {
  if (step_ != Step::kWrite) return;
  step_ = Step::kRead;  // it may have been written all the same: looked at before anything is written again
  if (status.ending == etcd::Ending::kStatus && status.code == etcd::Code::kNotFound) {
    lease_ = 0;  // the lease has run out meanwhile
    written_ = false;
    step_ = stop_at_ ? Step::kEnded : Step::kGrant;
    return;
  }
  if (!status.ok()) return Trouble(now, "writing the key", status);
  Went();
  if (!response.succeeded()) return;
  written_ = true;
  step_ = Step::kHold;
}

void Registration::KeptAlive(Time now, const etcd::Status& status,
                             const pb::LeaseKeepAliveResponse& response) {
  if (step_ != Step::kKeepAlive) return;
  if (!status.ok()) return Trouble(now, "keeping the lease alive", status);
  Went();
  if (response.ttl() <= 0) {
    why_ = "the lease was lost";
    lease_ = 0;
    written_ = missing_ = false;
    step_ = stop_at_ ? Step::kEnded : Step::kGrant;
    return;
  }
  if (missing_) return Finish("its key was deleted by somebody else: it is not written again");
  beat_ = asked_ + Time(response.ttl() * 1000 / 3);
  step_ = Step::kRead;  // has somebody drained it, or taken it over?
}

void Registration::Revoked(Time now, const etcd::Status& status, const pb::LeaseRevokeResponse&) {
  if (step_ != Step::kRevoke) return;
  const bool gone =
      status.ok() || (status.ending == etcd::Ending::kStatus && status.code == etcd::Code::kNotFound);
  if (!gone) {
    const std::string why = why_;
    Trouble(now, "giving the lease back", status);
    why_ = why;
    if (!stop_at_) stop_at_ = now;  // not for ever
    return;
  }
  lease_ = 0;
  step_ = Step::kEnded;
}

}  // namespace badgerbridge::membership
