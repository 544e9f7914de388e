// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/relay.h"

#include <algorithm>
#include <set>
#include <utility>

#include "watch_cache/actions.h"
#include "watch_cache/key_range.h"
#include "watch_cache/reads.h"
#include "watch_cache/state.h"
#include "watch_cache/subscribers.h"
#include "watch_cache/window.h"

namespace badgerbridge::watch_cache {
namespace {

namespace pb = etcdserverpb;
using etcd::Code;
using etcd::Ending;

// What a batch or an event takes beside its bytes on the wire, roughly: it also bounds the number of those
// that hold nothing.
constexpr std::size_t kBatchOverhead = 64, kEventOverhead = 96;

constexpr char kDrainingText[] = "the relay is shutting down: use another";
constexpr char kUpstreamLostText[] = "the relay has lost its upstream: use another";

etcd::Status Error(Code code, std::string why) { return {code, Ending::kStatus, std::move(why)}; }

}  // namespace

struct Relay::Impl {
  explicit Impl(Settings from)
      : settings(std::move(from)),
        prefix(KeyRange::Prefix(settings.prefix)),
        window(settings.window_bytes, settings.window_events),
        reads(settings),
        subscribers(settings, window) {}

  Settings settings;
  KeyRange prefix;
  CachePosition position;
  State state;
  Window window;
  Reads reads;
  Subscribers subscribers;

  bool connected = false;
  bool needs_snapshot = false;  // what came from upstream was rejected
  Time last_heard{0};
  std::optional<Time> lost_since;  // while the upstream that was followed is not
  std::string last_error;

  struct Draining {
    Time since;
    std::size_t total, ended;
  };
  std::optional<Draining> draining;

  std::uint64_t reads_seen = 0, lists = 0, snapshots = 0, refused = 0, rejected = 0;

  // ---- the upstream
  void Heard(Time now, Actions* actions);
  void Lose(Time now, std::string why);
  void Reject(Time now, std::string why, Actions* actions);
  std::optional<std::string> CheckKeyValue(const pb::KeyValue& kv, std::int64_t revision) const;
  std::optional<std::string> CheckEvents(std::int64_t revision, const std::vector<pb::Event>& events) const;
  std::optional<std::string> ReadKeys(std::int64_t revision, std::vector<pb::KeyValue> kvs,
                                      State::Keys* keys) const;
  bool Continues(std::uint64_t cluster_id, std::int64_t revision, const State::Keys& keys) const;
  void ReplaceHistory(std::uint64_t cluster_id, std::int64_t revision, State::Keys keys, Actions* actions);
  void SkipTo(std::int64_t revision, State::Keys keys, Actions* actions);
  StoredEventPtr Store(pb::Event::EventType type, pb::KeyValue kv) const;
  void ApplyBatch(std::shared_ptr<Batch> batch,
                  std::vector<std::pair<pb::Event::EventType, pb::KeyValue>> events, Actions* actions);

