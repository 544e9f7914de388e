// SPDX-License-Identifier: Apache-2.0
//
// Tests the state that the operating system reports for real loopback connections. Each test waits for a
// condition instead of a fixed time.
#include "net/socket_state.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace badgerbridge::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using ErrorCode = boost::system::error_code;

constexpr milliseconds kMaxWait{20000};  // an upper limit that no condition should reach

// Waits until the condition holds; false if it does not within kMaxWait.
template <typename Condition>
bool WaitUntil(Condition holds) {
  const auto limit = std::chrono::steady_clock::now() + kMaxWait;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > limit) return false;
    std::this_thread::sleep_for(milliseconds(1));
  }
  return true;
}

class SocketStateTest : public ::testing::Test {
 protected:
  SocketStateTest() : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}) {}

  // Connects client_ and server_ to each other.
  void Connect() {
    client_.connect(acceptor_.local_endpoint());
    acceptor_.accept(server_);
  }
  void Send(std::string_view text) { asio::write(client_, asio::buffer(text.data(), text.size())); }
  std::string Receive(std::size_t size) { return Receive(server_, size); }
  static std::string Receive(tcp::socket& socket, std::size_t size) {
    std::string text(size, '\0');
    asio::read(socket, asio::buffer(text));
    return text;
  }
  // Closes the connection with a reset (SO_LINGER of 0 seconds).
  static void Reset(tcp::socket& socket) {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }

  // Opens `count` connections that are not accepted yet; connection i has sent "r" and its index i.
  std::vector<tcp::socket> ConnectAndSendIndex(int count) {
    std::vector<tcp::socket> clients;
    for (int i = 0; i < count; ++i) {
      clients.emplace_back(io_);
      clients.back().connect(acceptor_.local_endpoint());
      const std::string text = "r" + std::to_string(i);
      asio::write(clients.back(), asio::buffer(text));
    }
    return clients;
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  tcp::socket client_{io_};
  tcp::socket server_{io_};
};

TEST_F(SocketStateTest, UnreadBytesAreCountedAndNotConsumed) {
  Connect();
  EXPECT_EQ(UnreadBytes(server_), 0u);
  Send("hello");
  EXPECT_TRUE(WaitUntil([&] { return UnreadBytes(server_) == 5; }));
  Send(", you");
  EXPECT_TRUE(WaitUntil([&] { return UnreadBytes(server_) == 10; }));
  EXPECT_EQ(UnreadBytes(server_), 10u);
  EXPECT_EQ(Receive(10), "hello, you");
  EXPECT_EQ(UnreadBytes(server_), 0u);
}

TEST_F(SocketStateTest, UnreadBytesAreCountedAfterThePeerHasClosed) {
  Connect();
  Send("last words");
  client_.close();
  EXPECT_TRUE(WaitUntil([&] { return PeerHasClosed(server_); }));
  EXPECT_EQ(UnreadBytes(server_), 10u);
  EXPECT_EQ(Receive(10), "last words");
  EXPECT_EQ(UnreadBytes(server_), 0u);
}

TEST_F(SocketStateTest, ASocketThatIsNotOpenHasNoState) {
  EXPECT_EQ(UnreadBytes(server_), 0u);
  EXPECT_FALSE(PeerHasClosed(server_));
  EXPECT_EQ(UnacknowledgedBytes(server_), 0u);
  EXPECT_FALSE(TimeSinceLastDataReceived(server_).has_value());
}

TEST_F(SocketStateTest, AConnectedPeerHasNotClosed) {
  Connect();
  EXPECT_FALSE(PeerHasClosed(server_));
  Send("x");
  ASSERT_TRUE(WaitUntil([&] { return UnreadBytes(server_) == 1; }));
  EXPECT_FALSE(PeerHasClosed(server_));
}

TEST_F(SocketStateTest, APeerThatHasClosedIsDetectedWithoutUnreadBytes) {
  Connect();
  client_.close();
  EXPECT_TRUE(WaitUntil([&] { return PeerHasClosed(server_); }));
}

TEST_F(SocketStateTest, APeerThatHasOnlyShutDownItsSendingSideHasClosed) {
  Connect();
  client_.shutdown(tcp::socket::shutdown_send);
  EXPECT_TRUE(WaitUntil([&] { return PeerHasClosed(server_); }));
}

TEST_F(SocketStateTest, APeerThatHasClosedIsDetectedDespiteUnreadBytes) {
  Connect();
  Send("ahead");
  client_.shutdown(tcp::socket::shutdown_send);
  EXPECT_TRUE(WaitUntil([&] { return PeerHasClosed(server_); }));
  EXPECT_EQ(Receive(5), "ahead");
  EXPECT_TRUE(PeerHasClosed(server_));
}

TEST_F(SocketStateTest, APeerThatHasResetHasClosed) {
  Connect();
  Reset(client_);
  EXPECT_TRUE(WaitUntil([&] { return PeerHasClosed(server_); }));
}

TEST_F(SocketStateTest, APeerThatHasResetDespiteUnreadBytesHasClosed) {
  Connect();
  Send("ahead");
  ASSERT_TRUE(WaitUntil([&] { return UnreadBytes(server_) == 5; }));
  Reset(client_);
  EXPECT_TRUE(WaitUntil([&] { return PeerHasClosed(server_); }));
}

