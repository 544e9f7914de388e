// SPDX-License-Identifier: Apache-2.0
//
/// \file
/// Handles calls of readers: the part of etcd's v3 API that the watch cache serves.
#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include "watch_cache/service.h"
#include "watch_cache/service_internal.h"

namespace badgerbridge::watch_cache {
namespace {

namespace pb = etcdserverpb;
using etcd::Code;
using etcd::StreamId;

constexpr char kRangePath[] = "/etcdserverpb.KV/Range";
constexpr char kWatchPath[] = "/etcdserverpb.Watch/Watch";
constexpr char kStatusPath[] = "/etcdserverpb.Maintenance/Status";
constexpr char kAuthenticatePath[] = "/etcdserverpb.Auth/Authenticate";

// The version of etcd's API that is served, as its Status call reports it.
constexpr char kApiVersion[] = "3.5.0";

// Services of etcd's API. Their methods that are not served write, or read data that the cache does not hold.
constexpr std::string_view kEtcdServices[] = {"/etcdserverpb.KV/", "/etcdserverpb.Lease/",
                                              "/etcdserverpb.Auth/", "/etcdserverpb.Cluster/",
                                              "/etcdserverpb.Maintenance/"};

bool IsEtcdMethod(std::string_view path) {
  return std::any_of(std::begin(kEtcdServices), std::end(kEtcdServices),
                     [path](std::string_view service) { return path.rfind(service, 0) == 0; });
}

}  // namespace

void Service::OnCall(Connection& connection, StreamId stream, const etcd::CallHeaders& headers) {
  if (!headers.IsGrpc()) {
    connection.http2().SendHeadersOnly(stream, {{":status", "415"}});
    return;
  }
  Call call{};
  if (headers.path == kRangePath) {
    call.kind = Call::Kind::kRange;
  } else if (headers.path == kWatchPath) {
    call.kind = Call::Kind::kWatch;
  } else if (headers.path == kStatusPath) {
    call.kind = Call::Kind::kStatus;
  } else {
    RejectCall(connection, stream, headers.path);
    return;
  }
  connection.calls.emplace(stream, std::move(call));
}

void Service::RejectCall(Connection& connection, StreamId stream, const std::string& path) {
  if (path == kAuthenticatePath) {
    connection.http2().Finish(stream,
                              Error(Code::kFailedPrecondition,
                                    "authentication is not enabled: badgerbridge-relay knows its readers by "
                                    "their certificates"));
    return;
  }
  if (IsEtcdMethod(path)) {
    ++rejected_writes_;
    connection.http2().Finish(
        stream, Error(Code::kPermissionDenied, "badgerbridge-relay serves reads of " +
                                                   settings_.cache.prefix + " only; write to etcd"));
    return;
  }
  connection.http2().Finish(stream, Error(Code::kUnimplemented, "unknown method " + path));
}

void Service::OnMessage(const ConnectionPtr& connection, StreamId stream, std::string_view message) {
  const auto found = connection->calls.find(stream);
  if (found == connection->calls.end() || found->second.finished) return;
  Call& call = found->second;
  if (call.kind == Call::Kind::kWatch) return HandleWatchRequest(connection, stream, message);
  ++call.message_count;
  if (call.message_count == 1) call.request = message;
}

void Service::OnHalfClosed(const ConnectionPtr& connection, StreamId stream) {
  const auto found = connection->calls.find(stream);
  if (found == connection->calls.end() || found->second.finished) return;
  Call& call = found->second;
  if (call.kind == Call::Kind::kWatch) {
    call.finished = true;
    connection->http2().Finish(stream, {});
    return;
  }
  if (call.message_count != 1) {
    connection->http2().Finish(stream, Error(Code::kInternal, "not one whole message"));
    return;
  }
  if (call.kind == Call::Kind::kStatus) return AnswerStatus(*connection, stream);
  StartRead(connection, stream, std::exchange(call.request, {}));
}

void Service::OnCallClosed(Connection& connection, StreamId stream) {
  const auto found = connection.calls.find(stream);
  if (found == connection.calls.end()) return;
  const Call call = std::move(found->second);
  connection.calls.erase(found);
  if (call.read != 0 && reads_.erase(call.read) > 0) cache_.CancelRead(call.read);
  for (const auto& [watch_id, subscriber] : call.watches) {
    cache_.Unsubscribe(subscriber);
    subscribers_.erase(subscriber);
    --connection.watch_count;
  }
}

// ---- reads ----------------------------------------------------------------------------------------------

void Service::StartRead(const ConnectionPtr& connection, StreamId stream, const std::string& message) {
  pb::RangeRequest request;
  if (!request.ParseFromString(message)) {
    connection->http2().Finish(stream, Error(Code::kInternal, "not a message"));
    return;
  }
  const ReadId read = next_id_++;
  connection->calls.at(stream).read = read;
  reads_.emplace(read, PendingRead{connection, stream});
  RunCore([&](auto* actions) { cache_.Read(Now(), read, request, actions); });
}

pb::ResponseHeader Service::Header() const {
  const WatchCache::Status status = cache_.status();
  pb::ResponseHeader header;
  header.set_cluster_id(status.cluster_id);
  header.set_member_id(settings_.cache.member_id);
  header.set_revision(status.revision);
  return header;
}

void Service::AnswerStatus(Connection& connection, StreamId stream) {
  const WatchCache::Status status = cache_.status();
  pb::StatusResponse response;
  *response.mutable_header() = Header();
  response.set_version(kApiVersion);
  response.set_dbsize(static_cast<std::int64_t>(status.state_bytes));
  response.set_dbsizeinuse(static_cast<std::int64_t>(status.state_bytes));
  response.set_raftindex(static_cast<std::uint64_t>(status.revision));
  response.set_raftappliedindex(static_cast<std::uint64_t>(status.revision));
  response.set_islearner(true);  // like a learner, it replicates and does not vote
  connection.http2().SendMessage(stream, response.SerializeAsString());
  connection.http2().Finish(stream, {});
}

// ---- watches --------------------------------------------------------------------------------------------

void Service::HandleWatchRequest(const ConnectionPtr& connection, StreamId stream, std::string_view message) {
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
    RequestProgressOfWatches(*connection, stream);
  }
}

