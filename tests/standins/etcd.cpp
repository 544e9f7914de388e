// SPDX-License-Identifier: Apache-2.0
#include "standins/etcd.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <cstring>
#include <optional>

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

nghttp2_nv Pair(const std::string& name, const std::string& value) {
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

struct Etcd::Member {
  std::size_t number = 0;
  std::optional<tcp::acceptor> acceptor;
  tcp::endpoint address;
  std::uint64_t turn = 0;
  std::set<std::shared_ptr<Connection>> connections;
  std::optional<std::size_t> cut_after;
  bool silent = false, lag = false;
  std::int64_t applied = 0;  // while it lags
};

struct Etcd::Stream {
  struct Watch {
    std::int64_t id = 0, next = 0;
    std::string key, end;
    bool progress = false, prev_kv = false, fragment = false, no_puts = false, no_deletes = false;
    std::chrono::steady_clock::time_point told = Clock::now();
  };
  explicit Stream(std::int32_t i) : id(i), unframer(4 << 20) {}
  std::int32_t id;
  std::map<std::string, std::string> headers;
  etcd::Unframer unframer;
  std::vector<std::string> messages;
  bool half_closed = false, answered = false, finished = false, deferred = false, is_watch = false;
  bool no_trailers = false;
  std::string out;
  std::size_t sent = 0;
  std::optional<Status> status;  // to end with, once all is sent
  std::vector<Watch> watches;
  std::int64_t next_watch = 0;
  std::optional<pb::RangeRequest> waits;  // for the member to catch up
};

struct Etcd::Connection : std::enable_shared_from_this<Connection> {
  Connection(Etcd& e, Member& m, tcp::socket s) : etcd(e), member(m), socket(std::move(s)), alive(e.alive_) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, OnBegin);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, OnClose);
    nghttp2_session_server_new(&session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    const nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 100}};
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings, 1);
  }
  ~Connection() { nghttp2_session_del(session); }

  static Connection& Self(void* user) { return *static_cast<Connection*>(user); }
  Stream* Find(std::int32_t id) {
    const auto found = streams.find(id);
    return found == streams.end() ? nullptr : found->second.get();
  }

  static int OnBegin(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    Self(user).streams[frame->hd.stream_id] = std::make_unique<Stream>(frame->hd.stream_id);
    return 0;
  }
  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                      void* user) {
    if (Stream* stream = Self(user).Find(frame->hd.stream_id))
      stream->headers[std::string(reinterpret_cast<const char*>(name), name_size)] =
          std::string(reinterpret_cast<const char*>(value), value_size);
    return 0;
  }
  static int OnData(nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* data,
                    std::size_t size, void* user) {
    Connection& self = Self(user);
    Stream* stream = self.Find(id);
    if (!stream) return 0;
    if (!stream->unframer.Feed({reinterpret_cast<const char*>(data), size},
                               [&](std::string_view message) { stream->messages.emplace_back(message); })) {
      ++self.etcd.protocol_errors_;
      nghttp2_submit_rst_stream(self.session, NGHTTP2_FLAG_NONE, id, NGHTTP2_PROTOCOL_ERROR);
      return 0;
    }
    self.etcd.Handle(self, *stream);
    return 0;
  }
  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    Connection& self = Self(user);
    Stream* stream = self.Find(frame->hd.stream_id);
    if (stream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM)) {
      stream->half_closed = true;
      self.etcd.Handle(self, *stream);
    }
    return 0;
  }
  static int OnClose(nghttp2_session*, std::int32_t id, std::uint32_t, void* user) {
    Self(user).streams.erase(id);
    return 0;
  }
  static ssize_t Read(nghttp2_session* session, std::int32_t id, std::uint8_t* buffer, std::size_t size,
                      std::uint32_t* flags, nghttp2_data_source* source, void*) {
    auto* stream = static_cast<Stream*>(source->ptr);
    const std::size_t n = std::min(size, stream->out.size() - stream->sent);
    if (n == 0 && !stream->status && !stream->no_trailers) {
      stream->deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    std::memcpy(buffer, stream->out.data() + stream->sent, n);
    stream->sent += n;
    if (stream->sent == stream->out.size() && (stream->status || stream->no_trailers)) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      if (!stream->no_trailers) {
        *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
        const std::string code = std::to_string(static_cast<int>(stream->status->code));
        const std::string text = etcd::EncodeMessage(stream->status->message);
        const std::string code_name = "grpc-status", text_name = "grpc-message";
        const nghttp2_nv trailers[] = {Pair(code_name, code), Pair(text_name, text)};
        nghttp2_submit_trailer(session, id, trailers, 2);
      }
    }
    return static_cast<ssize_t>(n);
  }

  void Begin(Stream& stream) {
    if (std::exchange(stream.answered, true)) return;
    const std::vector<std::pair<std::string, std::string>> fields = {{":status", "200"},
                                                                     {"content-type", "application/grpc"}};
    std::vector<nghttp2_nv> headers;
    for (const auto& [name, value] : fields) headers.push_back(Pair(name, value));
    nghttp2_data_provider provider{};
    provider.source.ptr = &stream;
    provider.read_callback = Read;
    nghttp2_submit_response(session, stream.id, headers.data(), headers.size(), &provider);
  }
  void Resume(Stream& stream) {
    if (std::exchange(stream.deferred, false)) nghttp2_session_resume_data(session, stream.id);
  }
  void Say(Stream& stream, const std::string& message) {
    Begin(stream);
    stream.out += etcd::Frame(message);
    Resume(stream);
  }
  void Finish(Stream& stream, Status status) {
    stream.finished = true;
    if (!stream.answered) {
      // In the trailers alone.
      stream.answered = true;
      const std::vector<std::pair<std::string, std::string>> fields = {
          {":status", "200"},
          {"content-type", "application/grpc"},
          {"grpc-status", std::to_string(static_cast<int>(status.code))},
          {"grpc-message", etcd::EncodeMessage(status.message)}};
      std::vector<nghttp2_nv> headers;
      for (const auto& [name, value] : fields) headers.push_back(Pair(name, value));
      nghttp2_submit_response(session, stream.id, headers.data(), headers.size(), nullptr);
      return;
    }
    stream.status = std::move(status);
    Resume(stream);
  }

  void Start() {
    if (member.silent) return;
    socket.async_read_some(asio::buffer(piece), [self = shared_from_this()](ErrorCode error, std::size_t n) {
      if (!*self->alive || self->closed) return;
      if (error) return self->Close();
      if (self->member.silent) return;  // what was read is never looked at
      const ssize_t taken = nghttp2_session_mem_recv(self->session, self->piece.data(), n);
      if (taken < 0) {
        ++self->etcd.protocol_errors_;
        return self->Close();
      }
      self->Flush();
      if (!self->closed) self->Start();
    });
  }

  void Flush() {
    if (closed || writing || member.silent) return;
    std::string out = std::exchange(raw, {});
    for (;;) {
      const std::uint8_t* data = nullptr;
      const ssize_t size = nghttp2_session_mem_send(session, &data);
      if (size <= 0) break;
      out.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
    }
    if (member.cut_after && out.size() >= *member.cut_after) {
      out.resize(*member.cut_after);
      member.cut_after.reset();
      ErrorCode ignored;
      asio::write(socket, asio::buffer(out), ignored);
      return Close();
    }
    if (member.cut_after) *member.cut_after -= out.size();
    if (out.empty()) {
      if (close_when_flushed ||
          (nghttp2_session_want_read(session) == 0 && nghttp2_session_want_write(session) == 0))
        Close();
      return;
    }
    writing = true;
    auto held = std::make_shared<std::string>(std::move(out));
    asio::async_write(socket, asio::buffer(*held),
                      [self = shared_from_this(), held](ErrorCode error, std::size_t) {
                        self->writing = false;
                        if (!*self->alive || self->closed) return;
                        if (error) return self->Close();
                        self->Flush();
                      });
  }

  void Close() {
    if (std::exchange(closed, true)) return;
    ErrorCode ignored;
    socket.close(ignored);
    const auto self = shared_from_this();
    member.connections.erase(self);
  }

  Etcd& etcd;
  Member& member;
  tcp::socket socket;
  std::shared_ptr<bool> alive;
  nghttp2_session* session = nullptr;
  std::map<std::int32_t, std::unique_ptr<Stream>> streams;
  std::array<std::uint8_t, 16384> piece{};
  std::string raw;
  bool writing = false, closed = false, close_when_flushed = false;
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
  for (auto& member : members_) {
    const auto connections = member->connections;
    for (const auto& connection : connections) connection->Close();
  }
}

