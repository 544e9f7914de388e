// SPDX-License-Identifier: Apache-2.0
//
// What gRPC over HTTP/2 adds to messages, in bytes and CPU, on either side: the product's client and server
// with no socket between them. TCP, IP, TLS and system calls are not in it.
#include <algorithm>
#include <optional>
#include <string>

#include "etcd/http2_client.h"
#include "etcd/http2_server.h"
#include "slopes.h"

namespace badgerbridge::bench {
namespace {

using etcd::Http2Client;
using etcd::Http2Server;

constexpr int kMessageSizes[] = {100, 1000, 10000, 100000, 250000};
constexpr int kCalls = 200;
constexpr int kSmallMessage = 200;
constexpr double kFrameBytes = 5;  // gRPC's prefix of a message, counted with the message

// A connection whose calls are unary; each is answered with the answer that is set.
class Connection {
 public:
  Connection() : server_({}, Handler()), client_("127.0.0.1:2379") { Exchange(); }

  struct Cost {
    double up_bytes = 0, down_bytes = 0, client_us = 0, server_us = 0;  // of one call
  };

  Cost Call(const std::string& question, const std::string& answer) {
    answer_ = answer;
    return Repeated([&] {
      client_.BeginCall(
          "/etcdserverpb.KV/Txn", {}, question, true,
          {[](std::string_view) {}, [this](const etcd::Status& status) { answered_ += status.ok(); }});
    });
  }

  // The messages of a stream that is open, such as a watch's; its own start is not counted.
  Cost Stream(const std::string& message) {
    const std::optional<etcd::CallId> call =
        client_.BeginCall("/etcdserverpb.Watch/Watch", {}, "", false,
                          {[this](std::string_view) { ++answered_; }, [](const etcd::Status&) {}});
    streaming_ = true;
    Exchange();
    const Cost cost = Repeated([&] {
      const double before = ThreadCpuMs();
      server_.SendMessage(stream_, message);
      server_ms_ += ThreadCpuMs() - before;
    });
    client_.CancelCall(*call);
    Exchange();
    streaming_ = false;
    return cost;
  }

  Cost Ping() {
    return Repeated([&] { client_.Ping(); });
  }

  int answered() const { return answered_; }

 private:
  etcd::Http2ServerHandler Handler() {
    etcd::Http2ServerHandler handler;
    handler.on_call = [this](etcd::StreamId stream, const etcd::CallHeaders&) { stream_ = stream; };
    handler.on_message = [](etcd::StreamId, std::string_view) {};
    handler.on_half_closed = [this](etcd::StreamId stream) {
      if (streaming_) return;
      server_.SendMessage(stream, answer_);
      server_.Finish(stream, {});
    };
    handler.on_closed = [](etcd::StreamId) {};
    handler.on_protocol_error = [](const etcd::ProtocolError&) {};
    return handler;
  }

  template <typename Begin>
  Cost Repeated(Begin begin) {
    begin();  // the tables of headers are warm from here on
    Exchange();
    up_ = down_ = client_ms_ = server_ms_ = 0;
    for (int i = 0; i < kCalls; ++i) {
      const double before = ThreadCpuMs();
      const double server_before = server_ms_;
      begin();
      client_ms_ += ThreadCpuMs() - before - (server_ms_ - server_before);
      Exchange();
    }
    return {up_ / kCalls, down_ / kCalls, client_ms_ * 1000 / kCalls, server_ms_ * 1000 / kCalls};
  }

  template <typename Work>
  static double Timed(Work work) {
    const double before = ThreadCpuMs();
    work();
    return ThreadCpuMs() - before;
  }

  void Exchange() {
    for (bool moved = true; moved;) {
      std::string up;
      std::string down;
      client_ms_ += Timed([&] { up = client_.TakeOutput(); });
      server_ms_ += Timed([&] {
        if (!up.empty()) server_.Feed(up);
        down = server_.TakeOutput();
      });
      client_ms_ += Timed([&] {
        if (!down.empty()) client_.Feed(down);
      });
      up_ += static_cast<double>(up.size());
      down_ += static_cast<double>(down.size());
      moved = !up.empty() || !down.empty();
    }
  }

  std::string answer_;
  etcd::StreamId stream_ = 0;
  bool streaming_ = false;
  int answered_ = 0;
  double up_ = 0, down_ = 0, client_ms_ = 0, server_ms_ = 0;
  Http2Server server_;
  Http2Client client_;
};

}  // namespace

void MeasureWire(Report& report) {
  Series bytes("wire: a message of a watch, on the wire both ways", "bytes", "bytes of the message");
  Series client("wire: a message of a watch received, CPU", "us", "bytes of the message");
  Series server("wire: a message of a watch sent, CPU", "us", "bytes of the message");
  Connection connection;
  const std::string small(kSmallMessage, 'x');
  for (int repetition = 0; repetition < 3; ++repetition) {
    for (const int size : kMessageSizes) {
      const int before = connection.answered();
      const Connection::Cost cost = connection.Stream(std::string(static_cast<std::size_t>(size), 'x'));
      report.checks.Expect(connection.answered() == before + kCalls + 1, "wire: messages are missing");
      bytes.Add(size, cost.up_bytes + cost.down_bytes);
      client.Add(size, cost.client_us);
      server.Add(size, cost.server_us);
    }
  }
  report.Fit(bytes, "wire_bytes_per_byte");
  report.Fit(client, "wire_receive_us_per_byte", Weighting::kAbsolute);
  report.Fit(server, "wire_send_us_per_byte", Weighting::kAbsolute);
  const Connection::Cost call = connection.Call(small, small);
  report.Figure("wire_call_up_bytes", call.up_bytes - kSmallMessage - kFrameBytes,
                "wire: bytes that HTTP/2 adds to a call, client to server");
  report.Figure("wire_call_down_bytes", call.down_bytes - kSmallMessage - kFrameBytes,
                "wire: and server to client, with the trailers");
  report.Figure("wire_call_client_us", call.client_us, "wire: a call, CPU of the client, us");
  report.Figure("wire_call_server_us", call.server_us, "wire: a call, CPU of the server, us");
  const Connection::Cost ping = connection.Ping();
  report.Figure("wire_ping_bytes", ping.up_bytes + ping.down_bytes, "wire: a PING and its answer, bytes");
}

}  // namespace badgerbridge::bench
