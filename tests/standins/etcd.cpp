// SPDX-License-Identifier: Apache-2.0
#include "standins/etcd.h"

#include <algorithm>
#include <optional>

#include "etcd/server.h"
#include "standins/etcd_fields.h"

namespace badgerbridge::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using etcd::Code;
using etcd::Ending;
using etcd::Status;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

milliseconds Now() { return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()); }

constexpr std::size_t kUnsent = 1 << 30;  // bytes: no bound that tests of clients could meet

}  // namespace

struct Etcd::Member {
  std::size_t number = 0;
  std::unique_ptr<etcd::Server> server;
  tcp::endpoint address;
  std::set<std::shared_ptr<Connection>> connections;
  std::optional<std::size_t> cut_after;
  bool silent = false, lag = false;
  std::int64_t applied = 0;  // while it lags
};

struct Etcd::Watch {
  std::int64_t id = 0, next = 0;
  std::string key, end;
  bool progress = false, prev_kv = false, fragment = false, no_puts = false, no_deletes = false;
  std::chrono::steady_clock::time_point told = Clock::now();
};

struct Etcd::Stream {
  Stream(etcd::StreamId i, etcd::CallHead h) : id(i), head(std::move(h)) {}
  etcd::StreamId id;
  etcd::CallHead head;
  std::vector<std::string> messages;
  bool half_closed = false, finished = false;
  std::vector<Watch> watches;
  std::int64_t next_watch = 0;
  std::optional<pb::RangeRequest> waits;  // for the member to catch up
};

// One client's: its calls, on the product's own server.
struct Etcd::Connection : std::enable_shared_from_this<Connection> {
  Connection(Etcd& e, Member& m, std::shared_ptr<etcd::ServerConnection> l)
      : etcd(e), member(m), link(std::move(l)) {}

  etcd::Http2Server& http2() { return link->http2(); }
  Stream* Find(etcd::StreamId id) {
    const auto found = streams.find(id);
    return found == streams.end() ? nullptr : found->second.get();
  }

  etcd::Http2ServerHandler Handlers() {
    etcd::Http2ServerHandler handler;
    handler.on_call = [this](etcd::StreamId id, const etcd::CallHead& head) {
      streams[id] = std::make_unique<Stream>(id, head);
    };
    handler.on_message = [this](etcd::StreamId id, std::string_view message) {
      Stream* stream = Find(id);
      if (!stream) return;
      stream->messages.emplace_back(message);
      etcd.Handle(*this, *stream);
    };
    handler.on_half_closed = [this](etcd::StreamId id) {
      Stream* stream = Find(id);
      if (!stream) return;
      stream->half_closed = true;
      etcd.Handle(*this, *stream);
    };
    handler.on_closed = [this](etcd::StreamId id) { streams.erase(id); };
    handler.on_violation = [this](const std::string&) { ++etcd.protocol_errors_; };
    return handler;
  }

  void Say(Stream& stream, const std::string& message) { http2().Send(stream.id, message); }
  void Finish(Stream& stream, const Status& status) {
    stream.finished = true;
    http2().Finish(stream.id, status);
  }
  void Flush() { link->Flush(); }

  // What goes out: garbage before it, and the end once the member is to be cut.
  bool Written(std::string* bytes) {
    bytes->insert(0, std::exchange(raw, {}));
    if (!member.cut_after) return true;
    if (bytes->size() >= *member.cut_after) {
      bytes->resize(*member.cut_after);
      member.cut_after.reset();
      return false;
    }
    *member.cut_after -= bytes->size();
    return true;
  }

  Etcd& etcd;
  Member& member;
  std::shared_ptr<etcd::ServerConnection> link;
  std::map<etcd::StreamId, std::unique_ptr<Stream>> streams;
  std::string raw;
};

