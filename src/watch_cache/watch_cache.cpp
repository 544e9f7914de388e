// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/watch_cache.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "watch_cache/actions.h"
#include "watch_cache/error.h"
#include "watch_cache/key_range.h"
#include "watch_cache/read_queue.h"
#include "watch_cache/state.h"
#include "watch_cache/subscribers.h"
#include "watch_cache/upstream_validation.h"
#include "watch_cache/window.h"

namespace badgerbridge::watch_cache {
namespace {

namespace pb = etcdserverpb;
using etcd::Code;
using etcd::Ending;

// Approximate memory in addition to the encoded size. It also bounds the number of empty batches and events.
constexpr std::size_t kBatchOverheadBytes = 64;
constexpr std::size_t kEventOverheadBytes = 96;

constexpr char kDrainingText[] = "the relay is shutting down: use another";
constexpr char kUpstreamLostText[] = "the relay has lost its upstream: use another";

etcd::Status Error(Code code, std::string text) { return {code, Ending::kStatus, std::move(text)}; }

UpstreamError MakeUpstreamError(UpstreamErrorCode code, UpstreamMessage where) {
  UpstreamError error;
  error.code = code;
  error.where = where;
  return error;
}

// Events that become one batch.
struct PendingBatch {
  std::int64_t to = 0;  // the revision after the batch
  std::vector<pb::Event> events;
};

bool HasRepeatedKey(const std::vector<pb::Event>& events) {
  std::set<std::string_view> keys;
  return std::any_of(events.begin(), events.end(),
                     [&](const pb::Event& event) { return !keys.insert(event.kv().key()).second; });
}

// A watch cache never sends a key twice in a response. So a repeated key means that the response comes from
// etcd and contains every revision. Each revision then becomes a batch, so that no event replaces another in
// a message.
std::vector<PendingBatch> SplitIntoBatches(std::int64_t revision, std::vector<pb::Event> events) {
  const bool split_by_revision = HasRepeatedKey(events);
  std::vector<PendingBatch> batches;
  PendingBatch batch;
  for (std::size_t i = 0; i < events.size(); ++i) {
    const std::int64_t event_revision = events[i].kv().mod_revision();
    batch.events.push_back(std::move(events[i]));
    const bool is_last = i + 1 == events.size();
    const bool ends_batch =
        is_last || (split_by_revision && events[i + 1].kv().mod_revision() != event_revision);
    if (!ends_batch) continue;
    batch.to = is_last ? revision : event_revision;
    batches.push_back(std::exchange(batch, {}));
  }
  return batches;
}

}  // namespace

struct WatchCache::Impl {
  explicit Impl(Settings initial_settings)
      : settings(std::move(initial_settings)),
        prefix(KeyRange::Prefix(settings.prefix)),
        window(settings.max_window_bytes, settings.max_window_events),
        reads(settings),
        subscribers(settings, window) {}

  // The progress of a drain.
  struct Draining {
    Time since;
    std::size_t total_subscribers;
    std::size_t ended_subscribers;
  };

  Settings settings;
  KeyRange prefix;
  CachePosition position;
  State state;
  Window window;
  ReadQueue reads;
  Subscribers subscribers;

  bool connected = false;
  bool needs_snapshot = false;  // data from upstream was rejected
  Time last_upstream_message{0};
  std::optional<Time> lost_since;  // empty while the upstream is followed
  std::string last_upstream_error;
  std::optional<Draining> draining;

  std::uint64_t read_count = 0;
  std::uint64_t list_count = 0;
  std::uint64_t snapshot_count = 0;
  std::uint64_t rejected_count = 0;
  std::uint64_t upstream_rejection_count = 0;

