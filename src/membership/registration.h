// SPDX-License-Identifier: Apache-2.0
//
// Keeps one backend's key in etcd for as long as it is wanted: a lease, the key bound to it, the lease kept
// alive. The decisions alone: Next says what to ask, one thing at a time, and what came of it is told; no
// socket, no clock.
//
// - A drain that somebody writes into the value outlives the lease: a backend that was draining when its
// lease was
//   lost is written again as draining. Only a newer start takes work again.
// - A key of a newer start of the same name is left alone, and the registration ends.
// - A key that somebody deletes while its lease lives is a departure that a person wanted; it is not written
// again.
// - A write is a compare-and-swap, so that whatever is asked twice takes effect once.
#ifndef BADGERBRIDGE_MEMBERSHIP_REGISTRATION_H_
#define BADGERBRIDGE_MEMBERSHIP_REGISTRATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "etcd.pb.h"
#include "etcd/grpc.h"
#include "membership/ledger.h"

namespace badgerbridge::membership {

struct RegistrationSettings {
  std::string prefix = "/badgerbridge/converters/";
  Member member;            // its state: what it begins as
  std::int64_t ttl_s = 10;  // of the lease; asked again at a third of what etcd grants
  Time drain_for{2000};     // at its end: how long it says that it drains before its key goes
  Time first_backoff{50}, most_backoff{2000};
};

class Registration {
 public:
  // ---- what to ask; each is answered by the function of its name before Next is called again
  struct Grant {
    etcdserverpb::LeaseGrantRequest request;
  };
  struct Read {
    etcdserverpb::RangeRequest request;
  };
  struct Write {
    etcdserverpb::TxnRequest request;
  };
  struct KeepAlive {
    etcdserverpb::LeaseKeepAliveRequest request;
  };
  struct Revoke {
    etcdserverpb::LeaseRevokeRequest request;
  };
  struct Wait {  // nothing until then, unless Stop is called
    Time until;
  };
  struct End {  // nothing more, ever; why() says why
  };
  using Action = std::variant<Grant, Read, Write, KeepAlive, Revoke, Wait, End>;

  explicit Registration(RegistrationSettings settings);

  Action Next(Time now);

  void Granted(Time now, const etcd::Status& status, const etcdserverpb::LeaseGrantResponse& response);
  void WasRead(Time now, const etcd::Status& status, const etcdserverpb::RangeResponse& response);
  void Written(Time now, const etcd::Status& status, const etcdserverpb::TxnResponse& response);
  void KeptAlive(Time now, const etcd::Status& status, const etcdserverpb::LeaseKeepAliveResponse& response);
  void Revoked(Time now, const etcd::Status& status, const etcdserverpb::LeaseRevokeResponse& response);

  // It shall end: says that it drains for a while, then gives the lease back.
  void Stop(Time now);

  bool registered() const { return step_ == Step::kHold; }
  bool ended() const { return step_ == Step::kEnded; }
  State state() const { return settings_.member.state; }
  std::int64_t lease() const { return lease_; }
  std::uint64_t grants() const { return grants_; }
  // Why it ended, or the newest trouble.
  const std::string& why() const { return why_; }

 private:
  enum class Step { kGrant, kRead, kWrite, kHold, kKeepAlive, kRevoke, kEnded };

  std::string Key() const { return settings_.prefix + settings_.member.name; }
  void Trouble(Time now, const std::string& what, const etcd::Status& status);
  void Went() { backoff_ = settings_.first_backoff, wait_until_ = Time(0); }
  void Finish(const std::string& why);

  RegistrationSettings settings_;
  Step step_ = Step::kGrant;
  Time wait_until_{0}, backoff_, asked_{0}, beat_{0};
  std::int64_t lease_ = 0;
  std::uint64_t grants_ = 0;
  bool written_ = false;                         // under this lease
  bool missing_ = false;                         // though written, it is not there
  std::optional<etcdserverpb::KeyValue> there_;  // the key as it was read
  std::optional<Time> stop_at_, revoke_at_;
  std::string why_;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_REGISTRATION_H_
