// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Unsent events of a slow subscriber, merged by key.
///
/// The backlog is a list of segments. A segment holds the newest event of each key and changes the source's
/// state at its beginning into the state at its end. So a subscriber that has applied a complete segment
/// holds the source's state at exactly the segment's revision.
///
/// An event that must be delivered (a deletion, a drain) may be replaced only by a newer event of the same
/// key that must be delivered, too: any other later event of the key begins a new segment, which is sent in a
/// message of its own. Two adjacent segments are joined once no such event blocks it, so there are at most as
/// many segments as keys, plus one.
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

/// The merged backlog of one subscriber.
class MergedBacklog {
 public:
  /// The newest event of a key within a segment.
  struct Entry {
    StoredEventPtr event;  ///< The newest event.
    KeyValuePtr previous;  ///< The key value before the first of the merged events. Null: none.
  };

  /// Events that lead to the source's state at `revision`.
  struct Segment {
    std::int64_t revision = 0;   ///< The revision of the state once the segment is applied.
    std::vector<Entry> entries;  ///< By ascending revision, then by key.
  };

  /// Adds the events of one batch that concern the subscriber. `revision` is the batch's end.
  void Add(std::int64_t revision, const std::vector<StoredEventPtr>& events);

  bool empty() const { return segments_.empty(); }           ///< Whether it holds no event.
  std::size_t size() const { return size_; }                 ///< Number of events held.
  std::size_t segments() const { return segments_.size(); }  ///< Number of segments.

  /// Removes and returns the oldest segment. There must be one.
  Segment TakeOldest();

 private:
  using SegmentId = std::uint64_t;

  struct MergedSegment {
    std::int64_t revision = 0;
    std::unordered_map<std::string_view, Entry> by_key;  // the keys are views into the events
    std::size_t blocking_events = 0;  // events that satisfy BlocksJoin and whose key the next segment has
  };
  using Segments = std::map<SegmentId, MergedSegment>;

  bool WouldReplaceMustDeliver(const std::vector<StoredEventPtr>& events) const;
  void AddEvent(Segments::iterator last, const StoredEventPtr& event);
  void RecordNewestMustDeliver(Segments::iterator last, const std::string& key);
  // Whether the segment holds the newest event of this key that must be delivered. Such an event must not be
  // replaced by one of the next segment.
  bool BlocksJoin(Segments::const_iterator segment, std::string_view key) const;
  void RecountBlockingEvents(Segments::iterator segment);
  void JoinWithNextIfUnblocked(Segments::iterator segment);

  Segments segments_;
  SegmentId next_id_ = 0;
  // By key, the segment with the newest event that must be delivered.
  std::unordered_map<std::string, SegmentId> newest_must_deliver_;
  std::size_t size_ = 0;
};

}  // namespace badgerbridge::watch_cache

#endif  // BADGERBRIDGE_WATCH_CACHE_MERGED_BACKLOG_H_
