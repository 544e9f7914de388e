// SPDX-License-Identifier: Apache-2.0
#include "standins/etcd_store.h"

#include <algorithm>

namespace badgerbridge::standins {
namespace {

using etcd::Code;
using etcd::Ending;
using etcd::Status;

constexpr std::size_t kMaxTxnOperations = 128;          // etcd's --max-txn-ops
constexpr std::int64_t kMaxTtlSeconds = 9'000'000'000;  // etcd's
constexpr std::int64_t kMillisPerSecond = 1000;

Status Fail(Code code, const char* text) { return {code, Ending::kStatus, text}; }
Status MissingKey() { return Fail(Code::kInvalidArgument, "etcdserver: key is not provided"); }
Status DuplicateKey() {
  return Fail(Code::kInvalidArgument, "etcdserver: duplicate key given in txn request");
}

// Below, at or above 0, as `left` is below, equal to or above `right`.
template <typename T>
int Order(const T& left, const T& right) {
  if (left < right) return -1;
  return right < left ? 1 : 0;
}

// A limit of 0 is none.
bool IsWithin(std::int64_t value, std::int64_t min, std::int64_t max) {
  return (min == 0 || value >= min) && (max == 0 || value <= max);
}

bool HasRequestedRevisions(const pb::KeyValue& kv, const pb::RangeRequest& request) {
  return IsWithin(kv.mod_revision(), request.min_mod_revision(), request.max_mod_revision()) &&
         IsWithin(kv.create_revision(), request.min_create_revision(), request.max_create_revision());
}

bool IsBefore(const pb::KeyValue& left, const pb::KeyValue& right, pb::RangeRequest::SortTarget target) {
  switch (target) {
    case pb::RangeRequest::VERSION:
      return left.version() < right.version();
    case pb::RangeRequest::CREATE:
      return left.create_revision() < right.create_revision();
    case pb::RangeRequest::MOD:
      return left.mod_revision() < right.mod_revision();
    case pb::RangeRequest::VALUE:
      return left.value() < right.value();
    default:
      return left.key() < right.key();
  }
}

// Sorts keys, which are in ascending order, as the request asks. Without an order it is ascending.
void Sort(const pb::RangeRequest& request, std::vector<const pb::KeyValue*>* kvs) {
  const auto target = request.sort_target();
  if (request.sort_order() == pb::RangeRequest::DESCEND) {
    std::stable_sort(kvs->begin(), kvs->end(), [&](const pb::KeyValue* left, const pb::KeyValue* right) {
      return IsBefore(*right, *left, target);
    });
  } else if (target != pb::RangeRequest::KEY) {
    std::stable_sort(kvs->begin(), kvs->end(), [&](const pb::KeyValue* left, const pb::KeyValue* right) {
      return IsBefore(*left, *right, target);
    });
  }
}

int OrderOf(const pb::KeyValue& kv, const pb::Compare& compare) {
  switch (compare.target()) {
    case pb::Compare::VERSION:
      return Order(kv.version(), compare.version());
    case pb::Compare::CREATE:
      return Order(kv.create_revision(), compare.create_revision());
    case pb::Compare::MOD:
      return Order(kv.mod_revision(), compare.mod_revision());
    case pb::Compare::VALUE:
      return Order(kv.value(), compare.value());
    default:
      return Order(kv.lease(), compare.lease());
  }
}

bool HoldsFor(const pb::KeyValue& kv, const pb::Compare& compare) {
  const int order = OrderOf(kv, compare);
  switch (compare.result()) {
    case pb::Compare::EQUAL:
      return order == 0;
    case pb::Compare::GREATER:
      return order > 0;
    case pb::Compare::LESS:
      return order < 0;
    default:
      return order != 0;
  }
}

}  // namespace

// As the API has it: no end is one key, an end of "\0" is all keys from `begin` on.
bool EtcdStore::InRange(std::string_view key, std::string_view begin, std::string_view end) {
  if (end.empty()) return key == begin;
  if (end == std::string_view("\0", 1)) return key >= begin;
  return key >= begin && key < end;
}

const EtcdStore::Version* EtcdStore::At(const std::string& key, std::int64_t revision) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : Newest(found->second, revision);
}

