// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/subscribers.h"

#include <algorithm>
#include <utility>

#include "watch_cache/actions.h"
#include "watch_cache/state.h"

namespace badgerbridge::watch_cache {

namespace pb = etcdserverpb;

// ---- adding and removing --------------------------------------------------------------------------------

Subscribers::Subscriber Subscribers::MakeSubscriber(const pb::WatchCreateRequest& request) {
  Subscriber subscriber;
  subscriber.range = {request.key(), request.range_end()};
  for (const int filter : request.filters()) {
    if (filter == pb::WatchCreateRequest::NOPUT) subscriber.wants_puts = false;
    if (filter == pb::WatchCreateRequest::NODELETE) subscriber.wants_deletions = false;
  }
  subscriber.wants_previous = request.prev_kv();
  subscriber.accepts_fragments = request.fragment();
  subscriber.progress_notify = request.progress_notify();
  return subscriber;
}

void Subscribers::Add(Time now, SubscriberId id, const pb::WatchCreateRequest& request, std::string rejection,
                      const CachePosition& position, Actions* actions) {
  Subscriber& added = subscribers_[id];
  added = MakeSubscriber(request);
  added.rejection = std::move(rejection);
  added.last_message = now;
  by_range_[added.range].insert(id);
  if (added.progress_notify) ScheduleNotification(id, &added, now + settings_.progress_interval);

  const bool starts_now = request.start_revision() <= 0;
  added.next_revision = starts_now ? position.revision + 1 : request.start_revision();
  added.cursor = window_.FirstAfter(added.next_revision - 1);
  Wake(id, &added, actions);
  if (!added.rejection.empty()) return;
  if (added.next_revision <= window_.floor()) {
    CancelAsCompacted(id, &added, window_.floor());
    return;
  }
  if (!starts_now) ++resumed_count_;
  if (IsLagging(added)) SwitchToBacklog(id, &added, position);
}

void Subscribers::Remove(SubscriberId id) {
  const auto found = subscribers_.find(id);
  if (found == subscribers_.end()) return;
  Subscriber& subscriber = found->second;
  ClearResponse(&subscriber);
  DropBacklog(id, &subscriber);
  catching_up_.erase(id);
  const auto same_range = by_range_.find(subscriber.range);
  same_range->second.erase(id);
  if (same_range->second.empty()) by_range_.erase(same_range);
  if (subscriber.progress_notify) notifications_.erase({subscriber.notification_due, id});
  subscribers_.erase(found);
}

void Subscribers::End(std::size_t count, const etcd::Status& status, Actions* actions) {
  for (; count > 0 && !subscribers_.empty(); --count) {
    const SubscriberId id = subscribers_.begin()->first;
    Append<WatchCache::EndSubscriber>(actions, id, status);
    Remove(id);
  }
}

// ---- waking ---------------------------------------------------------------------------------------------

void Subscribers::Wake(SubscriberId id, Subscriber* subscriber, Actions* actions) {
  if (subscriber->awake) return;
  subscriber->awake = true;
  if (!subscriber->backlog) catching_up_.insert(id);
  Append<WatchCache::WakeSubscriber>(actions, id);
}

void Subscribers::RequestProgress(SubscriberId id, Actions* actions) {
  const auto found = subscribers_.find(id);
  if (found == subscribers_.end()) return;
  found->second.progress_due = true;
  if (!found->second.awake) found->second.cursor = window_.end();
  Wake(id, &found->second, actions);
}

void Subscribers::WakeForProgress(Actions* actions) {
  for (const auto& [id, subscriber] : subscribers_) {
    if (subscriber.progress_due) RequestProgress(id, actions);
  }
}

void Subscribers::ScheduleNotification(SubscriberId id, Subscriber* subscriber, Time due) {
  subscriber->notification_due = due;
  notifications_.insert({due, id});
}

void Subscribers::Tick(Time now, Actions* actions) {
  while (!notifications_.empty() && notifications_.begin()->due <= now) {
    const SubscriberId id = notifications_.begin()->subscriber;
    notifications_.erase(notifications_.begin());
    Subscriber& subscriber = subscribers_.at(id);
    // A message sent meanwhile postpones the notification.
    const Time due = subscriber.last_message + settings_.progress_interval;
    if (due > now) {
      ScheduleNotification(id, &subscriber, due);
      continue;
    }
    ScheduleNotification(id, &subscriber, now + settings_.progress_interval);
    RequestProgress(id, actions);
  }
}

std::optional<Time> Subscribers::NextWake() const {
  if (notifications_.empty()) return std::nullopt;
  return notifications_.begin()->due;
}

// ---- new events -----------------------------------------------------------------------------------------

bool Subscribers::IsWanted(const Subscriber& subscriber, const StoredEvent& event) {
  const bool passes_filter = event.deletion ? subscriber.wants_deletions : subscriber.wants_puts;
  return event.revision() >= subscriber.next_revision && passes_filter &&
         subscriber.range.Contains(event.kv->key());
}

std::vector<StoredEventPtr> Subscribers::WantedEvents(const Subscriber& subscriber, const Batch& batch) {
  std::vector<StoredEventPtr> wanted;
  for (const StoredEventPtr& event : batch.events) {
    if (IsWanted(subscriber, *event)) wanted.push_back(event);
  }
  return wanted;
}

void Subscribers::BatchAppended(const CachePosition& position, Actions* actions) {
  NotifySubscribers(window_.end() - 1, position, actions);
  std::vector<SubscriberId> lagging;
  for (const SubscriberId id : catching_up_) {
    if (IsLagging(subscribers_.at(id))) lagging.push_back(id);
  }
  for (const SubscriberId id : lagging) SwitchToBacklog(id, &subscribers_.at(id), position);
}

// Notifies the subscribers whose range contains a key of the batch with this sequence number.
void Subscribers::NotifySubscribers(std::uint64_t sequence, const CachePosition& position, Actions* actions) {
  const Batch& batch = window_.At(sequence);
  for (const auto& [range, ids] : by_range_) {
    const bool is_affected = std::any_of(
        batch.events.begin(), batch.events.end(),
        [&range = range](const StoredEventPtr& event) { return range.Contains(event->kv->key()); });
    if (!is_affected) continue;
    for (const SubscriberId id : ids) {
      Subscriber& subscriber = subscribers_.at(id);
      if (!subscriber.awake) {
        subscriber.cursor = sequence;
        Wake(id, &subscriber, actions);
      } else if (subscriber.backlog) {
        AddToBacklog(id, &subscriber, batch, position);
      }
    }
  }
}

bool Subscribers::IsLagging(const Subscriber& subscriber) const {
  const std::uint64_t oldest_needed = subscriber.cursor - (subscriber.batch ? 1 : 0);
  return oldest_needed < window_.FirstToKeep() ||
         window_.BytesFrom(subscriber.cursor) > settings_.max_backlog_bytes;
}

// ---- slow subscribers -----------------------------------------------------------------------------------

// Moves the subscriber's pending events to a merged backlog, so that it no longer needs the window.
void Subscribers::SwitchToBacklog(SubscriberId id, Subscriber* subscriber, const CachePosition& position) {
  catching_up_.erase(id);
  if (subscriber->compacted != 0 || !subscriber->rejection.empty()) return;
  if (subscriber->batch) DetachFromBatch(subscriber);
  subscriber->backlog = std::make_unique<MergedBacklog>();
  slow_.insert(id);
  std::uint64_t sequence = subscriber->cursor;
  for (; sequence < window_.end() && subscriber->backlog; ++sequence) {
    AddToBacklog(id, subscriber, window_.At(sequence), position);
  }
}

// Converts the unsent events of the current batch to merged events.
void Subscribers::DetachFromBatch(Subscriber* subscriber) {
  std::vector<MergedBacklog::Entry> rest;
  for (;;) {
    PendingEvent next = NextEvent(subscriber);
    if (next.event == nullptr) break;
    rest.push_back({subscriber->batch->events[subscriber->sent_events], std::move(next.previous)});
    ++subscriber->sent_events;
  }
  ClearResponse(subscriber);
  subscriber->merged = std::move(rest);
}

void Subscribers::AddToBacklog(SubscriberId id, Subscriber* subscriber, const Batch& batch,
                               const CachePosition& position) {
  subscriber->backlog->Add(batch.to, WantedEvents(*subscriber, batch));
  RecountMergedEvents(subscriber);
  if (subscriber->counted_events > settings_.max_merged_events) {
    CancelAsCompacted(id, subscriber, position.revision);
  }
}

void Subscribers::RecountMergedEvents(Subscriber* subscriber) {
  std::size_t held = subscriber->merged.size();
  if (subscriber->backlog) held += subscriber->backlog->size();
  merged_event_count_ += held - subscriber->counted_events;
  subscriber->counted_events = held;
}

void Subscribers::DropBacklog(SubscriberId id, Subscriber* subscriber) {
  subscriber->backlog.reset();
  slow_.erase(id);
  RecountMergedEvents(subscriber);
}

void Subscribers::CancelAsCompacted(SubscriberId id, Subscriber* subscriber, std::int64_t compact_revision) {
  ClearResponse(subscriber);
  DropBacklog(id, subscriber);
  catching_up_.erase(id);
  subscriber->compacted = compact_revision;
  ++compacted_count_;
}

void Subscribers::CancelAllAsCompacted(std::int64_t revision, Actions* actions) {
  for (auto& [id, subscriber] : subscribers_) {
    subscriber.cursor = window_.end();
    const bool is_canceled = subscriber.compacted != 0 || !subscriber.rejection.empty();
    if (subscriber.next_revision > revision || is_canceled) continue;
    CancelAsCompacted(id, &subscriber, revision);
    Wake(id, &subscriber, actions);
  }
}

// ---- messages -------------------------------------------------------------------------------------------

std::optional<pb::WatchResponse> Subscribers::NextMessage(Time now, SubscriberId id, std::size_t max_bytes,
                                                          const CachePosition& position,
                                                          bool may_report_progress) {
  const auto found = subscribers_.find(id);
  if (found == subscribers_.end()) return std::nullopt;
  Subscriber& subscriber = found->second;
  if (!subscriber.created || !subscriber.rejection.empty()) return CreatedMessage(id, &subscriber, position);

  const bool is_sending = subscriber.batch || !subscriber.merged.empty();
  const bool has_events = subscriber.compacted == 0 && (is_sending || LoadNextResponse(id, &subscriber));
  if (subscriber.compacted != 0) return CompactedMessage(id, subscriber, position);
  if (has_events) {
    pb::WatchResponse response = EmptyMessage(position);
    response.mutable_header()->set_revision(subscriber.sending_revision);
    AppendEvents(&subscriber, max_bytes, &response);
    RecountMergedEvents(&subscriber);
    subscriber.last_message = now;
    return response;
  }
  const bool has_reached_start = subscriber.next_revision <= position.revision + 1;
  if (subscriber.progress_due && may_report_progress && has_reached_start) {
    subscriber.progress_due = false;
    subscriber.last_message = now;
    return EmptyMessage(position);
  }
  subscriber.awake = false;
  catching_up_.erase(id);
  return std::nullopt;
}

pb::WatchResponse Subscribers::EmptyMessage(const CachePosition& position) const {
  pb::WatchResponse response;
  response.mutable_header()->set_cluster_id(position.cluster_id);
  response.mutable_header()->set_member_id(settings_.member_id);
  response.mutable_header()->set_revision(position.revision);
  return response;
}

// The first message, which is also the last of a rejected watch.
pb::WatchResponse Subscribers::CreatedMessage(SubscriberId id, Subscriber* subscriber,
                                              const CachePosition& position) {
  pb::WatchResponse response = EmptyMessage(position);
  subscriber->created = true;
  response.set_created(true);
  if (subscriber->rejection.empty()) return response;
  response.set_canceled(true);
  response.set_cancel_reason(subscriber->rejection);
  Remove(id);
  return response;
}

pb::WatchResponse Subscribers::CompactedMessage(SubscriberId id, const Subscriber& subscriber,
                                                const CachePosition& position) {
  pb::WatchResponse response = EmptyMessage(position);
  response.set_canceled(true);
  response.set_compact_revision(subscriber.compacted);
  response.set_cancel_reason(kCompactedText);
  Remove(id);
  return response;
}

// Loads the next response that has events. Returns false if there is none.
bool Subscribers::LoadNextResponse(SubscriberId id, Subscriber* subscriber) {
  if (subscriber->backlog) {
    if (!subscriber->backlog->empty()) {
      MergedBacklog::Segment segment = subscriber->backlog->TakeOldest();
      subscriber->merged = std::move(segment.entries);
      subscriber->sending_revision = segment.revision;
      return true;
    }
    // The subscriber has caught up.
    DropBacklog(id, subscriber);
    subscriber->cursor = window_.end();
    catching_up_.insert(id);
  }
  while (subscriber->cursor < window_.end()) {
    subscriber->batch = window_.Share(subscriber->cursor);
    ++subscriber->cursor;
    subscriber->sending_revision = subscriber->batch->to;
    if (NextEvent(subscriber).event != nullptr) return true;
    ClearResponse(subscriber);
  }
  return false;
}

// The next event of the current response. Skips events that the subscriber does not want.
Subscribers::PendingEvent Subscribers::NextEvent(Subscriber* subscriber) {
  if (!subscriber->batch) {
    if (subscriber->sent_events == subscriber->merged.size()) return {};
    const MergedBacklog::Entry& entry = subscriber->merged[subscriber->sent_events];
    return {entry.event.get(), entry.previous};
  }
  const std::vector<StoredEventPtr>& events = subscriber->batch->events;
  while (subscriber->sent_events < events.size() &&
         !IsWanted(*subscriber, *events[subscriber->sent_events])) {
    ++subscriber->sent_events;
  }
  if (subscriber->sent_events == events.size()) return {};
  const StoredEvent& event = *events[subscriber->sent_events];
  return {&event, event.previous};
}

// Appends the unsent events of the current response, or as many as a fragment may hold.
void Subscribers::AppendEvents(Subscriber* subscriber, std::size_t max_bytes, pb::WatchResponse* response) {
  std::size_t bytes = 0;
  for (;;) {
    PendingEvent next = NextEvent(subscriber);
    if (next.event == nullptr) break;
    if (!subscriber->wants_previous) next.previous.reset();
    const std::size_t size = next.event->bytes + (next.previous ? next.previous->ByteSizeLong() : 0);
    if (subscriber->accepts_fragments && bytes > 0 && bytes + size > max_bytes) {
      response->set_fragment(true);
      return;
    }
    bytes += size;
    pb::Event* event = response->add_events();
    event->set_type(next.event->deletion ? pb::Event::DELETE : pb::Event::PUT);
    *event->mutable_kv() = *next.event->kv;
    if (next.previous) *event->mutable_prev_kv() = *next.previous;
    ++subscriber->sent_events;
  }
  ClearResponse(subscriber);
}

void Subscribers::ClearResponse(Subscriber* subscriber) {
  subscriber->batch.reset();
  subscriber->merged.clear();
  subscriber->merged.shrink_to_fit();
  subscriber->sent_events = 0;
}

}  // namespace badgerbridge::watch_cache
