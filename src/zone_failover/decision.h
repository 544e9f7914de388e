// SPDX-License-Identifier: Apache-2.0
//
// The one decision of all members: how much each zone carries, and how much of that members of each other
// zone may ask of it. A record with an epoch under one key of etcd, changed by compare-and-swap alone. Pure.
//
// Units as in evidence.h: work a ms. "Origin" is the zone of a member, "receiver" the zone that it sends to.
#ifndef BADGERBRIDGE_ZONE_FAILOVER_DECISION_H_
#define BADGERBRIDGE_ZONE_FAILOVER_DECISION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zone_failover/evidence.h"

namespace badgerbridge::zone_failover {

constexpr double kFree = -1;  // a grant without limit: a sound zone to its own members
constexpr std::size_t kMostDecisionBytes = 1 << 18;

enum class ZoneState {
  kSound,
  kLimping,    // it answers too late, or too seldom, for what it is sent: it carries what it has shown lately
  kDark,       // it fails what it is sent: trials alone
  kReturning,  // well again, and earning back what it carried by steps
  kEvacuated,  // an operator's order
};
std::string_view Name(ZoneState state);

// By origin and receiver.
class Matrix {
 public:
  Matrix() = default;
  explicit Matrix(std::size_t zones, double value = 0) : zones_(zones), cells_(zones * zones, value) {}
  std::size_t zones() const { return zones_; }
  double& at(std::size_t origin, std::size_t receiver) { return cells_[origin * zones_ + receiver]; }
  double at(std::size_t origin, std::size_t receiver) const { return cells_[origin * zones_ + receiver]; }
  friend bool operator==(const Matrix&, const Matrix&) = default;

 private:
  std::size_t zones_ = 0;
  std::vector<double> cells_;
};

struct Decision {
  struct Zone {
    ZoneState state = ZoneState::kSound;
    double shown = 0;    // what it has shown that it can do, lately
    double limit = 0;    // what all members together may put on it
    double carried = 0;  // when this was decided
    double demand = 0;   // of its members' clients
    int members = 0;     // that share what is granted to this origin, evenly
    int lost = 0;        // that have lost touch, and may go by standby
    std::string why;     // by whose word, for people
    friend bool operator==(const Zone&, const Zone&) = default;
  };

  std::uint64_t epoch = 0;
  std::string decider;
  // Members whose key was made at or before this revision are counted in Zone::members since an epoch that
  // all have confirmed: only these use grants. Who came later does when a later decision says so.
  std::int64_t admitted = 0;
  std::int64_t counted = 0;  // and these are counted from this epoch on
  // Members that came back under a name that was counted still: they take that one's part at once.
  struct Returned {
    std::string member;
    std::int64_t created = 0;
    friend bool operator==(const Returned&, const Returned&) = default;
  };
  std::vector<Returned> returned;
  std::vector<Zone> zones;
  Matrix grants;   // in force from this epoch on; kFree only on the diagonal
  Matrix ceiling;  // the most that any one member may still go by, under this or an older epoch
  Matrix standby;  // of a member that has lost touch, once its grants have run out: for its origin
  // Whom Zone::members counts. Under a key of its own (EncodeRoster): only a decider reads it, a new one to
  // know who has vanished.
  struct Counted {
    std::string member;
    int zone = 0;
    friend bool operator==(const Counted&, const Counted&) = default;
  };
  std::vector<Counted> roster;

  friend bool operator==(const Decision&, const Decision&) = default;
};

// What one member of each origin may ask of each receiver, under this decision.
Matrix SlicesOf(const Decision& decision);

std::string Encode(const Decision& decision);
std::string EncodeRoster(const Decision& decision);
// False if it is none, or that of another epoch: then the decision's stays empty.
bool DecodeRoster(std::string_view text, std::size_t zones, Decision* decision);
std::optional<Decision> DecodeDecision(std::string_view text, std::size_t zones, std::string* why);

}  // namespace badgerbridge::zone_failover

#endif  // BADGERBRIDGE_ZONE_FAILOVER_DECISION_H_
