// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Checks every version of zone failover's decision that an etcd store holds.
#ifndef BADGERBRIDGE_TESTS_MULTIPROCESS_DECISION_AUDIT_H_
#define BADGERBRIDGE_TESTS_MULTIPROCESS_DECISION_AUDIT_H_

#include <string>

#include "multiprocess/messages.h"
#include "standins/etcd_store.h"

namespace badgerbridge::multiprocess {

/// Reads all versions of the decision: each must have a higher epoch than the one before, and be by the
/// holder of the leader's key at that moment. `prefix`: of zone failover's keys.
DecisionAudit AuditDecisions(const standins::EtcdStore& store, const std::string& prefix);

/// The holder of the leader's key now; empty if there is none.
std::string FindLeaderIn(const standins::EtcdStore& store, const std::string& prefix);

}  // namespace badgerbridge::multiprocess

#endif  // BADGERBRIDGE_TESTS_MULTIPROCESS_DECISION_AUDIT_H_