Etcd::Etcd(asio::io_context& io, EtcdSettings settings)
    : io_(io), settings_(std::move(settings)), store_(std::make_unique<EtcdStore>()), timer_(io) {
  for (int i = 0; i < settings_.members; ++i) {
    members_.push_back(std::make_unique<Member>());
    members_.back()->number = static_cast<std::size_t>(i);
    members_.back()->address = tcp::endpoint(asio::ip::address_v4::loopback(), 0);
    Up(static_cast<std::size_t>(i));
  }
  Tick();
}

Etcd::~Etcd() {
  *alive_ = false;
  for (auto& member : members_) member->server.reset();
}

tcp::endpoint Etcd::address(std::size_t member) const { return members_[member]->address; }

void Etcd::Up(std::size_t number) {
  Member& member = *members_[number];
  etcd::ServerOptions options;
  options.ping_every = options.idle_timeout = options.stall_timeout = milliseconds(0);
  options.limits.unsent = kUnsent;
  options.silent = [&member] { return member.silent; };
  options.written = [&member](const etcd::ServerConnection& link, std::string* bytes) {
    const auto found = std::find_if(member.connections.begin(), member.connections.end(),
                                    [&](const auto& connection) { return connection->link.get() == &link; });
    return found == member.connections.end() || (*found)->Written(bytes);
  };
  member.server =
      std::make_unique<etcd::Server>(io_, member.address, std::move(options),
                                     [this, &member](const std::shared_ptr<etcd::ServerConnection>& link) {
                                       return Connected(member, link);
                                     });
  member.address = member.server->address();
}

etcd::Http2ServerHandler Etcd::Connected(Member& member,
                                         const std::shared_ptr<etcd::ServerConnection>& link) {
  const auto connection = std::make_shared<Connection>(*this, member, link);
  member.connections.insert(connection);
  link->on_disconnected = [&member, weak = std::weak_ptr<Connection>(connection)](const std::string&) {
    if (const auto self = weak.lock()) member.connections.erase(self);
  };
  return connection->Handlers();
}

void Etcd::Down(std::size_t number) { members_[number]->server.reset(); }

void Etcd::CutAfter(std::size_t member, std::size_t bytes) { members_[member]->cut_after = bytes; }

void Etcd::Silence(std::size_t number, bool silent) {
  Member& member = *members_[number];
  member.silent = silent;
  if (silent) return;
  // What hung on the line is gone for good: the other side has long given it up.
  const auto connections = member.connections;
  for (const auto& connection : connections) connection->link->Close("silent for too long");
}

void Etcd::Lag(std::size_t number, bool lag) {
  members_[number]->lag = lag;
  members_[number]->applied = store_->revision();
  if (!lag) Publish();
}

bool Etcd::Watches(std::size_t member, const std::string& key) const {
  for (const auto& connection : members_[member]->connections) {
    for (const auto& [id, stream] : connection->streams) {
      const auto& watches = stream->watches;
      if (std::any_of(watches.begin(), watches.end(), [&](const Watch& watch) { return watch.key == key; }))
        return true;
    }
  }
  return false;
}

std::size_t Etcd::watches() const {
  std::size_t count = 0;
  for (const auto& member : members_) {
    for (const auto& connection : member->connections) {
      for (const auto& [id, stream] : connection->streams) count += stream->watches.size();
    }
  }
  return count;
}

std::size_t Etcd::connections(std::size_t member) const { return members_[member]->connections.size(); }

void Etcd::Put(const std::string& key, const std::string& value, std::int64_t lease) {
  pb::PutRequest request;
  request.set_key(key);
  request.set_value(value);
  request.set_lease(lease);
  pb::PutResponse ignored;
  store_->Put(request, &ignored);
  Publish();
}

void Etcd::Delete(const std::string& key) {
  pb::DeleteRangeRequest request;
  request.set_key(key);
  pb::DeleteRangeResponse ignored;
  store_->DeleteRange(request, &ignored);
  Publish();
}

void Etcd::Compact(std::int64_t revision) { store_->Compact(revision); }

