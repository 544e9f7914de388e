// SPDX-License-Identifier: Apache-2.0
//
// The admin API's answer about membership as JSON. Here its field names meet the code's terms
// (docs/terms.md). No I/O.
#ifndef BADGERBRIDGE_PROXY_MAIN_MEMBERSHIP_STATUS_CODEC_H_
#define BADGERBRIDGE_PROXY_MAIN_MEMBERSHIP_STATUS_CODEC_H_

#include <boost/json/object.hpp>
#include <chrono>
#include <cstddef>

#include "etcd/follower.h"
#include "membership/ledger.h"

namespace badgerbridge::proxy_main {

/// How far the proxy has applied the ledger's changes.
struct PublicationStatus {
  std::size_t pending_changes = 0;                           ///< Members whose change is not applied yet.
  std::chrono::duration<double, std::milli> longest_turn{};  ///< The longest that one turn of it took.
};

/// Each member with the reason for its state, each source with its staleness, the publication, and the link
/// to etcd, at `now`.
boost::json::object EncodeMembership(membership::Time now, const membership::Ledger& ledger,
                                     const PublicationStatus& publication, const etcd::Follower& follower);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_MEMBERSHIP_STATUS_CODEC_H_
