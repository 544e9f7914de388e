// SPDX-License-Identifier: Apache-2.0
#include "watch_cache/service.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "http_api/address.h"

namespace badgerbridge::watch_cache {
namespace {

namespace json = boost::json;
namespace pb = etcdserverpb;
using etcd::Code;
using etcd::Ending;
using etcd::StreamId;

constexpr char kRange[] = "/etcdserverpb.KV/Range";
constexpr char kWatch[] = "/etcdserverpb.Watch/Watch";
constexpr char kStatus[] = "/etcdserverpb.Maintenance/Status";
constexpr char kAuthenticate[] = "/etcdserverpb.Auth/Authenticate";
// Services of etcd's API whose other methods change something, or tell of what a relay does not hold.
constexpr std::string_view kEtcdServices[] = {"/etcdserverpb.KV/", "/etcdserverpb.Lease/",
                                              "/etcdserverpb.Auth/", "/etcdserverpb.Cluster/",
                                              "/etcdserverpb.Maintenance/"};
// How long a shutdown goes on beyond the drain period, for the last messages to leave.
constexpr Time kDrainGrace{500};
constexpr Time kDrainCheck{20};

etcd::Status Error(Code code, std::string why) { return {code, Ending::kStatus, std::move(why)}; }

etcd::FollowerLinkSettings UpstreamSettings(const ServiceSettings& settings) {
  etcd::FollowerLinkSettings upstream = settings.upstream;
  upstream.follower.prefix = settings.relay.prefix;
  return upstream;
}

Time Now() { return etcd::FollowerLink::Now(); }

}  // namespace

etcd::ServerOptions ServiceSettings::DefaultServerOptions() {
  etcd::ServerOptions options;
  options.limits.message = 64 << 10;
  options.limits.unsent = 32 << 20;
  return options;
}

struct Service::Call {
  enum class Kind { kRange, kWatch, kStatus };
  Kind kind;
  std::string request;  // of a call with one message
  std::size_t messages = 0;
  ReadId read = 0;                               // that is under way
  std::map<std::int64_t, SubscriberId> watches;  // by watch id
  std::int64_t next_watch_id = 0;
  bool finished = false;
};

struct Service::Connection {
  explicit Connection(std::shared_ptr<etcd::ServerConnection> l) : link(std::move(l)) {}
  etcd::Http2Server& http2() { return link->http2(); }

  std::shared_ptr<etcd::ServerConnection> link;
  std::map<StreamId, Call> calls;
  std::deque<SubscriberId> awake;  // have something to take; in turn
  std::size_t watches = 0;
};

Service::Service(boost::asio::io_context& io, ServiceSettings settings, std::uint64_t seed)
    : io_(io), settings_(std::move(settings)), relay_(settings_.relay), timer_(io) {
  server_ = std::make_unique<etcd::Server>(
      io_, settings_.listen, settings_.server,
      [this](const std::shared_ptr<etcd::ServerConnection>& link) { return Connected(link); });
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
    Run([&](auto* actions) {
      relay_.UpstreamSnapshot(Now(), cluster_id, revision, std::move(kvs), actions);
    });
  };
  callbacks.on_events = [this](std::uint64_t, std::int64_t revision, std::vector<pb::Event> events) {
    Run([&](auto* actions) { relay_.UpstreamEvents(Now(), revision, std::move(events), actions); });
  };
  callbacks.on_progress = [this](std::int64_t revision) {
    Run([&](auto* actions) { relay_.UpstreamProgress(Now(), revision, actions); });
  };
  callbacks.on_disconnected = [this](const std::string& why) {
    Run([&](auto* actions) { relay_.UpstreamLost(Now(), why, actions); });
  };
  return callbacks;
}