void Etcd::Restore(EtcdStore backup, std::uint64_t cluster_id) {
  *store_ = std::move(backup);
  settings_.cluster_id = cluster_id;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    Down(i);
    Up(i);
  }
}

void Etcd::Head(const Member& member, pb::ResponseHeader* header) const {
  header->set_cluster_id(settings_.cluster_id);
  header->set_member_id(member.number + 1);
  header->set_revision(member.lag ? member.applied : store_->revision());
  header->set_raft_term(2);
}

bool Etcd::Allowed(const Stream& stream) const {
  if (settings_.user.empty()) return true;
  const auto known = tokens_.find(stream.head.token);
  return known != tokens_.end() &&
         (settings_.token_life == milliseconds(0) || Clock::now() - known->second < settings_.token_life);
}

void Etcd::Handle(Connection& connection, Stream& stream) {
  const std::string path = stream.head.path;
  if (stream.finished || stream.waits) return;
  if (path == "/etcdserverpb.Watch/Watch" || path == "/etcdserverpb.Lease/LeaseKeepAlive") {
    // Streams both ways: each message when it comes.
  } else if (!stream.half_closed) {
    return;
  }
  if (!stream.head.IsGrpc()) {
    ++protocol_errors_;
    return connection.Finish(stream, {Code::kInternal, Ending::kStatus, "no gRPC call"});
  }
  ++calls_;
  ++calls_by_path_[path];
  switch (std::exchange(fault_, EtcdFault::kNone)) {
    case EtcdFault::kNone:
      break;
    case EtcdFault::kTrailersOnly:
      return connection.Finish(stream, {Code::kUnavailable, Ending::kStatus, "etcdserver: no leader"});
    case EtcdFault::kNoStatus:
      stream.finished = true;
      connection.http2().FinishWithoutStatus(stream.id);
      return;
    case EtcdFault::kStatusAlone:
      connection.http2().SendFrames(stream.id, "");
      return connection.Finish(stream, {});
    case EtcdFault::kReset:
      connection.http2().Reset(stream.id, etcd::Http2Error::kInternal);
      return;
    case EtcdFault::kRefused:
      connection.http2().Reset(stream.id, etcd::Http2Error::kRefusedStream);
      return;
    case EtcdFault::kHttp503:
      stream.finished = true;
      connection.http2().AnswerHeaders(stream.id, {{":status", "503"}});
      return;
    case EtcdFault::kHugeMessage:
      connection.http2().SendFrames(stream.id, std::string("\0\x06\x00\x00\x00", 5) + std::string(1000, 'x'));
      return;
    case EtcdFault::kEndlessHeader: {
      stream.finished = true;
      std::vector<std::pair<std::string, std::string>> fields = {{":status", "200"}};
      for (int i = 0; i < 40; ++i) fields.emplace_back("x-" + std::to_string(i), std::string(1000, 'x'));
      connection.http2().AnswerHeaders(stream.id, fields);
      return;
    }
    case EtcdFault::kGarbage:
      connection.raw = "HTTP/1.1 400 Bad Request\r\n\r\n" + std::string(200, '\xff');
      stream.finished = true;
      return;
    case EtcdFault::kGoaway:
      connection.http2().GoAway(std::max(0, stream.id - 2));
      connection.link->CloseWhenFlushed();
      stream.finished = true;
      return;
    case EtcdFault::kTwoMessages:
      connection.Say(stream, "");
      connection.Say(stream, "");
      return connection.Finish(stream, {});
    case EtcdFault::kNever:
      stream.finished = true;
      return;
  }
  const Fields* fields = FieldsOf(path);
  for (const std::string& message : stream.messages) {
    if (fields && !OnlyKnown(message, *fields))
      return connection.Finish(stream, {Code::kInvalidArgument, Ending::kStatus,
                                        "stand-in: a field of " + path + " that it does not know"});
  }
  const auto parse = [&](auto* request) {
    if (stream.messages.size() == 1 && request->ParseFromString(stream.messages[0])) return true;
    ++protocol_errors_;
    connection.Finish(stream, {Code::kInternal, Ending::kStatus, "not one whole message"});
    return false;
  };
  const auto answer = [&](const Status& status, auto* response) {
    if (!status.ok()) return connection.Finish(stream, status);
    Head(connection.member, response->mutable_header());
    connection.Say(stream, response->SerializeAsString());
    connection.Finish(stream, {});
  };
  if (path == "/etcdserverpb.Auth/Authenticate") {
    pb::AuthenticateRequest request;
    if (!parse(&request)) return;
    if (settings_.user.empty())
      return connection.Finish(
          stream, {Code::kFailedPrecondition, Ending::kStatus, "etcdserver: authentication is not enabled"});
    if (request.name() != settings_.user || request.password() != settings_.password)
      return connection.Finish(stream, {Code::kInvalidArgument, Ending::kStatus,
                                        "etcdserver: authentication failed, invalid user ID or password"});
    pb::AuthenticateResponse response;
    response.set_token("token." + std::to_string(++next_token_));
    tokens_[response.token()] = Clock::now();
    return answer({}, &response);
  }
  if (!Allowed(stream))
    return connection.Finish(stream,
                             {Code::kUnauthenticated, Ending::kStatus, "etcdserver: invalid auth token"});
  if (path == "/etcdserverpb.Watch/Watch") {
    for (const std::string& message : std::exchange(stream.messages, {}))
      HandleWatch(connection, stream, message);
    if (stream.half_closed && !stream.finished) connection.Finish(stream, {});
  } else if (path == "/etcdserverpb.KV/Range") {
    pb::RangeRequest request;
    if (!parse(&request)) return;
    Member& member = connection.member;
    if (member.lag && !request.serializable()) {
      stream.waits = request;  // until it knows what is committed
      return;
    }
    if (member.lag && request.revision() == 0) request.set_revision(member.applied);
    pb::RangeResponse response;
    const Status status = store_->Range(request, &response);
    answer(status, &response);
  } else if (path == "/etcdserverpb.KV/Put") {
    pb::PutRequest request;
    if (!parse(&request)) return;
    pb::PutResponse response;
    const Status status = store_->Put(request, &response);
    answer(status, &response);
    Publish();
  } else if (path == "/etcdserverpb.KV/DeleteRange") {
    pb::DeleteRangeRequest request;
    if (!parse(&request)) return;
    pb::DeleteRangeResponse response;
    const Status status = store_->DeleteRange(request, &response);
    answer(status, &response);
    Publish();
  } else if (path == "/etcdserverpb.KV/Txn") {
    pb::TxnRequest request;
    if (!parse(&request)) return;
    if (before_txn_) before_txn_();
    pb::TxnResponse response;
    const Status status = store_->Txn(request, &response);
    answer(status, &response);
    Publish();
  } else if (path == "/etcdserverpb.KV/Compact") {
    pb::CompactionRequest request;
    if (!parse(&request)) return;
    pb::CompactionResponse response;
    answer(store_->Compact(request.revision()), &response);
  } else if (path == "/etcdserverpb.Lease/LeaseGrant") {
    pb::LeaseGrantRequest request;
    if (!parse(&request)) return;
    pb::LeaseGrantResponse response;
    const Status status = store_->Grant(Now(), request, &response);
    answer(status, &response);
  } else if (path == "/etcdserverpb.Lease/LeaseRevoke") {
    pb::LeaseRevokeRequest request;
    if (!parse(&request)) return;
    pb::LeaseRevokeResponse response;
    answer(store_->Revoke(request.id()), &response);
    Publish();
  } else if (path == "/etcdserverpb.Lease/LeaseTimeToLive") {
    pb::LeaseTimeToLiveRequest request;
    if (!parse(&request)) return;
    pb::LeaseTimeToLiveResponse response;
    store_->TimeToLive(Now(), request, &response);
    answer({}, &response);
  } else if (path == "/etcdserverpb.Lease/LeaseLeases") {
    pb::LeaseLeasesRequest request;
    if (!parse(&request)) return;
    pb::LeaseLeasesResponse response;
    store_->Leases(&response);
    answer({}, &response);
  } else if (path == "/etcdserverpb.Maintenance/Status") {
    pb::StatusRequest request;
    if (!parse(&request)) return;
    pb::StatusResponse response;
    response.set_version("3.5.0");
    response.set_leader(1);
    response.set_raftterm(2);
    const auto revision =
        static_cast<std::uint64_t>(connection.member.lag ? connection.member.applied : store_->revision());
    response.set_raftindex(revision);
    response.set_raftappliedindex(revision);
    response.set_dbsize(1 << 20);
    response.set_dbsizeinuse(1 << 20);
    answer({}, &response);
  } else if (path == "/etcdserverpb.Cluster/MemberList") {
    pb::MemberListRequest request;
    if (!parse(&request)) return;
    pb::MemberListResponse response;
    for (const auto& one : members_) {
      pb::Member* member = response.add_members();
      member->set_id(one->number + 1);
      member->set_name("m" + std::to_string(one->number));
      member->add_clienturls("http://" + one->address.address().to_string() + ":" +
                             std::to_string(one->address.port()));
    }
    answer({}, &response);
  } else if (path == "/etcdserverpb.Lease/LeaseKeepAlive") {
    for (const std::string& message : std::exchange(stream.messages, {})) {
      pb::LeaseKeepAliveRequest request;
      if (!request.ParseFromString(message)) {
        ++protocol_errors_;
        return connection.Finish(stream, {Code::kInternal, Ending::kStatus, "not a message"});
      }
      pb::LeaseKeepAliveResponse response;
      response.set_id(request.id());
      response.set_ttl(store_->KeepAlive(Now(), request.id()));
      Head(connection.member, response.mutable_header());
      connection.Say(stream, response.SerializeAsString());
    }
    if (stream.half_closed && !stream.finished) connection.Finish(stream, {});
  } else {
    connection.Finish(stream, {Code::kUnimplemented, Ending::kStatus, "unknown method " + path});
  }
}