const EtcdStore::Version* EtcdStore::Newest(const std::vector<Version>& versions, std::int64_t revision) {
  const auto newest = std::find_if(versions.rbegin(), versions.rend(), [&](const Version& version) {
    return version.kv.mod_revision() <= revision;
  });
  return newest != versions.rend() && !newest->deleted ? &*newest : nullptr;
}

Status EtcdStore::CheckRange(const pb::RangeRequest& request) const {
  if (request.key().empty()) return MissingKey();
  if (!pb::RangeRequest::SortOrder_IsValid(request.sort_order()) ||
      !pb::RangeRequest::SortTarget_IsValid(request.sort_target()))
    return Fail(Code::kInvalidArgument, "etcdserver: invalid sort option");
  const std::int64_t at = request.revision() > 0 ? request.revision() : revision_;
  if (at > revision_) return Fail(Code::kOutOfRange, kFutureText);
  if (at < compacted_) return Fail(Code::kOutOfRange, kCompactedText);
  return {};
}

// As etcd applies a range: the count is of all keys in the range, before limits on revisions and the limit.
void EtcdStore::Read(const pb::RangeRequest& request, std::int64_t revision,
                     pb::RangeResponse* response) const {
  std::int64_t count = 0;
  std::vector<const pb::KeyValue*> found;
  for (auto key = keys_.lower_bound(request.key()); key != keys_.end(); ++key) {
    if (!InRange(key->first, request.key(), request.range_end())) break;
    const Version* version = Newest(key->second, revision);
    if (!version) continue;
    ++count;
    if (HasRequestedRevisions(version->kv, request)) found.push_back(&version->kv);
  }
  response->set_count(count);
  if (request.count_only()) return;
  Sort(request, &found);
  for (const pb::KeyValue* kv : found) {
    if (request.limit() > 0 && response->kvs_size() >= request.limit()) {
      response->set_more(true);
      break;
    }
    pb::KeyValue* added = response->add_kvs();
    *added = *kv;
    if (request.keys_only()) added->clear_value();
  }
}

Status EtcdStore::Range(const pb::RangeRequest& request, pb::RangeResponse* response) const {
  const Status status = CheckRange(request);
  if (status.ok()) Read(request, request.revision() > 0 ? request.revision() : revision_, response);
  return status;
}

Status EtcdStore::Check(const pb::PutRequest& request) const {
  if (request.key().empty()) return MissingKey();
  if (request.ignore_value() && !request.value().empty())
    return Fail(Code::kInvalidArgument, "etcdserver: value is provided");
  if (request.ignore_lease() && request.lease() != 0)
    return Fail(Code::kInvalidArgument, "etcdserver: lease is provided");
  if ((request.ignore_value() || request.ignore_lease()) && !At(request.key(), revision_))
    return Fail(Code::kInvalidArgument, "etcdserver: key not found");
  if (request.lease() != 0 && !leases_.count(request.lease()))
    return Fail(Code::kNotFound, "etcdserver: requested lease not found");
  return {};
}

void EtcdStore::WritePut(const pb::PutRequest& request, std::int64_t revision) {
  const Version* before = At(request.key(), revision);
  const std::int64_t lease = request.ignore_lease() && before ? before->kv.lease() : request.lease();
  Version next;
  next.kv.set_key(request.key());
  next.kv.set_value(request.ignore_value() && before ? before->kv.value() : request.value());
  next.kv.set_lease(lease);
  next.kv.set_create_revision(before ? before->kv.create_revision() : revision);
  next.kv.set_version(before ? before->kv.version() + 1 : 1);
  next.kv.set_mod_revision(revision);
  if (before && before->kv.lease() != 0) leases_[before->kv.lease()].keys.erase(request.key());
  if (lease != 0) leases_[lease].keys.insert(request.key());
  keys_[request.key()].push_back(std::move(next));
  log_[revision].push_back(request.key());
}

