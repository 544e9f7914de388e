// SPDX-License-Identifier: Apache-2.0
//
// Puts the ledger between its sources and the proxy: discovery's lists and etcd's watch go in, what is
// believed comes out as changes of the list. Only where the operator's file has an [etcd] table.
#ifndef BADGERBRIDGE_PROXY_MAIN_MEMBERSHIP_SOURCE_H_
#define BADGERBRIDGE_PROXY_MAIN_MEMBERSHIP_SOURCE_H_

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "membership/etcd_source.h"
#include "membership/ledger.h"
#include "membership/pending_changes.h"
#include "net/one_shot_timer.h"
#include "operator_config/operator_file.h"
#include "proxy/config.h"
#include "proxy/endpoint_list_reader.h"

namespace badgerbridge::proxy_main {

class MembershipSource {
 public:
  // The most that the module puts in its place one by one; 110,000 members make 3,438 slices.
  static constexpr std::size_t kSliceMembers = 32;

  using OnChange = std::function<void(const proxy::EndpointList&)>;
  using OnComplete = std::function<void()>;

  // Throws std::runtime_error, one line, for a password that can't be read. Neither function is
  // called from within. `on_change` gets the list in slices of at most kSliceMembers. `on_complete`: the
  // authority's first whole list has been passed on; called once. `max_members`: of each source's list.
  MembershipSource(boost::asio::io_context& io, const proxy::Config& config,
                   const operator_config::EtcdSettings& settings, OnChange on_change,
                   OnComplete on_complete = nullptr, std::size_t max_members = membership::kMaxMembers);

  // The list that the configuration gave: what the proxy works with until the authority has spoken.
  void Known(const proxy::EndpointList& list);
  void Discovered(const proxy::EndpointList& list);

  // The list as it is believed: what the proxy works with.
  const proxy::EndpointListReader& list() const { return names_; }

  // What is held back has really left: lets it go; how many there were.
  std::size_t Release();

  // Changes that were not passed on yet.
  std::size_t pending() const { return pending_.size(); }

  // The ledger for people: each member with whose word decided, each source with its freshness.
  boost::json::value Describe() const;

 private:
  void Take(membership::Report report);
  void Publish(const std::vector<membership::Member>& changes);
  void Flush();
  void FlushSlice();
  void ArmFlush();
  void LogRefusal(std::size_t source, bool was_refused) const;
  std::string NameOfSource(std::size_t source) const { return source == etcd_ ? "etcd" : "discovery"; }
  void Arm();

  std::vector<std::string> zones_, kinds_;
  OnChange on_change_;
  OnComplete on_complete_;           // empty once it was called
  proxy::EndpointListReader names_;  // of all that is believed, with the ids that discovery's reader gives
  membership::Ledger ledger_;
  std::size_t etcd_ = 0, discovery_ = 1;
  std::vector<std::string> known_;  // of the configuration, and not spoken of by the authority yet
  bool authority_spoke_ = false;
  std::uint64_t told_ = 0;  // discovery's lists, numbered here
  bool held_said_ = false;
  using Clock = std::chrono::steady_clock;
  membership::PendingChanges pending_;  // not passed on to the proxy yet
  Clock::duration longest_flush_{};
  Clock::time_point next_publish_{};
  net::OneShotTimer timer_, flush_;
  std::optional<membership::EtcdSource> source_;
};

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_MEMBERSHIP_SOURCE_H_
