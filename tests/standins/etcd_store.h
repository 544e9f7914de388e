// SPDX-License-Identifier: Apache-2.0
//
// What a stand-in etcd holds: keys with all their versions, revisions, compaction, leases. Pure.
#ifndef BADGERBRIDGE_TESTS_STANDINS_ETCD_STORE_H_
#define BADGERBRIDGE_TESTS_STANDINS_ETCD_STORE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "etcd.pb.h"
#include "etcd/grpc.h"

namespace badgerbridge::standins {

namespace pb = etcdserverpb;

// etcd's own words for its errors (rpctypes), which clients compare.
inline constexpr char kCompactedText[] = "etcdserver: mvcc: required revision has been compacted";
inline constexpr char kFutureText[] = "etcdserver: mvcc: required revision is a future revision";

class EtcdStore {
 public:
  using Millis = std::chrono::milliseconds;

  std::int64_t revision() const { return revision_; }
  std::int64_t compacted() const { return compacted_; }

  etcd::Status Range(const pb::RangeRequest& request, pb::RangeResponse* response) const;
  etcd::Status Put(const pb::PutRequest& request, pb::PutResponse* response);
  etcd::Status DeleteRange(const pb::DeleteRangeRequest& request, pb::DeleteRangeResponse* response);
  etcd::Status Txn(const pb::TxnRequest& request, pb::TxnResponse* response);
  etcd::Status Compact(std::int64_t revision);

  etcd::Status Grant(Millis now, const pb::LeaseGrantRequest& request, pb::LeaseGrantResponse* response);
  etcd::Status Revoke(std::int64_t id);
  // The TTL in seconds; 0: there is no such lease.
  std::int64_t KeepAlive(Millis now, std::int64_t id);
  // What is left of a lease, and its keys if wanted; a TTL of -1: there is no such lease.
  void TimeToLive(Millis now, const pb::LeaseTimeToLiveRequest& request,
                  pb::LeaseTimeToLiveResponse* response) const;
  void Leases(pb::LeaseLeasesResponse* response) const;
  // Deletes the keys of leases that have run out, one revision a lease; true if any did.
  bool Expire(Millis now);

  // The changes of keys of the range from revision `from` on, oldest first; `from` must not be compacted.
  std::vector<pb::Event> Events(std::string_view key, std::string_view end, std::int64_t from,
                                bool prev_kv) const;

  // For tests: a number of writes as one transaction, though more than a request may hold.
  void PutAll(const std::vector<std::pair<std::string, std::string>>& pairs);

 private:
  struct Version {
    pb::KeyValue kv;
    bool deleted = false;
  };
  struct Lease {
    std::int64_t ttl = 0;
    Millis due{0};
    std::set<std::string> keys;
  };

  // The version at `revision`; null if the key did not exist.
  static const Version* Newest(const std::vector<Version>& versions, std::int64_t revision);
  const Version* At(const std::string& key, std::int64_t revision) const;
  etcd::Status CheckRange(const pb::RangeRequest& request) const;
  void Read(const pb::RangeRequest& request, std::int64_t revision, pb::RangeResponse* response) const;
  bool Holds(const pb::Compare& compare, std::int64_t revision) const;
  static etcd::Status CheckTxn(const pb::TxnRequest& request);
  static etcd::Status CheckBranch(const google::protobuf::RepeatedPtrField<pb::RequestOp>& operations);
  // Whether what the branch that will run needs exists, such as a put's lease.
  etcd::Status CheckOperations(const pb::TxnRequest& request) const;
  void RunTxn(const pb::TxnRequest& request, std::int64_t next, pb::TxnResponse* response);
  void WritePut(const pb::PutRequest& request, std::int64_t revision);
  std::int64_t WriteDelete(std::string_view key, std::string_view end, std::int64_t revision,
                           pb::DeleteRangeResponse* response, bool prev_kv);
  static bool InRange(std::string_view key, std::string_view begin, std::string_view end);
  etcd::Status Check(const pb::PutRequest& request) const;

  std::int64_t revision_ = 1;
  std::int64_t compacted_ = 0;
  std::map<std::string, std::vector<Version>, std::less<>> keys_;
  std::map<std::int64_t, std::vector<std::string>> log_;  // by revision: the keys written, in order
  std::map<std::int64_t, Lease> leases_;
  std::int64_t next_lease_ = 7587000000000001;
};

}  // namespace badgerbridge::standins

#endif  // BADGERBRIDGE_TESTS_STANDINS_ETCD_STORE_H_
