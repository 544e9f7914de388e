// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/merged_backlog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace badgerbridge::watch_cache {

// Whether one of the events would replace, in the newest segment, an event that must be delivered.
bool MergedBacklog::WouldReplaceMustDeliver(const std::vector<StoredEventPtr>& events) const {
  if (segments_.empty()) return false;
  const auto& held = segments_.rbegin()->second.by_key;
  return std::any_of(events.begin(), events.end(), [&](const StoredEventPtr& event) {
    const auto found = held.find(event->kv->key());
    return found != held.end() && found->second.event->must_deliver && !event->must_deliver;
  });
}

void MergedBacklog::Add(std::int64_t revision, const std::vector<StoredEventPtr>& events) {
  if (events.empty()) return;
  if (segments_.empty() || WouldReplaceMustDeliver(events)) {
    segments_.emplace(next_id_++, MergedSegment{});
  }
  const auto last = std::prev(segments_.end());
  last->second.revision = revision;
  for (const StoredEventPtr& event : events) AddEvent(last, event);
  // A second pass, because only a complete segment determines which events of the preceding segment block a
  // join.
  for (const StoredEventPtr& event : events) {
    if (event->must_deliver) RecordNewestMustDeliver(last, event->kv->key());
  }
}

void MergedBacklog::AddEvent(Segments::iterator last, const StoredEventPtr& event) {
  auto& held = last->second.by_key;
  const std::string& key = event->kv->key();
  Entry entry{event, event->previous};
  const auto found = held.find(key);
  const bool is_new = found == held.end();
  if (!is_new) {
    entry.previous = found->second.previous;
    held.erase(found);  // cannot be assigned: the map's key is a view into the replaced event
    --size_;
  }
  held.emplace(key, std::move(entry));
  ++size_;
  if (is_new && last != segments_.begin()) {
    const auto before = std::prev(last);
    if (BlocksJoin(before, key)) ++before->second.blocking_events;
  }
}

// Records that the last segment holds the newest event of this key that must be delivered. An older such
// event then no longer blocks the join of its segment.
void MergedBacklog::RecordNewestMustDeliver(Segments::iterator last, const std::string& key) {
  const auto [newest, is_first] = newest_must_deliver_.try_emplace(key, last->first);
  if (is_first || newest->second == last->first) return;
  const auto older = segments_.find(std::exchange(newest->second, last->first));
  if (std::next(older)->second.by_key.count(key)) --older->second.blocking_events;
  JoinWithNextIfUnblocked(older);
}

bool MergedBacklog::BlocksJoin(Segments::const_iterator segment, std::string_view key) const {
  const auto found = segment->second.by_key.find(key);
  if (found == segment->second.by_key.end() || !found->second.event->must_deliver) return false;
  const auto newest = newest_must_deliver_.find(std::string(key));
  return newest != newest_must_deliver_.end() && newest->second == segment->first;
}

void MergedBacklog::RecountBlockingEvents(Segments::iterator segment) {
  segment->second.blocking_events = 0;
  const auto next = std::next(segment);
  if (next == segments_.end()) return;
  for (const auto& [key, entry] : segment->second.by_key) {
    if (next->second.by_key.count(key) && BlocksJoin(segment, key)) ++segment->second.blocking_events;
  }
}

void MergedBacklog::JoinWithNextIfUnblocked(Segments::iterator segment) {
  const auto next = std::next(segment);
  if (next == segments_.end() || segment->second.blocking_events > 0) return;
  for (auto& [key, entry] : segment->second.by_key) {
    const auto [entry_in_next, is_moved] = next->second.by_key.try_emplace(key, entry);
    const auto newest = newest_must_deliver_.find(std::string(key));
    const bool was_newest = newest != newest_must_deliver_.end() && newest->second == segment->first;
    if (is_moved) {
      if (was_newest) newest->second = next->first;
    } else {
      entry_in_next->second.previous = entry.previous;
      --size_;
      if (was_newest) newest_must_deliver_.erase(newest);
    }
  }
  segments_.erase(segment);
  RecountBlockingEvents(next);
  if (next != segments_.begin()) RecountBlockingEvents(std::prev(next));
}

MergedBacklog::Segment MergedBacklog::TakeOldest() {
  auto node = segments_.extract(segments_.begin());
  Segment taken;
  taken.revision = node.mapped().revision;
  size_ -= node.mapped().by_key.size();
  for (auto& [key, entry] : node.mapped().by_key) {
    const auto newest = newest_must_deliver_.find(std::string(key));
    if (newest != newest_must_deliver_.end() && newest->second == node.key())
      newest_must_deliver_.erase(newest);
    taken.entries.push_back(entry);
  }
  // Entries of equal revision are ordered by key, so that the result does not depend on the hash map.
  std::sort(taken.entries.begin(), taken.entries.end(), [](const Entry& left, const Entry& right) {
    if (left.event->revision() != right.event->revision())
      return left.event->revision() < right.event->revision();
    return left.event->kv->key() < right.event->kv->key();
  });
  return taken;
}

}  // namespace badgerbridge::watch_cache
