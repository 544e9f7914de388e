// SPDX-License-Identifier: Apache-2.0
//
// The link proxy on real sockets: what it does to bytes and to new connections.
#include "multiprocess/link_proxy.h"

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>
#include <functional>
#include <memory>

namespace badgerbridge::multiprocess {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// A server that echoes what it gets, the link proxy before it, and one client.
class LinkProxyTest : public ::testing::Test {
 protected:
  LinkProxyTest() : server_(io_, {asio::ip::address_v4::loopback(), 0}), proxy_(io_, 1), client_(io_) {
    AcceptAtServer();
    address_ = proxy_.Open("a", "b", server_.local_endpoint(), asio::ip::address_v4::loopback());
  }

  // Begins to connect the client.
  void Connect() {
    client_.async_connect(address_, [this](Error error) { is_connected_ = !error; });
  }

  // Connects the client, and begins to read what comes back.
  void ConnectAndRead() {
    Connect();
    ASSERT_TRUE(RunUntil([&] { return is_connected_; }));
    ReadAtClient();
  }

  void Send(const std::string& text) { asio::write(client_, asio::buffer(text)); }

  // Runs the io_context; false if the condition does not hold in time.
  bool RunUntil(const std::function<bool()>& holds, milliseconds timeout = milliseconds(5000)) {
    const auto deadline = Clock::now() + timeout;
    while (!holds()) {
      if (Clock::now() > deadline) return false;
      io_.restart();
      io_.run_for(milliseconds(2));
    }
    return true;
  }

  asio::io_context io_{1};
  tcp::acceptor server_;
  LinkProxy proxy_;
  tcp::socket client_;
  tcp::endpoint address_;
  std::vector<std::shared_ptr<tcp::socket>> server_sockets_;
  std::string received_by_server_;
  std::string received_by_client_;
  Error client_error_;
  bool is_connected_ = false;

 private:
  void AcceptAtServer() {
    server_.async_accept([this](Error error, tcp::socket socket) {
      if (error) return;
      server_sockets_.push_back(std::make_shared<tcp::socket>(std::move(socket)));
      Echo(server_sockets_.back());
      AcceptAtServer();
    });
  }

  void Echo(std::shared_ptr<tcp::socket> socket) {
    auto piece = std::make_shared<std::array<char, 1024>>();
    socket->async_read_some(asio::buffer(*piece), [this, socket, piece](Error error, std::size_t size) {
      if (error) return;
      received_by_server_.append(piece->data(), size);
      Error ignored;
      asio::write(*socket, asio::buffer(piece->data(), size), ignored);
      Echo(socket);
    });
  }

  void ReadAtClient() {
    client_.async_read_some(asio::buffer(piece_), [this](Error error, std::size_t size) {
      if (error) {
        client_error_ = error;
        return;
      }
      received_by_client_.append(piece_.data(), size);
      ReadAtClient();
    });
  }

  std::array<char, 1024> piece_;
};

TEST_F(LinkProxyTest, BytesPassBothWaysAndAreDelayed) {
  ConnectAndRead();
  Link slow;
  slow.forward.delay = milliseconds(40);
  slow.back.delay = milliseconds(40);
  proxy_.SetLink("a", "b", slow);
  const auto began = Clock::now();
  Send("hello");
  ASSERT_TRUE(RunUntil([&] { return received_by_client_ == "hello"; }));
  EXPECT_GE(Clock::now() - began, milliseconds(80));
}

TEST_F(LinkProxyTest, WhileCutOneWayRequestsArriveAndResponsesWait) {
  ConnectAndRead();
  Link cut;
  cut.back.is_cut = true;
  proxy_.SetLink("a", "b", cut);
  Send("hello");
  ASSERT_TRUE(RunUntil([&] { return received_by_server_ == "hello"; }));
  EXPECT_FALSE(RunUntil([&] { return !received_by_client_.empty(); }, milliseconds(100)));
  proxy_.SetLink("*", "*", Link{});
  ASSERT_TRUE(RunUntil([&] { return received_by_client_ == "hello"; }));
}

TEST_F(LinkProxyTest, NewConnectionsAreEstablishedOnlyAfterACutHeals) {
  Link cut;
  cut.forward.is_cut = true;
  cut.back.is_cut = true;
  proxy_.SetLink("a", "b", cut);
  Connect();
  EXPECT_FALSE(RunUntil([&] { return is_connected_; }, milliseconds(300)));
  proxy_.SetLink("a", "b", Link{});
  // A connection begun before is established late, or never, as after a real cut; a new one is at once.
  client_.close();
  is_connected_ = false;
  ConnectAndRead();
  Send("hello");
  ASSERT_TRUE(RunUntil([&] { return received_by_client_ == "hello"; }));
  EXPECT_LE(server_sockets_.size(), 2u);  // the connections that kept the queue full are gone
}

TEST_F(LinkProxyTest, ResetAndHalfCloseReachBothSides) {
  ConnectAndRead();
  Send("hello");
  ASSERT_TRUE(RunUntil([&] { return received_by_client_ == "hello"; }));
  proxy_.HalfClose("a", "b");
  ASSERT_TRUE(RunUntil([&] { return client_error_ == asio::error::eof; }));
  proxy_.Reset("a", "b");
  ASSERT_TRUE(RunUntil([&] { return proxy_.connections() == 0; }));
}

TEST_F(LinkProxyTest, ASwallowedConnectionIsEstablishedAndCarriesNothing) {
  Link swallow;
  swallow.swallowed_share = 1;
  proxy_.SetLink("a", "b", swallow);
  ConnectAndRead();
  Send("hello");
  EXPECT_FALSE(RunUntil([&] { return !received_by_server_.empty(); }, milliseconds(100)));
  EXPECT_TRUE(server_sockets_.empty());
}

TEST_F(LinkProxyTest, LinksOfOtherGroupsAreNotAffected) {
  Link cut;
  cut.forward.is_cut = true;
  proxy_.SetLink("a", "c", cut);
  ConnectAndRead();
  Send("hello");
  ASSERT_TRUE(RunUntil([&] { return received_by_client_ == "hello"; }));
}

}  // namespace
}  // namespace badgerbridge::multiprocess
