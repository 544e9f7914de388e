// SPDX-License-Identifier: Apache-2.0
//
// Converts a zone_failover::Member's calls to etcd's v3 API and back (etcd.io/docs, "API reference": KV.Txn,
// Lease.LeaseGrant, Lease.LeaseKeepAlive). No I/O.
#ifndef BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_CALLS_H_
#define BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_CALLS_H_

#include <string>

#include "etcd.pb.h"
#include "etcd/grpc.h"
#include "zone_failover/member.h"

namespace badgerbridge::proxy_main {

/// The LeaseGrant request, with the TTL in seconds.
etcdserverpb::LeaseGrantRequest ToEtcd(const zone_failover::Member::GrantLease& call);

/// The request that renews `call.lease`.
etcdserverpb::LeaseKeepAliveRequest ToEtcd(const zone_failover::Member::KeepLeaseAlive& call);

/// The heartbeat transaction of the member `name`; `prefix` is prepended to each key.
etcdserverpb::TxnRequest ToEtcd(const zone_failover::Member::Heartbeat& call, const std::string& prefix,
                                const std::string& name);

/// The leader election transaction of the member `name`; `prefix` is prepended to each key.
etcdserverpb::TxnRequest ToEtcd(const zone_failover::Member::Campaign& call, const std::string& prefix,
                                const std::string& name);

/// The transaction that writes a decision; `prefix` is prepended to each key.
etcdserverpb::TxnRequest ToEtcd(const zone_failover::Member::Propose& call, const std::string& prefix);

/// The reply to GrantLease. Here and below, `response` is meaningful only if `status` is OK.
zone_failover::Member::Reply FromEtcd(const etcd::Status& status,
                                      const etcdserverpb::LeaseGrantResponse& response);

/// The reply to KeepLeaseAlive; an expired lease is reported as `lease_gone`.
zone_failover::Member::Reply FromEtcd(const etcd::Status& status,
                                      const etcdserverpb::LeaseKeepAliveResponse& response);

/// The reply to a transaction. `prefix` is stripped from keys; keys without it are omitted.
zone_failover::Member::Reply FromEtcd(const etcd::Status& status, const etcdserverpb::TxnResponse& response,
                                      const std::string& prefix);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_CALLS_H_
