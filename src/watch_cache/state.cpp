// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/state.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "watch_cache/key_range.h"
#include "watch_cache/window.h"

namespace badgerbridge::watch_cache {
namespace {

namespace pb = etcdserverpb;
using etcd::Code;
using etcd::Ending;
using etcd::Status;

Status Error(Code code, const char* text) { return {code, Ending::kStatus, text}; }

// The key values at an older revision of the keys that have changed since. Null: the key was absent.
using Overlay = std::map<std::string_view, KeyValuePtr>;

Overlay RollBack(const Window& window, std::int64_t revision, const KeyRange& range) {
  Overlay overlay;
  for (std::uint64_t sequence = window.FirstAfter(revision); sequence < window.end(); ++sequence) {
    for (const StoredEventPtr& event : window.At(sequence).events) {
      if (range.Contains(event->kv->key())) overlay.try_emplace(event->kv->key(), event->previous);
    }
  }
  return overlay;
}

struct Bounds {
  State::Keys::const_iterator begin;
  State::Keys::const_iterator end;
};

Bounds BoundsOf(const State::Keys& keys, const KeyRange& range) {
  const auto begin = keys.lower_bound(range.begin);
  if (range.single_key()) return {begin, keys.upper_bound(range.begin)};
  if (range.unbounded()) return {begin, keys.end()};
  return {begin, range.end <= range.begin ? begin : keys.lower_bound(range.end)};
}

// Calls `visit` for the key values of the range in the order of keys, until it returns false.
template <typename Visitor>
void VisitInOrder(Bounds bounds, const Overlay& overlay, Visitor visit) {
  auto current = bounds.begin;
  for (const auto& [key, old] : overlay) {
    for (; current != bounds.end && (*current)->key().compare(key) < 0; ++current) {
      if (!visit(**current)) return;
    }
    if (current != bounds.end && (*current)->key() == key) ++current;
    if (old && !visit(*old)) return;
  }
  for (; current != bounds.end; ++current) {
    if (!visit(**current)) return;
  }
}

// Counts the keys of the range by their ranks, without visiting each.
std::int64_t CountKeys(const State& state, Bounds bounds, const Overlay& overlay) {
  auto count = static_cast<std::int64_t>(state.keys().rank(bounds.end)) -
               static_cast<std::int64_t>(state.keys().rank(bounds.begin));
  for (const auto& [key, old] : overlay) {
    const int held_then = old != nullptr ? 1 : 0;
    const int held_now = state.Find(key) != nullptr ? 1 : 0;
    count += held_then - held_now;
  }
  return count;
}

// A bound of 0 does not apply.
bool IsWithin(std::int64_t value, std::int64_t min, std::int64_t max) {
  return (min == 0 || value >= min) && (max == 0 || value <= max);
}

bool IsSelected(const pb::RangeRequest& request, const pb::KeyValue& kv) {
  return IsWithin(kv.mod_revision(), request.min_mod_revision(), request.max_mod_revision()) &&
         IsWithin(kv.create_revision(), request.min_create_revision(), request.max_create_revision());
}

bool IsBefore(pb::RangeRequest::SortTarget target, const pb::KeyValue& left, const pb::KeyValue& right) {
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

// Whether the result is in the order in which the keys are stored. Without a sort order, etcd sorts
// ascending.
bool IsInKeyOrder(const pb::RangeRequest& request) {
  return request.sort_target() == pb::RangeRequest::KEY && request.sort_order() != pb::RangeRequest::DESCEND;
}

void SortKeyValues(const pb::RangeRequest& request, std::vector<const pb::KeyValue*>* found) {
  if (IsInKeyOrder(request)) return;
  const auto target = request.sort_target();
  const bool descending = request.sort_order() == pb::RangeRequest::DESCEND;
  std::stable_sort(found->begin(), found->end(), [&](const auto* left, const auto* right) {
    return descending ? IsBefore(target, *right, *left) : IsBefore(target, *left, *right);
  });
}

}  // namespace

KeyValuePtr State::Find(std::string_view key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : *found;
}

void State::Apply(const StoredEvent& event) {
  const auto found = keys_.find(event.kv->key());
  if (found != keys_.end()) bytes_ -= (*found)->ByteSizeLong();
  if (event.deletion) {
    if (found != keys_.end()) keys_.erase(found);
    return;
  }
  bytes_ += event.kv->ByteSizeLong();
  if (found != keys_.end()) {
    keys_.replace(found, event.kv);
  } else {
    keys_.insert(event.kv);
  }
}

void State::Replace(Keys keys) {
  keys_ = std::move(keys);
  bytes_ = 0;
  for (const KeyValuePtr& kv : keys_) bytes_ += kv->ByteSizeLong();
}

Status CheckRange(const pb::RangeRequest& request) {
  if (request.key().empty()) return Error(Code::kInvalidArgument, "etcdserver: key is not provided");
  if (!pb::RangeRequest::SortOrder_IsValid(request.sort_order()) ||
      !pb::RangeRequest::SortTarget_IsValid(request.sort_target())) {
    return Error(Code::kInvalidArgument, "etcdserver: invalid sort option");
  }
  return {};
}

namespace {

// The key values that the request selects, in its order. With a limit, possibly one more than the limit,
// which shows that there are more.
std::vector<const pb::KeyValue*> SelectKeyValues(const pb::RangeRequest& request, Bounds bounds,
                                                 const Overlay& overlay, std::size_t* visited_keys) {
  const bool may_stop_early = request.limit() > 0 && IsInKeyOrder(request);
  const auto max_needed = static_cast<std::size_t>(request.limit()) + 1;
  std::vector<const pb::KeyValue*> selected;
  VisitInOrder(bounds, overlay, [&](const pb::KeyValue& kv) {
    ++*visited_keys;
    if (IsSelected(request, kv)) selected.push_back(&kv);
    return !may_stop_early || selected.size() < max_needed;
  });
  SortKeyValues(request, &selected);
  return selected;
}

}  // namespace

RangeResult ReadRange(const State& state, const Window& window, std::int64_t revision,
                      const pb::RangeRequest& request) {
  RangeResult result;
  const KeyRange range{request.key(), request.range_end()};
  Overlay overlay;
  if (request.revision() > 0 && request.revision() != revision) {
    if (request.revision() > revision) {
      result.status = Error(Code::kOutOfRange, kFutureText);
      return result;
    }
    if (!window.Holds(request.revision())) {
      result.status = Error(Code::kOutOfRange, kCompactedText);
      return result;
    }
    overlay = RollBack(window, request.revision(), range);
  }
  // As in etcd, the count includes all keys of the range, whatever the revision filters and the limit select.
  const Bounds bounds = BoundsOf(state.keys(), range);
  result.response.set_count(CountKeys(state, bounds, overlay));
  if (request.count_only()) return result;
  for (const pb::KeyValue* kv : SelectKeyValues(request, bounds, overlay, &result.visited_keys)) {
    if (request.limit() > 0 && result.response.kvs_size() >= request.limit()) {
      result.response.set_more(true);
      break;
    }
    pb::KeyValue* added = result.response.add_kvs();
    *added = *kv;
    if (request.keys_only()) added->clear_value();
  }
  return result;
}

}  // namespace badgerbridge::watch_cache
