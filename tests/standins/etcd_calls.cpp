// SPDX-License-Identifier: Apache-2.0
//
// The calls of the stand-in etcd, method by method (etcd's v3 API, etcd.proto).
#include <algorithm>
#include <chrono>
#include <utility>

#include "http_api/address.h"
#include "standins/etcd_fields.h"
#include "standins/etcd_internal.h"

namespace badgerbridge::standins {
namespace {

using etcd::Code;
using etcd::Ending;
using etcd::Status;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr char kAuthenticatePath[] = "/etcdserverpb.Auth/Authenticate";
constexpr char kWatchPath[] = "/etcdserverpb.Watch/Watch";
constexpr char kKeepAlivePath[] = "/etcdserverpb.Lease/LeaseKeepAlive";
constexpr std::int64_t kDatabaseBytes = 1 << 20;  // as Maintenance.Status tells

milliseconds Now() { return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()); }

// Streams both ways: each message is handled when it arrives.
bool IsBidirectional(const std::string& path) { return path == kWatchPath || path == kKeepAlivePath; }

}  // namespace

void Etcd::FillHeader(const Member& member, pb::ResponseHeader* header) const {
  header->set_cluster_id(settings_.cluster_id);
  header->set_member_id(member.number + 1);
  header->set_revision(RevisionAt(member));
  header->set_raft_term(2);
}

std::int64_t Etcd::RevisionAt(const Member& member) const {
  return member.is_lagging ? member.applied_revision : store_->revision();
}

bool Etcd::HasValidToken(const Stream& stream) const {
  if (settings_.user.empty()) return true;
  const auto issued = tokens_.find(stream.headers.token);
  if (issued == tokens_.end()) return false;
  const bool expires = settings_.token_life != milliseconds(0);
  return !expires || Clock::now() - issued->second < settings_.token_life;
}

void Etcd::Handle(Connection& connection, Stream& stream) {
  const std::string path = stream.headers.path;
  if (stream.is_finished || stream.pending_read) return;
  if (!IsBidirectional(path) && !stream.is_half_closed) return;
  if (!stream.headers.IsGrpc()) {
    ++protocol_errors_;
    return connection.Finish(stream, {Code::kInternal, Ending::kStatus, "no gRPC call"});
  }
  ++calls_;
  ++calls_by_path_[path];
  if (InjectFault(connection, stream)) return;
  const Fields* fields = FieldsOf(path);
  for (const std::string& message : stream.messages) {
    if (fields && !OnlyKnown(message, *fields))
      return connection.Finish(stream, {Code::kInvalidArgument, Ending::kStatus,
                                        "stand-in: a field of " + path + " that it does not know"});
  }
  if (path == kAuthenticatePath) return Authenticate({connection, stream});
  if (!HasValidToken(stream))
    return connection.Finish(stream,
                             {Code::kUnauthenticated, Ending::kStatus, "etcdserver: invalid auth token"});
  if (path == kWatchPath) return HandleWatchMessages(connection, stream);
  if (path == kKeepAlivePath) return KeepLeasesAlive(connection, stream);
  HandleUnary({connection, stream});
}

// Applies the fault that the next call was to meet. False if there is none.
bool Etcd::InjectFault(Connection& connection, Stream& stream) {
  const EtcdFault fault = std::exchange(fault_, EtcdFault::kNone);
  switch (fault) {
    case EtcdFault::kNone:
      return false;
    case EtcdFault::kReset:
      connection.http2().Reset(stream.id, etcd::Http2Error::kInternal);
      return true;
    case EtcdFault::kRefused:
      connection.http2().Reset(stream.id, etcd::Http2Error::kRefusedStream);
      return true;
    case EtcdFault::kGarbage:
      connection.garbage = "HTTP/1.1 400 Bad Request\r\n\r\n" + std::string(200, '\xff');
      stream.is_finished = true;
      return true;
    case EtcdFault::kGoaway:
      connection.http2().GoAway(std::max(0, stream.id - 2));
      connection.link->CloseWhenFlushed();
      stream.is_finished = true;
      return true;
    case EtcdFault::kNever:
      stream.is_finished = true;
      return true;
    default:
      SendFaultyResponse(fault, connection, stream);
      return true;
  }
}

