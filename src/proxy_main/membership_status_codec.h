// SPDX-License-Identifier: Apache-2.0
//
// Encodes the admin API's membership response as JSON. Its field names differ from the terms of the code; the
// mapping is here and in docs/terms.md. No I/O.
#ifndef BADGERBRIDGE_PROXY_MAIN_MEMBERSHIP_STATUS_CODEC_H_
#define BADGERBRIDGE_PROXY_MAIN_MEMBERSHIP_STATUS_CODEC_H_

#include <boost/json/object.hpp>
#include <chrono>
#include <cstddef>

#include "etcd/follower.h"
#include "membership/ledger.h"

namespace badgerbridge::proxy_main {

/// Progress of publishing the ledger's changes to the proxy.
struct PublicationStatus {
  std::size_t pending_changes = 0;  ///< Number of members with an unpublished change.
  std::chrono::duration<double, std::milli> longest_turn{};  ///< Duration of the longest turn.
};

/// Encodes each member with the reason for its state, each source with its staleness, the progress of
/// publication, and the state of the etcd watch, as of `now`.
boost::json::object EncodeMembership(membership::Time now, const membership::Ledger& ledger,
                                     const PublicationStatus& publication, const etcd::Follower& follower);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_MEMBERSHIP_STATUS_CODEC_H_
