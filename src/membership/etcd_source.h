// SPDX-License-Identifier: Apache-2.0
//
// Follows the backends' prefix in etcd; what it learns goes to the ledger, as reports.
#ifndef BADGERBRIDGE_MEMBERSHIP_ETCD_SOURCE_H_
#define BADGERBRIDGE_MEMBERSHIP_ETCD_SOURCE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "etcd/follower_link.h"
#include "membership/feed.h"

namespace badgerbridge::membership {

struct EtcdSourceSettings : etcd::FollowerLinkSettings {
  EtcdSourceSettings() { follower.prefix = kBackendsPrefix; }

  // Follows these services alone, whose keys are prefix + service + "/" + name.
  void FollowServices(const std::string& prefix, const std::vector<std::string>& names) {
    follower.prefix = prefix;
    services = names;
    for (const std::string& service : services) follower.sections.push_back(Feed::SectionOf(service));
  }

  std::vector<std::string> services;  // set by FollowServices
};

class EtcdSource {
 public:
  using OnReport = std::function<void(Time, const Report&)>;
  using OnAlive = std::function<void(Time)>;
  using OnProblem = std::function<void(const std::string& key, const std::string& reason)>;

  // Begins at once. None of the functions is called from within this one.
  EtcdSource(boost::asio::io_context& io, const EtcdSourceSettings& settings, std::uint64_t seed,
             OnReport on_report, OnAlive on_alive, OnProblem on_problem);
  EtcdSource(const EtcdSource&) = delete;
  EtcdSource& operator=(const EtcdSource&) = delete;

  const etcd::Follower& follower() const { return link_.follower(); }
  static Time Now() { return etcd::FollowerLink::Now(); }

 private:
  void Pass(const Feed::Output& output);

  Feed feed_;
  OnReport on_report_;
  OnAlive on_alive_;
  OnProblem on_problem_;
  etcd::FollowerLink link_;
};

}  // namespace badgerbridge::membership

#endif  // BADGERBRIDGE_MEMBERSHIP_ETCD_SOURCE_H_