etcd::Http2ServerHandler Service::Connected(const std::shared_ptr<etcd::ServerConnection>& link) {
  const auto connection = std::make_shared<Connection>(link);
  connections_.insert(connection);
  // `this` outlives the server, and with it every handler's call.
  const std::weak_ptr<Connection> weak = connection;
  link->on_progress = [this, weak] {
    if (const auto one = weak.lock()) Send(*one);
  };
  link->on_disconnected = [this, weak](const std::string&) {
    if (const auto one = weak.lock()) connections_.erase(one);
  };
  etcd::Http2ServerHandler handler;
  handler.on_call = [this, weak](StreamId stream, const etcd::CallHead& head) {
    if (const auto one = weak.lock()) CallBegan(*one, stream, head);
  };
  handler.on_message = [this, weak](StreamId stream, std::string_view message) {
    if (const auto one = weak.lock()) MessageReceived(one, stream, message);
  };
  handler.on_half_closed = [this, weak](StreamId stream) {
    if (const auto one = weak.lock()) HalfClosed(one, stream);
  };
  handler.on_closed = [this, weak](StreamId stream) {
    if (const auto one = weak.lock()) CallClosed(*one, stream);
  };
  handler.on_violation = [this](const std::string&) { ++violations_; };
  return handler;
}

// --------------------------------------------------------------------------------------- a reader's calls

void Service::CallBegan(Connection& connection, StreamId stream, const etcd::CallHead& head) {
  if (!head.IsGrpc()) {
    connection.http2().AnswerHeaders(stream, {{":status", "415"}});
    return;
  }
  if (head.path == kRange || head.path == kWatch || head.path == kStatus) {
    Call call{};
    call.kind = head.path == kRange   ? Call::Kind::kRange
                : head.path == kWatch ? Call::Kind::kWatch
                                      : Call::Kind::kStatus;
    connection.calls.emplace(stream, std::move(call));
    return;
  }
  if (head.path == kAuthenticate) {
    connection.http2().Finish(stream,
                              Error(Code::kFailedPrecondition,
                                    "authentication is not enabled: badgerbridge-relay knows its readers by "
                                    "their certificates"));
    return;
  }
  const bool etcds = std::any_of(std::begin(kEtcdServices), std::end(kEtcdServices),
                                 [&](std::string_view service) { return head.path.rfind(service, 0) == 0; });
  writes_refused_ += etcds;
  connection.http2().Finish(
      stream, etcds ? Error(Code::kPermissionDenied, "badgerbridge-relay serves reads of " +
                                                         settings_.relay.prefix + " only; write to etcd")
                    : Error(Code::kUnimplemented, "unknown method " + head.path));
}

void Service::MessageReceived(const ConnectionPtr& connection, StreamId stream, std::string_view message) {
  const auto call = connection->calls.find(stream);
  if (call == connection->calls.end() || call->second.finished) return;
  if (call->second.kind == Call::Kind::kWatch) return WatchRequested(connection, stream, message);
  if (++call->second.messages == 1) call->second.request = message;
}

void Service::HalfClosed(const ConnectionPtr& connection, StreamId stream) {
  const auto found = connection->calls.find(stream);
  if (found == connection->calls.end() || found->second.finished) return;
  Call& call = found->second;
  if (call.kind == Call::Kind::kWatch) {
    call.finished = true;
    connection->http2().Finish(stream, {});
    return;
  }
  if (call.messages != 1) {
    connection->http2().Finish(stream, Error(Code::kInternal, "not one whole message"));
    return;
  }
  if (call.kind == Call::Kind::kStatus) return StatusRequested(*connection, stream);
  RangeRequested(connection, stream, std::exchange(call.request, {}));
}

void Service::CallClosed(Connection& connection, StreamId stream) {
  const auto found = connection.calls.find(stream);
  if (found == connection.calls.end()) return;
  const Call call = std::move(found->second);
  connection.calls.erase(found);
  if (call.read != 0 && reads_.erase(call.read) > 0) relay_.CancelRead(call.read);
  for (const auto& [watch_id, subscriber] : call.watches) {
    relay_.Unsubscribe(subscriber);
    subscribers_.erase(subscriber);
    --connection.watches;
  }
}

