// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// The links of a run, through the link proxy: how they are opened, cut, slowed down and broken.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_LINKS_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_LINKS_H_

#include <compare>
#include <map>
#include <string>
#include <vector>

#include "multiprocess/role_process.h"
#include "simulator/model.h"

namespace badgerbridge::multiprocess {

/// Owns the process of the link proxy, and what each link does now.
class Links {
 public:
  /// Starts the link proxy.
  explicit Links(RunContext& context);

  /// The link proxy's process.
  RoleProcess& process() { return process_; }

  /// Opens a link from one group to `target`, of another group, and waits for it. Returns where it listens.
  std::string Open(const std::string& from, const std::string& to, const std::string& target,
                   const std::string& host);

  /// Cuts a zone off from the others or heals its cut, as a plan's `cut` and `heal` say.
  void CutZones(const simulator::ScenarioEvent& happening);
  /// Cuts a zone's proxies (negative: every zone's) off from etcd, or heals that.
  void CutEtcd(int zone, bool is_cut);
  /// Sets the cuts of the links between two groups that are no zones.
  void SetCuts(const std::string& from, const std::string& to, bool is_forward_cut, bool is_back_cut);
  /// Begins or ends (with value 0) a plan's `delay`, `swallow` or `trickle`.
  void SetFault(const simulator::MultiprocessFault& fault);
  /// Breaks the connections to a zone's backends (negative: every zone's).
  void Break(int zone, LinkBreak how);
  /// Sends what all links between zones and to etcd do now.
  void Apply();

 private:
  // A kind of fault on the links of a zone.
  struct FaultKey {
    std::string what;
    int zone = 0;
    auto operator<=>(const FaultKey&) const = default;
  };

  SetLink LinkBetween(int from, int to) const;

  RunContext& context_;
  RoleProcess process_;
  std::vector<std::string> opened_;  // addresses by number; empty: not yet
  std::vector<bool> is_cut_in_;      // by zone: what comes in
  std::vector<bool> is_cut_out_;     // by zone: what goes out
  std::vector<bool> is_etcd_cut_;    // by zone
  std::map<FaultKey, simulator::MultiprocessFault> faults_;
};

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_LINKS_H_