tcp::endpoint Etcd::address(std::size_t member) const { return members_[member]->address; }

void Etcd::Up(std::size_t number) {
  Member& member = *members_[number];
  member.acceptor.emplace(io_);
  member.acceptor->open(tcp::v4());
  member.acceptor->set_option(tcp::acceptor::reuse_address(true));
  member.acceptor->bind(member.address);
  member.acceptor->listen(128);
  member.address = member.acceptor->local_endpoint();
  Accept(number, ++member.turn);
}

void Etcd::Down(std::size_t number) {
  Member& member = *members_[number];
  ++member.turn;
  member.acceptor.reset();
  const auto connections = member.connections;
  for (const auto& connection : connections) connection->Close();
}

void Etcd::Accept(std::size_t number, std::uint64_t turn) {
  Member& member = *members_[number];
  member.acceptor->async_accept([this, alive = alive_, number, turn](ErrorCode error, tcp::socket socket) {
    if (!*alive || members_[number]->turn != turn || error) return;
    ErrorCode ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<Connection>(*this, *members_[number], std::move(socket));
    members_[number]->connections.insert(connection);
    connection->Start();
    connection->Flush();
    Accept(number, turn);
  });
}

void Etcd::CutAfter(std::size_t member, std::size_t bytes) { members_[member]->cut_after = bytes; }

