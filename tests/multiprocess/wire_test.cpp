// SPDX-License-Identifier: Apache-2.0
//
// The relay on real sockets: what it does to the bytes and to new connections, and that it ends.
#include "multiprocess/wire.h"

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

// A peer that sends back what it gets, the relay before it, and one client.
class Relay : public ::testing::Test {
 protected:
  Relay() : far(io, {asio::ip::address_v4::loopback(), 0}), wire(io, 1), client(io) {
    Accept();
    address = wire.Open("a", "b", far.local_endpoint(), asio::ip::address_v4::loopback());
  }
  void Accept() {
    far.async_accept([this](Error error, tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<tcp::socket>(std::move(socket)));
      Echo(peers.back());
      Accept();
    });
  }
  void Echo(std::shared_ptr<tcp::socket> peer) {
    auto piece = std::make_shared<std::array<char, 1024>>();
    peer->async_read_some(asio::buffer(*piece), [this, peer, piece](Error error, std::size_t n) {
      if (error) return;
      came.append(piece->data(), n);
      Error ignored;
      asio::write(*peer, asio::buffer(piece->data(), n), ignored);
      Echo(peer);
    });
  }
  void Connect() {
    client.async_connect(address, [this](Error error) { connected = !error; });
  }
  void Read() {
    client.async_read_some(asio::buffer(piece), [this](Error error, std::size_t n) {
      if (error) {
        closed = error;
        return;
      }
      back.append(piece.data(), n);
      Read();
    });
  }
  void Say(const std::string& text) { asio::write(client, asio::buffer(text)); }
  bool Until(const std::function<bool()>& holds, milliseconds most = milliseconds(5000)) {
    const auto due = Clock::now() + most;
    while (!holds()) {
      if (Clock::now() > due) return false;
      io.restart();
      io.run_for(milliseconds(2));
    }
    return true;
  }
  void Begin() {
    Connect();
    ASSERT_TRUE(Until([&] { return connected; }));
    Read();
  }

  asio::io_context io{1};
  tcp::acceptor far;
  Wire wire;
  tcp::socket client;
  tcp::endpoint address;
  std::vector<std::shared_ptr<tcp::socket>> peers;
  std::array<char, 1024> piece;
  std::string came, back;
  Error closed;
  bool connected = false;
};

TEST_F(Relay, BytesPassBothWaysAndAreDelayed) {
  Begin();
  Link slow;
  slow.there.delay = slow.back.delay = milliseconds(40);
  wire.Set("a", "b", slow);
  const auto began = Clock::now();
  Say("hello");
  ASSERT_TRUE(Until([&] { return back == "hello"; }));
  EXPECT_GE(Clock::now() - began, milliseconds(80));
}

TEST_F(Relay, CutOneWayRequestsArriveAndAnswersWaitUntilItHeals) {
  Begin();
  Link cut;
  cut.back.cut = true;
  wire.Set("a", "b", cut);
  Say("hello");
  ASSERT_TRUE(Until([&] { return came == "hello"; }));
  EXPECT_FALSE(Until([&] { return !back.empty(); }, milliseconds(100)));
  wire.Set("*", "*", Link{});
  ASSERT_TRUE(Until([&] { return back == "hello"; }));
}

TEST_F(Relay, WhileCutNewConnectionsNeverComeUpAndAfterwardsTheyDo) {
  Link cut;
  cut.there.cut = cut.back.cut = true;
  wire.Set("a", "b", cut);
  Connect();
  EXPECT_FALSE(Until([&] { return connected; }, milliseconds(300)));
  wire.Set("a", "b", Link{});
  // What was on its way comes up late, or never, as after a real cut; what comes now does at once.
  client.close();
  connected = false;
  Begin();
  Say("hello");
  ASSERT_TRUE(Until([&] { return back == "hello"; }));
  EXPECT_LE(peers.size(), 2u);  // what had kept the queue full is gone
}

TEST_F(Relay, ResetAndHalfCloseReachBothSides) {
  Begin();
  Say("hello");
  ASSERT_TRUE(Until([&] { return back == "hello"; }));
  wire.HalfClose("a", "b");
  ASSERT_TRUE(Until([&] { return closed == asio::error::eof; }));
  wire.Reset("a", "b");
  ASSERT_TRUE(Until([&] { return wire.connections() == 0; }));
}

TEST_F(Relay, ASwallowedConnectionComesUpAndCarriesNothing) {
  Link swallow;
  swallow.swallowed = 1;
  wire.Set("a", "b", swallow);
  Begin();
  Say("hello");
  EXPECT_FALSE(Until([&] { return !came.empty(); }, milliseconds(100)));
  EXPECT_TRUE(peers.empty());
}

TEST_F(Relay, OtherGroupsAreLeftAlone) {
  Link cut;
  cut.there.cut = true;
  wire.Set("a", "c", cut);
  Begin();
  Say("hello");
  ASSERT_TRUE(Until([&] { return back == "hello"; }));
}

}  // namespace
}  // namespace badgerbridge::multiprocess