  // ---- readers
  std::optional<std::string> OutsidePrefix(const std::string& key, const std::string& range_end) const;
  void ServeReads(Time now, Actions* actions);
  void EndDueSubscribers(Time now, Actions* actions);
  bool UpstreamLostTooLong(Time now) const {
    return lost_since && now - *lost_since >= settings.upstream_grace;
  }
};

// ------------------------------------------------------------------------------------------- the upstream

void Relay::Impl::Heard(Time now, Actions* actions) {
  last_heard = now;
  lost_since.reset();
  if (std::exchange(connected, true)) return;
  subscribers.WakeForProgress(actions);
}

void Relay::Impl::Lose(Time now, std::string why) {
  connected = false;
  if (!lost_since) lost_since = now;
  last_error = std::move(why);
}

void Relay::Impl::Reject(Time now, std::string why, Actions* actions) {
  Lose(now, why);
  needs_snapshot = true;
  ++rejected;
  Append<RejectUpstream>(actions, std::move(why));
}

std::optional<std::string> Relay::Impl::CheckKeyValue(const pb::KeyValue& kv, std::int64_t revision) const {
  if (!prefix.Contains(kv.key())) return "the key " + kv.key() + " is outside the prefix " + settings.prefix;
  if (kv.mod_revision() <= 0) return "the key " + kv.key() + " has no revision";
  if (kv.mod_revision() > revision) {
    return "the key " + kv.key() + " is of revision " + std::to_string(kv.mod_revision()) +
           ", after the answer's " + std::to_string(revision);
  }
  return std::nullopt;
}

std::optional<std::string> Relay::Impl::ReadKeys(std::int64_t revision, std::vector<pb::KeyValue> kvs,
                                                 State::Keys* keys) const {
  for (pb::KeyValue& kv : kvs) {
    if (auto problem = CheckKeyValue(kv, revision)) return "a list: " + *problem;
    const auto value = std::make_shared<const pb::KeyValue>(std::move(kv));
    if (!keys->insert(value).second) return "a list: the key " + value->key() + " is there twice";
  }
  return std::nullopt;
}

std::optional<std::string> Relay::Impl::CheckEvents(std::int64_t revision,
                                                    const std::vector<pb::Event>& events) const {
  std::int64_t last = position.revision + 1;
  for (const pb::Event& event : events) {
    if (event.type() != pb::Event::PUT && event.type() != pb::Event::DELETE)
      return "an event of an unknown type";
    if (auto problem = CheckKeyValue(event.kv(), revision)) return "an event: " + *problem;
    if (event.kv().mod_revision() < last) {
      return "an event of revision " + std::to_string(event.kv().mod_revision()) + " where one of " +
             std::to_string(last) + " or later is due";
    }
    last = event.kv().mod_revision();
  }
  return std::nullopt;
}

// Whether a snapshot can be the history that the cache holds, gone on: what is older than the cache's
// revision must be as the cache has it.
bool Relay::Impl::Continues(std::uint64_t cluster_id, std::int64_t revision, const State::Keys& keys) const {
  if (cluster_id != position.cluster_id || revision < position.revision) return false;
  if (revision == position.revision && keys.size() != state.keys().size()) return false;
  return std::all_of(keys.begin(), keys.end(), [this](const KeyValuePtr& kv) {
    if (kv->mod_revision() > position.revision) return true;
    const KeyValuePtr held = state.Find(kv->key());
    return held && held->mod_revision() == kv->mod_revision();
  });
}

void Relay::Impl::ReplaceHistory(std::uint64_t cluster_id, std::int64_t revision, State::Keys keys,
                                 Actions* actions) {
  subscribers.End(subscribers.size(),
                  Error(Code::kUnavailable, "the source's history was replaced: read it again"), actions);
  state.Replace(std::move(keys));
  window.Reset(revision);
  position = {true, cluster_id, revision, position.history + 1};
}

StoredEventPtr Relay::Impl::Store(pb::Event::EventType type, pb::KeyValue kv) const {
  auto stored = std::make_shared<StoredEvent>();
  stored->deletion = type == pb::Event::DELETE;
  stored->must_deliver = stored->deletion || (settings.must_deliver && settings.must_deliver(kv));
  stored->previous = state.Find(kv.key());
  stored->bytes = kv.ByteSizeLong() + kEventOverhead;
  stored->kv = std::make_shared<const pb::KeyValue>(std::move(kv));
  return stored;
}

void Relay::Impl::ApplyBatch(std::shared_ptr<Batch> batch,
                             std::vector<std::pair<pb::Event::EventType, pb::KeyValue>> events,
                             Actions* actions) {
  batch->from = position.revision;
  batch->bytes = kBatchOverhead;
  for (auto& [type, kv] : events) {
    StoredEventPtr stored = Store(type, std::move(kv));
    state.Apply(*stored);
    batch->bytes += stored->bytes;
    batch->events.push_back(std::move(stored));
  }
  position.revision = batch->to;
  window.Append(std::move(batch));
  subscribers.BatchAppended(position, actions);
  window.Trim();
}

// The same history, listed again: what lay between is not known. Keys may have come and gone there, so that a
// difference of the two lists, given as events, would lose deletions for one who resumes in its midst, and a
// relay below could not tell it from events. As etcd does after a compaction, all watches are told to list.
void Relay::Impl::SkipTo(std::int64_t revision, State::Keys keys, Actions* actions) {
  if (revision == position.revision) return;
  state.Replace(std::move(keys));
  window.Reset(revision);
  position.revision = revision;
  subscribers.TellAllToReread(revision, actions);
}

void Relay::UpstreamSnapshot(Time now, std::uint64_t cluster_id, std::int64_t revision,
                             std::vector<pb::KeyValue> kvs, Actions* actions) {
  State::Keys keys;
  if (auto problem = impl_->ReadKeys(revision, std::move(kvs), &keys))
    return impl_->Reject(now, std::move(*problem), actions);
  ++impl_->snapshots;
  impl_->needs_snapshot = false;
  const bool continues = impl_->position.known && impl_->Continues(cluster_id, revision, keys);
  const bool replaced = impl_->position.known && !continues;
  if (continues) {
    impl_->SkipTo(revision, std::move(keys), actions);
  } else {
    impl_->ReplaceHistory(cluster_id, revision, std::move(keys), actions);
  }
  impl_->Heard(now, actions);
  impl_->reads.CacheChanged(now, impl_->position, replaced, actions);
  impl_->ServeReads(now, actions);
}

void Relay::UpstreamEvents(Time now, std::int64_t revision, std::vector<pb::Event> events, Actions* actions) {
  if (impl_->needs_snapshot) return;
  if (!impl_->position.known) return impl_->Reject(now, "events before a list", actions);
  if (events.empty()) return UpstreamProgress(now, revision, actions);
  if (auto problem = impl_->CheckEvents(revision, events))
    return impl_->Reject(now, std::move(*problem), actions);

  // A relay upstream never names a key twice in a response, so this is etcd's, with every revision in it:
  // then each becomes a batch, and no event hides another in a message.
  std::set<std::string_view> keys;
  const bool by_revision = std::any_of(events.begin(), events.end(), [&](const pb::Event& event) {
    return !keys.insert(event.kv().key()).second;
  });
  std::vector<std::pair<pb::Event::EventType, pb::KeyValue>> batched;
  for (std::size_t i = 0; i < events.size(); ++i) {
    const std::int64_t at = events[i].kv().mod_revision();
    batched.emplace_back(events[i].type(), std::move(*events[i].mutable_kv()));
    const bool last = i + 1 == events.size();
    if (!last && (!by_revision || events[i + 1].kv().mod_revision() == at)) continue;
    auto batch = std::make_shared<Batch>();
    batch->to = last ? revision : at;
    impl_->ApplyBatch(std::move(batch), std::exchange(batched, {}), actions);
  }
  impl_->Heard(now, actions);
  impl_->reads.CacheChanged(now, impl_->position, false, actions);
  impl_->ServeReads(now, actions);
}

void Relay::UpstreamProgress(Time now, std::int64_t revision, Actions* actions) {
  if (impl_->needs_snapshot) return;
  if (!impl_->position.known) return impl_->Reject(now, "progress before a list", actions);
  if (revision < impl_->position.revision) {
    return impl_->Reject(now,
                         "progress at revision " + std::to_string(revision) + " after " +
                             std::to_string(impl_->position.revision),
                         actions);
  }
  const bool further = revision > impl_->position.revision;
  impl_->position.revision = revision;
  impl_->Heard(now, actions);
  if (!further) return;
  impl_->reads.CacheChanged(now, impl_->position, false, actions);
  impl_->ServeReads(now, actions);
}

void Relay::UpstreamLost(Time now, const std::string& why, Actions*) { impl_->Lose(now, why); }

void Relay::RevisionConfirmed(Time now, std::uint64_t confirmation, const etcd::Status& status,
                              const pb::ResponseHeader& header, Actions* actions) {
  impl_->reads.Confirmed(now, confirmation, status, header, impl_->position, actions);
  impl_->ServeReads(now, actions);
}

// ------------------------------------------------------------------------------------------------ readers

std::optional<std::string> Relay::Impl::OutsidePrefix(const std::string& key,
                                                      const std::string& range_end) const {
  if (prefix.Contains(KeyRange{key, range_end})) return std::nullopt;
  return "only keys under " + settings.prefix + " are served here";
}

void Relay::Impl::ServeReads(Time now, Actions* actions) {
  while (auto ready = reads.NextReady(now)) {
    pb::RangeResponse response;
    etcd::Status status = ReadRange(state, window, position.revision, ready->request, &response);
    response.mutable_header()->set_cluster_id(position.cluster_id);
    response.mutable_header()->set_member_id(settings.member_id);
    response.mutable_header()->set_revision(position.revision);
    if (ready->list) reads.Spend(response.ByteSizeLong());
    Append<AnswerRead>(actions, ready->read, std::move(status), std::move(response));
  }
}

void Relay::Read(Time now, ReadId read, const pb::RangeRequest& request, Actions* actions) {
  ++impl_->reads_seen;
  impl_->lists += !request.range_end().empty();
  etcd::Status status = CheckRange(request);
  if (status.ok() && impl_->draining) status = Error(Code::kUnavailable, kDrainingText);
  if (status.ok()) {
    if (auto problem = impl_->OutsidePrefix(request.key(), request.range_end()))
      status = Error(Code::kPermissionDenied, std::move(*problem));
  }
  if (status.ok() && impl_->reads.waiting() >= impl_->settings.max_waiting_reads) {
    status = Error(Code::kResourceExhausted,
                   std::to_string(impl_->settings.max_waiting_reads) + " reads wait already: try again");
  }
  if (!status.ok()) {
    ++impl_->refused;
    Append<AnswerRead>(actions, read, std::move(status), pb::RangeResponse());
    return;
  }
  impl_->reads.Add(now, read, request, impl_->position, actions);
  impl_->ServeReads(now, actions);
}

void Relay::CancelRead(ReadId read) { impl_->reads.Cancel(read); }

// -------------------------------------------------------------------------------------------- subscribers

void Relay::Subscribe(Time now, SubscriberId subscriber, const pb::WatchCreateRequest& request,
                      Actions* actions) {
  etcd::Status status;
  if (impl_->draining) {
    status = Error(Code::kUnavailable, kDrainingText);
  } else if (impl_->UpstreamLostTooLong(now)) {
    status = Error(Code::kUnavailable, kUpstreamLostText);
  } else if (!impl_->position.known) {
    status = Error(Code::kUnavailable, "the relay has not read its prefix yet");
  } else if (impl_->subscribers.size() >= impl_->settings.max_subscribers) {
    status = Error(Code::kResourceExhausted, std::to_string(impl_->settings.max_subscribers) +
                                                 " watches are served already: use another relay");
  }
  if (!status.ok()) {
    ++impl_->refused;
    Append<EndSubscriber>(actions, subscriber, std::move(status));
    return;
  }
  // As the API has it, no key and the end "\0" are all keys.
  pb::WatchCreateRequest all = request;
  if (request.key().empty()) all.set_key(std::string(1, '\0'));
  const auto outside = impl_->OutsidePrefix(all.key(), all.range_end());
  impl_->refused += outside.has_value();
  impl_->subscribers.Add(now, subscriber, all, outside.value_or(""), impl_->position, actions);
}

void Relay::Unsubscribe(SubscriberId subscriber) { impl_->subscribers.Remove(subscriber); }

void Relay::RequestProgress(Time, SubscriberId subscriber, Actions* actions) {
  impl_->subscribers.RequestProgress(subscriber, actions);
}

bool Relay::Take(Time now, SubscriberId subscriber, std::size_t max_bytes, pb::WatchResponse* response) {
  return impl_->subscribers.Take(now, subscriber, max_bytes, impl_->position, impl_->connected, response);
}

// --------------------------------------------------------------------------------------- time and the end

void Relay::Drain(Time now, Actions* actions) {
  if (impl_->draining) return;
  impl_->draining = Impl::Draining{now, impl_->subscribers.size(), 0};
  impl_->EndDueSubscribers(now, actions);
}

bool Relay::drained() const {
  return impl_->draining && impl_->subscribers.size() == 0 && impl_->reads.waiting() == 0;
}

// Evenly over the period; those who leave by themselves meanwhile only make it shorter.
void Relay::Impl::EndDueSubscribers(Time now, Actions* actions) {
  const auto elapsed = static_cast<std::size_t>((now - draining->since).count());
  const auto period = static_cast<std::size_t>(std::max<std::int64_t>(1, settings.drain_period.count()));
  const std::size_t due = draining->total * std::min(elapsed, period) / period;
  const std::size_t count = elapsed >= period ? subscribers.size() : due - std::min(due, draining->ended);
  draining->ended += count;
  subscribers.End(count, Error(Code::kUnavailable, kDrainingText), actions);
}

void Relay::Tick(Time now, Actions* actions) {
  if (impl_->draining) impl_->EndDueSubscribers(now, actions);
  if (impl_->UpstreamLostTooLong(now)) {
    impl_->subscribers.End(impl_->subscribers.size(), Error(Code::kUnavailable, kUpstreamLostText), actions);
  }
  impl_->subscribers.Tick(now, actions);
  impl_->reads.Tick(now, impl_->position, impl_->connected ? "" : impl_->last_error, actions);
  impl_->ServeReads(now, actions);
}

std::optional<Time> Relay::NextWake() const {
  std::optional<Time> wake = impl_->subscribers.NextWake();
  const auto at = [&wake](Time time) { wake = wake ? std::min(*wake, time) : time; };
  if (const auto reads = impl_->reads.NextWake()) at(*reads);
  if (impl_->lost_since && impl_->subscribers.size() > 0)
    at(*impl_->lost_since + impl_->settings.upstream_grace);
  if (impl_->draining && impl_->subscribers.size() > 0) {
    const auto& draining = *impl_->draining;
    const auto next = static_cast<std::int64_t>(std::min(draining.ended + 1, draining.total));
    const auto total = static_cast<std::int64_t>(std::max<std::size_t>(1, draining.total));
    // Rounded up, so that one is due then.
    at(draining.since + Time((impl_->settings.drain_period.count() * next + total - 1) / total));
  }
  return wake;
}

Relay::Status Relay::status() const {
  Status status;
  status.connected = impl_->connected;
  status.cluster_id = impl_->position.cluster_id;
  status.revision = impl_->position.revision;
  status.compact_revision = impl_->window.floor();
  status.last_heard = impl_->last_heard;
  status.keys = impl_->state.keys().size();
  status.state_bytes = impl_->state.bytes();
  status.window_events = impl_->window.events();
  status.window_bytes = impl_->window.bytes();
  status.subscribers = impl_->subscribers.size();
  status.slow_subscribers = impl_->subscribers.slow();
  status.merged_events = impl_->subscribers.merged_events();
  status.waiting_reads = impl_->reads.waiting();
  status.reads = impl_->reads_seen;
  status.lists = impl_->lists;
  status.confirmations = impl_->reads.confirmations();
  status.snapshots = impl_->snapshots;
  status.resumed = impl_->subscribers.resumed();
  status.told_to_reread = impl_->subscribers.told_to_reread();
  status.refused = impl_->refused;
  status.upstream_rejected = impl_->rejected;
  status.last_upstream_error = impl_->last_error;
  return status;
}

Relay::Relay(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Relay::~Relay() = default;

}  // namespace badgerbridge::watch_cache
