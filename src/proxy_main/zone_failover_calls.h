// SPDX-License-Identifier: Apache-2.0
//
// Codec between a zone_failover::Member's calls and etcd's v3 API (etcd.io/docs, "API reference": KV.Txn,
// Lease.LeaseGrant, Lease.LeaseKeepAlive). No I/O.
#ifndef BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_CALLS_H_
#define BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_CALLS_H_

#include <string>

#include "etcd.pb.h"
#include "etcd/grpc.h"
#include "zone_failover/member.h"

namespace badgerbridge::proxy_main {

/// The request that grants a lease.
etcdserverpb::LeaseGrantRequest ToEtcd(const zone_failover::Member::GrantLease& call);

/// The request that renews a lease.
etcdserverpb::LeaseKeepAliveRequest ToEtcd(const zone_failover::Member::KeepLeaseAlive& call);

/// The transaction of a heartbeat of the member `name`; keys begin with `prefix`.
etcdserverpb::TxnRequest ToEtcd(const zone_failover::Member::Heartbeat& call, const std::string& prefix,
                                const std::string& name);

/// The transaction by which the member `name` campaigns; keys begin with `prefix`.
etcdserverpb::TxnRequest ToEtcd(const zone_failover::Member::Campaign& call, const std::string& prefix,
                                const std::string& name);

/// The transaction that writes a decision; keys begin with `prefix`.
etcdserverpb::TxnRequest ToEtcd(const zone_failover::Member::Propose& call, const std::string& prefix);

/// The reply to GrantLease. `response` counts only if `status` is OK, here and below.
zone_failover::Member::Reply FromEtcd(const etcd::Status& status,
                                      const etcdserverpb::LeaseGrantResponse& response);

/// The reply to KeepLeaseAlive.
zone_failover::Member::Reply FromEtcd(const etcd::Status& status,
                                      const etcdserverpb::LeaseKeepAliveResponse& response);

/// The reply to a transaction, with the keys after `prefix`; keys that do not begin with it are left out.
zone_failover::Member::Reply FromEtcd(const etcd::Status& status, const etcdserverpb::TxnResponse& response,
                                      const std::string& prefix);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_CALLS_H_
