// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/service.h"

#include <algorithm>
#include <utility>

#include "http_api/address.h"
#include "watch_cache/service_internal.h"

namespace badgerbridge::watch_cache {
namespace {

namespace json = boost::json;
namespace pb = etcdserverpb;
using etcd::Code;
using etcd::StreamId;

// Time after the drain period for sending the last messages.
constexpr Time kDrainGracePeriod{500};
// Interval between checks whether a drain is complete.
constexpr Time kDrainCheckInterval{20};

etcd::FollowerLinkSettings UpstreamSettings(const ServiceSettings& settings) {
  etcd::FollowerLinkSettings upstream = settings.upstream;
  upstream.follower.prefix = settings.cache.prefix;
  return upstream;
}

}  // namespace

etcd::ServerOptions ServiceSettings::DefaultServerOptions() {
  etcd::ServerOptions options;
  options.limits.max_message_bytes = 64 << 10;
  options.limits.max_unsent_bytes = 32 << 20;
  return options;
}

Service::Service(boost::asio::io_context& io, ServiceSettings settings, std::uint64_t seed)
    : io_(io), settings_(std::move(settings)), cache_(settings_.cache), timer_(io) {
  server_ = std::make_unique<etcd::Server>(
      io_, settings_.listen, settings_.server,
      [this](const std::shared_ptr<etcd::ServerConnection>& link) { return AcceptConnection(link); });
  upstream_ =
      std::make_unique<etcd::FollowerLink>(io_, UpstreamSettings(settings_), seed, UpstreamCallbacks());
}

Service::~Service() {
  upstream_.reset();
  server_.reset();
}

etcd::FollowerLinkCallbacks Service::UpstreamCallbacks() {
  etcd::FollowerLinkCallbacks callbacks;
  callbacks.on_snapshot = [this](std::uint64_t cluster_id, std::int64_t revision,
                                 std::vector<pb::KeyValue> kvs) {
    RunCore([&](auto* actions) {
      cache_.UpstreamSnapshot(Now(), cluster_id, revision, std::move(kvs), actions);
    });
  };
  callbacks.on_events = [this](std::uint64_t, std::int64_t revision, std::vector<pb::Event> events) {
    RunCore([&](auto* actions) { cache_.UpstreamEvents(Now(), revision, std::move(events), actions); });
  };
  callbacks.on_progress = [this](std::int64_t revision) {
    RunCore([&](auto* actions) { cache_.UpstreamProgress(Now(), revision, actions); });
  };
  callbacks.on_disconnected = [this](const etcd::FollowerError& error) {
    RunCore([&](auto* actions) { cache_.UpstreamLost(Now(), Message(error), actions); });
  };
  return callbacks;
}

etcd::Http2ServerHandler Service::AcceptConnection(const std::shared_ptr<etcd::ServerConnection>& link) {
  const auto accepted = std::make_shared<Connection>(link);
  connections_.insert(accepted);
  // The handlers may use `this`, because it outlives the server and its connections.
  const std::weak_ptr<Connection> weak = accepted;
  link->on_progress = [this, weak] {
    if (const auto connection = weak.lock()) SendPending(*connection);
  };
  link->on_disconnected = [this, weak](const etcd::ConnectionError&) {
    if (const auto connection = weak.lock()) connections_.erase(connection);
  };
  etcd::Http2ServerHandler handler;
  handler.on_call = [this, weak](StreamId stream, const etcd::CallHeaders& headers) {
    if (const auto connection = weak.lock()) OnCall(*connection, stream, headers);
  };
  handler.on_message = [this, weak](StreamId stream, std::string_view message) {
    if (const auto connection = weak.lock()) OnMessage(connection, stream, message);
  };
  handler.on_half_closed = [this, weak](StreamId stream) {
    if (const auto connection = weak.lock()) OnHalfClosed(connection, stream);
  };
  handler.on_closed = [this, weak](StreamId stream) {
    if (const auto connection = weak.lock()) OnCallClosed(*connection, stream);
  };
  handler.on_protocol_error = [this](const etcd::ProtocolError&) { ++protocol_violations_; };
  return handler;
}

// ---- the core's actions ---------------------------------------------------------------------------------

// Not re-entrant: an action may call the core again, whose new actions are performed after the pending ones.
void Service::PerformActions() {
  if (is_performing_) return;
  is_performing_ = true;
  while (!actions_.empty()) {
    WatchCache::Action next = std::move(actions_.front());
    actions_.pop_front();
    std::visit([this](auto& action) { Perform(action); }, next);
  }
  is_performing_ = false;
  for (const ConnectionPtr& connection : std::exchange(connections_to_send_, {})) SendPending(*connection);
  ArmTimer();
}

void Service::Perform(WatchCache::AnswerRead& action) {
  const auto found = reads_.find(action.read);
  if (found == reads_.end()) return;
  const PendingRead read = found->second;
  reads_.erase(found);
  const auto connection = read.connection.lock();
  if (!connection) return;
  const auto call = connection->calls.find(read.stream);
  if (call != connection->calls.end()) call->second.read = 0;
  etcd::Status status = std::move(action.status);
  if (status.ok() && !connection->http2().SendMessage(read.stream, action.response.SerializeAsString())) {
    status = Error(Code::kResourceExhausted, "answers before this one are not read yet");
  }
  connection->http2().Finish(read.stream, status);
  connections_to_send_.insert(connection);
}

void Service::Perform(WatchCache::ConfirmRevision& action) {
  upstream_->Confirm([this, confirmation = action.confirmation](const etcd::Status& status,
                                                                const pb::ResponseHeader& header) {
    RunCore([&](auto* actions) { cache_.RevisionConfirmed(Now(), confirmation, status, header, actions); });
  });
}

void Service::Perform(WatchCache::WakeSubscriber& action) {
  const auto found = subscribers_.find(action.subscriber);
  if (found == subscribers_.end()) return;
  const auto connection = found->second.connection.lock();
  if (!connection) return;
  connection->ready_subscribers.push_back(action.subscriber);
  connections_to_send_.insert(connection);
}

// Ends the stream with all its watches, because the reader has to use another cache.
void Service::Perform(WatchCache::EndSubscriber& action) {
  const auto found = subscribers_.find(action.subscriber);
  if (found == subscribers_.end()) return;
  const auto connection = found->second.connection.lock();
  const StreamId stream = found->second.stream;
  if (!connection) return;
  RemoveWatch(*connection, action.subscriber);
  const auto call = connection->calls.find(stream);
  if (call == connection->calls.end()) return;
  call->second.finished = true;
  connection->http2().Finish(stream, action.status);
  connections_to_send_.insert(connection);
  const auto other_watches = call->second.watches;
  for (const auto& [watch_id, subscriber] : other_watches) {
    cache_.Unsubscribe(subscriber);
    RemoveWatch(*connection, subscriber);
  }
}

void Service::Perform(WatchCache::RequestUpstreamProgress&) { upstream_->RequestProgress(); }

void Service::Perform(WatchCache::RejectUpstream& action) { upstream_->Reject(action.reason); }

void Service::SendPending(Connection& connection) {
  if (connection.link->is_closed()) return;
  while (!connection.ready_subscribers.empty() &&
         connection.http2().unsent_bytes() < settings_.max_unsent_bytes) {
    const SubscriberId subscriber = connection.ready_subscribers.front();
    connection.ready_subscribers.pop_front();
    if (SendNextMessage(connection, subscriber)) connection.ready_subscribers.push_back(subscriber);
  }
  connection.link->Flush();
}

// Returns whether the watch may have another message.
bool Service::SendNextMessage(Connection& connection, SubscriberId subscriber) {
  const auto found = subscribers_.find(subscriber);
  if (found == subscribers_.end()) return false;
  std::optional<pb::WatchResponse> response =
      cache_.NextMessage(Now(), subscriber, settings_.max_message_bytes);
  if (!response) return false;
  response->set_watch_id(found->second.watch_id);
  connection.http2().SendMessage(found->second.stream, response->SerializeAsString());
  if (!response->canceled()) return true;
  RemoveWatch(connection, subscriber);
  return false;
}

void Service::ArmTimer() {
  std::optional<Time> wake = cache_.NextWake();
  if (on_drained_) wake = std::min(wake.value_or(Time::max()), Now() + kDrainCheckInterval);
  if (!wake || *wake >= armed_for_) return;
  armed_for_ = *wake;
  timer_.ArmAfter(std::max(Time(0), *wake - Now()), [this] {
    armed_for_ = Time::max();
    RunCore([this](auto* actions) { cache_.Tick(Now(), actions); });
    CheckDrained();
  });
}

// ---- the drain ------------------------------------------------------------------------------------------

void Service::Drain(std::function<void()> done) {
  if (drain_deadline_) return;
  on_drained_ = std::move(done);
  drain_deadline_ = Now() + settings_.cache.drain_period + kDrainGracePeriod;
  server_->StopAccepting();
  RunCore([this](auto* actions) { cache_.Drain(Now(), actions); });
}

void Service::CheckDrained() {
  if (!on_drained_) return;
  const bool has_no_calls =
      std::all_of(connections_.begin(), connections_.end(),
                  [](const ConnectionPtr& connection) { return connection->http2().open_calls() == 0; });
  const bool is_drained = cache_.drained() && has_no_calls;
  if (is_drained || Now() >= *drain_deadline_) {
    std::exchange(on_drained_, nullptr)();
    return;
  }
  ArmTimer();
}

// ---- the status endpoint --------------------------------------------------------------------------------

json::object Service::Describe() const {
  const WatchCache::Status status = cache_.status();
  return {{"prefix", settings_.cache.prefix},
          {"listen", http_api::ToText(address())},
          {"upstream", DescribeUpstream(status)},
          {"cluster_id", status.cluster_id},
          {"revision", status.revision},
          {"compact_revision", status.compact_revision},
          {"keys", status.keys},
          {"state_bytes", status.state_bytes},
          {"window", json::object{{"events", status.window_events}, {"bytes", status.window_bytes}}},
          {"readers", DescribeReaders(status)},
          {"draining", drain_deadline_.has_value()}};
}

json::object Service::DescribeUpstream(const WatchCache::Status& status) const {
  json::array endpoints;
  for (const auto& endpoint : settings_.upstream.endpoints)
    endpoints.emplace_back(http_api::ToText(endpoint));
  json::value age_ms = nullptr;
  if (status.last_upstream_message.count() != 0) age_ms = (Now() - status.last_upstream_message).count();
  return {{"endpoints", std::move(endpoints)},      {"connected", status.connected},
          {"state", upstream_->follower().state()}, {"last_error", status.last_upstream_error},
          {"heard_ms_ago", std::move(age_ms)},      {"snapshots", status.snapshots},
          {"rejected", status.upstream_rejections}, {"confirmations", status.confirmations}};
}

json::object Service::DescribeReaders(const WatchCache::Status& status) const {
  return {{"connections", connections_.size()},
          {"watches", status.subscribers},
          {"slow", status.slow_subscribers},
          {"merged_events", status.merged_events},
          {"waiting_reads", status.waiting_reads},
          {"reads", status.reads},
          {"lists", status.lists},
          {"resumed", status.resumed},
          {"told_to_reread", status.compacted},
          {"refused", status.rejected},
          {"writes_refused", rejected_writes_},
          {"protocol_violations", protocol_violations_}};
}

}  // namespace badgerbridge::watch_cache
