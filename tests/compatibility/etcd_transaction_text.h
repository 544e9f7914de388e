// SPDX-License-Identifier: Apache-2.0
//
/// A transaction of etcd's v3 API as text, for golden files: keys, values and leases as they stand on the
/// wire.
#ifndef BADGERBRIDGE_TESTS_COMPATIBILITY_ETCD_TRANSACTION_TEXT_H_
#define BADGERBRIDGE_TESTS_COMPATIBILITY_ETCD_TRANSACTION_TEXT_H_

#include <string>

#include "etcd.pb.h"

namespace badgerbridge::compatibility {

inline std::string TextOf(const etcdserverpb::Compare& compare) {
  const bool by_creation = compare.target() == etcdserverpb::Compare::CREATE;
  return "  if " + compare.key() + (by_creation ? " created " : " modified ") +
         std::to_string(by_creation ? compare.create_revision() : compare.mod_revision()) + "\n";
}

inline std::string TextOf(const etcdserverpb::RequestOp& operation) {
  if (operation.has_request_put()) {
    const etcdserverpb::PutRequest& put = operation.request_put();
    return "    put " + put.key() + " = " + put.value() + " lease " + std::to_string(put.lease()) +
           (put.ignore_lease() ? " keeping its lease" : "") + "\n";
  }
  const etcdserverpb::RangeRequest& range = operation.request_range();
  return "    get " + range.key() + (range.range_end().empty() ? "" : " to " + range.range_end()) +
         (range.keys_only() ? " keys only" : "") + "\n";
}

/// `title`, the conditions, then the operations of both branches; each on a line of its own.
inline std::string TextOf(const std::string& title, const etcdserverpb::TxnRequest& transaction) {
  std::string text = title + "\n";
  for (const etcdserverpb::Compare& compare : transaction.compare()) text += TextOf(compare);
  text += "  then\n";
  for (const etcdserverpb::RequestOp& operation : transaction.success()) text += TextOf(operation);
  text += "  else\n";
  for (const etcdserverpb::RequestOp& operation : transaction.failure()) text += TextOf(operation);
  return text;
}

}  // namespace badgerbridge::compatibility

#endif  // BADGERBRIDGE_TESTS_COMPATIBILITY_ETCD_TRANSACTION_TEXT_H_
