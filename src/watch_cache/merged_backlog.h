// SPDX-License-Identifier: Apache-2.0
//
// What a slow subscriber has yet to be sent, merged by key. Pure.
//
// The backlog is a list of segments. A segment takes one who holds the source's state at its beginning to the
// state at its end, by the newest event of each key; so a subscriber that has applied a whole segment holds
// the source's state at exactly the revision that the segment names. An event that must be delivered (a
// deletion, a drain) is the newest of its key in its segment until a newer one of the same key that must be
// delivered, too, is there: a later event of another kind begins a new segment, sent in a message of its own.
// Two segments that no such event keeps apart any longer are joined, so there are never more of them than
// keys, plus one.
#ifndef BADGERBRIDGE_WATCH_CACHE_MERGED_BACKLOG_H_
#define BADGERBRIDGE_WATCH_CACHE_MERGED_BACKLOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "watch_cache/event.h"

namespace badgerbridge::watch_cache {

class MergedBacklog {
 public:
  struct Entry {
    StoredEventPtr event;
    KeyValuePtr previous;  // before the first of the events that were merged into this one
  };
  struct Segment {
    std::int64_t revision = 0;  // the state's once it is applied
    std::vector<Entry> entries;
  };

  // The events of one batch which concern the subscriber; the batch's end is `revision`.
  void Add(std::int64_t revision, const std::vector<StoredEventPtr>& events);
  bool empty() const { return segments_.empty(); }
  std::size_t size() const { return size_; }  // events held
  std::size_t segments() const { return segments_.size(); }
  // Removes the oldest segment; its events are in the order of their revisions.
  Segment Take();

 private:
  using SegmentId = std::uint64_t;
  struct Merged {
    std::int64_t revision = 0;
    std::unordered_map<std::string_view, Entry> by_key;  // the view is into the event
    std::size_t kept_apart = 0;  // events that must be delivered which the next segment would replace
  };
  using Segments = std::map<SegmentId, Merged>;

  bool WouldHide(const std::vector<StoredEventPtr>& events) const;
  void AddOne(Segments::iterator last, const StoredEventPtr& event);
  void NoteNewestToDeliver(Segments::iterator last, const std::string& key);
  // The event that must be delivered of this key in `segment` and that no newer one stands in for.
  bool KeepsApart(Segments::const_iterator segment, std::string_view key) const;
  void CountKeptApart(Segments::iterator segment);
  // Joins a segment with the next if nothing keeps them apart.
  void JoinIfFree(Segments::iterator segment);

  Segments segments_;
  SegmentId next_id_ = 0;
  // The segment with the newest event of a key that must be delivered.
  std::unordered_map<std::string, SegmentId> newest_to_deliver_;
  std::size_t size_ = 0;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_MERGED_BACKLOG_H_
