// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// What the proxies hold in etcd about zones: the decision, its leader, the members and operators' orders. In
/// builds with the etcd client.
#ifndef BADGERBRIDGE_CLI_ZONE_STORE_H_
#define BADGERBRIDGE_CLI_ZONE_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cli/etcd_session.h"
#include "operator_config/operator_file.h"
#include "zone_failover/decision.h"

namespace badgerbridge::cli {

/// All that the proxies hold in common, as of one revision.
struct ZoneStoreContent {
  std::optional<zone_failover::Decision> decision;  ///< the one in force; none: no proxy has decided yet
  std::int64_t decision_revision = 0;               ///< at which it was written
  std::string leader;                               ///< name of the proxy that decides now; empty: none
  std::size_t members = 0;                          ///< proxies that take part
  std::vector<std::string> evacuation_orders;       ///< by zone: name of the person; empty: no order
};

/// The key of the order to evacuate a zone.
std::string EvacuationOrderKey(const operator_config::ZoneFailoverSettings& zones, std::size_t zone);

/// The index of the zone of this name, or UnknownZone.
Result<std::size_t> FindZone(const operator_config::ZoneFailoverSettings& zones, const std::string& name);

/// Reads all keys under the prefix. The arguments must live until the result is there.
boost::asio::awaitable<Result<ZoneStoreContent>> ReadZoneStore(
    etcd::Client& client, const operator_config::ZoneFailoverSettings& zones,
    std::chrono::milliseconds timeout);

/// A past decision.
struct PastDecision {
  std::int64_t revision = 0;         ///< at which it was written
  zone_failover::Decision decision;  ///< what was decided
};

/// Past decisions, as far back as etcd has them.
struct DecisionHistory {
  std::vector<PastDecision> decisions;  ///< the newest first
  bool is_compacted = false;            ///< etcd has dropped what came before
};

/// Reads the newest `max_count` decisions. The arguments must live until the result is there.
boost::asio::awaitable<Result<DecisionHistory>> ReadDecisionHistory(
    etcd::Client& client, const operator_config::ZoneFailoverSettings& zones, std::size_t max_count,
    std::chrono::milliseconds timeout);

}  // namespace badgerbridge::cli

#endif  // BADGERBRIDGE_CLI_ZONE_STORE_H_
