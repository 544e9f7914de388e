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
  endpoint_order_.resize(settings_.endpoints);
  std::iota(endpoint_order_.begin(), endpoint_order_.end(), std::size_t{0});
  std::shuffle(endpoint_order_.begin(), endpoint_order_.end(), random_);
}

std::string_view Follower::state() const {
  constexpr std::string_view kNames[] = {"waiting", "connecting", "authenticating",
                                         "asking",  "listing",    "watching"};
  return kNames[static_cast<int>(state_)];
}

void Follower::StartConnecting(Time now, Actions* actions) {
  state_ = State::kConnecting;
  wake_ = now + step_timeout_;
  step_began_ = now;
  longest_step_ = Time(0);
  fragments_.clear();
  progress_requested_ = false;
  established_ = false;
  actions->push_back(Connect{endpoint_order_[endpoint_]});
}

// How long to wait before the next endpoint is tried.
Follower::Time Follower::DrawPause(Code code) {
  const bool overloaded = code == Code::kResourceExhausted;
  if (established_ && !overloaded)
    return Time(DrawUpTo(static_cast<std::uint64_t>(settings_.reconnect_spread.count())));
  if (overloaded) backoff_ = std::max(backoff_, settings_.overload_backoff);
  const auto half = static_cast<std::uint64_t>(backoff_.count() / 2);
  backoff_ = std::min(settings_.max_backoff, backoff_ * 2);
  return Time(half + DrawUpTo(half));
}

void Follower::Fail(Time now, const std::string& why, Actions* actions, Code code) {
  last_error_ = why;
  if (state_ != State::kWaiting && state_ != State::kConnecting) actions->push_back(Close{why});
  actions->push_back(Disconnected{why});
  state_ = State::kWaiting;
  endpoint_ = (endpoint_ + 1) % settings_.endpoints;
  wake_ = now + DrawPause(code);
  established_ = false;
  const bool all_failed = ++failures_ % settings_.endpoints == 0;
  if (all_failed) step_timeout_ = std::min(settings_.call_timeout, step_timeout_ * 2);
}

// A step towards the watch may take step_timeout_: an endpoint that is up and doesn't answer must cost
// little, since a drain may be waiting. The timeout grows while all endpoints fail, and is never less than
// twice the longest step of the last success.
void Follower::EnterStep(Time now, State state) {
  state_ = state;
  wake_ = now + step_timeout_;
}

void Follower::StepCompleted(Time now) {
  longest_step_ = std::max(longest_step_, now - step_began_);
  step_began_ = now;
}

void Follower::Tick(Time now, Actions* actions) {
  if (now < wake_) return;
  switch (state_) {
    case State::kWaiting:
      return StartConnecting(now, actions);
    case State::kConnecting:
    case State::kAuthenticating:
    case State::kProbing:
    case State::kListing:
      if (state_ == State::kConnecting) actions->push_back(Close{"no connection in time"});
      return Fail(now, "no answer in time", actions);
    case State::kWatching:
      if (progress_requested_) return Fail(now, "the watch says nothing, not even when asked", actions);
      progress_requested_ = true;
      wake_ = now + settings_.call_timeout;
      actions->push_back(RequestProgress{});
  }
}

void Follower::Opened(Time now, Actions* actions) {
  if (state_ != State::kConnecting) return;
  StepCompleted(now);
  if (settings_.authenticate) {
    EnterStep(now, State::kAuthenticating);
    actions->push_back(Authenticate{});
    return;
  }
  Authenticated(now, {}, actions);
}

void Follower::Authenticated(Time now, const Status& status, Actions* actions) {
  if (state_ != State::kConnecting && state_ != State::kAuthenticating) return;
  if (!status.ok()) {
    state_ = State::kAuthenticating;
    return Fail(now, "authentication: " + status.Text(), actions, status.code);
  }
  StepCompleted(now);
  if (known_) return StartProbe(now, actions);
  StartSnapshot(now, actions);
}

// What is committed, by a linearizable read of a single key.
void Follower::StartProbe(Time now, Actions* actions) {
  EnterStep(now, State::kProbing);
  Range range;
  range.request.set_key(settings_.prefix);
  range.request.set_limit(1);
  range.request.set_keys_only(true);
  actions->push_back(std::move(range));
}

void Follower::StartSnapshot(Time now, Actions* actions) {
  state_ = State::kListing;
  known_ = false;  // pages of it may be given, and the rest not: then only another snapshot will do
  snapshot_revision_ = 0;
  snapshot_bytes_ = 0;
  RequestPage(now, settings_.prefix, actions);
}

// The page that starts at `key`: the first at the newest revision, the others at the first one's.
void Follower::RequestPage(Time now, std::string key, Actions* actions) {
  wake_ = now + settings_.call_timeout;
  Range range;
  range.request.set_key(std::move(key));
  range.request.set_range_end(PrefixRangeEnd(settings_.prefix));
  range.request.set_limit(settings_.page_size);
  range.request.set_revision(snapshot_revision_);
  actions->push_back(std::move(range));
}

void Follower::RangeCompleted(Time now, const Status& status, pb::RangeResponse response, Actions* actions) {
  if (state_ != State::kProbing && state_ != State::kListing) return;
  if (!status.ok()) {
    // The revision of the pages was compacted while they were read.
    if (state_ == State::kListing && snapshot_revision_ != 0 && status.code == Code::kOutOfRange)
      return StartSnapshot(now, actions);
    return Fail(now, std::string(state()) + ": " + status.Text(), actions, status.code);
  }
  if (state_ == State::kListing) return TakePage(now, std::move(response), actions);
  StepCompleted(now);
  const pb::ResponseHeader& header = response.header();
  const bool replaced = header.cluster_id() != cluster_id_ || header.revision() < revision_;
  if (replaced) return StartSnapshot(now, actions);
  ++resumes_;
  StartWatch(now, actions);
}

