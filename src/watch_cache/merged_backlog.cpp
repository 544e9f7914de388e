// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/merged_backlog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace badgerbridge::watch_cache {

// Whether the newest segment holds an event that must be delivered and that one of these would replace.
bool MergedBacklog::WouldHide(const std::vector<StoredEventPtr>& events) const {
  if (segments_.empty()) return false;
  const auto& held = segments_.rbegin()->second.by_key;
  return std::any_of(events.begin(), events.end(), [&](const StoredEventPtr& event) {
    const auto found = held.find(event->kv->key());
    return found != held.end() && found->second.event->must_deliver && !event->must_deliver;
  });
}

void MergedBacklog::Add(std::int64_t revision, const std::vector<StoredEventPtr>& events) {
  if (events.empty()) return;
  if (segments_.empty() || WouldHide(events)) segments_.emplace(next_id_++, Merged{});
  const auto last = std::prev(segments_.end());
  last->second.revision = revision;
  for (const StoredEventPtr& event : events) AddOne(last, event);
  // Only now that the segment has all of the batch: what must be kept apart from it is known.
  for (const StoredEventPtr& event : events) {
    if (event->must_deliver) NoteNewestToDeliver(last, event->kv->key());
  }
}

void MergedBacklog::AddOne(Segments::iterator last, const StoredEventPtr& event) {
  auto& held = last->second.by_key;
  const std::string& key = event->kv->key();
  Entry entry{event, event->previous};
  const auto found = held.find(key);
  const bool is_new = found == held.end();
  if (!is_new) {
    entry.previous = found->second.previous;
    held.erase(found);  // its key is a view into the event that goes
    --size_;
  }
  held.emplace(key, std::move(entry));
  ++size_;
  if (is_new && last != segments_.begin()) {
    const auto before = std::prev(last);
    if (KeepsApart(before, key)) ++before->second.kept_apart;
  }
}

// What must be delivered of this key is in the last segment; an older segment need not be kept for it.
void MergedBacklog::NoteNewestToDeliver(Segments::iterator last, const std::string& key) {
  const auto [newest, first] = newest_to_deliver_.try_emplace(key, last->first);
  if (first || newest->second == last->first) return;
  const auto older = segments_.find(std::exchange(newest->second, last->first));
  if (std::next(older)->second.by_key.count(key)) --older->second.kept_apart;
  JoinIfFree(older);
}

bool MergedBacklog::KeepsApart(Segments::const_iterator segment, std::string_view key) const {
  const auto found = segment->second.by_key.find(key);
  if (found == segment->second.by_key.end() || !found->second.event->must_deliver) return false;
  const auto newest = newest_to_deliver_.find(std::string(key));
  return newest != newest_to_deliver_.end() && newest->second == segment->first;
}

void MergedBacklog::CountKeptApart(Segments::iterator segment) {
  segment->second.kept_apart = 0;
  const auto next = std::next(segment);
  if (next == segments_.end()) return;
  for (const auto& [key, entry] : segment->second.by_key) {
    if (next->second.by_key.count(key) && KeepsApart(segment, key)) ++segment->second.kept_apart;
  }
}

void MergedBacklog::JoinIfFree(Segments::iterator segment) {
  const auto next = std::next(segment);
  if (next == segments_.end() || segment->second.kept_apart > 0) return;
  for (auto& [key, entry] : segment->second.by_key) {
    const auto [place, moved] = next->second.by_key.try_emplace(key, entry);
    const auto newest = newest_to_deliver_.find(std::string(key));
    const bool was_newest = newest != newest_to_deliver_.end() && newest->second == segment->first;
    if (moved) {
      if (was_newest) newest->second = next->first;
    } else {
      place->second.previous = entry.previous;
      --size_;
      if (was_newest) newest_to_deliver_.erase(newest);
    }
  }
  segments_.erase(segment);
  CountKeptApart(next);
  if (next != segments_.begin()) CountKeptApart(std::prev(next));
}

MergedBacklog::Segment MergedBacklog::Take() {
  auto node = segments_.extract(segments_.begin());
  Segment taken;
  taken.revision = node.mapped().revision;
  size_ -= node.mapped().by_key.size();
  for (auto& [key, entry] : node.mapped().by_key) {
    const auto newest = newest_to_deliver_.find(std::string(key));
    if (newest != newest_to_deliver_.end() && newest->second == node.key()) newest_to_deliver_.erase(newest);
    taken.entries.push_back(entry);
  }
  std::sort(taken.entries.begin(), taken.entries.end(), [](const Entry& a, const Entry& b) {
    if (a.event->revision() != b.event->revision()) return a.event->revision() < b.event->revision();
    return a.event->kv->key() < b.event->kv->key();
  });
  return taken;
}

}  // namespace badgerbridge::watch_cache
