// SPDX-License-Identifier: Apache-2.0
#include "standins/etcd_store.h"

#include <algorithm>

namespace badgerbridge::standins {
namespace {

using etcd::Code;
using etcd::Ending;
using etcd::Status;

constexpr std::size_t kMostTxnOps = 128;          // etcd's --max-txn-ops
constexpr std::int64_t kMostTtl = 9'000'000'000;  // etcd's, in seconds

Status Fail(Code code, const char* text) { return {code, Ending::kStatus, text}; }

template <typename T>
int Order(const T& a, const T& b) {
  return a < b ? -1 : b < a ? 1 : 0;
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
  if (request.key().empty()) return Fail(Code::kInvalidArgument, "etcdserver: key is not provided");
  if (!pb::RangeRequest::SortOrder_IsValid(request.sort_order()) ||
      !pb::RangeRequest::SortTarget_IsValid(request.sort_target()))
    return Fail(Code::kInvalidArgument, "etcdserver: invalid sort option");
  const std::int64_t at = request.revision() > 0 ? request.revision() : revision_;
  if (at > revision_) return Fail(Code::kOutOfRange, kFutureText);
  if (at < compacted_) return Fail(Code::kOutOfRange, kCompactedText);
  return {};
}

// As etcd applies a range: the count is of all in the range, before bounds on revisions and the limit.
void EtcdStore::Read(const pb::RangeRequest& request, std::int64_t at, pb::RangeResponse* response) const {
  std::int64_t count = 0;
  std::vector<const pb::KeyValue*> found;
  const auto within = [](std::int64_t x, std::int64_t least, std::int64_t most) {
    return (least == 0 || x >= least) && (most == 0 || x <= most);
  };
  for (auto key = keys_.lower_bound(request.key()); key != keys_.end(); ++key) {
    if (!InRange(key->first, request.key(), request.range_end())) break;
    const Version* version = Newest(key->second, at);
    if (!version) continue;
    ++count;
    if (within(version->kv.mod_revision(), request.min_mod_revision(), request.max_mod_revision()) &&
        within(version->kv.create_revision(), request.min_create_revision(), request.max_create_revision()))
      found.push_back(&version->kv);
  }
  response->set_count(count);
  if (request.count_only()) return;
  const auto less = [&](const pb::KeyValue* a, const pb::KeyValue* b) {
    switch (request.sort_target()) {
      case pb::RangeRequest::VERSION:
        return a->version() < b->version();
      case pb::RangeRequest::CREATE:
        return a->create_revision() < b->create_revision();
      case pb::RangeRequest::MOD:
        return a->mod_revision() < b->mod_revision();
      case pb::RangeRequest::VALUE:
        return a->value() < b->value();
      default:
        return a->key() < b->key();
    }
  };
  if (request.sort_order() == pb::RangeRequest::DESCEND) {
    std::stable_sort(found.begin(), found.end(), [&](const auto* a, const auto* b) { return less(b, a); });
  } else if (request.sort_target() != pb::RangeRequest::KEY) {  // without an order: ascending, as keys are
    std::stable_sort(found.begin(), found.end(), less);
  }
  for (const pb::KeyValue* kv : found) {
    if (request.limit() > 0 && response->kvs_size() >= request.limit()) {
      response->set_more(true);
      break;
    }
    pb::KeyValue* out = response->add_kvs();
    *out = *kv;
    if (request.keys_only()) out->clear_value();
  }
}

Status EtcdStore::Range(const pb::RangeRequest& request, pb::RangeResponse* response) const {
  const Status good = CheckRange(request);
  if (good.ok()) Read(request, request.revision() > 0 ? request.revision() : revision_, response);
  return good;
}

Status EtcdStore::Check(const pb::PutRequest& request) const {
  if (request.key().empty()) return Fail(Code::kInvalidArgument, "etcdserver: key is not provided");
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
  const Status good = Check(request);
  if (!good.ok()) return good;
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
    Version gone;
    gone.deleted = true;
    gone.kv.set_key(name);
    gone.kv.set_mod_revision(revision);
    keys_[name].push_back(std::move(gone));
    log_[revision].push_back(name);
  }
  return static_cast<std::int64_t>(names.size());
}

Status EtcdStore::DeleteRange(const pb::DeleteRangeRequest& request, pb::DeleteRangeResponse* response) {
  if (request.key().empty()) return Fail(Code::kInvalidArgument, "etcdserver: key is not provided");
  const std::int64_t deleted =
      WriteDelete(request.key(), request.range_end(), revision_ + 1, response, request.prev_kv());
  if (deleted > 0) ++revision_;  // a deletion of nothing is no revision
  response->set_deleted(deleted);
  return {};
}

// A comparison of a range holds if it does for each key there; of none, it is with a key of no revisions.
bool EtcdStore::Holds(const pb::Compare& compare, std::int64_t at) const {
  const auto one = [&](const pb::KeyValue& kv) {
    int order = 0;
    switch (compare.target()) {
      case pb::Compare::VERSION:
        order = Order(kv.version(), compare.version());
        break;
      case pb::Compare::CREATE:
        order = Order(kv.create_revision(), compare.create_revision());
        break;
      case pb::Compare::MOD:
        order = Order(kv.mod_revision(), compare.mod_revision());
        break;
      case pb::Compare::VALUE:
        order = Order(kv.value(), compare.value());
        break;
      default:
        order = Order(kv.lease(), compare.lease());
        break;
    }
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
  };
  bool any = false;
  for (auto key = keys_.lower_bound(compare.key()); key != keys_.end(); ++key) {
    if (!InRange(key->first, compare.key(), compare.range_end())) break;
    const Version* version = At(key->first, at);
    if (!version) continue;
    any = true;
    if (!one(version->kv)) return false;
  }
  if (any) return true;
  return compare.target() != pb::Compare::VALUE && one(pb::KeyValue());  // what is not there has no value
}

// What can be said without a look at the keys: etcd checks both branches so.
Status EtcdStore::CheckTxn(const pb::TxnRequest& request) const {
  if (static_cast<std::size_t>(
          std::max({request.compare_size(), request.success_size(), request.failure_size()})) > kMostTxnOps)
    return Fail(Code::kInvalidArgument, "etcdserver: too many operations in txn request");
  for (const pb::Compare& compare : request.compare()) {
    if (!pb::Compare::CompareResult_IsValid(compare.result()) ||
        !pb::Compare::CompareTarget_IsValid(compare.target()))
      return Fail(Code::kInvalidArgument, "stand-in: a comparison that it does not know");
    if (compare.key().empty()) return Fail(Code::kInvalidArgument, "etcdserver: key is not provided");
  }
  for (const auto* ops : {&request.success(), &request.failure()}) {
    std::set<std::string> put;
    std::vector<const pb::DeleteRangeRequest*> deleted;
    for (const pb::RequestOp& op : *ops) {
      if (op.has_request_txn()) {
        if (const Status good = CheckTxn(op.request_txn()); !good.ok()) return good;
      } else if (op.has_request_range()) {
        if (op.request_range().key().empty())
          return Fail(Code::kInvalidArgument, "etcdserver: key is not provided");
      } else if (op.has_request_delete_range()) {
        if (op.request_delete_range().key().empty())
          return Fail(Code::kInvalidArgument, "etcdserver: key is not provided");
        deleted.push_back(&op.request_delete_range());
      } else if (op.has_request_put()) {
        if (op.request_put().key().empty())
          return Fail(Code::kInvalidArgument, "etcdserver: key is not provided");
        if (!put.insert(op.request_put().key()).second)
          return Fail(Code::kInvalidArgument, "etcdserver: duplicate key given in txn request");
      } else {
        return Fail(Code::kInvalidArgument, "etcdserver: key not found");
      }
    }
    for (const auto* range : deleted) {
      for (const std::string& key : put) {
        if (InRange(key, range->key(), range->range_end()))
          return Fail(Code::kInvalidArgument, "etcdserver: duplicate key given in txn request");
      }
    }
  }
  return {};
}

Status EtcdStore::CheckOps(const pb::TxnRequest& request) const {
  bool holds = true;
  for (const pb::Compare& compare : request.compare()) holds &= Holds(compare, revision_);
  for (const pb::RequestOp& op : holds ? request.success() : request.failure()) {
    Status good;
    if (op.has_request_put()) good = Check(op.request_put());
    if (op.has_request_range()) good = CheckRange(op.request_range());
    if (op.has_request_txn()) good = CheckOps(op.request_txn());
    if (!good.ok()) return good;
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
  if (const Status good = CheckTxn(request); !good.ok()) return good;
  if (const Status good = CheckOps(request); !good.ok()) return good;
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
  if (request.ttl() > kMostTtl) return Fail(Code::kOutOfRange, "etcdserver: too large lease TTL");
  const std::int64_t id = request.id() != 0 ? request.id() : next_lease_++;
  if (leases_.count(id)) return Fail(Code::kFailedPrecondition, "etcdserver: lease already exists");
  leases_[id].ttl = request.ttl();
  leases_[id].due = now + Millis(request.ttl() * 1000);
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
  found->second.due = now + Millis(found->second.ttl * 1000);
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
  response->set_ttl(std::max<std::int64_t>(0, (found->second.due - now).count() / 1000));
  response->set_grantedttl(found->second.ttl);
  if (!request.keys()) return;
  for (const std::string& key : found->second.keys) response->add_keys(key);
}

void EtcdStore::Leases(pb::LeaseLeasesResponse* response) const {
  for (const auto& [id, lease] : leases_) response->add_leases()->set_id(id);
}

bool EtcdStore::Expire(Millis now) {
  std::vector<std::int64_t> over;
  for (const auto& [id, lease] : leases_) {
    if (lease.due <= now) over.push_back(id);
  }
  for (const std::int64_t id : over) Revoke(id);
  return !over.empty();
}

}  // namespace badgerbridge::standins