  // ---- the upstream
  void RecordUpstreamMessage(Time now, Actions* actions);
  void RecordUpstreamLoss(Time now, std::string reason);
  void RejectUpstreamData(Time now, const UpstreamError& error, Actions* actions);
  void ReplaceHistory(std::uint64_t cluster_id, std::int64_t revision, State::Keys keys, Actions* actions);
  void ApplyListOfSameHistory(std::int64_t revision, State::Keys keys, Actions* actions);
  StoredEventPtr MakeStoredEvent(pb::Event event) const;
  void ApplyBatch(PendingBatch pending, Actions* actions);
  void CacheChanged(Time now, bool history_replaced, Actions* actions);
  bool HasUpstreamGraceExpired(Time now) const {
    return lost_since && now - *lost_since >= settings.upstream_grace;
  }

  // ---- readers
  bool IsServed(const std::string& key, const std::string& range_end) const {
    return prefix.Contains(KeyRange{key, range_end});
  }
  std::string OutsidePrefixText() const { return "only keys under " + settings.prefix + " are served here"; }
  etcd::Status AdmitRead(const pb::RangeRequest& request) const;
  etcd::Status AdmitSubscriber(Time now) const;
  void ServeReads(Time now, Actions* actions);

  // ---- the drain
  void EndSubscribersDueForDrain(Time now, Actions* actions);
  Time NextDrainWake() const;
};

// ---- the upstream ---------------------------------------------------------------------------------------

void WatchCache::Impl::RecordUpstreamMessage(Time now, Actions* actions) {
  last_upstream_message = now;
  lost_since.reset();
  if (connected) return;
  connected = true;
  subscribers.WakeForProgress(actions);
}

void WatchCache::Impl::RecordUpstreamLoss(Time now, std::string reason) {
  connected = false;
  if (!lost_since) lost_since = now;
  last_upstream_error = std::move(reason);
}

void WatchCache::Impl::RejectUpstreamData(Time now, const UpstreamError& error, Actions* actions) {
  std::string reason = Message(error);
  RecordUpstreamLoss(now, reason);
  needs_snapshot = true;
  ++upstream_rejection_count;
  Append<RejectUpstream>(actions, std::move(reason));
}

void WatchCache::Impl::ReplaceHistory(std::uint64_t cluster_id, std::int64_t revision, State::Keys keys,
                                      Actions* actions) {
  subscribers.End(subscribers.size(),
                  Error(Code::kUnavailable, "the source's history was replaced: read it again"), actions);
  state.Replace(std::move(keys));
  window.Reset(revision);
  position = {true, cluster_id, revision, position.history + 1};
}

// Applies a new list of the same history. The events between the two lists are unknown. The difference of the
// lists cannot replace them: a watch that resumes in between would miss deletions, and a downstream cache
// could not distinguish the difference from events. As etcd does after a compaction, all watches are
// canceled, and their readers have to list again.
void WatchCache::Impl::ApplyListOfSameHistory(std::int64_t revision, State::Keys keys, Actions* actions) {
  if (revision == position.revision) return;
  state.Replace(std::move(keys));
  window.Reset(revision);
  position.revision = revision;
  subscribers.CancelAllAsCompacted(revision, actions);
}

StoredEventPtr WatchCache::Impl::MakeStoredEvent(pb::Event event) const {
  pb::KeyValue kv = std::move(*event.mutable_kv());
  auto stored = std::make_shared<StoredEvent>();
  stored->deletion = event.type() == pb::Event::DELETE;
  stored->must_deliver = stored->deletion || (settings.must_deliver && settings.must_deliver(kv));
  stored->previous = state.Find(kv.key());
  stored->bytes = kv.ByteSizeLong() + kEventOverheadBytes;
  stored->kv = std::make_shared<const pb::KeyValue>(std::move(kv));
  return stored;
}

void WatchCache::Impl::ApplyBatch(PendingBatch pending, Actions* actions) {
  auto batch = std::make_shared<Batch>();
  batch->from = position.revision;
  batch->to = pending.to;
  batch->bytes = kBatchOverheadBytes;
  for (pb::Event& event : pending.events) {
    StoredEventPtr stored = MakeStoredEvent(std::move(event));
    state.Apply(*stored);
    batch->bytes += stored->bytes;
    batch->events.push_back(std::move(stored));
  }
  position.revision = batch->to;
  window.Append(std::move(batch));
  subscribers.BatchAppended(position, actions);
  window.Trim();
}

void WatchCache::Impl::CacheChanged(Time now, bool history_replaced, Actions* actions) {
  reads.CacheChanged(now, position, history_replaced, actions);
  ServeReads(now, actions);
}

void WatchCache::UpstreamSnapshot(Time now, std::uint64_t cluster_id, std::int64_t revision,
                                  std::vector<pb::KeyValue> kvs, Actions* actions) {
  Result<State::Keys> keys = CollectKeys(impl_->prefix, revision, std::move(kvs));
  if (!keys) return impl_->RejectUpstreamData(now, keys.error(), actions);
  ++impl_->snapshot_count;
  impl_->needs_snapshot = false;
  const bool was_known = impl_->position.known;
  const bool continues =
      was_known && ContinuesHistory(impl_->position, impl_->state, cluster_id, revision, *keys);
  if (continues) {
    impl_->ApplyListOfSameHistory(revision, std::move(*keys), actions);
  } else {
    impl_->ReplaceHistory(cluster_id, revision, std::move(*keys), actions);
  }
  impl_->RecordUpstreamMessage(now, actions);
  impl_->CacheChanged(now, was_known && !continues, actions);
}

void WatchCache::UpstreamEvents(Time now, std::int64_t revision, std::vector<pb::Event> events,
                                Actions* actions) {
  if (impl_->needs_snapshot) return;
  if (!impl_->position.known) {
    const UpstreamError error =
        MakeUpstreamError(UpstreamErrorCode::kEventsBeforeSnapshot, UpstreamMessage::kEvent);
    return impl_->RejectUpstreamData(now, error, actions);
  }
  if (events.empty()) return UpstreamProgress(now, revision, actions);
  const Result<void> checked = CheckEvents(impl_->prefix, impl_->position.revision, revision, events);
  if (!checked) return impl_->RejectUpstreamData(now, checked.error(), actions);
  for (PendingBatch& batch : SplitIntoBatches(revision, std::move(events))) {
    impl_->ApplyBatch(std::move(batch), actions);
  }
  impl_->RecordUpstreamMessage(now, actions);
  impl_->CacheChanged(now, false, actions);
}

void WatchCache::UpstreamProgress(Time now, std::int64_t revision, Actions* actions) {
  if (impl_->needs_snapshot) return;
  if (!impl_->position.known) {
    const UpstreamError error =
        MakeUpstreamError(UpstreamErrorCode::kProgressBeforeSnapshot, UpstreamMessage::kNotification);
    return impl_->RejectUpstreamData(now, error, actions);
  }
  if (revision < impl_->position.revision) {
    UpstreamError error =
        MakeUpstreamError(UpstreamErrorCode::kProgressDecreased, UpstreamMessage::kNotification);
    error.revision = revision;
    error.expected_revision = impl_->position.revision;
    return impl_->RejectUpstreamData(now, error, actions);
  }
  const bool has_advanced = revision > impl_->position.revision;
  impl_->position.revision = revision;
  impl_->RecordUpstreamMessage(now, actions);
  if (has_advanced) impl_->CacheChanged(now, false, actions);
}

void WatchCache::UpstreamLost(Time now, const std::string& reason, Actions*) {
  impl_->RecordUpstreamLoss(now, reason);
}

void WatchCache::RevisionConfirmed(Time now, std::uint64_t confirmation, const etcd::Status& status,
                                   const pb::ResponseHeader& header, Actions* actions) {
  impl_->reads.RevisionConfirmed(now, confirmation, status, header, impl_->position, actions);
  impl_->ServeReads(now, actions);
}

// ---- readers --------------------------------------------------------------------------------------------

void WatchCache::Impl::ServeReads(Time now, Actions* actions) {
  while (auto ready = reads.NextReady(now)) {
    RangeResult result = ReadRange(state, window, position.revision, ready->request);
    pb::ResponseHeader& header = *result.response.mutable_header();
    header.set_cluster_id(position.cluster_id);
    header.set_member_id(settings.member_id);
    header.set_revision(position.revision);
    if (ready->is_list) reads.ConsumeListTokens(result.response.ByteSizeLong());
    Append<AnswerRead>(actions, ready->read, std::move(result.status), std::move(result.response));
  }
}

// Returns OK, or the reason why the read is rejected.
etcd::Status WatchCache::Impl::AdmitRead(const pb::RangeRequest& request) const {
  etcd::Status status = CheckRange(request);
  if (!status.ok()) return status;
  if (draining) return Error(Code::kUnavailable, kDrainingText);
  if (!IsServed(request.key(), request.range_end())) {
    return Error(Code::kPermissionDenied, OutsidePrefixText());
  }
  if (reads.waiting() >= settings.max_waiting_reads) {
    return Error(Code::kResourceExhausted,
                 std::to_string(settings.max_waiting_reads) + " reads wait already: try again");
  }
  return status;
}

void WatchCache::Read(Time now, ReadId read, const pb::RangeRequest& request, Actions* actions) {
  ++impl_->read_count;
  if (!request.range_end().empty()) ++impl_->list_count;
  etcd::Status status = impl_->AdmitRead(request);
  if (!status.ok()) {
    ++impl_->rejected_count;
    Append<AnswerRead>(actions, read, std::move(status), pb::RangeResponse());
    return;
  }
  impl_->reads.Add(now, read, request, impl_->position, actions);
  impl_->ServeReads(now, actions);
}

void WatchCache::CancelRead(ReadId read) { impl_->reads.Cancel(read); }

// ---- subscribers ----------------------------------------------------------------------------------------

// Returns OK, or the reason why the watch is rejected.
etcd::Status WatchCache::Impl::AdmitSubscriber(Time now) const {
  if (draining) return Error(Code::kUnavailable, kDrainingText);
  if (HasUpstreamGraceExpired(now)) return Error(Code::kUnavailable, kUpstreamLostText);
  if (!position.known) return Error(Code::kUnavailable, "the relay has not read its prefix yet");
  if (subscribers.size() >= settings.max_subscribers) {
    return Error(Code::kResourceExhausted,
                 std::to_string(settings.max_subscribers) + " watches are served already: use another relay");
  }
  return {};
}

void WatchCache::Subscribe(Time now, SubscriberId subscriber, const pb::WatchCreateRequest& request,
                           Actions* actions) {
  etcd::Status status = impl_->AdmitSubscriber(now);
  if (!status.ok()) {
    ++impl_->rejected_count;
    Append<EndSubscriber>(actions, subscriber, std::move(status));
    return;
  }
  // In etcd's API, an empty key with the end "\0" means all keys.
  pb::WatchCreateRequest normalized = request;
  if (request.key().empty()) normalized.set_key(std::string(1, '\0'));
  std::string rejection;
  if (!impl_->IsServed(normalized.key(), normalized.range_end())) {
    ++impl_->rejected_count;
    rejection = impl_->OutsidePrefixText();
  }
  impl_->subscribers.Add(now, subscriber, normalized, std::move(rejection), impl_->position, actions);
}

void WatchCache::Unsubscribe(SubscriberId subscriber) { impl_->subscribers.Remove(subscriber); }

void WatchCache::RequestProgress(Time, SubscriberId subscriber, Actions* actions) {
  impl_->subscribers.RequestProgress(subscriber, actions);
}

std::optional<pb::WatchResponse> WatchCache::NextMessage(Time now, SubscriberId subscriber,
                                                         std::size_t max_bytes) {
  return impl_->subscribers.NextMessage(now, subscriber, max_bytes, impl_->position, impl_->connected);
}

// ---- shutdown and timers --------------------------------------------------------------------------------

void WatchCache::Drain(Time now, Actions* actions) {
  if (impl_->draining) return;
  impl_->draining = Impl::Draining{now, impl_->subscribers.size(), 0};
  impl_->EndSubscribersDueForDrain(now, actions);
}

bool WatchCache::drained() const {
  return impl_->draining && impl_->subscribers.size() == 0 && impl_->reads.waiting() == 0;
}

// Ends subscribers evenly over the drain period. Subscribers that leave on their own only shorten the drain.
void WatchCache::Impl::EndSubscribersDueForDrain(Time now, Actions* actions) {
  const auto elapsed_ms = static_cast<std::size_t>((now - draining->since).count());
  const auto period_ms = static_cast<std::size_t>(std::max<std::int64_t>(1, settings.drain_period.count()));
  const std::size_t due = draining->total_subscribers * std::min(elapsed_ms, period_ms) / period_ms;
  const std::size_t not_ended_yet = due - std::min(due, draining->ended_subscribers);
  const std::size_t count = elapsed_ms >= period_ms ? subscribers.size() : not_ended_yet;
  draining->ended_subscribers += count;
  subscribers.End(count, Error(Code::kUnavailable, kDrainingText), actions);
}

// When the next subscriber has to be ended, rounded up so that a tick at that time ends it.
Time WatchCache::Impl::NextDrainWake() const {
  const std::size_t next_ended = draining->ended_subscribers + 1;
  const auto next = static_cast<std::int64_t>(std::min(next_ended, draining->total_subscribers));
  const auto total = static_cast<std::int64_t>(std::max<std::size_t>(1, draining->total_subscribers));
  return draining->since + Time((settings.drain_period.count() * next + total - 1) / total);
}

void WatchCache::Tick(Time now, Actions* actions) {
  if (impl_->draining) impl_->EndSubscribersDueForDrain(now, actions);
  if (impl_->HasUpstreamGraceExpired(now)) {
    impl_->subscribers.End(impl_->subscribers.size(), Error(Code::kUnavailable, kUpstreamLostText), actions);
  }
  impl_->subscribers.Tick(now, actions);
  const std::string upstream_error = impl_->connected ? "" : impl_->last_upstream_error;
  impl_->reads.Tick(now, impl_->position, upstream_error, actions);
  impl_->ServeReads(now, actions);
}

std::optional<Time> WatchCache::NextWake() const {
  std::optional<Time> wake = impl_->subscribers.NextWake();
  const auto wake_at = [&wake](Time time) { wake = wake ? std::min(*wake, time) : time; };
  if (const auto reads = impl_->reads.NextWake()) wake_at(*reads);
  const bool has_subscribers = impl_->subscribers.size() > 0;
  if (impl_->lost_since && has_subscribers) wake_at(*impl_->lost_since + impl_->settings.upstream_grace);
  if (impl_->draining && has_subscribers) wake_at(impl_->NextDrainWake());
  return wake;
}

// ---- introspection --------------------------------------------------------------------------------------

WatchCache::Status WatchCache::status() const {
  Status status;
  status.connected = impl_->connected;
  status.cluster_id = impl_->position.cluster_id;
  status.revision = impl_->position.revision;
  status.compact_revision = impl_->window.floor();
  status.last_upstream_message = impl_->last_upstream_message;
  status.keys = impl_->state.keys().size();
  status.state_bytes = impl_->state.bytes();
  status.window_events = impl_->window.events();
  status.window_bytes = impl_->window.bytes();
  status.subscribers = impl_->subscribers.size();
  status.slow_subscribers = impl_->subscribers.slow();
  status.merged_events = impl_->subscribers.merged_events();
  status.waiting_reads = impl_->reads.waiting();
  status.reads = impl_->read_count;
  status.lists = impl_->list_count;
  status.confirmations = impl_->reads.confirmations();
  status.snapshots = impl_->snapshot_count;
  status.resumed = impl_->subscribers.resumed();
  status.compacted = impl_->subscribers.compacted();
  status.rejected = impl_->rejected_count;
  status.upstream_rejections = impl_->upstream_rejection_count;
  status.last_upstream_error = impl_->last_upstream_error;
  return status;
}

WatchCache::WatchCache(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
WatchCache::~WatchCache() = default;

}  // namespace badgerbridge::watch_cache
