// SPDX-License-Identifier: Apache-2.0
//
// Connects the membership ledger to its sources and to the proxy: applies discovery's lists and etcd's watch
// events to the ledger, and publishes changes of its current view. Used only if the operator's file has an
// [etcd] table. docs/etcd.md explains the rules.
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

/// The source of one proxy's member list. Runs on its io_context's thread.
class MembershipSource {
 public:
  /// Called with each slice of changes, of at most ChangePublisher::kMaxSliceSize members.
  using OnChange = std::function<void(const proxy::EndpointList&)>;
  /// Called once, after the authority's first complete list is published.
  using OnComplete = std::function<void()>;

  /// Starts watching etcd. Neither callback runs before the constructor returns. `max_members` bounds each
  /// source's list. Throws std::runtime_error with a one-line message if a password cannot be read.
  MembershipSource(boost::asio::io_context& io, const proxy::Config& config,
                   const operator_config::EtcdSettings& settings, OnChange on_change,
                   OnComplete on_complete = nullptr, std::size_t max_members = membership::kMaxMembers);

  /// Sets the configured list, which the proxy uses until the authority has reported.
  void SetConfiguredEndpoints(const proxy::EndpointList& list);
  /// Applies a list or a delta from the platform's discovery.
  void UpdateFromDiscovery(const proxy::EndpointList& list);

  /// The list as published so far, with the proxy's backend ids.
  const proxy::EndpointListReader& endpoint_list() const { return endpoint_list_; }

  /// Releases the retained members after an operator has confirmed their departure; returns their number.
  std::size_t ReleaseRetained();

  /// Number of members with an unpublished change.
  std::size_t pending() const { return publisher_.pending(); }

  /// The ledger as JSON for the admin API: each member with the source that decided its state, and each
  /// source with its staleness.
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
  OnComplete on_complete_;                   // null after its call
  proxy::EndpointListReader endpoint_list_;  // assigns the same ids as discovery's reader
  membership::Ledger ledger_;
  std::vector<std::string> configured_;  // configured names; cleared at the authority's first list
  bool authority_reported_ = false;      // the authority has sent a complete list
  std::uint64_t discovery_version_ = 0;
  bool retention_logged_ = false;
  ChangePublisher publisher_;
  net::OneShotTimer timer_;  // for changes of the ledger that depend on time alone
  std::optional<membership::EtcdSource> etcd_source_;
};

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_MEMBERSHIP_SOURCE_H_
