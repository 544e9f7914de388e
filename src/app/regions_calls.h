// SPDX-License-Identifier: Apache-2.0
//
// A regions::Member's calls as etcd's v3 API has them (etcd.io/docs, "API reference": KV.Txn,
// Lease.LeaseGrant, Lease.LeaseKeepAlive), and what comes back as its replies. No I/O.
#ifndef BADGERBRIDGE_APP_REGIONS_CALLS_H_
#define BADGERBRIDGE_APP_REGIONS_CALLS_H_

#include <optional>
#include <string>
#include <string_view>

#include "etcd.pb.h"
#include "etcd/grpc.h"
#include "regions/member.h"

namespace badgerbridge::app {

using regions::Member;

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

}  // namespace badgerbridge::app

#endif  // BADGERBRIDGE_APP_REGIONS_CALLS_H_
