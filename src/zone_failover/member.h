// SPDX-License-Identifier: Apache-2.0
//
// One proxy's part in the common decision: it publishes its evidence, stands for decider when there is none,
// decides when it is, and says at each moment how much this proxy may send to each zone. Pure: it says which
// call of etcd is to be made next, and is told how that ended; one call at a time.
//
// Under Prefix, all with leases but the decision:
//   members/NAME   a member's evidence            decider    the name of whoever decides
//   decision       the record (decision.h)        orders/N   an operator's order to leave zone N
//   roll           whom the record counts
//
// One call does most of it: a transaction puts the evidence and reads the decision, the decider and the
// orders, and for the decider all evidence, as of one revision. What is read can't be behind (a linearizable
// read).
#ifndef BADGERBRIDGE_ZONE_FAILOVER_MEMBER_H_
#define BADGERBRIDGE_ZONE_FAILOVER_MEMBER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "zone_failover/decider.h"

namespace badgerbridge::zone_failover {

struct MemberSettings {
  std::string name;
  int zone = 0;
  Rules rules;
  std::size_t classes = 1;
  bool together = true;     // false: nobody to talk to; own evidence alone
  int ttl_s = 3;            // of the lease
  Duration heartbeat{250};  // between two publications
  Duration call_timeout{700};
  Duration backoff{100}, most_backoff{1000};
};

struct Kv {
  std::string key, value;  // the key without the prefix
  std::int64_t created = 0, modified = 0, lease = 0;
};

class Member {
 public:
  // ---- calls; the prefix is the caller's to add
  struct Grant {
    int ttl_s = 0;
  };
  struct KeepAlive {
    std::int64_t lease = 0;
  };
  // Puts members/NAME under the lease, then reads members/NAME, decision, decider and orders/, and members/
  // and roll if `all`: in one transaction. Of a decision of the modification `known` the key alone, without
  // its value.
  struct Heartbeat {
    std::int64_t lease = 0;
    std::string value;
    bool all = false;
    std::int64_t known = 0;
  };
  // Makes `decider` under the lease if there is no such key.
  struct Campaign {
    std::int64_t lease = 0;
  };
  // Writes `decision` and `roll` if `decider` is of that creation and `decision` of that modification (0:
  // there is none).
  struct Propose {
    std::string value, roster;
    std::int64_t decider_created = 0, decision_modified = 0;
  };
  using Call = std::variant<Grant, KeepAlive, Heartbeat, Campaign, Propose>;

  struct Reply {
    bool ok = false;          // it was answered, and done, unless `held` says otherwise
    bool lease_gone = false;  // etcd does not know the lease any more
    bool held = true;         // the conditions of Campaign and Propose
    std::int64_t lease = 0;   // of a Grant, or the lease that was kept
    std::int64_t revision = 0;
    std::vector<Kv> kvs;  // of a Heartbeat
  };

  Member(MemberSettings settings, std::uint64_t seed);

  // ---- what this proxy sees
  void Arrived(TimePoint now, double work) { meter_.Arrived(now, work); }
  void Sent(TimePoint now, std::uint64_t attempt, std::size_t zone) { meter_.Sent(now, attempt, zone); }
  void Ended(TimePoint now, std::uint64_t attempt, std::size_t request_class, Meter::End end, Duration took,
             double work, std::optional<double> used) {
    meter_.Ended(now, attempt, request_class, end, took, work, used);
  }
  void Listed(std::vector<double> warm) { meter_.Listed(std::move(warm)); }

  // ---- what is to be done
  // The next call, if one is due and none is out. `now` never goes back.
  std::optional<Call> Next(TimePoint now);
  void Done(TimePoint now, const Reply& reply);
  // When to ask again, if nothing is out.
  TimePoint wake() const { return wake_; }

  // Work a ms that this proxy may send to each zone now; kFree: without limit.
  std::vector<double> Shares(TimePoint now);

  // ---- for people
  bool in_touch(TimePoint now) const { return settings_.together && now < valid_until_; }
  bool deciding() const { return decider_created_ != 0; }
  bool admitted() const;
  const std::optional<Decision>& decision() const { return decision_; }
  const std::string& decider() const { return decider_; }
  const std::string& last_error() const { return last_error_; }
  std::uint64_t calls() const { return calls_; }

 private:
  void Failed(TimePoint now, std::string why);
  double Unit();  // drawn from [0, 1)
  void StartIncarnation();
  void LoseLease(const std::string& why);
  void Read(TimePoint now, const Reply& reply);
  void Decide(TimePoint now, const Reply& reply);
  void DecideAlone(TimePoint now);
  bool HomeFails() const;

  const MemberSettings settings_;
  Meter meter_;
  Decider decides_;
  std::mt19937_64 random_;
  std::optional<Call> out_;
  TimePoint sent_at_{}, wake_{}, began_{}, next_heartbeat_{}, campaign_at_{};
  Duration backoff_;
  std::int64_t lease_ = 0, created_ = 0;
  TimePoint renewed_{};                      // when the call that last renewed the lease was made
  TimePoint lease_until_{}, valid_until_{};  // by this member's clock: its lease; its grants
  TimePoint held_until_{};  // and those of its life before this lease, which the decider counts still
  Matrix held_;             // by origin and receiver, of one member
  std::optional<Decision> decision_;
  std::int64_t decision_modified_ = 0;
  std::string decider_;
  std::int64_t decider_created_ = 0;  // of this member's own term
  std::optional<Propose> proposal_;
  Evidence last_;
  std::string last_error_;
  std::uint64_t calls_ = 0;
};

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_MEMBER_H_