TEST_F(SocketStateTest, BytesThatThePeersTcpHasReceivedAreAcknowledged) {
  Connect();
  EXPECT_EQ(UnacknowledgedBytes(client_), 0u);
  Send("taken");  // acknowledged by the peer's TCP even if the program does not read it
  EXPECT_TRUE(WaitUntil([&] { return UnacknowledgedBytes(client_) == 0; }));
}

// The peer's TCP acknowledges only as many bytes as its receive buffer holds.
TEST_F(SocketStateTest, BytesBeyondThePeersReceiveBufferAreUnacknowledged) {
  Connect();
  client_.non_blocking(true);
  const std::string chunk(1 << 16, 'x');
  std::size_t written = 0;
  ErrorCode error;
  while (!error) written += client_.write_some(asio::buffer(chunk), error);
  ASSERT_EQ(error, asio::error::would_block);
  EXPECT_GT(UnacknowledgedBytes(client_), 0u);
  EXPECT_LT(UnacknowledgedBytes(client_), written);
  std::string received(1 << 16, '\0');
  std::size_t read = 0;
  server_.non_blocking(true);
  EXPECT_TRUE(WaitUntil([&] {
    for (error.clear(); !error;) read += server_.read_some(asio::buffer(received), error);
    return UnacknowledgedBytes(client_) == 0;
  }));
  EXPECT_LE(read, written);
}

// The time counts from the arrival of the data, whether it is read or not. On a busy machine it is longer,
// never shorter.
TEST_F(SocketStateTest, TheTimeSinceTheLastDataIsReported) {
  constexpr milliseconds kPause{60};
  constexpr milliseconds kTcpInfoTolerance{10};
  Connect();
  Send("a");
  ASSERT_TRUE(WaitUntil([&] { return UnreadBytes(server_) == 1; }));
  std::this_thread::sleep_for(kPause);
  const auto unread = TimeSinceLastDataReceived(server_);
  ASSERT_TRUE(unread.has_value());
  EXPECT_GE(*unread, kPause - kTcpInfoTolerance);
  Receive(1);
  const auto read = TimeSinceLastDataReceived(server_);
  ASSERT_TRUE(read.has_value());
  EXPECT_GE(*read, kPause - kTcpInfoTolerance);
  const auto before = std::chrono::steady_clock::now();
  Send("b");
  ASSERT_TRUE(WaitUntil([&] { return UnreadBytes(server_) == 1; }));
  const auto newest = TimeSinceLastDataReceived(server_);
  const auto passed = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - before);
  ASSERT_TRUE(newest.has_value());
  EXPECT_LE(*newest, passed + kTcpInfoTolerance);
}

TEST_F(SocketStateTest, TheTimeSinceDataReceivedBeforeTheAcceptIsReported) {
  constexpr milliseconds kPause{60};
  constexpr milliseconds kTcpInfoTolerance{10};
  client_.connect(acceptor_.local_endpoint());
  Send("early");
  std::this_thread::sleep_for(kPause);
  acceptor_.accept(server_);
  ASSERT_TRUE(WaitUntil([&] { return UnreadBytes(server_) == 5; }));
  const auto age = TimeSinceLastDataReceived(server_);
  ASSERT_TRUE(age.has_value());
  EXPECT_GE(*age, kPause - kTcpInfoTolerance);
}

TEST_F(SocketStateTest, AfterHandshakesStopCompletedConnectionsAreAcceptedAndLaterOnesAreNot) {
  constexpr int kEarlierConnections = 3;
  std::vector<tcp::socket> earlier = ConnectAndSendIndex(kEarlierConnections);
  ASSERT_TRUE(StopNewHandshakes(acceptor_));

  ErrorCode later_result = asio::error::would_block;
  tcp::socket later(io_);
  later.async_connect(acceptor_.local_endpoint(), [&](const ErrorCode& error) { later_result = error; });

  // Data that an earlier connection sends now is still received: only SYNs are dropped.
  for (auto& client : earlier) asio::write(client, asio::buffer("!", 1));
  for (int i = 0; i < kEarlierConnections; ++i) {
    tcp::socket accepted(io_);
    acceptor_.accept(accepted);
    EXPECT_EQ(Receive(accepted, 3), "r" + std::to_string(i) + "!");
  }
  // A loopback connect normally completes within its system call. The wait is longer than that, and shorter
  // than the 1 s after which the SYN is retransmitted.
  io_.run_for(milliseconds(500));
  EXPECT_EQ(later_result, asio::error::would_block);
  acceptor_.non_blocking(true);
  ErrorCode error;
  tcp::socket unexpected(io_);
  acceptor_.accept(unexpected, error);
  EXPECT_EQ(error, asio::error::would_block);

  // The retransmitted SYN arrives after the listener is closed.
  acceptor_.close();
  EXPECT_TRUE(WaitUntil([&] {
    io_.restart();
    io_.poll();
    return later_result != asio::error::would_block;
  }));
  EXPECT_EQ(later_result, asio::error::connection_refused);
}

TEST_F(SocketStateTest, StoppingHandshakesOfAClosedListenerFails) {
  acceptor_.close();
  EXPECT_FALSE(StopNewHandshakes(acceptor_));
}

}  // namespace
}  // namespace badgerbridge::net
