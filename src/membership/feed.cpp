// SPDX-License-Identifier: Apache-2.0
#include "membership/feed.h"

#include <algorithm>
#include <utility>

namespace badgerbridge::membership {

namespace pb = etcdserverpb;

Feed::Feed(FeedSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      backoff_(settings_.first_backoff),
      patience_(settings_.call_timeout) {
  endpoint_ = random_() % settings_.endpoints;  // proxies spread over the members
}

std::string_view Feed::state() const {
  constexpr std::string_view kNames[] = {"waiting", "connecting", "authenticating",
                                         "asking",  "listing",    "watching"};
  return kNames[static_cast<int>(state_)];
}

std::optional<Time> Feed::NextWake() const { return wake_; }

void Feed::Begin(Time now, Actions* actions) {
  state_ = State::kConnecting;
  wake_ = now + patience_;
  began_ = now;
  longest_ = Time(0);
  events_.clear();
  listing_.clear();
  unreadable_.clear();
  asked_ = false;
  actions->push_back(Connect{endpoint_});
}

// Another endpoint at once, as long as there is one that has not just failed; then with back-off.
void Feed::Fail(Time now, const std::string& why, Actions* actions) {
  trouble_ = why;
  if (state_ != State::kWaiting && state_ != State::kConnecting) actions->push_back(Close{why});
  state_ = State::kWaiting;
  endpoint_ = (endpoint_ + 1) % settings_.endpoints;
  const auto half = static_cast<std::uint64_t>(backoff_.count() / 2);
  wake_ = now + Time(static_cast<std::int64_t>(half + random_() % (half + 1)));
  backoff_ = std::min(settings_.most_backoff, backoff_ * 2);
  if (++failures_ % settings_.endpoints == 0) patience_ = std::min(settings_.call_timeout, patience_ * 2);
}

// The next step of coming to follow a member has as long as patience allows: a member that is up and says
// nothing must cost little, since a drain may be waiting. It grows while all of them fail, and is never under
// twice what the last good ones took.
void Feed::Next(Time now, State state) {
  state_ = state;
  wake_ = now + patience_;
}

// A first step is answered.
void Feed::Took(Time now) {
  longest_ = std::max(longest_, now - began_);
  began_ = now;
}

void Feed::Tick(Time now, Actions* actions) {
  if (now < wake_) return;
  switch (state_) {
    case State::kWaiting:
      return Begin(now, actions);
    case State::kConnecting:
    case State::kAuthenticating:
    case State::kProbing:
    case State::kListing:
      if (state_ == State::kConnecting) actions->push_back(Close{"no connection in time"});
      return Fail(now, "no answer in time", actions);
    case State::kWatching:
      if (asked_) return Fail(now, "the watch says nothing, not even when asked", actions);
      asked_ = true;
      wake_ = now + settings_.call_timeout;
      actions->push_back(AskProgress{});
  }
}

void Feed::Opened(Time now, Actions* actions) {
  if (state_ != State::kConnecting) return;
  Took(now);
  if (settings_.authenticate) {
    Next(now, State::kAuthenticating);
    actions->push_back(Authenticate{});
    return;
  }
  Authenticated(now, {}, actions);
}

void Feed::Authenticated(Time now, const etcd::Status& status, Actions* actions) {
  if (state_ != State::kConnecting && state_ != State::kAuthenticating) return;
  if (!status.ok()) {
    state_ = State::kAuthenticating;
    return Fail(now, "authentication: " + status.Text(), actions);
  }
  Took(now);
  if (!known_) return List(now, actions);
  // What is committed? By a read that can't be behind, of a single key.
  Next(now, State::kProbing);
  Range range;
  range.request.set_key(settings_.prefix);
  range.request.set_limit(1);
  range.request.set_keys_only(true);
  actions->push_back(std::move(range));
}

void Feed::List(Time now, Actions* actions) {
  state_ = State::kListing;
  wake_ = now + settings_.call_timeout;
  listing_.clear();
  unreadable_.clear();
  listing_at_ = 0;
  Range range;
  range.request.set_key(settings_.prefix);
  range.request.set_range_end(EndOfPrefix(settings_.prefix));
  range.request.set_limit(settings_.page);
  actions->push_back(std::move(range));
}

std::optional<Member> Feed::ValueIn(const pb::KeyValue& kv, Actions* actions) const {
  Member member;
  const auto problem = ReadMember(kv.key().substr(settings_.prefix.size()), kv.value(), &member);
  actions->push_back(BadKey{kv.key(), problem.value_or("")});
  if (problem) return std::nullopt;
  return member;
}

void Feed::Ranged(Time now, const etcd::Status& status, const pb::RangeResponse& response, Actions* actions) {
  if (state_ != State::kProbing && state_ != State::kListing) return;
  if (!status.ok()) {
    // The pages' revision was compacted beneath them: from the start, at a newer one.
    if (state_ == State::kListing && listing_at_ != 0 && status.code == etcd::Code::kOutOfRange)
      return List(now, actions);
    return Fail(now, std::string(state()) + ": " + status.Text(), actions);
  }
  const pb::ResponseHeader& header = response.header();
  if (state_ == State::kProbing) {
    Took(now);
    if (header.cluster_id() != cluster_ || header.revision() < revision_) return List(now, actions);
    ++resumes_;
    return StartWatch(now, actions);
  }
  if (listing_at_ == 0) {
    listing_at_ = header.revision();
    listing_cluster_ = header.cluster_id();
  } else if (header.cluster_id() != listing_cluster_) {
    return Fail(now, "another cluster answers in the midst of a list", actions);
  }
  for (const pb::KeyValue& kv : response.kvs()) {
    if (kv.key().rfind(settings_.prefix, 0) != 0) continue;
    if (auto member = ValueIn(kv, actions)) {
      listing_.push_back(std::move(*member));
    } else {
      unreadable_.push_back(kv.key().substr(settings_.prefix.size()));
    }
  }
  if (response.more() && response.kvs_size() > 0) {
    wake_ = now + settings_.call_timeout;
    Range range;
    range.request.set_key(response.kvs(response.kvs_size() - 1).key() + std::string(1, '\0'));
    range.request.set_range_end(EndOfPrefix(settings_.prefix));
    range.request.set_limit(settings_.page);
    range.request.set_revision(listing_at_);
    actions->push_back(std::move(range));
    return;
  }
  ++lists_;
  Tell tell;
  tell.report = {settings_.source,
                 listing_cluster_,
                 static_cast<std::uint64_t>(listing_at_),
                 true,
                 true,
                 std::exchange(listing_, {}),
                 std::exchange(unreadable_, {})};
  actions->push_back(std::move(tell));
  known_ = true;
  cluster_ = listing_cluster_;
  revision_ = listing_at_;
  StartWatch(now, actions);
}

void Feed::StartWatch(Time now, Actions* actions) {
  state_ = State::kWatching;
  wake_ = now + settings_.silence;
  asked_ = false;
  events_.clear();
  Watch watch;
  auto* create = watch.request.mutable_create_request();
  create->set_key(settings_.prefix);
  create->set_range_end(EndOfPrefix(settings_.prefix));
  create->set_start_revision(revision_ + 1);
  create->set_progress_notify(true);
  create->set_fragment(true);
  actions->push_back(std::move(watch));
}

void Feed::Watched(Time now, const pb::WatchResponse& response, Actions* actions) {
  if (state_ != State::kWatching) return;
  if (response.header().cluster_id() != cluster_)
    return Fail(now, "another cluster answers a watch", actions);
  wake_ = now + settings_.silence;
  asked_ = false;
  if (response.canceled()) {
    if (response.compact_revision() > 0) {
      trouble_ = "history is compacted up to " + std::to_string(response.compact_revision());
      // On this connection still; the watch's stream stays open and is of no more use.
      return List(now, actions);
    }
    return Fail(now, "the watch was cancelled: " + response.cancel_reason(), actions);
  }
  if (response.created()) {
    backoff_ = settings_.first_backoff;
    failures_ = 0;
    patience_ = std::clamp(longest_ * 2, settings_.first_patience, settings_.call_timeout);
    actions->push_back(Alive{});
    return;
  }
  if (events_.size() + static_cast<std::size_t>(response.events_size()) > settings_.most_events)
    return Fail(now, "more events of one revision than are taken", actions);
  for (const pb::Event& event : response.events()) events_.push_back(event);
  if (response.fragment()) return;
  Apply(now, response.header().revision(), actions);
}

// All that has come, up to the end of a revision.
void Feed::Apply(Time now, std::int64_t header_revision, Actions* actions) {
  actions->push_back(Alive{});
  if (events_.empty()) {
    // Progress: nothing is on its way up to here.
    revision_ = std::max(revision_, header_revision);
    return;
  }
  std::int64_t last = revision_;
  std::map<std::string, Member> changed;
  for (const pb::Event& event : events_) {
    const std::int64_t at = event.kv().mod_revision();
    if (at < last) return Fail(now, "events out of their order", actions);
    if (at <= revision_) continue;  // known already
    last = at;
    if (event.kv().key().rfind(settings_.prefix, 0) != 0) continue;
    const std::string name = event.kv().key().substr(settings_.prefix.size());
    if (event.type() == pb::Event::DELETE) {
      actions->push_back(BadKey{event.kv().key(), ""});
      Member gone;
      gone.name = name;
      gone.state = membership::State::kGone;
      changed[name] = std::move(gone);
    } else if (auto member = ValueIn(event.kv(), actions)) {
      changed[name] = std::move(*member);
    }
  }
  events_.clear();
  if (last == revision_) return;
  revision_ = last;
  Tell tell;
  tell.report = {settings_.source, cluster_, static_cast<std::uint64_t>(last), false, false, {}, {}};
  for (auto& [name, member] : changed) tell.report.members.push_back(std::move(member));
  actions->push_back(std::move(tell));
}

void Feed::WatchEnded(Time now, const etcd::Status& status, Actions* actions) {
  if (state_ != State::kWatching) return;
  Fail(now, "the watch ended: " + status.Text(), actions);
}

void Feed::Closed(Time now, const std::string& why, Actions* actions) {
  if (state_ == State::kWaiting) return;
  state_ = State::kConnecting;  // there is nothing to close
  Fail(now, why, actions);
}

}  // namespace badgerbridge::membership