Status EtcdStore::Put(const pb::PutRequest& request, pb::PutResponse* response) {
  const Status status = Check(request);
  if (!status.ok()) return status;
  if (const Version* before = At(request.key(), revision_); before && request.prev_kv())
    *response->mutable_prev_kv() = before->kv;
  WritePut(request, ++revision_);
  return {};
}

std::int64_t EtcdStore::WriteDelete(std::string_view key, std::string_view end, std::int64_t revision,
                                    pb::DeleteRangeResponse* response, bool prev_kv) {
  std::vector<std::string> names;
  for (auto at = keys_.lower_bound(key); at != keys_.end() && InRange(at->first, key, end); ++at) {
    if (At(at->first, revision)) names.push_back(at->first);
  }
  for (const std::string& name : names) {
    const Version* before = At(name, revision);
    if (response && prev_kv) *response->add_prev_kvs() = before->kv;
    if (before->kv.lease() != 0) leases_[before->kv.lease()].keys.erase(name);
    Version deletion;
    deletion.deleted = true;
    deletion.kv.set_key(name);
    deletion.kv.set_mod_revision(revision);
    keys_[name].push_back(std::move(deletion));
    log_[revision].push_back(name);
  }
  return static_cast<std::int64_t>(names.size());
}

Status EtcdStore::DeleteRange(const pb::DeleteRangeRequest& request, pb::DeleteRangeResponse* response) {
  if (request.key().empty()) return MissingKey();
  const std::int64_t deleted =
      WriteDelete(request.key(), request.range_end(), revision_ + 1, response, request.prev_kv());
  if (deleted > 0) ++revision_;  // a deletion of nothing is no revision
  response->set_deleted(deleted);
  return {};
}

// A comparison of a range holds if it does for each key in it; without keys, if it does for a key without
// revisions.
bool EtcdStore::Holds(const pb::Compare& compare, std::int64_t revision) const {
  bool has_keys = false;
  for (auto key = keys_.lower_bound(compare.key()); key != keys_.end(); ++key) {
    if (!InRange(key->first, compare.key(), compare.range_end())) break;
    const Version* version = At(key->first, revision);
    if (!version) continue;
    has_keys = true;
    if (!HoldsFor(version->kv, compare)) return false;
  }
  if (has_keys) return true;
  return compare.target() != pb::Compare::VALUE && HoldsFor(pb::KeyValue(), compare);
}

// What can be checked without the keys: etcd checks both branches so.
Status EtcdStore::CheckTxn(const pb::TxnRequest& request) {
  const int operations = std::max({request.compare_size(), request.success_size(), request.failure_size()});
  if (static_cast<std::size_t>(operations) > kMaxTxnOperations)
    return Fail(Code::kInvalidArgument, "etcdserver: too many operations in txn request");
  for (const pb::Compare& compare : request.compare()) {
    if (!pb::Compare::CompareResult_IsValid(compare.result()) ||
        !pb::Compare::CompareTarget_IsValid(compare.target()))
      return Fail(Code::kInvalidArgument, "stand-in: a comparison that it does not know");
    if (compare.key().empty()) return MissingKey();
  }
  for (const auto* branch : {&request.success(), &request.failure()}) {
    if (const Status status = CheckBranch(*branch); !status.ok()) return status;
  }
  return {};
}

