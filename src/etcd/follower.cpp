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

std::int64_t Follower::revision() const {
  const auto lowest = std::min_element(sections_.begin(), sections_.end(),
                                       [](const auto& a, const auto& b) { return a.revision < b.revision; });
  return lowest->revision;
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
  snapshot_section_ = 0;
  RequestFirstPage(now, actions);
}

// Of the section.
void Follower::RequestFirstPage(Time now, Actions* actions) {
  RequestPage(now, sections_[snapshot_section_].prefix, actions);
}

// The page that starts at `key`: the first at the newest revision, the others at the first one's.
void Follower::RequestPage(Time now, std::string key, Actions* actions) {
  wake_ = now + settings_.call_timeout;
  Range range;
  range.request.set_key(std::move(key));
  range.request.set_range_end(PrefixRangeEnd(sections_[snapshot_section_].prefix));
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
  const bool replaced = header.cluster_id() != cluster_id_ ||
                        std::any_of(sections_.begin(), sections_.end(), [&](const Section& section) {
                          return header.revision() < section.revision;
                        });
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
  const Section& section = sections_[snapshot_section_];
  const bool ends_section = !response.more() || response.kvs_size() == 0;
  const bool last = ends_section && snapshot_section_ + 1 == sections_.size();
  std::string next_key;
  if (!ends_section) next_key = response.kvs(response.kvs_size() - 1).key() + std::string(1, '\0');
  SnapshotPage page{snapshot_cluster_id_, snapshot_revision_, first, last, {},
                    snapshot_section_,    ends_section};
  page.kvs.reserve(static_cast<std::size_t>(response.kvs_size()));
  for (pb::KeyValue& kv : *response.mutable_kvs()) {
    if (section.Holds(kv.key())) page.kvs.push_back(std::move(kv));
  }
  actions->push_back(std::move(page));
  if (!ends_section) return RequestPage(now, std::move(next_key), actions);
  if (!last) {
    ++snapshot_section_;
    return RequestFirstPage(now, actions);
  }
  ++snapshots_;
  known_ = true;
  cluster_id_ = snapshot_cluster_id_;
  for (Section& each : sections_) each.revision = snapshot_revision_;
  StartWatch(now, actions);
}

void Follower::StartWatch(Time now, Actions* actions) {
  state_ = State::kWatching;
  wake_ = now + settings_.max_silence;
  progress_requested_ = false;
  for (Section& section : sections_) {
    section.fragments.clear();
    section.watched = false;
  }
  actions->push_back(Watch{CreateRequest(0)});
  for (std::size_t i = 1; i < sections_.size(); ++i) actions->push_back(AddWatch{CreateRequest(i)});
}

pb::WatchRequest Follower::CreateRequest(std::size_t section) const {
  pb::WatchRequest request;
  auto* create = request.mutable_create_request();
  create->set_key(sections_[section].prefix);
  create->set_range_end(PrefixRangeEnd(sections_[section].prefix));
  create->set_start_revision(sections_[section].revision + 1);
  create->set_progress_notify(true);
  create->set_fragment(true);
  // A single watch takes whatever id the server gives.
  if (sections_.size() > 1) create->set_watch_id(static_cast<std::int64_t>(section) + 1);
  return request;
}

// Null: none of ours.
Follower::Section* Follower::SectionOf(std::int64_t watch_id) {
  if (sections_.size() == 1) return &sections_.front();
  if (watch_id < 1 || watch_id > static_cast<std::int64_t>(sections_.size())) return nullptr;
  return &sections_[static_cast<std::size_t>(watch_id - 1)];
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
  Section* section = SectionOf(response.watch_id());
  if (section && response.created()) return WatchCreated(*section, actions);
  const bool progress =
      response.events_size() == 0 && !response.fragment() && (!section || section->fragments.empty());
  if (progress) return TakeProgress(response.watch_id(), response.header().revision(), actions);
  if (!section) return Fail(now, "events of a watch that was not asked for", actions);
  const std::size_t buffered = section->fragments.size() + static_cast<std::size_t>(response.events_size());
  if (buffered > settings_.max_buffered_events)
    return Fail(now, "more events of one revision than are taken", actions);
  std::move(response.mutable_events()->begin(), response.mutable_events()->end(),
            std::back_inserter(section->fragments));
  if (!response.fragment()) ApplyEvents(now, *section, actions);
}

void Follower::WatchCreated(Section& section, Actions* actions) {
  section.watched = true;
  const bool all =
      std::all_of(sections_.begin(), sections_.end(), [](const Section& each) { return each.watched; });
  if (!all) return;
  established_ = true;
  backoff_ = settings_.first_backoff;
  failures_ = 0;
  step_timeout_ = std::clamp(longest_step_ * 2, settings_.min_step_timeout, settings_.call_timeout);
  actions->push_back(Progress{revision()});
}

// Nothing up to the revision is under way: for one watch, or, where the id is none of ours, for all of them.
void Follower::TakeProgress(std::int64_t watch_id, std::int64_t revision, Actions* actions) {
  const Section* one = SectionOf(watch_id);
  for (Section& section : sections_) {
    const bool meant = !one || one == &section;
    if (meant && section.watched && section.fragments.empty())
      section.revision = std::max(section.revision, revision);
  }
  actions->push_back(Progress{this->revision()});
}

// All that has come, up to the end of a revision.
void Follower::ApplyEvents(Time now, Section& section, Actions* actions) {
  const auto index = static_cast<std::size_t>(&section - sections_.data());
  Events applied{cluster_id_, section.revision, {}, index};
  for (pb::Event& event : std::exchange(section.fragments, {})) {
    const std::int64_t revision = event.kv().mod_revision();
    if (revision < applied.revision) return Fail(now, "events out of their order", actions);
    if (revision <= section.revision) continue;  // known already
    applied.revision = revision;
    if (section.Holds(event.kv().key())) applied.events.push_back(std::move(event));
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
