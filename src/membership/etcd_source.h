// SPDX-License-Identifier: Apache-2.0

/// @file
/// Watches the backends' keys in etcd and converts what it receives to reports for the ledger.
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

/// The settings of the connection to etcd, with the prefix of the backends' keys.
struct EtcdSourceSettings : etcd::FollowerLinkSettings {
  /// Watches the members under kBackendsPrefix.
  EtcdSourceSettings() { follower.prefix = kBackendsPrefix; }

  /// Watches only the members of these services, whose keys are prefix + service + "/" + name.
  void FollowServices(const std::string& prefix, const std::vector<std::string>& names) {
    follower.prefix = prefix;
    services = names;
    for (const std::string& service : services) follower.sections.push_back(Feed::SectionOf(service));
  }

  std::vector<std::string> services;  ///< Set by FollowServices; empty: members are not listed by service.
};

/// One proxy's watch of the members. Runs on the thread of its io_context.
class EtcdSource {
 public:
  /// Called with the time of arrival and each report.
  using OnReport = std::function<void(Time, const Report&)>;
  /// Called whenever a message from etcd confirms that the list is up to date.
  using OnContact = std::function<void(Time)>;
  /// Called for each key received, with the reason why its value cannot be parsed; empty: it can.
  using OnKey = std::function<void(const std::string& key, const std::string& reason)>;

  /// Starts the watch. The constructor calls none of the callbacks.
  EtcdSource(boost::asio::io_context& io, const EtcdSourceSettings& settings, std::uint64_t seed,
             OnReport on_report, OnContact on_contact, OnKey on_key);
  EtcdSource(const EtcdSource&) = delete;
  EtcdSource& operator=(const EtcdSource&) = delete;

  /// The state of the watch, for status reports.
  const etcd::Follower& follower() const { return link_.follower(); }
  /// The current time on the monotonic clock that the callbacks use.
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