void Service::RangeRequested(const ConnectionPtr& connection, StreamId stream, const std::string& message) {
  pb::RangeRequest request;
  if (!request.ParseFromString(message)) {
    connection->http2().Finish(stream, Error(Code::kInternal, "not a message"));
    return;
  }
  const ReadId read = next_id_++;
  connection->calls.at(stream).read = read;
  reads_.emplace(read, PendingRead{connection, stream});
  Run([&](auto* actions) { relay_.Read(Now(), read, request, actions); });
}

pb::ResponseHeader Service::Header() const {
  const Relay::Status status = relay_.status();
  pb::ResponseHeader header;
  header.set_cluster_id(status.cluster_id);
  header.set_member_id(settings_.relay.member_id);
  header.set_revision(status.revision);
  return header;
}

void Service::StatusRequested(Connection& connection, StreamId stream) {
  const Relay::Status status = relay_.status();
  pb::StatusResponse response;
  *response.mutable_header() = Header();
  response.set_version("3.5.0");
  response.set_dbsize(static_cast<std::int64_t>(status.state_bytes));
  response.set_dbsizeinuse(static_cast<std::int64_t>(status.state_bytes));
  response.set_raftindex(static_cast<std::uint64_t>(status.revision));
  response.set_raftappliedindex(static_cast<std::uint64_t>(status.revision));
  response.set_islearner(true);  // holds what it is told, and votes on nothing
  connection.http2().Send(stream, response.SerializeAsString());
  connection.http2().Finish(stream, {});
}

void Service::WatchRequested(const ConnectionPtr& connection, StreamId stream, std::string_view message) {
  pb::WatchRequest request;
  if (!request.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    connection->calls.at(stream).finished = true;
    connection->http2().Finish(stream, Error(Code::kInternal, "not a message"));
    return;
  }
  if (request.has_create_request()) {
    CreateWatch(connection, stream, request.create_request());
  } else if (request.has_cancel_request()) {
    CancelWatch(*connection, stream, request.cancel_request().watch_id());
  } else if (request.has_progress_request()) {
    const auto watches = connection->calls.at(stream).watches;
    for (const auto& [watch_id, subscriber] : watches)
      Run([&, subscriber = subscriber](auto* actions) {
        relay_.RequestProgress(Now(), subscriber, actions);
      });
  }
}

void Service::CreateWatch(const ConnectionPtr& connection, StreamId stream,
                          const pb::WatchCreateRequest& request) {
  Call& call = connection->calls.at(stream);
  if (connection->watches >= settings_.watches_per_connection) {
    call.finished = true;
    connection->http2().Finish(stream, Error(Code::kResourceExhausted,
                                             "more than " + std::to_string(settings_.watches_per_connection) +
                                                 " watches on a connection"));
    return;
  }
  std::int64_t watch_id = request.watch_id();
  if (watch_id != 0 && call.watches.count(watch_id)) {
    pb::WatchResponse response;
    *response.mutable_header() = Header();
    response.set_watch_id(-1);
    response.set_created(true);
    response.set_canceled(true);
    response.set_cancel_reason("mvcc: duplicate watch ID provided on the WatchStream");
    connection->http2().Send(stream, response.SerializeAsString());
    return;
  }
  if (watch_id == 0) {
    while (call.watches.count(call.next_watch_id)) ++call.next_watch_id;
    watch_id = call.next_watch_id++;
  }
  const SubscriberId subscriber = next_id_++;
  call.watches.emplace(watch_id, subscriber);
  ++connection->watches;
  subscribers_.emplace(subscriber, Subscriber{connection, stream, watch_id});
  Run([&](auto* actions) { relay_.Subscribe(Now(), subscriber, request, actions); });
}

