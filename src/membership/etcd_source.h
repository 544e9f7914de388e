// SPDX-License-Identifier: Apache-2.0

/// @file
/// Follows the backends' keys in etcd and passes on what it learns, as reports for the ledger.
#ifndef BADGERBRIDGE_MEMBERSHIP_ETCD_SOURCE_H_
#define BADGERBRIDGE_MEMBERSHIP_ETCD_SOURCE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "etcd/follower_link.h"
#include "membership/feed.h"

namespace badgerbridge::membership {

/// The settings of the link, with the backends' prefix.
struct EtcdSourceSettings : etcd::FollowerLinkSettings {
  /// Follows the members under kBackendsPrefix.
  EtcdSourceSettings() { follower.prefix = kBackendsPrefix; }

  /// Follows the members of these services alone, whose keys are prefix + service + "/" + name.
  void FollowServices(const std::string& prefix, const std::vector<std::string>& names) {
    follower.prefix = prefix;
    services = names;
    for (const std::string& service : services) follower.sections.push_back(Feed::SectionOf(service));
  }

  std::vector<std::string> services;  ///< Set by FollowServices.
};

/// One proxy's watch of the members. Runs on its io_context's thread.
class EtcdSource {
 public:
  /// Called with each report.
  using OnReport = std::function<void(Time, const Report&)>;
  /// Called whenever etcd has shown that the list is up to date.
  using OnContact = std::function<void(Time)>;
  /// Called for each key that was read: why its value cannot be read, or an empty reason.
  using OnKey = std::function<void(const std::string& key, const std::string& reason)>;

  /// Starts at once. None of the functions is called from within the constructor.
  EtcdSource(boost::asio::io_context& io, const EtcdSourceSettings& settings, std::uint64_t seed,
             OnReport on_report, OnContact on_contact, OnKey on_key);
  EtcdSource(const EtcdSource&) = delete;
  EtcdSource& operator=(const EtcdSource&) = delete;

  /// The state of the link, for status.
  const etcd::Follower& follower() const { return link_.follower(); }
  /// The monotonic clock that reports are stamped with.
  static Time Now() { return etcd::FollowerLink::Now(); }

 private:
  etcd::FollowerLinkCallbacks MakeCallbacks();
  void Deliver(const Feed::Output& output);

  Feed feed_;
  OnReport on_report_;
  OnContact on_contact_;
  OnKey on_key_;
  etcd::FollowerLink link_;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_ETCD_SOURCE_H_
