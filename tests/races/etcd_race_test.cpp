// SPDX-License-Identifier: Apache-2.0
//
// Tests races of gRPC connections, on the client and the server: the timeout for an answer expires in the
// event loop iteration in which the answer arrives.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>
#include <string>

#include "etcd/channel.h"
#include "etcd/follower_link.h"
#include "etcd/server.h"
#include "races/turn.h"

namespace badgerbridge::etcd {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using ErrorCode = boost::system::error_code;

constexpr char kPreface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
// Frame types and flags (RFC 9113, section 6).
constexpr char kHeaders = 1, kSettings = 4, kPing = 6;
constexpr char kAcknowledged = 1, kEndHeaders = 4;

// A frame on stream 0 (RFC 9113, section 4.1).
std::string Frame(char type, char flags, const std::string& payload) {
  return std::string(2, '\0') + static_cast<char>(payload.size()) + type + flags + std::string(4, '\0') +
         payload;
}

class EtcdRaceTest : public badgerbridge::testing::EventLoopRaceTest {
 protected:
  static void Write(tcp::socket& socket, const std::string& text) { asio::write(socket, asio::buffer(text)); }
  // Reads everything available on a socket.
  static std::string ReadAvailable(tcp::socket& socket) {
    std::string text(65536, '\0');
    ErrorCode error;
    socket.non_blocking(true, error);
    text.resize(socket.read_some(asio::buffer(text), error));
    return text;
  }
};

class ChannelRaceTest : public EtcdRaceTest {
 protected:
  ChannelRaceTest() : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}) {
    options_.ping_interval = milliseconds(150);
    options_.ping_timeout = milliseconds(100);
  }
  void Open() {
    channel_ = Channel::Open(
        io_, acceptor_.local_endpoint(), options_, [] {},
        [this](const ConnectionError& error) { close_reason_ = Message(error); });
    ASSERT_TRUE(Until([&] { return channel_->is_open(); }));
    acceptor_.accept(peer_);
    RunReady();
    ReadAvailable(peer_);
  }
  // Runs until just before the channel would close for lack of a ping answer.
  void RunUntilThePingIsOverdue() {
    AdvanceAndRun(options_.ping_interval);
    ASSERT_NE(ReadAvailable(peer_), "") << "no ping";
    AdvanceAndRun(options_.ping_timeout);
    ASSERT_TRUE(channel_->is_open());
  }

  ChannelOptions options_;
  tcp::acceptor acceptor_;
  tcp::socket peer_{io_};
  std::shared_ptr<Channel> channel_;
  std::string close_reason_;
};

TEST_F(ChannelRaceTest, AFrameUnreadWhenThePingIsOverdueKeepsTheChannelOpen) {
  Open();
  RunUntilThePingIsOverdue();
  RunTimersBefore([&] { Write(peer_, Frame(kSettings, 0, "")); }, milliseconds(1));
  AdvanceAndRun(milliseconds(1));
  EXPECT_TRUE(channel_->is_open()) << close_reason_;
  // The channel sends another ping before it can close.
  ReadAvailable(peer_);
  AdvanceAndRun(options_.ping_interval);
  EXPECT_NE(ReadAvailable(peer_), "");
}

TEST_F(ChannelRaceTest, ASilentChannelIsClosed) {
  Open();
  RunUntilThePingIsOverdue();
  AdvanceAndRun(milliseconds(1));
  RunReady();
  EXPECT_FALSE(channel_->is_open());
  EXPECT_EQ(close_reason_, "the link is silent: no answer to a ping");
}

// The connect completes in the event loop iteration in which its timeout expires.
TEST_F(ChannelRaceTest, AConnectThatCompletesAsItsTimeoutExpiresIsKept) {
  channel_ = Channel::Open(
      io_, acceptor_.local_endpoint(), options_, [] {},
      [this](const ConnectionError& error) { close_reason_ = Message(error); });
  clock_.Advance(options_.connect_timeout);
  RunReady();
  RunReady();
  EXPECT_TRUE(channel_->is_open()) << close_reason_;
}

class ServerRaceTest : public EtcdRaceTest {
 protected:
  ServerRaceTest() {
    options_.ping_interval = milliseconds(100);
    options_.ping_timeout = milliseconds(40);
    options_.idle_timeout = options_.stall_timeout = milliseconds(0);
  }
  void Connect() {
    server_.emplace(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0), options_,
                    [this](const std::shared_ptr<ServerConnection>&) {
                      Http2ServerHandler handler;
                      handler.on_call = [this](StreamId, const CallHeaders&) { ++calls_; };
                      return handler;
                    });
    client_.connect(server_->address());
    Write(client_, kPreface + Frame(kSettings, 0, ""));
    ASSERT_TRUE(Until([&] { return server_->connections() == 1; }));
    RunReady();
    Write(client_, Frame(kSettings, kAcknowledged, ""));
    RunReady();
    ReadAvailable(client_);
  }
  // The ping's payload.
  std::string AwaitPing() {
    std::string frame;
    EXPECT_TRUE(Until([&] { return !(frame = ReadAvailable(client_)).empty(); }));
    EXPECT_EQ(frame.size(), 17u);
    EXPECT_EQ(frame.at(3), kPing);
    return frame.substr(9);
  }

  ServerOptions options_;
  std::optional<Server> server_;
  tcp::socket client_{io_};
  int calls_ = 0;
};

TEST_F(ServerRaceTest, APingAnswerUnreadAtTheTimeoutKeepsTheConnectionOpen) {
  Connect();
  const std::string ping = AwaitPing();
  RunTimersBefore([&] { Write(client_, Frame(kPing, kAcknowledged, ping)); }, options_.ping_timeout);
  EXPECT_EQ(server_->connections(), 1u);
  AdvanceAndRun(options_.ping_timeout);
  EXPECT_EQ(server_->connections(), 1u);
}