void Service::CancelWatch(Connection& connection, StreamId stream, std::int64_t watch_id) {
  const Call& call = connection.calls.at(stream);
  const auto found = call.watches.find(watch_id);
  if (found == call.watches.end()) return;
  relay_.Unsubscribe(found->second);
  ForgetWatch(connection, found->second);
  pb::WatchResponse response;
  *response.mutable_header() = Header();
  response.set_watch_id(watch_id);
  response.set_canceled(true);
  connection.http2().Send(stream, response.SerializeAsString());
}

void Service::ForgetWatch(Connection& connection, SubscriberId subscriber) {
  const auto found = subscribers_.find(subscriber);
  if (found == subscribers_.end()) return;
  const auto call = connection.calls.find(found->second.stream);
  if (call != connection.calls.end() && call->second.watches.erase(found->second.watch_id) > 0)
    --connection.watches;
  subscribers_.erase(found);
}

// ----------------------------------------------------------------------------------------------- the core

template <typename Input>
void Service::Run(Input input) {
  Relay::Actions actions;
  input(&actions);
  std::move(actions.begin(), actions.end(), std::back_inserter(actions_));
  if (running_) return;
  running_ = true;
  while (!actions_.empty()) {
    Relay::Action next = std::move(actions_.front());
    actions_.pop_front();
    std::visit([this](auto& action) { Do(action); }, next);
  }
  running_ = false;
  for (const auto& connection : std::exchange(to_send_, {})) Send(*connection);
  ArmTimer();
}

void Service::Do(Relay::AnswerRead& action) {
  const auto found = reads_.find(action.read);
  if (found == reads_.end()) return;
  const PendingRead read = found->second;
  reads_.erase(found);
  const auto connection = read.connection.lock();
  if (!connection) return;
  const auto call = connection->calls.find(read.stream);
  if (call != connection->calls.end()) call->second.read = 0;
  etcd::Status status = std::move(action.status);
  if (status.ok() && !connection->http2().Send(read.stream, action.response.SerializeAsString()))
    status = Error(Code::kResourceExhausted, "answers before this one are not read yet");
  connection->http2().Finish(read.stream, status);
  to_send_.insert(connection);
}

void Service::Do(Relay::ConfirmRevision& action) {
  upstream_->Confirm([this, confirmation = action.confirmation](const etcd::Status& status,
                                                                const pb::ResponseHeader& header) {
    Run([&](auto* actions) { relay_.RevisionConfirmed(Now(), confirmation, status, header, actions); });
  });
}

void Service::Do(Relay::WakeSubscriber& action) {
  const auto found = subscribers_.find(action.subscriber);
  const auto connection = found == subscribers_.end() ? nullptr : found->second.connection.lock();
  if (!connection) return;
  connection->awake.push_back(action.subscriber);
  to_send_.insert(connection);
}

// The stream with all its watches: its reader goes elsewhere.
void Service::Do(Relay::EndSubscriber& action) {
  const auto found = subscribers_.find(action.subscriber);
  if (found == subscribers_.end()) return;
  const auto connection = found->second.connection.lock();
  const StreamId stream = found->second.stream;
  if (!connection) return;
  ForgetWatch(*connection, action.subscriber);
  const auto call = connection->calls.find(stream);
  if (call == connection->calls.end()) return;
  call->second.finished = true;
  connection->http2().Finish(stream, action.status);
  to_send_.insert(connection);
  const auto others = call->second.watches;
  for (const auto& [watch_id, subscriber] : others) {
    relay_.Unsubscribe(subscriber);
    ForgetWatch(*connection, subscriber);
  }
}

void Service::Do(Relay::RequestUpstreamProgress&) { upstream_->RequestProgress(); }

void Service::Do(Relay::RejectUpstream& action) { upstream_->Reject(action.why); }