void Etcd::SendFaultyResponse(EtcdFault fault, Connection& connection, Stream& stream) {
  etcd::Http2Server& http2 = connection.http2();
  switch (fault) {
    case EtcdFault::kTrailersOnly:
      return connection.Finish(stream, {Code::kUnavailable, Ending::kStatus, "etcdserver: no leader"});
    case EtcdFault::kNoStatus:
      stream.is_finished = true;
      return http2.FinishWithoutStatus(stream.id);
    case EtcdFault::kStatusAlone:
      http2.SendFramedMessages(stream.id, "");
      return connection.Finish(stream, {});
    case EtcdFault::kHttp503:
      stream.is_finished = true;
      return http2.SendHeadersOnly(stream.id, {{":status", "503"}});
    case EtcdFault::kHugeMessage:
      http2.SendFramedMessages(stream.id, std::string("\0\x06\x00\x00\x00", 5) + std::string(1000, 'x'));
      return;
    case EtcdFault::kEndlessHeader:
      return SendEndlessHeader(connection, stream);
    case EtcdFault::kTwoMessages:
      connection.SendMessage(stream, "");
      connection.SendMessage(stream, "");
      return connection.Finish(stream, {});
    default:
      return;
  }
}

void Etcd::SendEndlessHeader(Connection& connection, Stream& stream) {
  stream.is_finished = true;
  etcd::HeaderFields fields = {{":status", "200"}};
  for (int i = 0; i < 40; ++i) fields.push_back({"x-" + std::to_string(i), std::string(1000, 'x')});
  connection.http2().SendHeadersOnly(stream.id, fields);
}

void Etcd::HandleUnary(const UnaryCall& call) {
  using Handler = void (Etcd::*)(const UnaryCall&);
  static const std::map<std::string, Handler> kHandlers = {
      {"/etcdserverpb.KV/Range", &Etcd::Range},
      {"/etcdserverpb.KV/Put", &Etcd::PutKey},
      {"/etcdserverpb.KV/DeleteRange", &Etcd::DeleteRange},
      {"/etcdserverpb.KV/Txn", &Etcd::Txn},
      {"/etcdserverpb.KV/Compact", &Etcd::CompactHistory},
      {"/etcdserverpb.Lease/LeaseGrant", &Etcd::GrantLease},
      {"/etcdserverpb.Lease/LeaseRevoke", &Etcd::RevokeLease},
      {"/etcdserverpb.Lease/LeaseTimeToLive", &Etcd::LeaseTimeToLive},
      {"/etcdserverpb.Lease/LeaseLeases", &Etcd::ListLeases},
      {"/etcdserverpb.Maintenance/Status", &Etcd::DescribeStatus},
      {"/etcdserverpb.Cluster/MemberList", &Etcd::ListMembers},
  };
  const std::string& path = call.stream.headers.path;
  const auto found = kHandlers.find(path);
  if (found == kHandlers.end())
    return call.Fail({Code::kUnimplemented, Ending::kStatus, "unknown method " + path});
  (this->*found->second)(call);
}

void Etcd::Authenticate(const UnaryCall& call) {
  const auto request = call.Parse<pb::AuthenticateRequest>();
  if (!request) return;
  if (settings_.user.empty())
    return call.Fail(
        {Code::kFailedPrecondition, Ending::kStatus, "etcdserver: authentication is not enabled"});
  if (request->name() != settings_.user || request->password() != settings_.password)
    return call.Fail({Code::kInvalidArgument, Ending::kStatus,
                      "etcdserver: authentication failed, invalid user ID or password"});
  pb::AuthenticateResponse response;
  response.set_token("token." + std::to_string(++next_token_));
  tokens_[response.token()] = Clock::now();
  call.Answer({}, std::move(response));
}

void Etcd::Range(const UnaryCall& call) {
  auto request = call.Parse<pb::RangeRequest>();
  if (!request) return;
  const Member& member = call.connection.member;
  if (member.is_lagging && !request->serializable()) {
    call.stream.pending_read = *request;  // until the member learns what is committed
    return;
  }
  if (member.is_lagging && request->revision() == 0) request->set_revision(member.applied_revision);
  pb::RangeResponse response;
  const Status status = store_->Range(*request, &response);
  call.Answer(status, std::move(response));
}

