// SPDX-License-Identifier: Apache-2.0

/// \file
/// The parts of the stand-in etcd: its members, their connections, the calls on them and the watches of
/// those.
#ifndef BADGERBRIDGE_TESTS_STANDINS_ETCD_INTERNAL_H_
#define BADGERBRIDGE_TESTS_STANDINS_ETCD_INTERNAL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "standins/etcd.h"
#include "support/port_reservation.h"

namespace badgerbridge::standins {

/// One member of the cluster, with a server of its own.
struct Etcd::Member {
  /// The member with this index; it takes a free port.
  Member(boost::asio::io_context& io, std::size_t index) : number(index), port(io) {}

  std::size_t number;  ///< Index among the members.
  testing::PortReservation port;
  std::unique_ptr<etcd::Server> server;
  std::set<std::shared_ptr<Connection>> connections;
  std::optional<std::size_t> cut_after_bytes;  ///< See Etcd::CutAfter.
  bool is_silent = false;                      ///< See Etcd::Silence.
  bool is_lagging = false;                     ///< See Etcd::Lag.
  std::int64_t applied_revision = 0;           ///< While it lags.
};

/// A watch on a stream.
struct Etcd::Watch {
  std::int64_t id = 0;
  std::string key;
  std::string range_end;
  std::int64_t next_revision = 0;  ///< The first that was not published to it.
  bool wants_progress = false;
  bool wants_previous = false;
  bool wants_fragments = false;
  bool without_puts = false;
  bool without_deletes = false;
  std::chrono::steady_clock::time_point last_message_at = std::chrono::steady_clock::now();
};

/// A call.
struct Etcd::Stream {
  /// `stream_id` is the HTTP/2 stream's.
  Stream(etcd::StreamId stream_id, etcd::CallHeaders call_headers)
      : id(stream_id), headers(std::move(call_headers)) {}

  /// Whether a watch of the stream has this id.
  bool HasWatch(std::int64_t watch_id) const;

  etcd::StreamId id;
  etcd::CallHeaders headers;
  std::vector<std::string> messages;  ///< Of the request, not handled yet.
  bool is_half_closed = false;        ///< The client sends nothing more.
  bool is_finished = false;           ///< Answered.
  std::vector<Watch> watches;
  std::int64_t next_watch_id = 0;
  std::optional<pb::RangeRequest> pending_read;  ///< Waits for the member to catch up.
};

/// A client's connection: its calls, on the product's own server.
struct Etcd::Connection : std::enable_shared_from_this<Connection> {
  /// All of `cluster` and `of_member` outlive it.
  Connection(Etcd& cluster, Member& of_member, std::shared_ptr<etcd::ServerConnection> server_connection)
      : etcd(cluster), member(of_member), link(std::move(server_connection)) {}

  etcd::Http2Server& http2() { return link->http2(); }
  /// Null if there is no such call.
  Stream* FindStream(etcd::StreamId id);
  /// What the server calls.
  etcd::Http2ServerHandler MakeHandler();
  void SendMessage(Stream& stream, const std::string& message) { http2().SendMessage(stream.id, message); }
  void Finish(Stream& stream, const etcd::Status& status);
  void Flush() { link->Flush(); }
  /// Changes what is sent: garbage goes before it, and what is beyond the member's cut is dropped. False if
  /// the connection ends with it.
  bool FilterOutput(std::string* bytes);

  Etcd& etcd;
  Member& member;
  std::shared_ptr<etcd::ServerConnection> link;
  std::map<etcd::StreamId, std::unique_ptr<Stream>> streams;
  std::string garbage;  ///< To be sent before everything else.
};

/// A unary call that is being answered.
struct Etcd::UnaryCall {
  Connection& connection;
  Stream& stream;

  /// The request. Nothing if it is not one complete message: the call is finished with an error then.
  template <typename Request>
  std::optional<Request> Parse() const {
    Request request;
    if (stream.messages.size() == 1 && request.ParseFromString(stream.messages[0])) return request;
    ++connection.etcd.protocol_errors_;
    Fail({etcd::Code::kInternal, etcd::Ending::kStatus, "not one whole message"});
    return std::nullopt;
  }
  /// Finishes the call with the status and, if it is ok, the response with a header.
  template <typename Response>
  void Answer(const etcd::Status& status, Response response) const {
    if (!status.ok()) return Fail(status);
    connection.etcd.FillHeader(connection.member, response.mutable_header());
    connection.SendMessage(stream, response.SerializeAsString());
    connection.Finish(stream, {});
  }
  /// Finishes the call with an error.
  void Fail(const etcd::Status& status) const { connection.Finish(stream, status); }
};

}  // namespace badgerbridge::standins

#endif  // BADGERBRIDGE_TESTS_STANDINS_ETCD_INTERNAL_H_