Status EtcdStore::CheckBranch(const google::protobuf::RepeatedPtrField<pb::RequestOp>& operations) {
  std::set<std::string> put_keys;
  std::vector<const pb::DeleteRangeRequest*> deleted_ranges;
  for (const pb::RequestOp& operation : operations) {
    if (operation.has_request_txn()) {
      if (const Status status = CheckTxn(operation.request_txn()); !status.ok()) return status;
    } else if (operation.has_request_range()) {
      if (operation.request_range().key().empty()) return MissingKey();
    } else if (operation.has_request_delete_range()) {
      if (operation.request_delete_range().key().empty()) return MissingKey();
      deleted_ranges.push_back(&operation.request_delete_range());
    } else if (operation.has_request_put()) {
      if (operation.request_put().key().empty()) return MissingKey();
      if (!put_keys.insert(operation.request_put().key()).second) return DuplicateKey();
    } else {
      return Fail(Code::kInvalidArgument, "etcdserver: key not found");
    }
  }
  for (const auto* range : deleted_ranges) {
    for (const std::string& key : put_keys) {
      if (InRange(key, range->key(), range->range_end())) return DuplicateKey();
    }
  }
  return {};
}

Status EtcdStore::CheckOperations(const pb::TxnRequest& request) const {
  bool holds = true;
  for (const pb::Compare& compare : request.compare()) holds &= Holds(compare, revision_);
  for (const pb::RequestOp& op : holds ? request.success() : request.failure()) {
    Status status;
    if (op.has_request_put()) status = Check(op.request_put());
    if (op.has_request_range()) status = CheckRange(op.request_range());
    if (op.has_request_txn()) status = CheckOperations(op.request_txn());
    if (!status.ok()) return status;
  }
  return {};
}

// Reads see what the same transaction has written before them.
void EtcdStore::RunTxn(const pb::TxnRequest& request, std::int64_t next, pb::TxnResponse* response) {
  bool holds = true;
  for (const pb::Compare& compare : request.compare()) holds &= Holds(compare, next);
  response->set_succeeded(holds);
  for (const pb::RequestOp& op : holds ? request.success() : request.failure()) {
    pb::ResponseOp* out = response->add_responses();
    if (op.has_request_put()) {
      pb::PutResponse* put = out->mutable_response_put();
      if (const Version* before = At(op.request_put().key(), next); before && op.request_put().prev_kv())
        *put->mutable_prev_kv() = before->kv;
      WritePut(op.request_put(), next);
    } else if (op.has_request_delete_range()) {
      const pb::DeleteRangeRequest& range = op.request_delete_range();
      pb::DeleteRangeResponse* deleted = out->mutable_response_delete_range();
      deleted->set_deleted(WriteDelete(range.key(), range.range_end(), next, deleted, range.prev_kv()));
    } else if (op.has_request_txn()) {
      RunTxn(op.request_txn(), next, out->mutable_response_txn());
    } else {
      const pb::RangeRequest& range = op.request_range();
      Read(range, range.revision() > 0 ? range.revision() : next, out->mutable_response_range());
    }
  }
}

Status EtcdStore::Txn(const pb::TxnRequest& request, pb::TxnResponse* response) {
  if (const Status status = CheckTxn(request); !status.ok()) return status;
  if (const Status status = CheckOperations(request); !status.ok()) return status;
  RunTxn(request, revision_ + 1, response);
  if (log_.count(revision_ + 1)) ++revision_;
  return {};
}

void EtcdStore::PutAll(const std::vector<std::pair<std::string, std::string>>& pairs) {
  ++revision_;
  for (const auto& [key, value] : pairs) {
    pb::PutRequest put;
    put.set_key(key);
    put.set_value(value);
    WritePut(put, revision_);
  }
}

Status EtcdStore::Compact(std::int64_t revision) {
  if (revision > revision_) return Fail(Code::kOutOfRange, kFutureText);
  if (revision <= compacted_) return Fail(Code::kOutOfRange, kCompactedText);
  compacted_ = revision;
  log_.erase(log_.begin(), log_.lower_bound(revision));
  for (auto key = keys_.begin(); key != keys_.end();) {
    std::vector<Version>& versions = key->second;
    // The newest at the compaction stays, unless it is a deletion.
    std::size_t keep = 0;
    for (std::size_t i = 0; i < versions.size(); ++i) {
      if (versions[i].kv.mod_revision() <= revision) keep = i;
    }
    versions.erase(versions.begin(), versions.begin() + static_cast<std::ptrdiff_t>(keep));
    if (!versions.empty() && versions.front().deleted && versions.front().kv.mod_revision() < revision)
      versions.erase(versions.begin());
    key = versions.empty() ? keys_.erase(key) : std::next(key);
  }
  return {};
}