void Service::Send(Connection& connection) {
  if (connection.link->closed()) return;
  while (!connection.awake.empty() && connection.http2().unsent() < settings_.connection_unsent) {
    const SubscriberId subscriber = connection.awake.front();
    connection.awake.pop_front();
    if (SendNext(connection, subscriber)) connection.awake.push_back(subscriber);
  }
  connection.link->Flush();
}

// False if there is nothing more for now, or the watch has ended.
bool Service::SendNext(Connection& connection, SubscriberId subscriber) {
  const auto found = subscribers_.find(subscriber);
  if (found == subscribers_.end()) return false;
  pb::WatchResponse response;
  if (!relay_.Take(Now(), subscriber, settings_.message_bytes, &response)) return false;
  response.set_watch_id(found->second.watch_id);
  connection.http2().Send(found->second.stream, response.SerializeAsString());
  if (!response.canceled()) return true;
  ForgetWatch(connection, subscriber);
  return false;
}

void Service::ArmTimer() {
  std::optional<Time> wake = relay_.NextWake();
  if (drained_) wake = std::min(wake.value_or(Time::max()), Now() + kDrainCheck);
  if (!wake || *wake >= armed_for_) return;
  armed_for_ = *wake;
  timer_.ArmAfter(std::max(Time(0), *wake - Now()), [this] {
    armed_for_ = Time::max();
    Run([this](auto* actions) { relay_.Tick(Now(), actions); });
    CheckDrained();
  });
}

// ------------------------------------------------------------------------------------------------ the end

void Service::Drain(std::function<void()> done) {
  if (drain_deadline_) return;
  drained_ = std::move(done);
  drain_deadline_ = Now() + settings_.relay.drain_period + kDrainGrace;
  server_->StopAccepting();
  Run([this](auto* actions) { relay_.Drain(Now(), actions); });
}

void Service::CheckDrained() {
  if (!drained_) return;
  const bool idle = std::all_of(connections_.begin(), connections_.end(),
                                [](const auto& connection) { return connection->http2().open() == 0; });
  if ((relay_.drained() && idle) || Now() >= *drain_deadline_) return std::exchange(drained_, nullptr)();
  ArmTimer();
}

json::object Service::Describe() const {
  const Relay::Status status = relay_.status();
  json::array endpoints;
  for (const auto& endpoint : settings_.upstream.endpoints)
    endpoints.emplace_back(http_api::ToText(endpoint));
  const auto age = status.last_heard.count() == 0 ? json::value(nullptr)
                                                  : json::value((Now() - status.last_heard).count());
  return {{"prefix", settings_.relay.prefix},
          {"listen", http_api::ToText(address())},
          {"upstream", json::object{{"endpoints", std::move(endpoints)},
                                    {"connected", status.connected},
                                    {"state", upstream_->follower().state()},
                                    {"last_error", status.last_upstream_error},
                                    {"heard_ms_ago", age},
                                    {"snapshots", status.snapshots},
                                    {"rejected", status.upstream_rejected},
                                    {"confirmations", status.confirmations}}},
          {"cluster_id", status.cluster_id},
          {"revision", status.revision},
          {"compact_revision", status.compact_revision},
          {"keys", status.keys},
          {"state_bytes", status.state_bytes},
          {"window", json::object{{"events", status.window_events}, {"bytes", status.window_bytes}}},
          {"readers", json::object{{"connections", connections_.size()},
                                   {"watches", status.subscribers},
                                   {"slow", status.slow_subscribers},
                                   {"merged_events", status.merged_events},
                                   {"waiting_reads", status.waiting_reads},
                                   {"reads", status.reads},
                                   {"lists", status.lists},
                                   {"resumed", status.resumed},
                                   {"told_to_reread", status.told_to_reread},
                                   {"refused", status.refused},
                                   {"writes_refused", writes_refused_},
                                   {"protocol_violations", violations_}}},
          {"draining", drain_deadline_.has_value()}};
}

}  // namespace badgerbridge::watch_cache
