// SPDX-License-Identifier: Apache-2.0

/// @file
/// Keeps one backend's key in etcd for as long as it is wanted: a lease, the key bound to it, the lease kept
/// alive. The decisions alone: Next tells which call to make, one at a time, and its answer is reported by
/// the function for it. Pure: no socket, no clock.
///
/// - A drain that somebody writes into the value outlives the lease: a backend that was draining when its
///   lease was lost is written again as draining. Only a newer incarnation takes work again.
/// - A key of a newer incarnation of the same name is left alone, and the registration ends.
/// - A key that somebody deletes while its lease lives is a departure that a person wanted; it is not written
///   again.
/// - A write is a compare-and-swap, so that a call that is made twice takes effect once.
#ifndef BADGERBRIDGE_MEMBERSHIP_REGISTRATION_H_
#define BADGERBRIDGE_MEMBERSHIP_REGISTRATION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "etcd.pb.h"
#include "etcd/grpc.h"
#include "membership/member.h"
#include "membership/member_codec.h"
#include "membership/registration_condition.h"

namespace badgerbridge::membership {

/// The settings of a registration.
struct RegistrationSettings {
  std::string prefix = kBackendsPrefix;  ///< What precedes the member's name in its key.
  Member member;                         ///< What is written; its state: the initial one.
  std::chrono::seconds lease_ttl{10};    ///< Asked of etcd; renewed at a third of what etcd grants.
  Time drain_time{2000};                 ///< How long the key says that it drains before it is removed.
  Time initial_backoff{50};              ///< The pause after the first call that failed.
  Time max_backoff{2000};                ///< Bounds the pause, which doubles with each further failure.
};

/// One registration. Not thread-safe.
class Registration {
 public:
  /// Ask etcd for a lease; answered by OnLeaseGranted.
  struct GrantLease {
    etcdserverpb::LeaseGrantRequest request;  ///< For Lease/LeaseGrant.
  };
  /// Read the key; answered by OnKeyRead.
  struct ReadKey {
    etcdserverpb::RangeRequest request;  ///< For KV/Range.
  };
  /// Write the key; answered by OnKeyWritten.
  struct WriteKey {
    etcdserverpb::TxnRequest request;  ///< For KV/Txn.
  };
  /// Renew the lease; answered by OnLeaseKeptAlive.
  struct KeepLeaseAlive {
    etcdserverpb::LeaseKeepAliveRequest request;  ///< For Lease/LeaseKeepAlive.
  };
  /// Give the lease back, which removes the key; answered by OnLeaseRevoked.
  struct RevokeLease {
    etcdserverpb::LeaseRevokeRequest request;  ///< For Lease/LeaseRevoke.
  };
  /// Make no call until then, unless Stop is called.
  struct Wait {
    Time until;  ///< On the clock of `now`.
  };
  /// Make no call ever again; condition() tells why.
  struct End {};
  /// The next call to make.
  using Action = std::variant<GrantLease, ReadKey, WriteKey, KeepLeaseAlive, RevokeLease, Wait, End>;

  /// A registration that has made no call yet.
  explicit Registration(RegistrationSettings settings);

  /// What to do at `now`. A call must be answered before the next one is asked for.
  Action Next(Time now);

  /// The answer to GrantLease. `response` counts only if `status` is ok, here and below.
  void OnLeaseGranted(Time now, const etcd::Status& status, const etcdserverpb::LeaseGrantResponse& response);
  /// The answer to ReadKey.
  void OnKeyRead(Time now, const etcd::Status& status, const etcdserverpb::RangeResponse& response);
  /// The answer to WriteKey.
  void OnKeyWritten(Time now, const etcd::Status& status, const etcdserverpb::TxnResponse& response);
  /// The answer to KeepLeaseAlive.
  void OnLeaseKeptAlive(Time now, const etcd::Status& status,
                        const etcdserverpb::LeaseKeepAliveResponse& response);
  /// The answer to RevokeLease.
  void OnLeaseRevoked(Time now, const etcd::Status& status,
                      const etcdserverpb::LeaseRevokeResponse& response);

  /// Ends the registration: the key says that it drains for a while, then the lease is given back.
  void Stop(Time now);

  /// Whether the key is in etcd under a lease of this registration.
  bool is_registered() const { return step_ == Step::kRegistered; }
  /// Whether no call will be made any more.
  bool has_ended() const { return step_ == Step::kEnded; }
  /// The state that is written, or was last read.
  MemberState state() const { return settings_.member.state; }
  /// The id of the lease; 0: none.
  std::int64_t lease() const { return lease_; }
  /// How many leases were granted so far.
  std::uint64_t grants() const { return grants_; }
  /// Why the registration ended, or its newest fault.
  const RegistrationCondition& condition() const { return condition_; }

 private:
  enum class Step { kGrantLease, kReadKey, kWriteKey, kRegistered, kKeepLeaseAlive, kRevokeLease, kEnded };

  std::string Key() const { return settings_.prefix + settings_.member.name; }
  Wait WaitUntil(Time until) const;
  Action MakeCall() const;
  WriteKey MakeWriteKey() const;
  Step ReconcileWithKey();
  void ScheduleRetry(Time now);
  void RecordFailure(Time now, const char* operation, const etcd::Status& status);
  void ResetBackoff();
  void ForgetLease();
  void Finish(RegistrationCondition condition);

  RegistrationSettings settings_;
  Step step_ = Step::kGrantLease;
  Time wait_until_{0};
  Time backoff_;
  Time last_call_at_{0};
  Time next_keep_alive_{0};
  std::int64_t lease_ = 0;
  std::uint64_t grants_ = 0;
  bool is_written_ = false;                              // under this lease
  bool is_missing_ = false;                              // it was written, and is not there
  std::optional<etcdserverpb::KeyValue> last_read_key_;  // the key as it was last read
  std::optional<Time> stopped_at_;
  std::optional<Time> revoke_at_;
  RegistrationCondition condition_;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_REGISTRATION_H_
