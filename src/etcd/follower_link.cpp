// SPDX-License-Identifier: Apache-2.0
#include "etcd/follower_link.h"

#include <time.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>

namespace badgerbridge::etcd {

namespace pb = etcdserverpb;

namespace {

FollowerSettings CompleteSettings(const FollowerLinkSettings& settings) {
  FollowerSettings follower = settings.follower;
  follower.endpoints = settings.endpoints.size();
  follower.authenticate = !settings.user.empty();
  return follower;
}

}  // namespace

template <typename Step>
auto FollowerLink::GuardedCallback(Step step) {
  return [this, is_alive = is_alive_, number = channel_number_, step = std::move(step)](auto&&... arguments) {
    if (!*is_alive || number != channel_number_) return;
    Follower::Actions actions;
    step(&actions, std::forward<decltype(arguments)>(arguments)...);
    PerformAll(std::move(actions));
  };
}

FollowerLink::FollowerLink(boost::asio::io_context& io, FollowerLinkSettings settings, std::uint64_t seed,
                           FollowerLinkCallbacks callbacks)
    : io_(io),
      settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      follower_(CompleteSettings(settings_), seed),
      timer_(io) {
  boost::asio::post(io_,
                    GuardedCallback([this](Follower::Actions* actions) { follower_.Tick(Now(), actions); }));
}

FollowerLink::~FollowerLink() {
  *is_alive_ = false;
  if (channel_) channel_->Close("the follower was destroyed");
}

FollowerLink::Time FollowerLink::Now() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return Time(now.tv_sec * 1000 + now.tv_nsec / 1000000);
}

// Performing an action may trigger inputs to the follower; their actions are appended to the queue.
void FollowerLink::PerformAll(Follower::Actions actions) {
  std::move(actions.begin(), actions.end(), std::back_inserter(pending_actions_));
  if (is_performing_) return;
  is_performing_ = true;
  while (!pending_actions_.empty()) {
    Follower::Action next = std::move(pending_actions_.front());
    pending_actions_.pop_front();
    std::visit([this](auto& action) { Perform(action); }, next);
  }
  is_performing_ = false;
  ArmTimer();
}

void FollowerLink::ArmTimer() {
  timer_.ArmAfter(std::max(Time(0), follower_.NextWake() - Now()), [this] { OnTimer(); });
}

void FollowerLink::OnTimer() {
  if (channel_ && channel_->ShouldPostpone(&read_grace_))
    return timer_.ArmAfter(net::ReadTimeoutGrace::kRecheckInterval, [this] { OnTimer(); });
  Follower::Actions actions;
  follower_.Tick(Now(), &actions);
  PerformAll(std::move(actions));
}

template <typename Response>
void FollowerLink::Call(const std::string& path, const std::string& request,
                        std::function<void(Status, Response)> on_completed) {
  const auto parse = [on_completed = std::move(on_completed)](Status status, const std::string& body) {
    Response response;
    if (status.ok() && !response.ParseFromString(body)) status = MalformedResponse();
    on_completed(std::move(status), std::move(response));
  };
  channel_->CallUnary(path, metadata_, request, settings_.follower.call_timeout, parse);
}

void FollowerLink::DetachChannel() {
  ++channel_number_;
  watch_.reset();
  is_ready_for_calls_ = false;
}

void FollowerLink::Perform(Follower::Connect& action) {
  if (channel_) channel_->Close("replaced by a new connection");
  DetachChannel();
  metadata_.clear();
  const auto on_open = GuardedCallback([this](Follower::Actions* actions) {
    is_ready_for_calls_ = settings_.user.empty();
    follower_.Opened(Now(), actions);
  });
  const auto on_closed = GuardedCallback([this](Follower::Actions* actions, const ConnectionError& error) {
    follower_.Closed(Now(), error, actions);
  });
  channel_ = Channel::Open(io_, settings_.endpoints[action.endpoint], settings_.channel, on_open, on_closed);
}

void FollowerLink::Perform(Follower::Authenticate&) {
  pb::AuthenticateRequest request;
  request.set_name(settings_.user);
  request.set_password(settings_.password);
  const auto on_completed = GuardedCallback(
      [this](Follower::Actions* actions, const Status& status, const pb::AuthenticateResponse& response) {
        if (status.ok()) metadata_ = {{"token", response.token()}};
        is_ready_for_calls_ = status.ok();
        follower_.Authenticated(Now(), status, actions);
      });
  Call<pb::AuthenticateResponse>("/etcdserverpb.Auth/Authenticate", request.SerializeAsString(),
                                 on_completed);
}

