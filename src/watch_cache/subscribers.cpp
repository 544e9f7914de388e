// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/subscribers.h"

#include <algorithm>
#include <utility>

#include "watch_cache/actions.h"

namespace badgerbridge::watch_cache {

namespace pb = etcdserverpb;

void Subscribers::Add(Time now, SubscriberId id, const pb::WatchCreateRequest& request, std::string refusal,
                      const CachePosition& position, Actions* actions) {
  Subscriber& added = subscribers_[id];
  added.range = {request.key(), request.range_end()};
  for (const int filter : request.filters()) {
    if (filter == pb::WatchCreateRequest::NOPUT) added.puts = false;
    if (filter == pb::WatchCreateRequest::NODELETE) added.deletions = false;
  }
  added.prev_kv = request.prev_kv();
  added.fragment = request.fragment();
  added.progress_notify = request.progress_notify();
  added.refusal = std::move(refusal);
  added.last_message = now;
  by_range_[added.range].insert(id);
  if (added.progress_notify) Notify(id, &added, now + settings_.progress_interval);

  const bool from_now = request.start_revision() <= 0;
  added.next_revision = from_now ? position.revision + 1 : request.start_revision();
  added.cursor = window_.FirstAfter(added.next_revision - 1);
  Wake(id, &added, actions);
  if (!added.refusal.empty()) return;
  if (added.next_revision <= window_.floor()) {
    TellToReread(id, &added, window_.floor());
  } else {
    resumed_ += !from_now;
    if (Lags(added)) Merge(id, &added, position);
  }
}

void Subscribers::Remove(SubscriberId id) {
  const auto found = subscribers_.find(id);
  if (found == subscribers_.end()) return;
  Subscriber& subscriber = found->second;
  FinishSending(&subscriber);
  DropBacklog(id, &subscriber);
  catching_up_.erase(id);
  const auto same_range = by_range_.find(subscriber.range);
  same_range->second.erase(id);
  if (same_range->second.empty()) by_range_.erase(same_range);
  if (subscriber.progress_notify) notify_.erase({subscriber.notify_at, id});
  subscribers_.erase(found);
}

void Subscribers::Wake(SubscriberId id, Subscriber* subscriber, Actions* actions) {
  if (subscriber->awake) return;
  subscriber->awake = true;
  if (!subscriber->backlog) catching_up_.insert(id);
  Append<Relay::WakeSubscriber>(actions, id);
}

void Subscribers::Notify(SubscriberId id, Subscriber* subscriber, Time at) {
  subscriber->notify_at = at;
  notify_.emplace(at, id);
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

bool Subscribers::Wants(const Subscriber& subscriber, const StoredEvent& event) {
  return event.revision() >= subscriber.next_revision &&
         (event.deletion ? subscriber.deletions : subscriber.puts) &&
         subscriber.range.Contains(event.kv->key());
}

std::vector<StoredEventPtr> Subscribers::Wanted(const Subscriber& subscriber, const Batch& batch) {
  std::vector<StoredEventPtr> wanted;
  for (const StoredEventPtr& event : batch.events) {
    if (Wants(subscriber, *event)) wanted.push_back(event);
  }
  return wanted;
}

bool Subscribers::Lags(const Subscriber& subscriber) const {
  const std::uint64_t oldest = subscriber.cursor - (subscriber.batch ? 1 : 0);
  return oldest < window_.FirstToKeep() || window_.BytesFrom(subscriber.cursor) > settings_.backlog_bytes;
}

void Subscribers::BatchAppended(const CachePosition& position, Actions* actions) {
  const std::uint64_t newest = window_.end() - 1;
  const Batch& batch = window_.At(newest);
  for (const auto& [range, ids] : by_range_) {
    const bool concerned = std::any_of(
        batch.events.begin(), batch.events.end(),
        [&range = range](const StoredEventPtr& event) { return range.Contains(event->kv->key()); });
    if (!concerned) continue;
    for (const SubscriberId id : ids) {
      Subscriber& subscriber = subscribers_.at(id);
      if (!subscriber.awake) {
        subscriber.cursor = newest;
        Wake(id, &subscriber, actions);
      } else if (subscriber.backlog) {
        AddToBacklog(id, &subscriber, batch, position);
      }
    }
  }
  std::vector<SubscriberId> lagging;
  for (const SubscriberId id : catching_up_) {
    if (Lags(subscribers_.at(id))) lagging.push_back(id);
  }
  for (const SubscriberId id : lagging) Merge(id, &subscribers_.at(id), position);
}

// From here on it needs nothing in the window.
void Subscribers::Merge(SubscriberId id, Subscriber* subscriber, const CachePosition& position) {
  catching_up_.erase(id);
  if (subscriber->compacted != 0 || !subscriber->refusal.empty()) return;
  if (subscriber->batch) {  // the rest of what is being sent
    KeyValuePtr previous;
    std::vector<MergedBacklog::Entry> rest;
    while (NextToSend(subscriber, &previous) != nullptr) {
      rest.push_back({subscriber->batch->events[subscriber->sent], previous});
      ++subscriber->sent;
    }
    FinishSending(subscriber);
    subscriber->merged = std::move(rest);
  }
  subscriber->backlog = std::make_unique<MergedBacklog>();
  slow_.insert(id);
  for (std::uint64_t at = subscriber->cursor; at < window_.end() && subscriber->backlog; ++at)
    AddToBacklog(id, subscriber, window_.At(at), position);
}

void Subscribers::AddToBacklog(SubscriberId id, Subscriber* subscriber, const Batch& batch,
                               const CachePosition& position) {
  subscriber->backlog->Add(batch.to, Wanted(*subscriber, batch));
  CountMerged(subscriber);
  if (subscriber->counted > settings_.merged_events) TellToReread(id, subscriber, position.revision);
}

void Subscribers::CountMerged(Subscriber* subscriber) {
  const std::size_t held =
      subscriber->merged.size() + (subscriber->backlog ? subscriber->backlog->size() : 0);
  merged_events_ += held - subscriber->counted;
  subscriber->counted = held;
}

void Subscribers::TellToReread(SubscriberId id, Subscriber* subscriber, std::int64_t compacted) {
  FinishSending(subscriber);
  DropBacklog(id, subscriber);
  catching_up_.erase(id);
  subscriber->compacted = compacted;
  ++told_to_reread_;
}

void Subscribers::TellAllToReread(std::int64_t revision, Actions* actions) {
  for (auto& [id, subscriber] : subscribers_) {
    subscriber.cursor = window_.end();
    if (subscriber.next_revision > revision || subscriber.compacted != 0 || !subscriber.refusal.empty())
      continue;
    TellToReread(id, &subscriber, revision);
    Wake(id, &subscriber, actions);
  }
}

void Subscribers::DropBacklog(SubscriberId id, Subscriber* subscriber) {
  subscriber->backlog.reset();
  slow_.erase(id);
  CountMerged(subscriber);
}

void Subscribers::FinishSending(Subscriber* subscriber) {
  subscriber->batch.reset();
  subscriber->merged.clear();
  subscriber->merged.shrink_to_fit();
  subscriber->sent = 0;
}

// Finds the next response with events; false if there is none.
bool Subscribers::Load(SubscriberId id, Subscriber* subscriber) {
  if (subscriber->backlog) {
    if (!subscriber->backlog->empty()) {
      MergedBacklog::Segment segment = subscriber->backlog->Take();
      subscriber->merged = std::move(segment.entries);
      subscriber->sending_revision = segment.revision;
      return true;
    }
    DropBacklog(id, subscriber);  // it has caught up
    subscriber->cursor = window_.end();
    catching_up_.insert(id);
  }
  KeyValuePtr previous;
  while (subscriber->cursor < window_.end()) {
    const BatchPtr& batch = window_.Share(subscriber->cursor++);
    subscriber->batch = batch;
    subscriber->sending_revision = batch->to;
    if (NextToSend(subscriber, &previous) != nullptr) return true;
    FinishSending(subscriber);
  }
  return false;
}

const StoredEvent* Subscribers::NextToSend(Subscriber* subscriber, KeyValuePtr* previous) {
  if (!subscriber->batch) {
    if (subscriber->sent == subscriber->merged.size()) return nullptr;
    const MergedBacklog::Entry& entry = subscriber->merged[subscriber->sent];
    *previous = entry.previous;
    return entry.event.get();
  }
  const auto& events = subscriber->batch->events;
  while (subscriber->sent < events.size() && !Wants(*subscriber, *events[subscriber->sent]))
    ++subscriber->sent;
  if (subscriber->sent == events.size()) return nullptr;
  *previous = events[subscriber->sent]->previous;
  return events[subscriber->sent].get();
}

void Subscribers::GiveEvents(Subscriber* subscriber, std::size_t max_bytes, pb::WatchResponse* response) {
  std::size_t bytes = 0;
  KeyValuePtr previous;
  while (const StoredEvent* stored = NextToSend(subscriber, &previous)) {
    if (!subscriber->prev_kv) previous.reset();
    const std::size_t size = stored->bytes + (previous ? previous->ByteSizeLong() : 0);
    if (subscriber->fragment && bytes > 0 && bytes + size > max_bytes) {
      response->set_fragment(true);
      return;
    }
    bytes += size;
    pb::Event* event = response->add_events();
    event->set_type(stored->deletion ? pb::Event::DELETE : pb::Event::PUT);
    *event->mutable_kv() = *stored->kv;
    if (previous) *event->mutable_prev_kv() = *previous;
    ++subscriber->sent;
  }
  FinishSending(subscriber);
}

bool Subscribers::Take(Time now, SubscriberId id, std::size_t max_bytes, const CachePosition& position,
                       bool may_report_progress, pb::WatchResponse* response) {
  const auto found = subscribers_.find(id);
  if (found == subscribers_.end()) return false;
  Subscriber& subscriber = found->second;
  response->Clear();
  response->mutable_header()->set_cluster_id(position.cluster_id);
  response->mutable_header()->set_member_id(settings_.member_id);
  response->mutable_header()->set_revision(position.revision);

  if (!subscriber.created || !subscriber.refusal.empty()) {
    subscriber.created = true;
    response->set_created(true);
    if (subscriber.refusal.empty()) return true;
    response->set_canceled(true);
    response->set_cancel_reason(subscriber.refusal);
    Remove(id);
    return true;
  }
  const bool sending = subscriber.batch || !subscriber.merged.empty();
  const bool has_events = subscriber.compacted == 0 && (sending || Load(id, &subscriber));
  if (subscriber.compacted != 0) {
    response->set_canceled(true);
    response->set_compact_revision(subscriber.compacted);
    response->set_cancel_reason("etcdserver: mvcc: required revision has been compacted");
    Remove(id);
    return true;
  }
  if (has_events) {
    response->mutable_header()->set_revision(subscriber.sending_revision);
    GiveEvents(&subscriber, max_bytes, response);
    CountMerged(&subscriber);
    subscriber.last_message = now;
    return true;
  }
  if (subscriber.progress_due && may_report_progress && subscriber.next_revision <= position.revision + 1) {
    subscriber.progress_due = false;
    subscriber.last_message = now;
    return true;
  }
  subscriber.awake = false;
  catching_up_.erase(id);
  return false;
}

void Subscribers::Tick(Time now, Actions* actions) {
  while (!notify_.empty() && notify_.begin()->first <= now) {
    const SubscriberId id = notify_.begin()->second;
    notify_.erase(notify_.begin());
    Subscriber& subscriber = subscribers_.at(id);
    const Time due = subscriber.last_message + settings_.progress_interval;
    if (due > now) {
      Notify(id, &subscriber, due);
      continue;
    }
    Notify(id, &subscriber, now + settings_.progress_interval);
    RequestProgress(id, actions);
  }
}

std::optional<Time> Subscribers::NextWake() const {
  if (notify_.empty()) return std::nullopt;
  return notify_.begin()->first;
}

void Subscribers::End(std::size_t count, const etcd::Status& status, Actions* actions) {
  for (; count > 0 && !subscribers_.empty(); --count) {
    const SubscriberId id = subscribers_.begin()->first;
    Append<Relay::EndSubscriber>(actions, id, status);
    Remove(id);
  }
}

}  // namespace badgerbridge::watch_cache