TEST_F(ServerRaceTest, AClientThatDoesNotAnswerAPingIsDisconnected) {
  Connect();
  AwaitPing();
  EXPECT_TRUE(Until([&] { return server_->connections() == 0; }));
}

// A call arrives on an idle connection just as the idle timeout of a delayed server expires.
TEST_F(ServerRaceTest, ACallUnreadAtTheIdleTimeoutIsAccepted) {
  options_.idle_timeout = milliseconds(400);
  options_.ping_interval = milliseconds(0);
  Connect();
  // RFC 7541: POST, http, the path /x, the authority h; END_HEADERS on stream 1.
  std::string call = Frame(kHeaders, kEndHeaders, std::string("\x83\x86\x04\x02") + "/x" + "\x01\x01" + "h");
  call[8] = 1;
  RunTimersBefore([&] { Write(client_, call); }, options_.idle_timeout);
  EXPECT_EQ(calls_, 1);
  EXPECT_EQ(server_->connections(), 1u);
  EXPECT_EQ(ReadAvailable(client_), "") << "no GOAWAY frame";
  AdvanceAndRun(options_.idle_timeout);
  EXPECT_EQ(server_->connections(), 1u);
}

TEST_F(ServerRaceTest, AnIdleConnectionEnds) {
  options_.idle_timeout = milliseconds(400);
  options_.ping_interval = milliseconds(0);
  Connect();
  EXPECT_TRUE(Until([&] { return server_->connections() == 0; }));
  EXPECT_EQ(calls_, 0);
}

// A server that delays its answers until SendAnswer() is called.
class DelayedAnswerRaceTest : public EtcdRaceTest {
 protected:
  DelayedAnswerRaceTest() {
    server_.emplace(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0), ServerOptions{},
                    [this](const std::shared_ptr<ServerConnection>& connection) {
                      Http2ServerHandler handler;
                      connection_ = connection;
                      handler.on_half_closed = [this](StreamId stream) { call_ = stream; };
                      return handler;
                    });
    options_.ping_interval = milliseconds(10000);
  }
  ~DelayedAnswerRaceTest() override {
    if (channel_) channel_->Close("the test is over");
  }
  void SendRequest() {
    channel_ = Channel::Open(
        io_, server_->address(), options_, [] {}, [](const ConnectionError&) {});
    ASSERT_TRUE(Until([&] { return channel_->is_open(); }));
    channel_->CallUnary("/x.X/X", {}, "question", kTimeout, [this](Status status, std::string text) {
      status_ = std::move(status);
      answer_ = std::move(text);
    });
    asked_at_ = std::chrono::steady_clock::now();
    RunReady();
  }
  void SendAnswer(const std::string& message) {
    ASSERT_TRUE(call_.has_value());
    connection_->http2().SendMessage(*call_, message);
    connection_->http2().Finish(*call_, {});
    connection_->Flush();
  }

  static constexpr milliseconds kTimeout{300};

  ChannelOptions options_;
  std::optional<Server> server_;
  std::shared_ptr<ServerConnection> connection_;
  std::optional<StreamId> call_;  // the newest call whose request is complete
  std::shared_ptr<Channel> channel_;
  std::chrono::steady_clock::time_point asked_at_;
  std::optional<Status> status_;
  std::string answer_;
};

TEST_F(DelayedAnswerRaceTest, AnAnswerUnreadAtTheTimeoutOfItsCallCounts) {
  SendRequest();
  RunTimersBefore([&] { SendAnswer("answer"); }, kTimeout);
  AdvanceAndRun(milliseconds(1));
  ASSERT_TRUE(status_.has_value());
  EXPECT_TRUE(status_->ok()) << status_->ToString();
  EXPECT_EQ(answer_, "answer");
}

TEST_F(DelayedAnswerRaceTest, ACallWithoutAnAnswerTimesOut) {
  SendRequest();
  EXPECT_TRUE(Until([&] { return status_.has_value(); }));
  EXPECT_EQ(status_->ending, Ending::kTimeout);
  EXPECT_LE(std::chrono::steady_clock::now() - asked_at_, kTimeout + milliseconds(1));
}

TEST_F(DelayedAnswerRaceTest, ASnapshotUnreadAtTheTimeoutOfItsStepIsApplied) {
  FollowerLinkSettings settings;
  settings.endpoints = {server_->address()};
  settings.channel = options_;
  settings.follower.prefix = "/p/";
  int snapshots = 0, losses = 0;
  FollowerLinkCallbacks callbacks;
  callbacks.on_snapshot = [&](std::uint64_t, std::int64_t, const std::vector<etcdserverpb::KeyValue>&) {
    ++snapshots;
  };
  callbacks.on_disconnected = [&](const FollowerError&) { ++losses; };
  FollowerLink link(io_, settings, 7, callbacks);
  ASSERT_TRUE(Until([&] { return call_.has_value(); }));
  RunReady();
  etcdserverpb::RangeResponse response;
  response.mutable_header()->set_cluster_id(1);
  response.mutable_header()->set_revision(5);
  RunTimersBefore([&] { SendAnswer(response.SerializeAsString()); },
                  link.follower().NextWake() - FollowerLink::Now());
  AdvanceAndRun(milliseconds(1));
  EXPECT_EQ(losses, 0);
  EXPECT_EQ(snapshots, 1);
}

}  // namespace
}  // namespace badgerbridge::etcd