void FollowerLink::Perform(Follower::Range& action) {
  const auto on_completed =
      GuardedCallback([this](Follower::Actions* actions, const Status& status, pb::RangeResponse response) {
        follower_.RangeCompleted(Now(), status, std::move(response), actions);
      });
  Call<pb::RangeResponse>("/etcdserverpb.KV/Range", action.request.SerializeAsString(), on_completed);
}

void FollowerLink::OnWatchMessage(std::string_view message, Follower::Actions* actions) {
  pb::WatchResponse response;
  if (response.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    follower_.WatchReceived(Now(), std::move(response), actions);
  } else {
    follower_.WatchEnded(Now(), MalformedResponse(), actions);
  }
}

void FollowerLink::Perform(Follower::Watch& action) {
  if (watch_) channel_->CancelCall(*std::exchange(watch_, std::nullopt));
  const auto is_current = std::make_shared<bool>(true);  // false once this watch has ended or was replaced
  const auto on_message = GuardedCallback(
      [this](Follower::Actions* actions, std::string_view message) { OnWatchMessage(message, actions); });
  const auto on_end = GuardedCallback([this](Follower::Actions* actions, const Status& status) {
    follower_.WatchEnded(Now(), status, actions);
  });
  CallHandler handler;
  handler.on_message = [is_current, on_message](std::string_view message) {
    if (*is_current) on_message(message);
  };
  handler.on_end = [is_current, on_end](const Status& status) {
    *is_current = false;
    if (status.ending != Ending::kCancelled) on_end(status);
  };
  watch_ = channel_->BeginCall("/etcdserverpb.Watch/Watch", metadata_, action.request.SerializeAsString(),
                               false, std::move(handler));
  if (watch_) return;
  const Status refused{Code::kUnavailable, Ending::kRefused, "the connection takes no more calls"};
  boost::asio::post(io_, [on_end, refused] { on_end(refused); });
}

void FollowerLink::SendOnWatch(const pb::WatchRequest& request) {
  if (channel_ && watch_) channel_->SendMessage(*watch_, request.SerializeAsString(), false);
}

void FollowerLink::Perform(Follower::AddWatch& action) { SendOnWatch(action.request); }

void FollowerLink::Perform(Follower::RequestProgress&) { RequestProgress(); }

void FollowerLink::RequestProgress() {
  pb::WatchRequest request;
  request.mutable_progress_request();
  SendOnWatch(request);
}

void FollowerLink::Reject(const std::string& reason) {
  Follower::Actions actions;
  follower_.Reject(Now(), reason, &actions);
  PerformAll(std::move(actions));
}

void FollowerLink::Perform(Follower::Close& action) {
  DetachChannel();
  if (channel_) channel_->Close(Message(action.error));
  channel_.reset();
}

void FollowerLink::Perform(Follower::SnapshotPage& action) {
  if (callbacks_.on_snapshot_page) return callbacks_.on_snapshot_page(std::move(action));
  if (!callbacks_.on_snapshot) return;
  if (action.first) snapshot_.clear();
  std::move(action.kvs.begin(), action.kvs.end(), std::back_inserter(snapshot_));
  if (action.last) callbacks_.on_snapshot(action.cluster_id, action.revision, std::exchange(snapshot_, {}));
}

void FollowerLink::Perform(Follower::Events& action) {
  if (callbacks_.on_section_events) return callbacks_.on_section_events(std::move(action));
  if (callbacks_.on_events)
    callbacks_.on_events(action.cluster_id, action.revision, std::move(action.events));
}

void FollowerLink::Perform(Follower::Progress& action) {
  if (callbacks_.on_progress) callbacks_.on_progress(action.revision);
}

void FollowerLink::Perform(Follower::Disconnected& action) {
  is_ready_for_calls_ = false;
  if (callbacks_.on_disconnected) callbacks_.on_disconnected(action.error);
}

// The result is posted, because a connection that ends within CallUnary completes the call before it returns.
void FollowerLink::Confirm(OnConfirmed done) {
  auto post_result = [&io = io_, is_alive = is_alive_, done = std::move(done)](Status status,
                                                                               pb::RangeResponse response) {
    boost::asio::post(io, [is_alive, done, status, header = response.header()] {
      if (*is_alive) done(status, header);
    });
  };
  if (!channel_ || !channel_->is_open() || !is_ready_for_calls_) {
    post_result({Code::kUnavailable, Ending::kStatus, "no connection to confirm a revision"}, {});
    return;
  }
  pb::RangeRequest request;
  request.set_key(settings_.follower.prefix);
  request.set_limit(1);
  request.set_keys_only(true);
  Call<pb::RangeResponse>("/etcdserverpb.KV/Range", request.SerializeAsString(), std::move(post_result));
}

}  // namespace badgerbridge::etcd
