// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/upstream_validation.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace badgerbridge::watch_cache {
namespace {

namespace pb = etcdserverpb;

Result<void> CheckKeyValue(const KeyRange& prefix, UpstreamMessage where, std::int64_t revision,
                           const pb::KeyValue& kv) {
  UpstreamError error;
  error.where = where;
  error.key = kv.key();
  error.revision = kv.mod_revision();
  error.expected_revision = revision;
  error.expected_prefix = prefix.begin;
  if (!prefix.Contains(kv.key())) {
    error.code = UpstreamErrorCode::kKeyOutsidePrefix;
    return error;
  }
  if (kv.mod_revision() <= 0) {
    error.code = UpstreamErrorCode::kKeyWithoutRevision;
    return error;
  }
  if (kv.mod_revision() > revision) {
    error.code = UpstreamErrorCode::kRevisionAfterHeader;
    return error;
  }
  return {};
}

}  // namespace

Result<State::Keys> CollectKeys(const KeyRange& prefix, std::int64_t revision,
                                std::vector<pb::KeyValue> kvs) {
  State::Keys keys;
  for (pb::KeyValue& kv : kvs) {
    const Result<void> checked = CheckKeyValue(prefix, UpstreamMessage::kList, revision, kv);
    if (!checked) return checked.error();
    const auto shared = std::make_shared<const pb::KeyValue>(std::move(kv));
    if (!keys.insert(shared).second) {
      UpstreamError error;
      error.code = UpstreamErrorCode::kDuplicateKey;
      error.where = UpstreamMessage::kList;
      error.key = shared->key();
      return error;
    }
  }
  return keys;
}

Result<void> CheckEvents(const KeyRange& prefix, std::int64_t current_revision, std::int64_t revision,
                         const std::vector<pb::Event>& events) {
  std::int64_t min_revision = current_revision + 1;
  for (const pb::Event& event : events) {
    UpstreamError error;
    error.where = UpstreamMessage::kEvent;
    if (event.type() != pb::Event::PUT && event.type() != pb::Event::DELETE) {
      error.code = UpstreamErrorCode::kUnknownEventType;
      return error;
    }
    const Result<void> checked = CheckKeyValue(prefix, UpstreamMessage::kEvent, revision, event.kv());
    if (!checked) return checked.error();
    if (event.kv().mod_revision() < min_revision) {
      error.code = UpstreamErrorCode::kRevisionOutOfOrder;
      error.key = event.kv().key();
      error.revision = event.kv().mod_revision();
      error.expected_revision = min_revision;
      return error;
    }
    min_revision = event.kv().mod_revision();
  }
  return {};
}

bool ContinuesHistory(const CachePosition& position, const State& state, std::uint64_t cluster_id,
                      std::int64_t revision, const State::Keys& keys) {
  if (cluster_id != position.cluster_id || revision < position.revision) return false;
  if (revision == position.revision && keys.size() != state.keys().size()) return false;
  return std::all_of(keys.begin(), keys.end(), [&](const KeyValuePtr& kv) {
    if (kv->mod_revision() > position.revision) return true;
    const KeyValuePtr held = state.Find(kv->key());
    return held && held->mod_revision() == kv->mod_revision();
  });
}

}  // namespace badgerbridge::watch_cache
