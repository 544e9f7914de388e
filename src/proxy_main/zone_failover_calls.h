// SPDX-License-Identifier: Apache-2.0
//
// A zone_failover::Member's calls as etcd's v3 API has them (etcd.io/docs, "API reference": KV.Txn,
// Lease.LeaseGrant, Lease.LeaseKeepAlive), and what comes back as its replies. No I/O.
#ifndef BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_CALLS_H_
#define BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_CALLS_H_

#include <optional>
#include <string>
#include <string_view>

#include "etcd.pb.h"
#include "etcd/grpc.h"
#include "zone_failover/member.h"

namespace badgerbridge::proxy_main {

using zone_failover::Member;

// Keys have `prefix` before them; `name` is the member's.
etcdserverpb::LeaseGrantRequest ToEtcd(const Member::GrantLease& call);
etcdserverpb::LeaseKeepAliveRequest ToEtcd(const Member::KeepLeaseAlive& call);
etcdserverpb::TxnRequest ToEtcd(const Member::Heartbeat& call, const std::string& prefix,
                                const std::string& name);
etcdserverpb::TxnRequest ToEtcd(const Member::Campaign& call, const std::string& prefix,
                                const std::string& name);
etcdserverpb::TxnRequest ToEtcd(const Member::Propose& call, const std::string& prefix);

Member::Reply FromEtcd(const etcd::Status& status, const etcdserverpb::LeaseGrantResponse& response);
Member::Reply FromEtcd(const etcd::Status& status, const etcdserverpb::LeaseKeepAliveResponse& response);
// Keys that do not begin with the prefix are left out.
Member::Reply FromEtcd(const etcd::Status& status, const etcdserverpb::TxnResponse& response,
                       const std::string& prefix);

// `util` of a load report, as in "inflight=7,queue=2,util=0.61" (PROTOCOL, X-Backend-Load); nothing where it
// is absent, or no number from 0 to 1.
std::optional<double> UtilIn(std::string_view report);

}  // namespace badgerbridge::proxy_main

#endif  // BADGERBRIDGE_PROXY_MAIN_ZONE_FAILOVER_CALLS_H_