void Follower::TakePage(Time now, pb::RangeResponse response, Actions* actions) {
  const bool first = snapshot_revision_ == 0;
  if (response.header().revision() <= 0) return Fail(now, "a list without a revision", actions);
  if (first) {
    snapshot_revision_ = response.header().revision();
    snapshot_cluster_id_ = response.header().cluster_id();
  } else if (response.header().cluster_id() != snapshot_cluster_id_) {
    return Fail(now, "another cluster answers in the midst of a list", actions);
  }
  for (const pb::KeyValue& kv : response.kvs()) snapshot_bytes_ += kv.key().size() + kv.value().size();
  if (snapshot_bytes_ > settings_.max_snapshot_bytes) {
    return Fail(now, "a list of more than " + std::to_string(settings_.max_snapshot_bytes) + " bytes",
                actions);
  }
  const bool last = !response.more() || response.kvs_size() == 0;
  std::string next_key;
  if (!last) next_key = response.kvs(response.kvs_size() - 1).key() + std::string(1, '\0');
  SnapshotPage page{snapshot_cluster_id_, snapshot_revision_, first, last, {}};
  page.kvs.reserve(static_cast<std::size_t>(response.kvs_size()));
  for (pb::KeyValue& kv : *response.mutable_kvs()) {
    if (HasPrefix(kv.key())) page.kvs.push_back(std::move(kv));
  }
  actions->push_back(std::move(page));
  if (!last) return RequestPage(now, std::move(next_key), actions);
  ++snapshots_;
  known_ = true;
  cluster_id_ = snapshot_cluster_id_;
  revision_ = snapshot_revision_;
  StartWatch(now, actions);
}

void Follower::StartWatch(Time now, Actions* actions) {
  state_ = State::kWatching;
  wake_ = now + settings_.max_silence;
  progress_requested_ = false;
  fragments_.clear();
  Watch watch;
  auto* create = watch.request.mutable_create_request();
  create->set_key(settings_.prefix);
  create->set_range_end(PrefixRangeEnd(settings_.prefix));
  create->set_start_revision(revision_ + 1);
  create->set_progress_notify(true);
  create->set_fragment(true);
  actions->push_back(std::move(watch));
}

void Follower::WatchReceived(Time now, pb::WatchResponse response, Actions* actions) {
  if (state_ != State::kWatching) return;
  if (response.header().cluster_id() != cluster_id_)
    return Fail(now, "another cluster answers a watch", actions);
  wake_ = now + settings_.max_silence;
  progress_requested_ = false;
  if (response.canceled()) {
    if (response.compact_revision() > 0) {
      last_error_ = "history is compacted up to " + std::to_string(response.compact_revision());
      // On this connection still; the watch's stream stays open and is of no more use.
      return StartSnapshot(now, actions);
    }
    return Fail(now, "the watch was cancelled: " + response.cancel_reason(), actions);
  }
  if (response.created()) {
    established_ = true;
    backoff_ = settings_.first_backoff;
    failures_ = 0;
    step_timeout_ = std::clamp(longest_step_ * 2, settings_.min_step_timeout, settings_.call_timeout);
    actions->push_back(Progress{revision_});
    return;
  }
  if (fragments_.size() + static_cast<std::size_t>(response.events_size()) > settings_.max_buffered_events)
    return Fail(now, "more events of one revision than are taken", actions);
  std::move(response.mutable_events()->begin(), response.mutable_events()->end(),
            std::back_inserter(fragments_));
  if (response.fragment()) return;
  ApplyEvents(now, response.header().revision(), actions);
}

// All that has come, up to the end of a revision. Without events it is progress: nothing up to the header's
// revision is under way.
void Follower::ApplyEvents(Time now, std::int64_t header_revision, Actions* actions) {
  if (fragments_.empty()) {
    revision_ = std::max(revision_, header_revision);
    actions->push_back(Progress{revision_});
    return;
  }
  Events applied{cluster_id_, revision_, {}};
  for (pb::Event& event : std::exchange(fragments_, {})) {
    const std::int64_t revision = event.kv().mod_revision();
    if (revision < applied.revision) return Fail(now, "events out of their order", actions);
    if (revision <= revision_) continue;  // known already
    applied.revision = revision;
    if (HasPrefix(event.kv().key())) applied.events.push_back(std::move(event));
  }
  if (applied.revision == revision_) {
    actions->push_back(Progress{revision_});
    return;
  }
  revision_ = applied.revision;
  actions->push_back(std::move(applied));
}

void Follower::WatchEnded(Time now, const Status& status, Actions* actions) {
  if (state_ != State::kWatching) return;
  Fail(now, "the watch ended: " + status.Text(), actions, status.code);
}

void Follower::Closed(Time now, const std::string& why, Actions* actions) {
  if (state_ == State::kWaiting) return;
  state_ = State::kConnecting;  // there is nothing to close
  Fail(now, why, actions);
}

void Follower::Reject(Time now, const std::string& why, Actions* actions) {
  known_ = false;
  if (state_ == State::kWaiting) return;
  if (state_ == State::kConnecting) actions->push_back(Close{why});
  Fail(now, why, actions);
}

}  // namespace badgerbridge::etcd
