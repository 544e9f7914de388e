// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/simulation_client.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "watch_cache/world.h"

namespace badgerbridge::watch_cache::simulation {

namespace {

// Messages of a watch that the transport accepts before the client has received them.
constexpr int kMaxMessagesInFlight = 2;

etcd::FollowerSettings ClientSettings(std::size_t endpoints) {
  etcd::FollowerSettings settings;
  settings.prefix = kPrefix;
  settings.endpoints = endpoints;
  settings.page_size = 5;
  settings.max_backoff = Time(500);
  return settings;
}

}  // namespace

using etcd::Status;

Client::Client(World& world, std::vector<Server*> servers, std::uint64_t seed, Events events)
    : world_(world),
      servers_(std::move(servers)),
      events_(std::move(events)),
      follower_(ClientSettings(servers_.size()), seed) {}

template <typename Step>
void Client::CallFollower(Step step) {
  etcd::Follower::Actions actions;
  step(&actions);
  for (const auto& action : actions) std::visit([this](const auto& one) { Perform(one); }, action);
}

void Client::Tick() {
  if (follower_.NextWake() > world_.now()) return;
  CallFollower([&](auto* actions) { follower_.Tick(world_.now(), actions); });
}

void Client::CancelWatch(const SessionPtr& session) {
  if (session->stream != 0) session->server->CancelWatch(std::exchange(session->stream, 0));
  session->in_flight = 0;
}

void Client::Drop() {
  if (!session_) return;
  session_->open = false;
  session_->held.clear();  // their callbacks own the session
  CancelWatch(session_);
  session_.reset();
}

void Client::Cut() {
  if (!session_) return;
  ++world_.count().cuts;
  Drop();
  CallFollower([&](auto* actions) {
    follower_.Closed(world_.now(), {etcd::ConnectionErrorCode::kClosed, "cut"}, actions);
  });
}

void Client::Stall(bool stalled) {
  if (!session_) return;
  const SessionPtr session = session_;
  session->stalled = stalled;
  while (!session->stalled && session->open && !session->held.empty()) {
    const auto task = std::move(session->held.front());
    session->held.pop_front();
    task();
  }
}

void Client::RequestProgress() {
  if (!session_) return;
  ToServer(session_, [session = session_] {
    if (session->stream != 0) session->server->RequestProgress(session->stream);
  });
}

void Client::ToServer(const SessionPtr& session, std::function<void()> task) {
  world_.After(Time(world_.Draw(3)), [session, task = std::move(task)] {
    if (session->open && session->server->up()) task();
  });
}

void Client::ToClient(const SessionPtr& session, std::function<void()> task) {
  session->last_delivery = std::max(session->last_delivery, world_.now() + Time(world_.Draw(4)));
  world_.After(session->last_delivery - world_.now(), [session, task = std::move(task)] {
    if (!session->open) return;
    if (session->stalled) {
      session->held.push_back(task);
    } else {
      task();
    }
  });
}

void Client::Perform(const etcd::Follower::Connect& action) {
  Drop();
  session_ = std::make_shared<Session>();
  session_->client = this;
  session_->server = servers_[action.endpoint];
  ToClient(session_, [this, session = session_] {
    if (session->server->up() && !(world_.faults_enabled() && world_.Chance(5))) {
      CallFollower([&](auto* actions) { follower_.Opened(world_.now(), actions); });
    } else {
      Drop();
      CallFollower([&](auto* actions) {
        follower_.Closed(world_.now(), {etcd::ConnectionErrorCode::kClosed, "refused"}, actions);
      });
    }
  });
}

void Client::Perform(const etcd::Follower::Range& action) {
  ToServer(session_, [this, session = session_, request = action.request] {
    session->server->Range(request, [this, session](const Status& status, const pb::RangeResponse& response) {
      if (!session->open) return;
      ToClient(session, [this, status, response] {
        CallFollower(
            [&](auto* actions) { follower_.RangeCompleted(world_.now(), status, response, actions); });
      });
    });
  });
}

void Client::Perform(const etcd::Follower::Watch& action) {
  CancelWatch(session_);
  ToServer(session_, [this, session = session_, request = action.request.create_request()] {
    CancelWatch(session);
    const std::uint64_t id = world_.NextId();
    session->stream = id;
    Server::Stream stream;
    stream.id = id;
    stream.can_send = [session] { return session->in_flight < kMaxMessagesInFlight; };
    stream.send = [this, session, id](const pb::WatchResponse& response) {
      if (!session->open || session->stream != id) return;
      ++session->in_flight;
      ToClient(session, [this, session, id, response] {
        if (session->stream != id) return;
        --session->in_flight;
        events_.message(response);
        CallFollower([&](auto* actions) { follower_.WatchReceived(world_.now(), response, actions); });
        if (session->open && session->stream == id) session->server->SendPending(id);
      });
    };
    stream.end = [this, session, id](const Status& status) {
      if (!session->open || session->stream != id) return;
      session->stream = 0;
      ToClient(session, [this, status] {
        CallFollower([&](auto* actions) { follower_.WatchEnded(world_.now(), status, actions); });
      });
    };
    session->server->Watch(std::move(stream), request);
  });
}

void Client::Perform(const etcd::Follower::AddWatch&) {
  world_.AddViolation("a follower without sections issues AddWatch");
}

void Client::Perform(const etcd::Follower::SnapshotPage& action) {
  if (action.first) pages_.clear();
  pages_.insert(pages_.end(), action.kvs.begin(), action.kvs.end());
  if (action.last) events_.snapshot(action.cluster_id, action.revision, std::exchange(pages_, {}));
}

}  // namespace badgerbridge::watch_cache::simulation