void Etcd::HandleWatch(Connection& connection, Stream& stream, std::string_view message) {
  pb::WatchRequest request;
  if (!request.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    ++protocol_errors_;
    return connection.Finish(stream, {Code::kInternal, Ending::kStatus, "not a message"});
  }
  pb::WatchResponse response;
  Head(connection.member, response.mutable_header());
  if (request.has_create_request()) {
    const pb::WatchCreateRequest& create = request.create_request();
    Watch watch;
    const auto taken = [&](std::int64_t id) {
      return std::any_of(stream.watches.begin(), stream.watches.end(),
                         [&](const Watch& other) { return other.id == id; });
    };
    if (create.watch_id() != 0 && taken(create.watch_id())) {
      response.set_watch_id(-1);
      response.set_created(true);
      response.set_canceled(true);
      response.set_cancel_reason("mvcc: duplicate watch ID provided on the WatchStream");
      connection.Say(stream, response.SerializeAsString());
      return;
    }
    while (create.watch_id() == 0 && taken(stream.next_watch)) ++stream.next_watch;
    watch.id = create.watch_id() != 0 ? create.watch_id() : stream.next_watch++;
    for (const int filter : create.filters()) {
      watch.no_puts |= filter == pb::WatchCreateRequest::NOPUT;
      watch.no_deletes |= filter == pb::WatchCreateRequest::NODELETE;
    }
    watch.key = create.key().empty() ? std::string(1, '\0') : create.key();
    watch.end = create.range_end();
    watch.next = create.start_revision() > 0 ? create.start_revision() : response.header().revision() + 1;
    watch.progress = create.progress_notify();
    watch.prev_kv = create.prev_kv();
    watch.fragment = create.fragment();
    response.set_watch_id(watch.id);
    response.set_created(true);
    connection.Say(stream, response.SerializeAsString());
    if (watch.next <= store_->compacted()) {
      response.set_created(false);
      response.set_canceled(true);
      response.set_compact_revision(store_->compacted());
      connection.Say(stream, response.SerializeAsString());
    } else {
      stream.watches.push_back(std::move(watch));
      Publish(connection);  // what is new to this watch; the others have theirs
    }
  } else if (request.has_cancel_request()) {
    const std::int64_t id = request.cancel_request().watch_id();
    const auto removed = std::erase_if(stream.watches, [&](const Watch& watch) { return watch.id == id; });
    if (removed == 0) return;
    response.set_watch_id(id);
    response.set_canceled(true);
    connection.Say(stream, response.SerializeAsString());
  } else if (request.has_progress_request()) {
    response.set_watch_id(-1);
    connection.Say(stream, response.SerializeAsString());
  }
}

