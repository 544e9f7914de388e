// SPDX-License-Identifier: Apache-2.0
#include "etcd/follower.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

#include "etcd/key_range.h"

namespace badgerbridge::etcd {

namespace pb = etcdserverpb;

Follower::Follower(FollowerSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      backoff_(settings_.first_backoff),
      step_timeout_(settings_.call_timeout) {
  for (const std::string& section : settings_.sections) sections_.push_back({settings_.prefix + section});
  if (sections_.empty()) sections_.push_back({settings_.prefix});
  endpoint_order_.resize(settings_.endpoints);
  std::iota(endpoint_order_.begin(), endpoint_order_.end(), std::size_t{0});
  std::shuffle(endpoint_order_.begin(), endpoint_order_.end(), random_);
}

// ---- state

std::int64_t Follower::revision() const {
  const auto has_lower_revision = [](const Section& left, const Section& right) {
    return left.revision < right.revision;
  };
  return std::min_element(sections_.begin(), sections_.end(), has_lower_revision)->revision;
}

std::string_view Follower::state() const {
  constexpr std::string_view kNames[] = {"waiting", "connecting", "authenticating",
                                         "asking",  "listing",    "watching"};
  return kNames[static_cast<int>(state_)];
}

std::string Follower::last_error_message() const { return last_error_ ? Message(*last_error_) : ""; }

// ---- connections

void Follower::StartConnecting(Time now, Actions* actions) {
  EnterStep(now, State::kConnecting);
  step_began_at_ = now;
  longest_step_ = Time(0);
  is_progress_requested_ = false;
  is_established_ = false;
  actions->push_back(Connect{endpoint_order_[endpoint_]});
}

// The delay before the next connection attempt.
Follower::Time Follower::NextRetryDelay(Code code) {
  const bool is_overloaded = code == Code::kResourceExhausted;
  if (is_established_ && !is_overloaded)
    return Time(RandomUpTo(static_cast<std::uint64_t>(settings_.reconnect_spread.count())));
  if (is_overloaded) backoff_ = std::max(backoff_, settings_.overload_backoff);
  const auto half = static_cast<std::uint64_t>(backoff_.count() / 2);
  backoff_ = std::min(settings_.max_backoff, backoff_ * 2);
  return Time(half + RandomUpTo(half));
}

void Follower::Fail(Time now, FollowerError error, Actions* actions) {
  last_error_ = error;
  const Code code = error.status.code;
  if (state_ != State::kWaiting && state_ != State::kConnecting) actions->push_back(Close{error});
  actions->push_back(Disconnected{std::move(error)});
  state_ = State::kWaiting;
  endpoint_ = (endpoint_ + 1) % settings_.endpoints;
  wake_at_ = now + NextRetryDelay(code);
  is_established_ = false;
  ++failures_;
  const bool all_failed = failures_ % settings_.endpoints == 0;
  if (all_failed) step_timeout_ = std::min(settings_.call_timeout, step_timeout_ * 2);
}

// Each step up to the watch is limited to step_timeout_. An unresponsive endpoint must cost little time,
// because a drain may be pending. The timeout doubles whenever all endpoints have failed. It is set to twice
// the longest step, within its bounds, when a watch is established.
void Follower::EnterStep(Time now, State state) {
  state_ = state;
  wake_at_ = now + step_timeout_;
}

void Follower::CompleteStep(Time now) {
  longest_step_ = std::max(longest_step_, now - step_began_at_);
  step_began_at_ = now;
}

void Follower::Tick(Time now, Actions* actions) {
  if (now < wake_at_) return;
  switch (state_) {
    case State::kWaiting:
      return StartConnecting(now, actions);
    case State::kConnecting:
    case State::kAuthenticating:
    case State::kProbing:
    case State::kReadingSnapshot:
      if (state_ == State::kConnecting) actions->push_back(Close{{FollowerErrorCode::kConnectTimeout}});
      return Fail(now, {FollowerErrorCode::kStepTimeout}, actions);
    case State::kWatching:
      if (is_progress_requested_) return Fail(now, {FollowerErrorCode::kWatchUnresponsive}, actions);
      is_progress_requested_ = true;
      wake_at_ = now + settings_.call_timeout;
      actions->push_back(RequestProgress{});
  }
}

void Follower::Opened(Time now, Actions* actions) {
  if (state_ != State::kConnecting) return;
  CompleteStep(now);
  if (!settings_.authenticate) return Authenticated(now, {}, actions);
  EnterStep(now, State::kAuthenticating);
  actions->push_back(Authenticate{});
}

void Follower::Authenticated(Time now, const Status& status, Actions* actions) {
  if (state_ != State::kConnecting && state_ != State::kAuthenticating) return;
  if (!status.ok()) {
    state_ = State::kAuthenticating;
    return Fail(now, {FollowerErrorCode::kAuthenticationFailed, status}, actions);
  }
  CompleteStep(now);
  if (has_snapshot_) return StartProbe(now, actions);
  StartSnapshot(now, actions);
}

void Follower::Closed(Time now, const ConnectionError& error, Actions* actions) {
  if (state_ == State::kWaiting) return;
  state_ = State::kConnecting;  // the connection is already closed
  Fail(now, MakeFollowerError(FollowerErrorCode::kConnectionLost, Message(error)), actions);
}

void Follower::Reject(Time now, const std::string& reason, Actions* actions) {
  has_snapshot_ = false;
  if (state_ == State::kWaiting) return;
  const FollowerError error = MakeFollowerError(FollowerErrorCode::kRejected, reason);
  if (state_ == State::kConnecting) actions->push_back(Close{error});
  Fail(now, error, actions);
}

// ---- snapshots

// Determines the committed revision by a linearizable read of a single key.
void Follower::StartProbe(Time now, Actions* actions) {
  EnterStep(now, State::kProbing);
  Range range;
  range.request.set_key(settings_.prefix);
  range.request.set_limit(1);
  range.request.set_keys_only(true);
  actions->push_back(std::move(range));
}

void Follower::ProbeCompleted(Time now, const pb::ResponseHeader& header, Actions* actions) {
  CompleteStep(now);
  const bool is_behind = std::any_of(sections_.begin(), sections_.end(), [&](const Section& section) {
    return header.revision() < section.revision;
  });
  if (header.cluster_id() != cluster_id_ || is_behind) return StartSnapshot(now, actions);
  ++resumes_;
  StartWatch(now, actions);
}

void Follower::StartSnapshot(Time now, Actions* actions) {
  state_ = State::kReadingSnapshot;
  has_snapshot_ = false;  // an interrupted snapshot must be read again from the start
  pending_ = PendingSnapshot{};
  RequestFirstPage(now, actions);
}

// Requests the first page of the section that is being read.
void Follower::RequestFirstPage(Time now, Actions* actions) {
  RequestPage(now, sections_[pending_.section].prefix, actions);
}

// The first page is read at the current revision, all later pages at the revision of the first.
void Follower::RequestPage(Time now, std::string first_key, Actions* actions) {
  wake_at_ = now + settings_.call_timeout;
  Range range;
  range.request.set_key(std::move(first_key));
  range.request.set_range_end(PrefixRangeEnd(sections_[pending_.section].prefix));
  range.request.set_limit(settings_.page_size);
  range.request.set_revision(pending_.revision);
  actions->push_back(std::move(range));
}

void Follower::RangeCompleted(Time now, const Status& status, pb::RangeResponse response, Actions* actions) {
  if (state_ != State::kProbing && state_ != State::kReadingSnapshot) return;
  if (!status.ok()) return RangeFailed(now, status, actions);
  if (state_ == State::kProbing) return ProbeCompleted(now, response.header(), actions);
  ApplyPage(now, std::move(response), actions);
}

void Follower::RangeFailed(Time now, const Status& status, Actions* actions) {
  if (state_ == State::kProbing) return Fail(now, {FollowerErrorCode::kProbeFailed, status}, actions);
  const bool is_compacted = pending_.revision != 0 && status.code == Code::kOutOfRange;
  if (is_compacted) return StartSnapshot(now, actions);
  Fail(now, {FollowerErrorCode::kSnapshotFailed, status}, actions);
}

std::optional<FollowerError> Follower::AddToSnapshot(const pb::RangeResponse& response) {
  if (response.header().revision() <= 0) return FollowerError{FollowerErrorCode::kMissingRevision};
  if (pending_.revision == 0) {
    pending_.revision = response.header().revision();
    pending_.cluster_id = response.header().cluster_id();
  } else if (response.header().cluster_id() != pending_.cluster_id) {
    return FollowerError{FollowerErrorCode::kClusterChangedInSnapshot};
  }
  for (const pb::KeyValue& kv : response.kvs()) pending_.bytes += kv.key().size() + kv.value().size();
  if (pending_.bytes > settings_.max_snapshot_bytes)
    return FollowerError{FollowerErrorCode::kSnapshotTooLarge, {}, {}, settings_.max_snapshot_bytes};
  return std::nullopt;
}

void Follower::ApplyPage(Time now, pb::RangeResponse response, Actions* actions) {
  const bool is_first = pending_.revision == 0;
  if (auto error = AddToSnapshot(response)) return Fail(now, std::move(*error), actions);
  const Section& section = sections_[pending_.section];
  const bool ends_section = !response.more() || response.kvs_size() == 0;
  const bool is_last = ends_section && pending_.section + 1 == sections_.size();
  std::string next_key;
  if (!ends_section) next_key = response.kvs(response.kvs_size() - 1).key() + std::string(1, '\0');
  SnapshotPage page{.cluster_id = pending_.cluster_id,
                    .revision = pending_.revision,
                    .first = is_first,
                    .last = is_last,
                    .kvs = {},
                    .section = pending_.section,
                    .ends_section = ends_section};
  page.kvs.reserve(static_cast<std::size_t>(response.kvs_size()));
  for (pb::KeyValue& kv : *response.mutable_kvs()) {
    if (section.Contains(kv.key())) page.kvs.push_back(std::move(kv));
  }
  actions->push_back(std::move(page));
  if (!ends_section) return RequestPage(now, std::move(next_key), actions);
  if (is_last) return CompleteSnapshot(now, actions);
  ++pending_.section;
  RequestFirstPage(now, actions);
}

void Follower::CompleteSnapshot(Time now, Actions* actions) {
  ++snapshots_;
  has_snapshot_ = true;
  cluster_id_ = pending_.cluster_id;
  for (Section& section : sections_) section.revision = pending_.revision;
  StartWatch(now, actions);
}

// ---- watches

void Follower::StartWatch(Time now, Actions* actions) {
  state_ = State::kWatching;
  wake_at_ = now + settings_.watch_idle_timeout;
  is_progress_requested_ = false;
  for (Section& section : sections_) {
    section.fragments.clear();
    section.is_watched = false;
  }
  actions->push_back(Watch{MakeCreateRequest(0)});
  for (std::size_t i = 1; i < sections_.size(); ++i) actions->push_back(AddWatch{MakeCreateRequest(i)});
}

pb::WatchRequest Follower::MakeCreateRequest(std::size_t section) const {
  pb::WatchRequest request;
  auto* create = request.mutable_create_request();
  create->set_key(sections_[section].prefix);
  create->set_range_end(PrefixRangeEnd(sections_[section].prefix));
  create->set_start_revision(sections_[section].revision + 1);
  create->set_progress_notify(true);
  create->set_fragment(true);
  // The server assigns the id of a single watch.
  if (sections_.size() > 1) create->set_watch_id(static_cast<std::int64_t>(section) + 1);
  return request;
}

// Returns null if `watch_id` is not the id of a requested watch.
Follower::Section* Follower::FindWatchedSection(std::int64_t watch_id) {
  if (sections_.size() == 1) return &sections_.front();
  if (watch_id < 1 || watch_id > static_cast<std::int64_t>(sections_.size())) return nullptr;
  return &sections_[static_cast<std::size_t>(watch_id - 1)];
}

void Follower::WatchReceived(Time now, pb::WatchResponse response, Actions* actions) {
  if (state_ != State::kWatching) return;
  if (response.header().cluster_id() != cluster_id_)
    return Fail(now, {FollowerErrorCode::kClusterChangedInWatch}, actions);
  wake_at_ = now + settings_.watch_idle_timeout;
  is_progress_requested_ = false;
  if (response.canceled()) return WatchCancelled(now, response, actions);
  Section* section = FindWatchedSection(response.watch_id());
  if (section && response.created()) return WatchCreated(*section, actions);
  const bool is_progress =
      response.events_size() == 0 && !response.fragment() && (!section || section->fragments.empty());
  if (is_progress) return ApplyProgress(response.watch_id(), response.header().revision(), actions);
  if (!section) return Fail(now, {FollowerErrorCode::kUnknownWatch}, actions);
  BufferEvents(now, *section, std::move(response), actions);
}

void Follower::WatchCancelled(Time now, const pb::WatchResponse& response, Actions* actions) {
  if (response.compact_revision() <= 0)
    return Fail(now, MakeFollowerError(FollowerErrorCode::kWatchCancelled, response.cancel_reason()),
                actions);
  last_error_ = FollowerError{FollowerErrorCode::kCompacted, {}, {}, 0, response.compact_revision()};
  // The snapshot is read on the same connection; the watch stream stays open but is no longer used.
  StartSnapshot(now, actions);
}

void Follower::WatchCreated(Section& section, Actions* actions) {
  section.is_watched = true;
  const bool all_are_watched =
      std::all_of(sections_.begin(), sections_.end(), [](const Section& each) { return each.is_watched; });
  if (!all_are_watched) return;
  is_established_ = true;
  backoff_ = settings_.first_backoff;
  failures_ = 0;
  step_timeout_ = std::clamp(longest_step_ * 2, settings_.min_step_timeout, settings_.call_timeout);
  actions->push_back(Progress{revision()});
}

// Applies progress to one watch, or to all watches if the id is not that of a requested watch.
void Follower::ApplyProgress(std::int64_t watch_id, std::int64_t revision, Actions* actions) {
  const Section* only = FindWatchedSection(watch_id);
  for (Section& section : sections_) {
    const bool is_affected = !only || only == &section;
    if (is_affected && section.is_watched && section.fragments.empty())
      section.revision = std::max(section.revision, revision);
  }
  actions->push_back(Progress{this->revision()});
}

void Follower::BufferEvents(Time now, Section& section, pb::WatchResponse response, Actions* actions) {
  const std::size_t buffered = section.fragments.size() + static_cast<std::size_t>(response.events_size());
  if (buffered > settings_.max_buffered_events)
    return Fail(now, {FollowerErrorCode::kTooManyBufferedEvents, {}, {}, settings_.max_buffered_events},
                actions);
  std::move(response.mutable_events()->begin(), response.mutable_events()->end(),
            std::back_inserter(section.fragments));
  if (!response.fragment()) ApplyEvents(now, section, actions);
}

// Delivers the buffered events, which end with a complete revision.
void Follower::ApplyEvents(Time now, Section& section, Actions* actions) {
  const auto index = static_cast<std::size_t>(&section - sections_.data());
  Events applied{.cluster_id = cluster_id_, .revision = section.revision, .events = {}, .section = index};
  for (pb::Event& event : std::exchange(section.fragments, {})) {
    const std::int64_t revision = event.kv().mod_revision();
    if (revision < applied.revision) return Fail(now, {FollowerErrorCode::kEventsOutOfOrder}, actions);
    if (revision <= section.revision) continue;  // already delivered
    applied.revision = revision;
    if (section.Contains(event.kv().key())) applied.events.push_back(std::move(event));
  }
  if (applied.revision == section.revision) {
    actions->push_back(Progress{revision()});
    return;
  }
  section.revision = applied.revision;
  actions->push_back(std::move(applied));
}

void Follower::WatchEnded(Time now, const Status& status, Actions* actions) {
  if (state_ != State::kWatching) return;
  Fail(now, {FollowerErrorCode::kWatchEnded, status}, actions);
}

}  // namespace badgerbridge::etcd