std::vector<pb::Event> EtcdStore::Events(std::string_view key, std::string_view end, std::int64_t from,
                                         bool prev_kv) const {
  std::vector<pb::Event> events;
  for (auto at = log_.lower_bound(from); at != log_.end(); ++at) {
    for (const std::string& name : at->second) {
      if (!InRange(name, key, end)) continue;
      const auto& versions = keys_.at(name);
      const auto before = [](const Version& version, std::int64_t revision) {
        return version.kv.mod_revision() < revision;
      };
      for (auto version = std::lower_bound(versions.begin(), versions.end(), at->first, before);
           version != versions.end() && version->kv.mod_revision() == at->first; ++version) {
        pb::Event event;
        event.set_type(version->deleted ? pb::Event::DELETE : pb::Event::PUT);
        *event.mutable_kv() = version->kv;
        if (const Version* earlier = prev_kv ? At(name, at->first - 1) : nullptr)
          *event.mutable_prev_kv() = earlier->kv;
        events.push_back(std::move(event));
      }
    }
  }
  return events;
}

Status EtcdStore::Grant(Millis now, const pb::LeaseGrantRequest& request, pb::LeaseGrantResponse* response) {
  if (request.ttl() <= 0) return Fail(Code::kInvalidArgument, "etcdserver: too small lease TTL");
  if (request.ttl() > kMaxTtlSeconds) return Fail(Code::kOutOfRange, "etcdserver: too large lease TTL");
  const std::int64_t id = request.id() != 0 ? request.id() : next_lease_++;
  if (leases_.count(id)) return Fail(Code::kFailedPrecondition, "etcdserver: lease already exists");
  leases_[id].ttl = request.ttl();
  leases_[id].due = now + Millis(request.ttl() * kMillisPerSecond);
  response->set_id(id);
  response->set_ttl(request.ttl());
  return {};
}

Status EtcdStore::Revoke(std::int64_t id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) return Fail(Code::kNotFound, "etcdserver: requested lease not found");
  const std::set<std::string> keys = found->second.keys;
  if (!keys.empty()) ++revision_;
  for (const std::string& key : keys) WriteDelete(key, "", revision_, nullptr, false);
  leases_.erase(id);
  return {};
}

std::int64_t EtcdStore::KeepAlive(Millis now, std::int64_t id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) return 0;
  found->second.due = now + Millis(found->second.ttl * kMillisPerSecond);
  return found->second.ttl;
}

void EtcdStore::TimeToLive(Millis now, const pb::LeaseTimeToLiveRequest& request,
                           pb::LeaseTimeToLiveResponse* response) const {
  response->set_id(request.id());
  const auto found = leases_.find(request.id());
  if (found == leases_.end()) {
    response->set_ttl(-1);
    return;
  }
  response->set_ttl(std::max<std::int64_t>(0, (found->second.due - now).count() / kMillisPerSecond));
  response->set_grantedttl(found->second.ttl);
  if (!request.keys()) return;
  for (const std::string& key : found->second.keys) response->add_keys(key);
}

void EtcdStore::Leases(pb::LeaseLeasesResponse* response) const {
  for (const auto& [id, lease] : leases_) response->add_leases()->set_id(id);
}

bool EtcdStore::Expire(Millis now) {
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.due <= now) expired.push_back(id);
  }
  for (const std::int64_t id : expired) Revoke(id);
  return !expired.empty();
}

}  // namespace badgerbridge::standins