void Etcd::PutKey(const UnaryCall& call) {
  const auto request = call.Parse<pb::PutRequest>();
  if (!request) return;
  pb::PutResponse response;
  const Status status = store_->Put(*request, &response);
  call.Answer(status, std::move(response));
  Publish();
}

void Etcd::DeleteRange(const UnaryCall& call) {
  const auto request = call.Parse<pb::DeleteRangeRequest>();
  if (!request) return;
  pb::DeleteRangeResponse response;
  const Status status = store_->DeleteRange(*request, &response);
  call.Answer(status, std::move(response));
  Publish();
}

void Etcd::Txn(const UnaryCall& call) {
  const auto request = call.Parse<pb::TxnRequest>();
  if (!request) return;
  if (before_txn_) before_txn_();
  pb::TxnResponse response;
  const Status status = store_->Txn(*request, &response);
  call.Answer(status, std::move(response));
  Publish();
}

void Etcd::CompactHistory(const UnaryCall& call) {
  const auto request = call.Parse<pb::CompactionRequest>();
  if (request) call.Answer(store_->Compact(request->revision()), pb::CompactionResponse());
}

void Etcd::GrantLease(const UnaryCall& call) {
  const auto request = call.Parse<pb::LeaseGrantRequest>();
  if (!request) return;
  pb::LeaseGrantResponse response;
  const Status status = store_->Grant(Now(), *request, &response);
  call.Answer(status, std::move(response));
}

void Etcd::RevokeLease(const UnaryCall& call) {
  const auto request = call.Parse<pb::LeaseRevokeRequest>();
  if (!request) return;
  call.Answer(store_->Revoke(request->id()), pb::LeaseRevokeResponse());
  Publish();
}

void Etcd::LeaseTimeToLive(const UnaryCall& call) {
  const auto request = call.Parse<pb::LeaseTimeToLiveRequest>();
  if (!request) return;
  pb::LeaseTimeToLiveResponse response;
  store_->TimeToLive(Now(), *request, &response);
  call.Answer({}, std::move(response));
}

void Etcd::ListLeases(const UnaryCall& call) {
  if (!call.Parse<pb::LeaseLeasesRequest>()) return;
  pb::LeaseLeasesResponse response;
  store_->Leases(&response);
  call.Answer({}, std::move(response));
}

void Etcd::DescribeStatus(const UnaryCall& call) {
  if (!call.Parse<pb::StatusRequest>()) return;
  pb::StatusResponse response;
  response.set_version("3.5.0");
  response.set_leader(1);
  response.set_raftterm(2);
  const auto revision = static_cast<std::uint64_t>(RevisionAt(call.connection.member));
  response.set_raftindex(revision);
  response.set_raftappliedindex(revision);
  response.set_dbsize(kDatabaseBytes);
  response.set_dbsizeinuse(kDatabaseBytes);
  call.Answer({}, std::move(response));
}

void Etcd::ListMembers(const UnaryCall& call) {
  if (!call.Parse<pb::MemberListRequest>()) return;
  pb::MemberListResponse response;
  for (const auto& member : members_) {
    pb::Member* listed = response.add_members();
    listed->set_id(member->number + 1);
    std::string name = "m";
    name += std::to_string(member->number);
    listed->set_name(std::move(name));
    listed->add_clienturls("http://" + http_api::ToText(member->port.address()));
  }
  call.Answer({}, std::move(response));
}

void Etcd::KeepLeasesAlive(Connection& connection, Stream& stream) {
  for (const std::string& message : std::exchange(stream.messages, {})) {
    pb::LeaseKeepAliveRequest request;
    if (!request.ParseFromString(message)) {
      ++protocol_errors_;
      return connection.Finish(stream, {Code::kInternal, Ending::kStatus, "not a message"});
    }
    pb::LeaseKeepAliveResponse response;
    response.set_id(request.id());
    response.set_ttl(store_->KeepAlive(Now(), request.id()));
    FillHeader(connection.member, response.mutable_header());
    connection.SendMessage(stream, response.SerializeAsString());
  }
  if (stream.is_half_closed && !stream.is_finished) connection.Finish(stream, {});
}

}  // namespace badgerbridge::standins