// Every watch gets what is new to it, in order.
void Etcd::Publish() {
  for (const auto& member : members_) {
    const auto connections = member->connections;
    for (const auto& connection : connections) Publish(*connection);
  }
}

void Etcd::Publish(Connection& connection) {
  for (auto& [id, stream] : connection.streams) {
    if (stream->finished) continue;
    if (stream->waits && !connection.member.lag) {
      AnswerWaiting(connection, *stream);
      continue;
    }
    for (Watch& watch : stream->watches) Publish(connection, *stream, &watch);
  }
  connection.Flush();
}

// A read that had to wait until the member had caught up.
void Etcd::AnswerWaiting(Connection& connection, Stream& stream) {
  const pb::RangeRequest request = *std::exchange(stream.waits, std::nullopt);
  pb::RangeResponse answer;
  const Status status = store_->Range(request, &answer);
  Head(connection.member, answer.mutable_header());
  if (status.ok()) connection.Say(stream, answer.SerializeAsString());
  connection.Finish(stream, status);
}

void Etcd::Publish(Connection& connection, Stream& stream, Watch* watch) {
  const std::int64_t until = connection.member.lag ? connection.member.applied : store_->revision();
  if (watch->next > until) return;
  std::vector<pb::Event> events = store_->Events(watch->key, watch->end, watch->next, watch->prev_kv);
  std::erase_if(events, [&](const pb::Event& event) {
    return event.kv().mod_revision() > until ||
           (event.type() == pb::Event::PUT ? watch->no_puts : watch->no_deletes);
  });
  watch->next = until + 1;
  pb::WatchResponse response;
  const auto say = [&](bool more) {
    Head(connection.member, response.mutable_header());
    response.set_watch_id(watch->id);
    response.set_fragment(more);
    connection.Say(stream, response.SerializeAsString());
    response.Clear();
  };
  std::size_t size = 0, left = events.size();
  for (const pb::Event& event : events) {
    *response.add_events() = event;
    size += event.ByteSizeLong();
    --left;
    if (watch->fragment && size >= settings_.fragment_bytes && left > 0) {
      say(true);
      size = 0;
    }
  }
  if (response.events_size() == 0) return;
  say(false);
  watch->told = Clock::now();
}

void Etcd::Tick() {
  if (store_->Expire(Now())) Publish();
  for (const auto& member : members_) {
    const auto connections = member->connections;
    for (const auto& connection : connections) {
      bool said = false;
      for (auto& [id, stream] : connection->streams) {
        for (Watch& watch : stream->watches) {
          if (stream->finished || !watch.progress || Clock::now() - watch.told < settings_.progress_every)
            continue;
          watch.told = Clock::now();
          pb::WatchResponse response;
          Head(*member, response.mutable_header());
          response.set_watch_id(watch.id);
          connection->Say(*stream, response.SerializeAsString());
          said = true;
        }
      }
      if (said) connection->Flush();
    }
  }
  timer_.expires_after(milliseconds(20));
  timer_.async_wait([this, alive = alive_](ErrorCode error) {
    if (!error && *alive) Tick();
  });
}

}  // namespace badgerbridge::standins
