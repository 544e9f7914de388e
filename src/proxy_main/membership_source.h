// SPDX-License-Identifier: Apache-2.0
//
// Puts the ledger of membership between its sources and the proxy: discovery's lists and etcd's watch go in,
// changes of the current view come out. Only where the operator's file has an [etcd] table. docs/etcd.md
// explains the rules.
#ifndef BADGERBRIDGE_PROXY_MAIN_MEMBERSHIP_SOURCE_H_
#define BADGERBRIDGE_PROXY_MAIN_MEMBERSHIP_SOURCE_H_

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "membership/etcd_source.h"
#include "membership/ledger.h"
#include "net/one_shot_timer.h"
#include "operator_config/operator_file.h"
#include "proxy/config.h"
#include "proxy/endpoint_list_reader.h"
#include "proxy_main/change_publisher.h"
#include "proxy_main/member_conversion.h"

namespace badgerbridge::proxy_main {

/// One proxy's membership. Runs on its io_context's thread.
class MembershipSource {
 public:
  /// Called with each slice of changes, of at most ChangePublisher::kMaxSliceSize members.
  using OnChange = std::function<void(const proxy::EndpointList&)>;
  /// Called once, when the authority's first complete list has been passed on.
  using OnComplete = std::function<void()>;

  /// Follows etcd at once; neither function is called from within. `max_members` bounds each source's list.
  /// Throws std::runtime_error, one line, if a password cannot be read.
  MembershipSource(boost::asio::io_context& io, const proxy::Config& config,
                   const operator_config::EtcdSettings& settings, OnChange on_change,
                   OnComplete on_complete = nullptr, std::size_t max_members = membership::kMaxMembers);

  /// The list that the configuration has: what the proxy works with until the authority has reported.
  void SetConfiguredEndpoints(const proxy::EndpointList& list);
  /// A list or changes from the platform's discovery.
  void UpdateFromDiscovery(const proxy::EndpointList& list);

  /// The list as passed on so far, with the ids that the proxy knows.
  const proxy::EndpointListReader& endpoint_list() const { return endpoint_list_; }

  /// An operator confirms that the retained members have left; returns how many there were.
  std::size_t ReleaseRetained();

  /// How many members have a change that was not passed on yet.
  std::size_t pending() const { return publisher_.pending(); }

  /// The ledger, each member with the source that decided, and each source with its staleness, for the admin
  /// API.
  boost::json::value DescribeStatus() const;

 private:
  void FollowEtcd(boost::asio::io_context& io, const proxy::Config& config,
                  const operator_config::EtcdSettings& settings);
  void RecordContact(membership::Time now);
  void RecordProblem(const std::string& key, const std::string& reason);
  void ApplyReport(const membership::Report& report);
  void AddDeparturesOfConfigured(std::vector<membership::Member>* changes);
  void ApplySlice(const std::vector<membership::Member>& slice);
  void OnAllPublished();
  void ArmTimer();
  void LogRejection(std::size_t source, bool was_rejecting) const;
  void LogRetention();

  const EndpointNames names_;
  OnChange on_change_;
  OnComplete on_complete_;                   // empty once it was called
  proxy::EndpointListReader endpoint_list_;  // with the same ids as discovery's reader gives
  membership::Ledger ledger_;
  std::vector<std::string> configured_;  // names in the configuration, until the authority has reported
  bool authority_reported_ = false;      // a complete list
  std::uint64_t discovery_version_ = 0;
  bool retention_logged_ = false;
  ChangePublisher publisher_;
  net::OneShotTimer timer_;  // for what time alone changes in the ledger
  std::optional<membership::EtcdSource> etcd_source_;
};

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_MEMBERSHIP_SOURCE_H_
