// SPDX-License-Identifier: Apache-2.0

/// @file
/// State machine that keeps one backend registered in etcd: it obtains a lease, writes the key with the lease
/// attached, and keeps the lease alive. Next returns one call at a time, and the On... functions report its
/// response. Pure: no I/O, no clock.
///
/// - A drain that an operator writes into the value outlives the lease: if the backend was draining when its
///   lease was lost, the key is written again as draining. It stays so until an operator sets it to ready or
///   a newer incarnation registers.
/// - A key of a newer incarnation of the same name is not touched, and the registration ends.
/// - If the key is deleted while its lease is alive, an operator removed the backend. The key is not written
///   again, and the registration ends.
/// - Every write is a compare-and-swap, so that a repeated call takes effect only once.
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

/// The backend to register, and the timing of the calls.
struct RegistrationSettings {
  std::string prefix = kBackendsPrefix;  ///< The key is the prefix and the member's name.
  Member member;                         ///< The value to write; its state is the initial one.
  std::chrono::seconds lease_ttl{10};    ///< Requested TTL; renewed at a third of the granted one.
  Time drain_time{2000};                 ///< How long Stop keeps the key as draining before removal.
  Time initial_backoff{50};              ///< The delay after the first failed call.
  Time max_backoff{2000};                ///< Upper bound; the delay doubles with each failure.
};

/// One registration of a backend. Not thread-safe.
class Registration {
 public:
  /// Request a lease; the response goes to OnLeaseGranted.
  struct GrantLease {
    etcdserverpb::LeaseGrantRequest request;  ///< For Lease/LeaseGrant.
  };
  /// Read the key; the response goes to OnKeyRead.
  struct ReadKey {
    etcdserverpb::RangeRequest request;  ///< For KV/Range.
  };
  /// Write the key; the response goes to OnKeyWritten.
  struct WriteKey {
    etcdserverpb::TxnRequest request;  ///< For KV/Txn.
  };
  /// Renew the lease; the response goes to OnLeaseKeptAlive.
  struct KeepLeaseAlive {
    etcdserverpb::LeaseKeepAliveRequest request;  ///< For Lease/LeaseKeepAlive.
  };
  /// Revoke the lease, which removes the key; the response goes to OnLeaseRevoked.
  struct RevokeLease {
    etcdserverpb::LeaseRevokeRequest request;  ///< For Lease/LeaseRevoke.
  };
  /// Make no call until this time, unless Stop is called.
  struct Wait {
    Time until;  ///< On the same clock as `now`.
  };
  /// Make no more calls; condition() has the reason.
  struct End {};
  /// The next action to execute.
  using Action = std::variant<GrantLease, ReadKey, WriteKey, KeepLeaseAlive, RevokeLease, Wait, End>;

  /// Starts without a lease; Next returns the first call.
  explicit Registration(RegistrationSettings settings);

  /// The next action at `now`. After a call, its response must be reported before Next is called again.
  Action Next(Time now);

  /// The response to GrantLease. Here and below, `response` is ignored unless `status` is ok.
  void OnLeaseGranted(Time now, const etcd::Status& status, const etcdserverpb::LeaseGrantResponse& response);
  /// The response to ReadKey.
  void OnKeyRead(Time now, const etcd::Status& status, const etcdserverpb::RangeResponse& response);
  /// The response to WriteKey.
  void OnKeyWritten(Time now, const etcd::Status& status, const etcdserverpb::TxnResponse& response);
  /// The response to KeepLeaseAlive.
  void OnLeaseKeptAlive(Time now, const etcd::Status& status,
                        const etcdserverpb::LeaseKeepAliveResponse& response);
  /// The response to RevokeLease.
  void OnLeaseRevoked(Time now, const etcd::Status& status,
                      const etcdserverpb::LeaseRevokeResponse& response);

  /// Ends the registration: the key is written as draining, and after `drain_time` the lease is revoked.
  void Stop(Time now);

  /// Whether the key is written with the current lease, and no call is pending.
  bool is_registered() const { return step_ == Step::kRegistered; }
  /// Whether the registration has ended: no more calls are made.
  bool has_ended() const { return step_ == Step::kEnded; }
  /// The state that was last written or read, or will be written next.
  MemberState state() const { return settings_.member.state; }
  /// The id of the current lease; 0: none.
  std::int64_t lease() const { return lease_; }
  /// The number of leases granted so far.
  std::uint64_t grants() const { return grants_; }
  /// Why the registration ended, or its most recent failure.
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
  void DropLease();
  void Finish(RegistrationCondition condition);

  RegistrationSettings settings_;
  Step step_ = Step::kGrantLease;
  Time wait_until_{0};
  Time backoff_;
  Time last_call_at_{0};
  Time next_keep_alive_{0};
  std::int64_t lease_ = 0;
  std::uint64_t grants_ = 0;
  bool is_written_ = false;  // the key was written, or found unchanged, with the current lease
  bool is_missing_ = false;  // the last read did not find the key although it was written
  std::optional<etcdserverpb::KeyValue> last_read_key_;  // nullopt: no key was found
  std::optional<Time> stopped_at_;
  std::optional<Time> revoke_at_;
  RegistrationCondition condition_;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_REGISTRATION_H_
