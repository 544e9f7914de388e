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

// What a range's keys held at an older revision, where that differs from now; null: nothing.
using Overlay = std::map<std::string_view, KeyValuePtr>;

Overlay RollBack(const Window& window, std::int64_t revision, const KeyRange& range) {
  Overlay overlay;
  for (std::uint64_t at = window.FirstAfter(revision); at < window.end(); ++at) {
    for (const StoredEventPtr& event : window.At(at).events) {
      if (range.Contains(event->kv->key())) overlay.try_emplace(event->kv->key(), event->previous);
    }
  }
  return overlay;
}

struct Bounds {
  State::Keys::const_iterator begin, end;
};

Bounds Find(const State::Keys& keys, const KeyRange& range) {
  const auto begin = keys.lower_bound(range.begin);
  if (range.single_key()) return {begin, keys.upper_bound(range.begin)};
  if (range.unbounded()) return {begin, keys.end()};
  return {begin, range.end <= range.begin ? begin : keys.lower_bound(range.end)};
}

// Calls `each` for the keys of the range in their order, until it returns false.
template <typename Each>
void ForEach(Bounds bounds, const Overlay& overlay, Each each) {
  auto key = bounds.begin;
  for (const auto& [name, old] : overlay) {
    for (; key != bounds.end && (*key)->key().compare(name) < 0; ++key) {
      if (!each(**key)) return;
    }
    if (key != bounds.end && (*key)->key() == name) ++key;
    if (old && !each(*old)) return;
  }
  for (; key != bounds.end; ++key) {
    if (!each(**key)) return;
  }
}

// How many keys the range holds, without a look at each.
std::int64_t Count(const State& state, Bounds bounds, const Overlay& overlay) {
  auto count = static_cast<std::int64_t>(state.keys().rank(bounds.end)) -
               static_cast<std::int64_t>(state.keys().rank(bounds.begin));
  for (const auto& [name, old] : overlay) count += (old != nullptr) - (state.Find(name) != nullptr);
  return count;
}

bool Within(std::int64_t value, std::int64_t min, std::int64_t max) {
  return (min == 0 || value >= min) && (max == 0 || value <= max);
}

bool Selected(const pb::RangeRequest& request, const pb::KeyValue& kv) {
  return Within(kv.mod_revision(), request.min_mod_revision(), request.max_mod_revision()) &&
         Within(kv.create_revision(), request.min_create_revision(), request.max_create_revision());
}

bool Less(pb::RangeRequest::SortTarget target, const pb::KeyValue& a, const pb::KeyValue& b) {
  switch (target) {
    case pb::RangeRequest::VERSION:
      return a.version() < b.version();
    case pb::RangeRequest::CREATE:
      return a.create_revision() < b.create_revision();
    case pb::RangeRequest::MOD:
      return a.mod_revision() < b.mod_revision();
    case pb::RangeRequest::VALUE:
      return a.value() < b.value();
    default:
      return a.key() < b.key();
  }
}

// As the keys are kept. A target without an order is ascending, as in etcd.
bool InKeyOrder(const pb::RangeRequest& request) {
  return request.sort_target() == pb::RangeRequest::KEY && request.sort_order() != pb::RangeRequest::DESCEND;
}

void Sort(const pb::RangeRequest& request, std::vector<const pb::KeyValue*>* found) {
  if (InKeyOrder(request)) return;
  const auto target = request.sort_target();
  const bool descending = request.sort_order() == pb::RangeRequest::DESCEND;
  std::stable_sort(found->begin(), found->end(), [&](const auto* a, const auto* b) {
    return descending ? Less(target, *b, *a) : Less(target, *a, *b);
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
      !pb::RangeRequest::SortTarget_IsValid(request.sort_target()))
    return Error(Code::kInvalidArgument, "etcdserver: invalid sort option");
  return {};
}

Status ReadRange(const State& state, const Window& window, std::int64_t revision,
                 const pb::RangeRequest& request, pb::RangeResponse* response, std::size_t* visited) {
  const KeyRange range{request.key(), request.range_end()};
  Overlay overlay;
  if (request.revision() > 0 && request.revision() != revision) {
    if (request.revision() > revision) return Error(Code::kOutOfRange, kFutureText);
    if (!window.Holds(request.revision())) return Error(Code::kOutOfRange, kCompactedText);
    overlay = RollBack(window, request.revision(), range);
  }
  // As etcd applies a range: the count is of all in it, before bounds on revisions and the limit.
  const Bounds bounds = Find(state.keys(), range);
  response->set_count(Count(state, bounds, overlay));
  if (visited) *visited = 0;
  if (request.count_only()) return {};
  const bool limited = request.limit() > 0 && InKeyOrder(request);
  const auto enough = static_cast<std::size_t>(request.limit()) + 1;  // one more tells that there is more
  std::vector<const pb::KeyValue*> found;
  ForEach(bounds, overlay, [&](const pb::KeyValue& kv) {
    if (visited) ++*visited;
    if (Selected(request, kv)) found.push_back(&kv);
    return !limited || found.size() < enough;
  });
  Sort(request, &found);
  for (const pb::KeyValue* kv : found) {
    if (request.limit() > 0 && response->kvs_size() >= request.limit()) {
      response->set_more(true);
      break;
    }
    pb::KeyValue* out = response->add_kvs();
    *out = *kv;
    if (request.keys_only()) out->clear_value();
  }
  return {};
}

}  // namespace badgerbridge::watch_cache