void Service::RequestProgressOfWatches(Connection& connection, StreamId stream) {
  const std::map<std::int64_t, SubscriberId> watches = connection.calls.at(stream).watches;
  for (const auto& watch : watches) {
    RunCore([&](auto* actions) { cache_.RequestProgress(Now(), watch.second, actions); });
  }
}

void Service::CreateWatch(const ConnectionPtr& connection, StreamId stream,
                          const pb::WatchCreateRequest& request) {
  Call& call = connection->calls.at(stream);
  if (connection->watch_count >= settings_.max_watches_per_connection) {
    call.finished = true;
    connection->http2().Finish(
        stream,
        Error(Code::kResourceExhausted, "more than " + std::to_string(settings_.max_watches_per_connection) +
                                            " watches on a connection"));
    return;
  }
  std::int64_t watch_id = request.watch_id();
  if (watch_id != 0 && call.watches.count(watch_id)) return RejectDuplicateWatchId(*connection, stream);
  if (watch_id == 0) {
    while (call.watches.count(call.next_watch_id)) ++call.next_watch_id;
    watch_id = call.next_watch_id++;
  }
  const SubscriberId subscriber = next_id_++;
  call.watches.emplace(watch_id, subscriber);
  ++connection->watch_count;
  subscribers_.emplace(subscriber, Subscriber{connection, stream, watch_id});
  RunCore([&](auto* actions) { cache_.Subscribe(Now(), subscriber, request, actions); });
}

// As etcd does: the stream continues for its other watches.
void Service::RejectDuplicateWatchId(Connection& connection, StreamId stream) {
  constexpr std::int64_t kInvalidWatchId = -1;
  pb::WatchResponse response;
  *response.mutable_header() = Header();
  response.set_watch_id(kInvalidWatchId);
  response.set_created(true);
  response.set_canceled(true);
  response.set_cancel_reason("mvcc: duplicate watch ID provided on the WatchStream");
  connection.http2().SendMessage(stream, response.SerializeAsString());
}

void Service::CancelWatch(Connection& connection, StreamId stream, std::int64_t watch_id) {
  const Call& call = connection.calls.at(stream);
  const auto found = call.watches.find(watch_id);
  if (found == call.watches.end()) return;
  const SubscriberId subscriber = found->second;
  cache_.Unsubscribe(subscriber);
  RemoveWatch(connection, subscriber);
  pb::WatchResponse response;
  *response.mutable_header() = Header();
  response.set_watch_id(watch_id);
  response.set_canceled(true);
  connection.http2().SendMessage(stream, response.SerializeAsString());
}

void Service::RemoveWatch(Connection& connection, SubscriberId subscriber) {
  const auto found = subscribers_.find(subscriber);
  if (found == subscribers_.end()) return;
  const auto call = connection.calls.find(found->second.stream);
  if (call != connection.calls.end() && call->second.watches.erase(found->second.watch_id) > 0) {
    --connection.watch_count;
  }
  subscribers_.erase(found);
}

}  // namespace badgerbridge::watch_cache