void Etcd::Silence(std::size_t number, bool silent) {
  Member& member = *members_[number];
  member.silent = silent;
  if (silent) return;
  // What hung on the line is gone for good: the other side has long given it up.
  const auto connections = member.connections;
  for (const auto& connection : connections) connection->Close();
}

void Etcd::Lag(std::size_t number, bool lag) {
  members_[number]->lag = lag;
  members_[number]->applied = store_->revision();
  if (!lag) Publish();
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
  const auto token = stream.headers.find("token");
  if (token == stream.headers.end()) return false;
  const auto known = tokens_.find(token->second);
  return known != tokens_.end() &&
         (settings_.token_life == milliseconds(0) || Clock::now() - known->second < settings_.token_life);
}

void Etcd::Handle(Connection& connection, Stream& stream) {
  const std::string path = stream.headers[":path"];
  if (stream.finished || stream.waits) return;
  if (path == "/etcdserverpb.Watch/Watch" || path == "/etcdserverpb.Lease/LeaseKeepAlive") {
    // Streams both ways: each message when it comes.
  } else if (!stream.half_closed) {
    return;
  }
  if (stream.headers[":method"] != "POST" ||
      stream.headers["content-type"].rfind("application/grpc", 0) != 0 ||
      stream.headers["te"] != "trailers") {
    ++protocol_errors_;
    return connection.Finish(stream, {Code::kInternal, Ending::kStatus, "no gRPC call"});
  }
  ++calls_;
  switch (std::exchange(fault_, EtcdFault::kNone)) {
    case EtcdFault::kNone:
      break;
    case EtcdFault::kTrailersOnly:
      return connection.Finish(stream, {Code::kUnavailable, Ending::kStatus, "etcdserver: no leader"});
    case EtcdFault::kNoStatus:
      stream.no_trailers = stream.finished = true;
      connection.Begin(stream);
      return;
    case EtcdFault::kStatusAlone:
      connection.Begin(stream);
      return connection.Finish(stream, {});
    case EtcdFault::kReset:
      nghttp2_submit_rst_stream(connection.session, NGHTTP2_FLAG_NONE, stream.id, NGHTTP2_INTERNAL_ERROR);
      return;
    case EtcdFault::kRefused:
      nghttp2_submit_rst_stream(connection.session, NGHTTP2_FLAG_NONE, stream.id, NGHTTP2_REFUSED_STREAM);
      return;
    case EtcdFault::kHttp503: {
      stream.answered = stream.finished = true;
      const std::string name = ":status", value = "503";
      const nghttp2_nv header = Pair(name, value);
      nghttp2_submit_response(connection.session, stream.id, &header, 1, nullptr);
      return;
    }
    case EtcdFault::kHugeMessage:
      connection.Begin(stream);
      stream.out += std::string("\0\x06\x00\x00\x00", 5) + std::string(1000, 'x');
      connection.Resume(stream);
      return;
    case EtcdFault::kEndlessHeader: {
      stream.answered = stream.finished = true;
      std::vector<std::pair<std::string, std::string>> fields = {{":status", "200"}};
      for (int i = 0; i < 40; ++i) fields.emplace_back("x-" + std::to_string(i), std::string(1000, 'x'));
      std::vector<nghttp2_nv> headers;
      for (const auto& [name, value] : fields) headers.push_back(Pair(name, value));
      nghttp2_submit_response(connection.session, stream.id, headers.data(), headers.size(), nullptr);
      return;
    }
    case EtcdFault::kGarbage:
      connection.raw = "HTTP/1.1 400 Bad Request\r\n\r\n" + std::string(200, '\xff');
      stream.finished = true;
      return;
    case EtcdFault::kGoaway:
      nghttp2_submit_goaway(connection.session, NGHTTP2_FLAG_NONE, std::max(0, stream.id - 2),
                            NGHTTP2_NO_ERROR, nullptr, 0);
      connection.close_when_flushed = true;
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
    Stream::Watch watch;
    const auto taken = [&](std::int64_t id) {
      return std::any_of(stream.watches.begin(), stream.watches.end(),
                         [&](const Stream::Watch& other) { return other.id == id; });
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
      Publish();
    }
  } else if (request.has_cancel_request()) {
    const std::int64_t id = request.cancel_request().watch_id();
    const auto removed =
        std::erase_if(stream.watches, [&](const Stream::Watch& watch) { return watch.id == id; });
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
    const std::int64_t until = member->lag ? member->applied : store_->revision();
    const auto connections = member->connections;
    for (const auto& connection : connections) {
      for (auto& [id, stream] : connection->streams) {
        if (stream->finished) continue;
        if (stream->waits && !member->lag) {
          const pb::RangeRequest request = *std::exchange(stream->waits, std::nullopt);
          pb::RangeResponse answer;
          const Status status = store_->Range(request, &answer);
          Head(*member, answer.mutable_header());
          if (status.ok()) connection->Say(*stream, answer.SerializeAsString());
          connection->Finish(*stream, status);
          continue;
        }
        for (Stream::Watch& watch : stream->watches) {
          if (watch.next > until) continue;
          std::vector<pb::Event> events = store_->Events(watch.key, watch.end, watch.next, watch.prev_kv);
          std::erase_if(events, [&](const pb::Event& event) {
            return event.kv().mod_revision() > until ||
                   (event.type() == pb::Event::PUT ? watch.no_puts : watch.no_deletes);
          });
          watch.next = until + 1;
          pb::WatchResponse response;
          const auto say = [&](bool more) {
            Head(*member, response.mutable_header());
            response.set_watch_id(watch.id);
            response.set_fragment(more);
            connection->Say(*stream, response.SerializeAsString());
            response.Clear();
          };
          std::size_t size = 0, left = events.size();
          for (const pb::Event& event : events) {
            *response.add_events() = event;
            size += event.ByteSizeLong();
            --left;
            if (watch.fragment && size >= settings_.fragment_bytes && left > 0) {
              say(true);
              size = 0;
            }
          }
          if (response.events_size() > 0) {
            say(false);
            watch.told = Clock::now();
          }
        }
      }
      connection->Flush();
    }
  }
}

void Etcd::Tick() {
  if (store_->Expire(Now())) Publish();
  for (const auto& member : members_) {
    const auto connections = member->connections;
    for (const auto& connection : connections) {
      for (auto& [id, stream] : connection->streams) {
        for (Stream::Watch& watch : stream->watches) {
          if (stream->finished || !watch.progress || Clock::now() - watch.told < settings_.progress_every)
            continue;
          watch.told = Clock::now();
          pb::WatchResponse response;
          Head(*member, response.mutable_header());
          response.set_watch_id(watch.id);
          connection->Say(*stream, response.SerializeAsString());
        }
      }
      connection->Flush();
    }
  }
  timer_.expires_after(milliseconds(20));
  timer_.async_wait([this, alive = alive_](ErrorCode error) {
    if (!error && *alive) Tick();
  });
}

}  // namespace badgerbridge::standins
